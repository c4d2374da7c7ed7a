// Tracks the health of servers: decides when a server is ejected, when it gets a health check or a
// test attempt, and when it is used normally again.
#pragma once

#include "alderspur/router.h"
#include "estimators/estimators.h"
#include "policy/slow_start.h"
#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// The period at which Health::check_unresponsive() must be called, in microseconds.
constexpr Time kUnresponsiveCheckPeriod = 100 * estimators::kMillisecond;

/// Implements outlier detection and active health checks. A server that fails is ejected for a time
/// that grows with each consecutive ejection. After the ejection it is on probation: one attempt at
/// a time tests it, and if health checks are allowed, it must pass one first. Owned by PolicyParts.
/// Not thread-safe.
class Health {
 public:
  Health(RoutingContext& context, SlowStart& slow_start)
      : context_(context), slow_start_(slow_start) {}

  /// Reports whether a server may get an attempt. It may not while it is ejected. On probation it
  /// may not while it waits for a health check or has an attempt in flight.
  bool is_usable(const Upstream& upstream) const;
  /// Reports whether the error rate of a server is much higher than that of its peers, or, if its
  /// peers have sent too few responses to compare, high in absolute terms.
  bool is_outlier(Upstream& upstream) const;
  /// Returns how long a request may take before its server counts as unresponsive, in microseconds.
  /// The time follows the response times of the request's class.
  Time response_timeout(const Request& request) const;

  /// Ejects a server. The server is on probation afterwards.
  void eject(Upstream& upstream);
  /// Updates the health of a server according to the outcome of an attempt there.
  void record_outcome(Upstream& upstream, const Request& request, const AttemptState& attempt,
                      const AttemptOutcome& outcome);
  /// Counts a lost connection or, if `is_unresponsive`, a failed connection attempt or a missing
  /// response. Two consecutive failures eject the server; on probation, the first one does.
  void record_hard_failure(Upstream& upstream, bool is_unresponsive);
  /// Updates the health of a server according to the result of a health check. Returns true if the
  /// check has shown that the server is unresponsive, so that its attempts should be cancelled and
  /// retried elsewhere.
  bool on_health_check_result(const HealthCheckResult& result);

  /// Sends health checks to the servers whose responses are overdue. Must be called every
  /// kUnresponsiveCheckPeriod.
  void check_unresponsive(const RequestTable& requests);
  /// Sends health checks to the servers whose ejection time has passed. Must be called once a
  /// second.
  void check_ejected();

 private:
  /// Reports whether a server on probation must pass a health check before an attempt tests it.
  bool needs_health_check(const Upstream& upstream) const;
  void send_health_check(Upstream& upstream);
  /// Records a response to an attempt, successful or not.
  void record_response(Upstream& upstream);
  /// Resets the failures of a server that works. Starts its slow start if it was unresponsive.
  void record_success(Upstream& upstream);
  /// Records that a server has responded to a health check, healthy or not.
  void record_health_check_response(Upstream& upstream, const HealthCheckResult& result);
  /// Counts an error response. Ejects the server if it is on probation or an outlier.
  void on_error(Upstream& upstream);
  /// Handles a connection reset: sends a health check where possible, otherwise counts a failure.
  void on_reset(Upstream& upstream);
  /// Handles a failed health check to which the server did not respond. Returns true if the server
  /// was not on probation and has just been ejected.
  bool on_unanswered_health_check(Upstream& upstream);
  /// Sends a health check to a cache with attempts in flight if it has not responded for longer
  /// than `max_interval` microseconds.
  void check_unresponsive_cache(Upstream& cache, Time max_interval);
  /// Sends a health check to the parent that is the source of an attempt, if the fill is overdue.
  void check_unresponsive_parent(const RequestState& state, const AttemptState& attempt);
  /// Returns the longest interval between two responses of a cache that is still usual for this
  /// router, in microseconds.
  Time max_response_interval() const;

  RoutingContext& context_;
  SlowStart& slow_start_;
  /// The time from the first attempt in flight at a cache, or from its previous response, to its
  /// next response, in microseconds.
  MovingAverage response_interval_;
};

}  // namespace alderspur::policy
