// Health of servers: when one is ejected, checked, tested again and trusted again.
#pragma once

#include "alderspur/router.h"
#include "estimators/estimators.h"
#include "policy/slow_start.h"
#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Period at which check_unresponsive() is to be called, microseconds.
constexpr Time kUnresponsiveCheckPeriod = 100 * estimators::kMillisecond;

/// Outlier detection and active health checks. A server that fails is ejected for a time that grows
/// with each ejection in a row. It is on probation after that: one attempt at a time tests it,
/// behind a health check where these are allowed. Owned by PolicyParts; one thread.
class Health {
 public:
  Health(RoutingContext& context, SlowStart& slow_start)
      : context_(context), slow_start_(slow_start) {}

  /// Neither ejected nor, on probation, waiting for a health check or the attempt that tests it.
  bool is_usable(const Upstream& upstream) const;
  /// The error rate of a server stands out from that of its peers, or is high in itself where
  /// little is known of peers.
  bool is_outlier(Upstream& upstream) const;
  /// How long a request may take before its server counts as unresponsive, microseconds. Follows
  /// the response times of the class.
  Time response_timeout(const Request& request) const;

  /// Ejects a server, and puts it on probation after that.
  void eject(Upstream& upstream);
  /// Updates the health of a server by the end of an attempt there.
  void record_outcome(Upstream& upstream, const Request& request, const AttemptState& attempt,
                      const AttemptOutcome& outcome);
  /// A server could not be reached or, if `is_unresponsive`, did not respond: two such failures in
  /// a row eject it.
  void record_hard_failure(Upstream& upstream, bool is_unresponsive);
  /// Updates the health of a server by a health check. True: the server has just been found
  /// unresponsive, and its attempts are to be moved to others.
  bool on_health_check_result(const HealthCheckResult& result);

  /// Sends health checks to the servers whose responses are overdue. To be called every
  /// kUnresponsiveCheckPeriod.
  void check_unresponsive(const RequestTable& requests);
  /// Sends health checks to the servers whose ejection time is over. To be called once a second.
  void check_ejected();

 private:
  /// Whether a server on probation must pass a health check before an attempt tests it.
  bool needs_health_check(const Upstream& upstream) const;
  void send_health_check(Upstream& upstream);
  void record_response(Upstream& upstream);
  void record_success(Upstream& upstream);
  void record_health_check_response(Upstream& upstream, const HealthCheckResult& result);
  void on_error(Upstream& upstream);
  void on_reset(Upstream& upstream);
  /// True: the server was trusted and has just been ejected.
  bool on_unanswered_health_check(Upstream& upstream);
  void check_unresponsive_cache(Upstream& cache, Time max_interval);
  void check_unresponsive_parent(const RequestState& state, const AttemptState& attempt);
  /// Microseconds between two responses of a cache that are still usual for this router.
  Time max_response_interval() const;

  RoutingContext& context_;
  SlowStart& slow_start_;
  /// Microseconds from the first attempt in flight at a cache, or a response, to the next response.
  MovingAverage response_interval_;
};

}  // namespace alderspur::policy
