// Admission: limits on work in flight at the caches and at the origin, and the budget of retries.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/health.h"

namespace alderspur::policy {

using estimators::AdaptiveLimit;
using estimators::LimitedWork;
using estimators::TokenBucket;

/// An overloaded answer that comes sooner is the server's own: no fill source is that near.
constexpr Time kOwnAnswerTime = 3 * kMillisecond;

class Admission {
 public:
  Admission(RoutingContext& context, const Health& health, const SlowStart& slow_start)
      : context_(context), health_(health), slow_start_(slow_start) {}

  /// True: reject the request. Beyond capacity all responses come late and none earns its weight.
  bool should_shed(const Request& request) {
    const double weight = context_.class_settings(request).priority_weight;
    const double cost = context_.workload.transfer_time(request) / std::max(weight, kMinValue);
    cost_.learn(cost);
    const double cheap = std::clamp(cost_.value / std::max(cost, kMinValue), 1.0, kCheapFactor);
    const auto& upstreams = context_.upstreams;
    const bool is_over =
        !upstreams.caches().empty() && upstreams.transfer_time_in_flight() > limit_.value * cheap;
    shed_fraction_ += kShedLearningRate * ((is_over ? 1 : 0) - shed_fraction_);
    return is_over;
  }
  /// The limit on seconds of transfer time in flight; 0: none found yet.
  double concurrency_limit() const {
    return limit_.value < estimators::kUnlimited ? limit_.value : 0;
  }
  void set_concurrency_limit(double limit) { limit_.value = limit; }

  /// Moves the limit by a response. The wait for a source's first byte is no crowding of caches.
  void learn(const Request& request, const AttemptOutcome& outcome) {
    if (fill_failed(outcome)) return;
    const bool overloaded = outcome.result == AttemptResult::overloaded;
    if (!overloaded && outcome.result != AttemptResult::ok) return;
    const Time own = std::max<Time>(0, outcome.elapsed - outcome.time_to_first_byte);
    const double excess =
        overloaded ? kMaxExcess : context_.workload.excess_over_objective(request, own);
    const double least = least_limit();
    // What responses take however little is in flight is no crowding: it would keep the limit down.
    if (limit_.value < kIdleLimitFactor * least) {
      idle_excess_ += kIdleLearningRate * (excess - idle_excess_);
    } else {
      idle_excess_ += -kIdleForgetRate * idle_excess_;
    }
    const double objective =
        std::clamp(idle_excess_ + kAboveIdle, kExcessObjective, kMaxExcessObjective);
    const double step = kLimitStep * std::sqrt(context_.fleet.evidence_scale(Scope::location));
    limit_.adjust(step, objective - excess, least, context_.upstreams.transfer_time_in_flight());
  }

  LimitedWork& origin_work() { return origin_work_; }
  /// Moves the limit on what may wait for the origin. `is_stuck`: it could not do it in time.
  void learn_origin(const Request& request, Time waited, bool is_stuck) {
    const double excess =
        is_stuck ? kMaxExcess : context_.workload.excess_over_objective(request, waited);
    const double step = kLimitStep * std::sqrt(context_.fleet.evidence_scale(Scope::fleet));
    const double least = kMinOriginLimitSeconds / context_.fleet.router_count(Scope::fleet);
    origin_work_.limit.adjust(step, kOriginObjective - excess, least,
                              std::max(origin_work_.in_flight, least_limit()));
  }

  void earn_retries() { retries_.add(kRetriesPerRequest, kMaxSavedRetries); }
  bool try_take_retry() { return retries_.try_take(); }
  /// Grows with the part of requests that was shed lately, and is spread at random.
  Time retry_after() {
    const double factor = 1 + kShedRetryFactor * shed_fraction_ + context_.draw();
    return static_cast<Time>(static_cast<double>(kMinRetryAfter) * factor);
  }

 private:
  /// Part of the time beside its own transfer that a response may take for the limit to rise.
  static constexpr double kExcessObjective = 0.3;
  static constexpr double kOriginObjective = 0.5;
  /// Each response moves a limit by this part of its distance from the objective.
  static constexpr double kLimitStep = 0.03;
  /// The limit's floor: seconds for each cache, and part of this router's share of told sizes.
  static constexpr double kMinSecondsPerCache = 0.5;
  static constexpr double kMinFractionOfSize = 0.25;
  /// Floor of the origin's limit, in seconds over all routers: there is one origin.
  static constexpr double kMinOriginLimitSeconds = 4.5;
  /// Up to this many times its floor the limit is low enough for responses to show the idle excess.
  static constexpr double kIdleLimitFactor = 2;
  static constexpr double kIdleLearningRate = 0.03;
  static constexpr double kIdleForgetRate = 0.002;
  static constexpr double kAboveIdle = 0.15;
  static constexpr double kMaxExcessObjective = 0.4;
  /// How far over the limit requests pass that cost little for their weight.
  static constexpr double kCheapFactor = 2;
  static constexpr double kMinValue = 1e-9;
  static constexpr double kShedLearningRate = 0.05;
  static constexpr double kRetriesPerRequest = 0.15;
  static constexpr double kMaxSavedRetries = 6;
  static constexpr Time kMinRetryAfter = 400 * kMillisecond;
  static constexpr double kShedRetryFactor = 8;

  /// Seconds in flight below which there is no crowding: a part of what the usable caches can send.
  double least_limit() const {
    const auto& caches = context_.upstreams.caches();
    double weights = 0;
    for (const Upstream* cache : caches) {
      if (health_.is_usable(*cache)) weights += slow_start_.effective_weight(*cache);
    }
    const double routers = context_.fleet.router_count(Scope::location);
    const bool told = context_.workload.weights_are_sizes();
    const double by_size = told ? kMinFractionOfSize * weights / routers : 0;
    const double scale = context_.fleet.evidence_scale(Scope::location);
    return std::max(by_size, kMinSecondsPerCache * static_cast<double>(caches.size()) / scale);
  }

  RoutingContext& context_;
  const Health& health_;
  const SlowStart& slow_start_;
  AdaptiveLimit limit_;      // seconds of transfer time in flight at the location's caches
  LimitedWork origin_work_;  // the same of what may reach the origin
  double idle_excess_ = 0;
  double shed_fraction_ = 0;
  MovingAverage cost_;  // seconds of transfer time for a unit of weight
  TokenBucket retries_{kMaxSavedRetries / 2};
};

}  // namespace alderspur::policy
