#include "policy/slow_start.h"

#include <algorithm>

namespace alderspur::policy {
namespace {

/// Fraction of the configured capacity that is used, because that capacity may be an upper bound.
constexpr double kUsableCapacityFraction = 0.75;
/// Factor from the observed peak to the assumed capacity. It is above 1 because warmed-up servers
/// are rarely at full capacity.
constexpr double kObservedCapacityFactor = 1.1;
/// Assumed number of concurrent transfers of a server at full capacity before the first
/// observation.
constexpr double kInitialCapacity = 1;
/// Unused quota may accumulate for this fraction of Settings::overload_window.
constexpr double kMaxSavedQuotaFraction = 0.25;

}  // namespace

void SlowStart::begin(Upstream& upstream, Time since, StartEvidence evidence) {
  const bool was_reported = upstream.is_warming_up && upstream.start_is_reported;
  upstream.start_is_reported = evidence == StartEvidence::reported || was_reported;
  upstream.is_warming_up = true;
  upstream.warming_up_since = std::min(since, context_.now);
  // Each router starts with a random debt. Otherwise many routers would send their first requests
  // at the same time and overload the server.
  upstream.quota = -context_.draw_uniform() * context_.workload.longest_class_transfer_time();
  upstream.quota_refilled_at = context_.now;
}

void SlowStart::update(Upstream& upstream) const {
  const Time end = upstream.warming_up_since + duration(upstream);
  upstream.is_warming_up = upstream.is_warming_up && context_.now < end;
}

bool SlowStart::has_quota(Upstream& upstream) {
  update(upstream);
  if (!upstream.is_warming_up || is_implausible_start(upstream)) return true;
  // A server on probation counts as not started yet.
  if (upstream.on_probation) upstream.warming_up_since = context_.now;
  const double rate = allowed_transfers(upstream);
  const auto window = static_cast<double>(context_.settings.overload_window);
  const double max_quota = rate * kMaxSavedQuotaFraction * window / estimators::kSecond;
  upstream.refill_quota(context_.now, rate, max_quota);
  return upstream.quota > 0;
}

void SlowStart::charge(Upstream& upstream, const Request& request) const {
  if (upstream.is_warming_up) upstream.quota -= cost(request);
}

void SlowStart::refund(Upstream& upstream, const Request& request) const {
  upstream.quota += cost(request);
}

void SlowStart::clear_quotas() {
  for (auto& [id, upstream] : context_.upstreams.all()) upstream.quota = 0;
}

void SlowStart::update_capacity() {
  cache_capacity_.update(context_.upstreams.caches(), context_.now);
  parent_capacity_.update(context_.upstreams.parents(), context_.now);
}

double SlowStart::effective_weight(const Upstream& upstream) const {
  const double weight = context_.workload.weight(upstream.server);
  return weight * (upstream.is_warming_up ? capacity_fraction(upstream) : 1);
}

double SlowStart::cost(const Request& request) const {
  return context_.workload.class_transfer_time(request.class_id);
}

Time SlowStart::duration(const Upstream& upstream) const {
  return upstream.is_parent() ? context_.settings.parent_slow_start_time
                              : context_.settings.cache_slow_start_time;
}

double SlowStart::capacity_fraction(const Upstream& upstream) const {
  const Settings& settings = context_.settings;
  const double initial = upstream.is_parent() ? settings.parent_slow_start_fraction
                                              : settings.cache_slow_start_fraction;
  const auto total = static_cast<double>(std::max<Time>(1, duration(upstream)));
  const auto elapsed = static_cast<double>(context_.now - upstream.warming_up_since);
  return initial + (1 - initial) * std::clamp(elapsed / total, 0.0, 1.0);
}

bool SlowStart::is_implausible_start(const Upstream& upstream) const {
  if (upstream.start_is_reported || !upstream.is_cache()) return false;
  const auto is_warm = [](const Upstream* cache) { return !cache->is_warming_up; };
  return std::ranges::none_of(context_.upstreams.caches(), is_warm);
}

double SlowStart::allowed_transfers(const Upstream& upstream) const {
  const double fraction = capacity_fraction(upstream);
  const Scope scope = upstream.is_parent() ? Scope::fleet : Scope::location;
  const double process_share = context_.fleet.budget().process_share;
  const double sharing_processes = context_.fleet.router_count(scope) / process_share;
  if (context_.workload.weights_are_capacities()) {
    return kUsableCapacityFraction * fraction * upstream.server.weight / sharing_processes;
  }
  const double peak = (upstream.is_parent() ? parent_capacity_ : cache_capacity_).peak();
  if (peak > 0) return fraction * (kObservedCapacityFactor * peak);
  return fraction * (kInitialCapacity / sharing_processes);
}

}  // namespace alderspur::policy
