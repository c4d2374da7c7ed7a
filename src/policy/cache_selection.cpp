#include "policy/cache_selection.h"

#include <algorithm>

#include "policy_state/load_view.h"
#include "policy_state/rendezvous.h"

namespace alderspur::policy {
namespace {

using estimators::kSecond;

/// Share of a cache's load above which an object is hot, for a cache of average load.
constexpr double kBaseThreshold = 0.25;
/// Minimum number of served requests in a window for an object to be hot.
constexpr double kMinServedRequests = 6;
/// Minimum time between two expansions of a replica set, so that the counts reflect the first
/// expansion before the second one.
constexpr Time kMinExpansionInterval = kSecond;
/// A replica set shrinks if the object stays below this fraction of the threshold for a whole
/// window.
constexpr double kShrinkFraction = 0.25;
/// The initial share of a new replica, as a fraction of a full share. It rises to 1 within a
/// window.
constexpr double kInitialReplicaShare = 0.25;
/// Lower bound of loads in divisions.
constexpr double kMinLoad = 1e-9;
/// The state of an object is removed after this time without a request.
constexpr Time kObjectIdleTimeout = 30 * kSecond;
/// Number of attempts in flight per cache below which no cache counts as congested. It applies in
/// proportion to the load that this router does not observe, because a few attempts of one router
/// among many do not show how the load is distributed.
constexpr double kMinInFlightPerCache = 0.4;
/// A cache is congested if its work in flight exceeds this multiple of the average.
constexpr double kCongestedFactor = 1.5;
/// A cache with at most this many seconds of transfer time in flight is never congested.
constexpr double kMaxUncongestedSeconds = 1;

}  // namespace

std::vector<Upstream*> CacheSelection::candidates(ObjectState& object, ObjectId id) const {
  const auto is_unusable = [&](const Upstream* cache) { return !health_.is_usable(*cache); };
  auto order = rendezvous_order(context_.upstreams.caches(), id, context_.workload);
  // Without health checks, unusable caches are the last resort if no cache is usable. With health
  // checks they are never used: if the whole location is unreachable, an attempt there would only
  // take time from attempts at other servers.
  if (context_.settings.health_checks_allowed || !std::ranges::all_of(order, is_unusable)) {
    std::erase_if(order, is_unusable);
  }
  const std::size_t replica_count = std::min({object.replica_count, max_replicas(), order.size()});
  if (replica_count >= 2) {
    const auto replicas_end = order.begin() + static_cast<std::ptrdiff_t>(replica_count);
    std::stable_sort(order.begin(), replicas_end, [&](Upstream* left, Upstream* right) {
      return replica_load(object, *left) < replica_load(object, *right);
    });
  }
  move_congested_last(order);
  return order;
}

void CacheSelection::record_sent(ObjectState& object, const Upstream& cache) const {
  object.find_or_add_replica(cache.server.id, context_.now).sent.add(context_.now, 1);
}

void CacheSelection::record_served(const Request& request, Upstream& upstream) {
  const double load = WorkloadModel::load(request);
  upstream.served_load.add(context_.now, load);
  upstream.served_transfer_time.add(context_.now, context_.workload.transfer_time(request));
  const auto found = objects_.find(request.object);
  if (found == objects_.end() || !upstream.is_cache()) return;
  ObjectState& object = found->second;
  ReplicaState& replica = object.find_or_add_replica(upstream.server.id, context_.now);
  replica.served_load.add(context_.now, load);
  replica.served.add(context_.now, 1);
  expand_if_hot(object, replica, upstream);
}

void CacheSelection::clean_up() {
  std::erase_if(objects_, [&](const auto& entry) {
    return context_.now > entry.second.last_request + kObjectIdleTimeout;
  });
  for (auto& [id, object] : objects_) shrink_if_cooled_down(object);
}

std::size_t CacheSelection::max_replicas() const {
  const std::size_t caches = context_.upstreams.caches().size();
  return std::min(caches, std::max<std::size_t>(2, caches / 2));
}

void CacheSelection::expand_if_hot(ObjectState& object, ReplicaState& replica,
                                   Upstream& cache) const {
  if (replica.served.value(context_.now) < kMinServedRequests) return;
  const double cache_load = std::max(cache.served_load.value(context_.now), kMinLoad);
  const double share = replica.served_load.value(context_.now) / cache_load;
  const double threshold = hot_threshold(cache);
  if (share >= kShrinkFraction * threshold) object.last_busy = context_.now;
  if (share <= threshold || object.replica_count >= max_replicas()) return;
  if (context_.now < object.last_expanded + kMinExpansionInterval) return;
  ++object.replica_count;
  object.last_expanded = context_.now;
  object.last_busy = context_.now;
}

void CacheSelection::shrink_if_cooled_down(ObjectState& object) const {
  const Time last_change = std::max(object.last_busy, object.last_expanded);
  if (object.replica_count < 2 || context_.now < last_change + estimators::kWindowLength) return;
  --object.replica_count;
  object.last_busy = context_.now;
}

double CacheSelection::replica_load(ObjectState& object, const Upstream& cache) const {
  ReplicaState& replica = object.find_or_add_replica(cache.server.id, context_.now);
  const double age =
      static_cast<double>(context_.now - replica.joined_at) / estimators::kWindowLength;
  const double share = std::clamp(kInitialReplicaShare + age, kInitialReplicaShare, 1.0);
  const double sent = replica.sent.value(context_.now) + 1;
  return sent / context_.workload.weight(cache.server) / share;
}

void CacheSelection::move_congested_last(std::vector<Upstream*>& order) const {
  double transfer_time = 0;
  double weight = 0;
  double in_flight = 0;
  for (const Upstream* cache : order) {
    transfer_time += cache->transfer_time_in_flight;
    weight += context_.workload.weight(cache->server);
    in_flight += cache->attempts_in_flight;
  }
  const double unseen_load_factor = context_.fleet.observation_weight(Scope::location) - 1;
  const auto caches = static_cast<double>(order.size());
  if (in_flight < kMinInFlightPerCache * unseen_load_factor * caches) return;
  std::stable_partition(order.begin(), order.end(), [&](const Upstream* cache) {
    const double own_weight = context_.workload.weight(cache->server);
    const double congested = kCongestedFactor * transfer_time / weight * own_weight;
    return cache->transfer_time_in_flight <= std::max(kMaxUncongestedSeconds, congested);
  });
}

double CacheSelection::hot_threshold(const Upstream& cache) const {
  // T(s) = base x W(s), W(s) = 1 + a - 2a (L(s) - Lmin) / (Lmax - Lmin), a = 1 - median / Lmax.
  const auto& caches = context_.upstreams.caches();
  const auto loads = relative_loads(context_);
  auto sorted = loads;
  std::ranges::sort(sorted);
  const auto index = static_cast<std::size_t>(std::ranges::find(caches, &cache) - caches.begin());
  if (index == loads.size() || sorted.back() <= sorted.front()) return kBaseThreshold;
  const double median = (sorted[(sorted.size() - 1) / 2] + sorted[sorted.size() / 2]) / 2;
  const double alpha = 1 - median / sorted.back();
  const double position = (loads[index] - sorted.front()) / (sorted.back() - sorted.front());
  return kBaseThreshold * (1 + alpha - 2 * alpha * position);
}

}  // namespace alderspur::policy
