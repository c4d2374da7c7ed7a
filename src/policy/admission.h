// Admission: which requests are shed, what may wait for the origin, and how often to retry.
#pragma once

#include "alderspur/router.h"
#include "estimators/estimators.h"
#include "policy/health.h"
#include "policy/slow_start.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// An adaptive concurrency limit on the transfer time in flight, another one on the work that may
/// wait for the origin, and the retry budget. Both limits follow the part of the response time that
/// is not the response's own transfer. Owned by PolicyParts; one thread.
class Admission {
 public:
  Admission(RoutingContext& context, const Health& health, const SlowStart& slow_start);

  /// True: reject the request, since beyond capacity all responses would be late. Requests that
  /// cost little for their weight may exceed the limit. Updates the average cost and shed rate.
  bool should_shed(const Request& request);
  /// The limit on seconds of transfer time in flight; 0: none found yet.
  double concurrency_limit() const;
  /// Takes over a limit, in seconds of transfer time in flight.
  void set_concurrency_limit(double limit) { limit_.value = limit; }
  /// Adjusts the concurrency limit by the end of an attempt.
  void record_outcome(const Request& request, const AttemptOutcome& outcome);

  /// Seconds of transfer time that may reach the origin, and their limit.
  estimators::LimitedWork& origin_work() { return origin_work_; }
  /// Adjusts the limit of origin_work() by the time that a request waited for the origin
  /// (microseconds), or by a failure to get it from there.
  void record_origin_wait(const Request& request, Time waited, bool has_failed);

  /// Adds to the retry budget what a new request adds.
  void refill_retry_budget();
  /// Takes a retry from the budget. False: there is none left.
  bool try_take_retry() { return retry_budget_.try_take(); }
  /// The pause to ask of a rejected client, microseconds: random, and longer while many requests
  /// are shed.
  Time retry_after();

 private:
  /// Moves the average of what responses exceed their transfer time by while little is in flight.
  void update_unloaded_excess(double excess, double min_limit);
  /// Minimum of the concurrency limit, seconds: a fraction of what the usable caches can send.
  double min_concurrency_limit() const;

  RoutingContext& context_;
  const Health& health_;
  const SlowStart& slow_start_;
  /// Seconds of transfer time in flight at the caches of the location.
  estimators::AdaptiveLimit limit_;
  estimators::LimitedWork origin_work_;
  /// As WorkloadModel::excess_over_objective().
  double unloaded_excess_ = 0;
  /// Moving average of the fraction of requests that are shed.
  double shed_fraction_ = 0;
  /// Seconds of transfer time for each unit of priority weight.
  MovingAverage average_cost_;
  estimators::TokenBucket retry_budget_;
};

}  // namespace alderspur::policy
