// Slow start: how much of what all routers together may send to a new server this one may send.
#pragma once

#include <algorithm>

#include "policy_state/capacity_estimate.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

class SlowStart {
 public:
  explicit SlowStart(RoutingContext& context) : context_(context) {}

  /// `is_told`: the endpoint list told of the start; otherwise it is only suspected.
  void begin(Upstream& upstream, Time since, bool is_told) {
    upstream.start_was_told = is_told || (upstream.is_warming_up && upstream.start_was_told);
    upstream.is_warming_up = true;
    upstream.warming_up_since = std::min(since, context_.now);
    // Random debts spread the first requests of hundreds of routers, which would overload it at
    // once.
    upstream.quota = -context_.draw() * context_.workload.longest_class_transfer_time();
    upstream.quota_refilled_at = context_.now;
  }
  void update(Upstream& upstream) const {
    const Time end = upstream.warming_up_since + duration(upstream);
    upstream.is_warming_up = upstream.is_warming_up && context_.now < end;
  }
  /// Part of its full capacity that it is promised to have by now.
  double capacity_share(const Upstream& upstream) const {
    const Settings& settings = context_.settings;
    const double first = upstream.is_parent() ? settings.parent_slow_start_fraction
                                              : settings.cache_slow_start_fraction;
    const auto whole = static_cast<double>(std::max<Time>(1, duration(upstream)));
    const double passed = static_cast<double>(context_.now - upstream.warming_up_since) / whole;
    return first + (1 - first) * std::clamp(passed, 0.0, 1.0);
  }
  double effective_weight(const Upstream& upstream) const {
    const double weight = context_.workload.weight(upstream.server);
    return weight * (upstream.is_warming_up ? capacity_share(upstream) : 1);
  }
  /// False while a server that warms up has had all that it may be sent by now.
  bool has_quota(Upstream& upstream) {
    update(upstream);
    if (!upstream.is_warming_up || is_unlikely_start(upstream)) return true;
    // While it is on probation it counts as not started yet.
    if (upstream.on_probation) upstream.warming_up_since = context_.now;
    const double rate = allowed_transfers(upstream);
    const auto window = static_cast<double>(context_.settings.overload_window);
    upstream.refill_quota(context_.now, rate, rate * kSavedPart * window / estimators::kSecond);
    return upstream.quota > 0;
  }
  void charge(Upstream& upstream, const Request& request) const {
    if (upstream.is_warming_up) upstream.quota -= cost(request);
  }
  void refund(Upstream& upstream, const Request& request) const { upstream.quota += cost(request); }
  void clear_quotas() {
    for (auto& [id, upstream] : context_.upstreams.all()) upstream.quota = 0;
  }
  void learn_capacity() {
    cache_capacity_.learn(context_.upstreams.caches(), context_.now);
    parent_capacity_.learn(context_.upstreams.parents(), context_.now);
  }

 private:
  /// Told sizes are upper bounds at times: only this part of them is used.
  static constexpr double kUsedPart = 0.75;
  /// Warm servers are not full, so a server may get more than they carry for this router.
  static constexpr double kOverObservedCapacity = 1.1;
  /// Transfers at a time, before anything was observed.
  static constexpr double kUnknownCapacity = 1;
  /// How much of the time in which an overload pushes a server over may be saved up as quota.
  static constexpr double kSavedPart = 0.25;

  double cost(const Request& request) const {
    return context_.workload.class_transfer_time(request.class_id);
  }
  Time duration(const Upstream& upstream) const {
    return upstream.is_parent() ? context_.settings.parent_slow_start_time
                                : context_.settings.cache_slow_start_time;
  }
  /// A wave of resets makes all caches look restarted: if all were held back, none would be served.
  bool is_unlikely_start(const Upstream& upstream) const {
    const auto is_warm = [](const Upstream* cache) { return !cache->is_warming_up; };
    return !upstream.start_was_told && upstream.is_cache() &&
           std::ranges::none_of(context_.upstreams.caches(), is_warm);
  }
  /// Transfers at a time that this router may ask of it now: its part of the promised capacity.
  double allowed_transfers(const Upstream& upstream) const {
    const double share = capacity_share(upstream);
    const Scope scope = upstream.is_parent() ? Scope::fleet : Scope::location;
    const double process_share = context_.fleet.budget().process_share;
    const double sharers = context_.fleet.router_count(scope) / process_share;
    if (context_.workload.weights_are_sizes()) {
      return kUsedPart * share * upstream.server.weight / sharers;
    }
    const double peak = (upstream.is_parent() ? parent_capacity_ : cache_capacity_).peak();
    return share * (peak > 0 ? kOverObservedCapacity * peak : kUnknownCapacity / sharers);
  }

  RoutingContext& context_;
  CapacityEstimate cache_capacity_;
  CapacityEstimate parent_capacity_;
};

}  // namespace alderspur::policy
