// Which caches serve an object: a rendezvous home, and replicas while it is hot (docs/design.md).
#pragma once

#include <algorithm>
#include <vector>

#include "policy/health.h"
#include "policy_state/rendezvous.h"

namespace alderspur::policy {

class CacheSelection {
 public:
  CacheSelection(RoutingContext& context, const Health& health)
      : context_(context), health_(health) {}

  ObjectState& object(ObjectId id) { return objects_[id]; }
  bool has_objects() const { return !objects_.empty(); }

  /// The caches for the next attempt, best first.
  std::vector<Upstream*> candidates(ObjectState& object, ObjectId id) const {
    const auto is_unusable = [&](const Upstream* cache) { return !health_.is_usable(*cache); };
    auto order = rendezvous_order(context_.upstreams.caches(), id, context_.workload);
    // Caches of a lost location, asked as a last resort, would hold a request past all other ways.
    if (context_.settings.health_checks_allowed || !std::ranges::all_of(order, is_unusable)) {
      std::erase_if(order, is_unusable);
    }
    const std::size_t width = std::min({object.replica_count, most_replicas(), order.size()});
    if (width >= 2) {
      const auto replicas_end = order.begin() + static_cast<std::ptrdiff_t>(width);
      std::stable_sort(order.begin(), replicas_end, [&](Upstream* left, Upstream* right) {
        return replica_load(object, *left) < replica_load(object, *right);
      });
    }
    move_crowded_back(order);
    return order;
  }
  void record_sent(ObjectState& object, const Upstream& cache) const {
    object.replica(cache.server.id, context_.now).sent.add(context_.now, 1);
  }
  /// Counts a response; widens the object's set where its share of the cache's load is too large.
  void record_served(const Request& request, Upstream& upstream) {
    const double load = WorkloadModel::load(request);
    upstream.served_load.add(context_.now, load);
    upstream.served_transfer_time.add(context_.now, context_.workload.transfer_time(request));
    const auto found = objects_.find(request.object);
    if (found == objects_.end() || !upstream.is_cache()) return;
    ObjectState& object = found->second;
    ReplicaState& replica = object.replica(upstream.server.id, context_.now);
    replica.served_load.add(context_.now, load);
    replica.served.add(context_.now, 1);
    if (replica.served.value(context_.now) < kMinServedRequests) return;
    const double cache_load = std::max(upstream.served_load.value(context_.now), kMinLoad);
    const double share = replica.served_load.value(context_.now) / cache_load;
    const double threshold = hot_threshold(upstream);
    if (share >= kShrinkPart * threshold) object.last_busy = context_.now;
    if (share <= threshold || object.replica_count >= most_replicas()) return;
    if (context_.now < object.last_widened + kWideningPause) return;
    ++object.replica_count;
    object.last_widened = context_.now;
    object.last_busy = context_.now;
  }
  /// Forgets idle objects and shrinks the sets of those that have cooled down.
  void clean_up() {
    std::erase_if(objects_, [&](const auto& entry) {
      return context_.now > entry.second.last_request + kForgetObjectAfter;
    });
    for (auto& [id, object] : objects_) shrink(object);
  }

 private:
  /// Share of a cache's load at which an object is hot, for a cache of average load.
  static constexpr double kBaseThreshold = 0.25;
  /// Fewer requests in a window say nothing.
  static constexpr double kMinServedRequests = 6;
  /// Between two widenings of a set, so that the counts can follow.
  static constexpr Time kWideningPause = kSecond;
  /// Below this part of the threshold at all replicas for a window, a set shrinks.
  static constexpr double kShrinkPart = 0.25;
  /// A new replica's first part of a full share; it rises over a window.
  static constexpr double kFirstShare = 0.25;
  static constexpr double kMinLoad = 1e-9;
  static constexpr Time kForgetObjectAfter = 30 * kSecond;
  /// Attempts in flight for each cache and router of the location: fewer say nothing of crowding.
  static constexpr double kMinInFlightFraction = 0.4;
  /// A cache is crowded with so many times the average work in flight, and more than these seconds.
  static constexpr double kCrowdedFactor = 1.5;
  static constexpr double kNeverCrowded = 1;

  std::size_t most_replicas() const {
    const std::size_t caches = context_.upstreams.caches().size();
    return std::min(caches, std::max<std::size_t>(2, caches / 2));
  }
  void shrink(ObjectState& object) const {
    const Time last_change = std::max(object.last_busy, object.last_widened);
    if (object.replica_count < 2 || context_.now < last_change + estimators::kWindowLength) return;
    --object.replica_count;
    object.last_busy = context_.now;
  }
  double replica_load(ObjectState& object, const Upstream& cache) const {
    ReplicaState& replica = object.replica(cache.server.id, context_.now);
    const double age =
        static_cast<double>(context_.now - replica.joined_at) / estimators::kWindowLength;
    const double share = std::clamp(kFirstShare + age, kFirstShare, 1.0);
    const double sent = replica.sent.value(context_.now) + 1;
    return sent / context_.workload.weight(cache.server) / share;
  }
  /// A home with more work than it can send would stay crowded: where that shows, others go first.
  void move_crowded_back(std::vector<Upstream*>& order) const {
    double transfer_time = 0;
    double weight = 0;
    double in_flight = 0;
    for (const Upstream* cache : order) {
      transfer_time += cache->transfer_time_in_flight;
      weight += context_.workload.weight(cache->server);
      in_flight += cache->attempts_in_flight;
    }
    const double unseen = context_.fleet.evidence_scale(Scope::location) - 1;
    if (in_flight < kMinInFlightFraction * unseen * static_cast<double>(order.size())) return;
    std::stable_partition(order.begin(), order.end(), [&](const Upstream* cache) {
      const double own_weight = context_.workload.weight(cache->server);
      const double crowded = kCrowdedFactor * transfer_time / weight * own_weight;
      return cache->transfer_time_in_flight <= std::max(kNeverCrowded, crowded);
    });
  }
  /// T(s) = base x W(s), W(s) = 1 + a - 2a (L(s) - Lmin) / (Lmax - Lmin), a = 1 - median / Lmax.
  double hot_threshold(const Upstream& upstream) const {
    const auto& caches = context_.upstreams.caches();
    const auto loads = relative_loads(context_);
    auto sorted = loads;
    std::ranges::sort(sorted);
    const auto index =
        static_cast<std::size_t>(std::ranges::find(caches, &upstream) - caches.begin());
    if (index == loads.size() || sorted.back() <= sorted.front()) return kBaseThreshold;
    const double median = (sorted[(sorted.size() - 1) / 2] + sorted[sorted.size() / 2]) / 2;
    const double alpha = 1 - median / sorted.back();
    const double place = (loads[index] - sorted.front()) / (sorted.back() - sorted.front());
    return kBaseThreshold * (1 + alpha - 2 * alpha * place);
  }

  RoutingContext& context_;
  const Health& health_;
  ObjectTable objects_;
};

}  // namespace alderspur::policy
