// Admission control: decides which requests are shed, how much work may wait for the origin, and
// how many retries the router may send.
#pragma once

#include "alderspur/router.h"
#include "estimators/estimators.h"
#include "policy/health.h"
#include "policy/slow_start.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Holds an adaptive concurrency limit on the transfer time in flight, a second one on the work
/// that may wait for the origin, and the retry budget. Both limits follow the response time without
/// the transfer time of the response itself. Owned by PolicyParts. Not thread-safe.
class Admission {
 public:
  Admission(RoutingContext& context, const Health& health, const SlowStart& slow_start);

  /// Returns true if the request should be rejected because the work in flight exceeds the limit:
  /// beyond the capacity of the caches, all responses would be late. The limit is higher for
  /// requests with a low cost for their priority weight. Also updates the average cost and the
  /// fraction of requests that are shed.
  bool should_shed(const Request& request);
  /// Returns the limit on the transfer time in flight, in seconds, or 0 while no limit has been
  /// determined.
  double concurrency_limit() const;
  /// Sets the limit on the transfer time in flight, in seconds.
  void set_concurrency_limit(double limit) { limit_.value = limit; }
  /// Adjusts the concurrency limit according to the outcome of an attempt.
  void record_outcome(const Request& request, const AttemptOutcome& outcome);

  /// Returns the transfer time in flight that may reach the origin, in seconds, and its limit.
  estimators::LimitedWork& origin_work() { return origin_work_; }
  /// Adjusts the limit of origin_work() according to the time that a request waited for the origin,
  /// in microseconds, or to a failure to fetch the object from there.
  void record_origin_wait(const Request& request, Time waited, bool has_failed);

  /// Adds the fraction of a retry that each new request contributes to the retry budget.
  void refill_retry_budget();
  /// Takes a retry from the budget. Returns false if the budget is exhausted.
  bool try_take_retry() { return retry_budget_.try_take(); }
  /// Returns how long a rejected client is asked to wait, in microseconds. The time is randomized
  /// and grows with the fraction of requests that are shed.
  Time retry_after();

 private:
  /// Updates `unloaded_excess_` with the excess of one response.
  void update_unloaded_excess(double excess, double min_limit);
  /// Returns the minimum of the concurrency limit, in seconds. It depends on the number of caches
  /// and on what the usable caches can send.
  double min_concurrency_limit() const;

  RoutingContext& context_;
  const Health& health_;
  const SlowStart& slow_start_;
  /// The limit on the transfer time in flight at the caches of the location, in seconds.
  estimators::AdaptiveLimit limit_;
  estimators::LimitedWork origin_work_;
  /// Moving average of WorkloadModel::excess_over_objective() while little work is in flight.
  double unloaded_excess_ = 0;
  /// Moving average of the fraction of requests that are shed.
  double shed_fraction_ = 0;
  /// The average cost of a request: its transfer time in seconds per unit of priority weight.
  MovingAverage average_cost_;
  estimators::TokenBucket retry_budget_;
};

}  // namespace alderspur::policy
