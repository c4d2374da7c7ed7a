// What a router remembers of one server. Plain state: src/policy decides on it. Times are
// microseconds of the router's clock; 0 where something has not happened yet.
#pragma once

#include "alderspur/router.h"
#include "estimators/estimators.h"

namespace alderspur::policy {

using estimators::SlidingSum;

/// One server, owned by the UpstreamTable.
struct Upstream {
  /// As the endpoint list has it.
  Server server;
  /// Banned by an operator.
  bool is_banned = false;

  // ---- Load ----

  /// KB that were served, or requests where sizes are not known.
  SlidingSum served_load;
  /// Transfer time of what was served, seconds.
  SlidingSum served_transfer_time;
  int attempts_in_flight = 0;
  /// Seconds.
  double transfer_time_in_flight = 0;
  /// When the number of attempts in flight last rose from 0.
  Time busy_since = 0;
  /// When the first response in flight can be complete, by its size.
  Time first_response_due = 0;

  // ---- Health ----

  SlidingSum errors;
  SlidingSum responses;
  int consecutive_failures = 0;
  int consecutive_ejections = 0;
  Time ejected_until = 0;
  /// Ejected, or tested by one attempt at a time after that.
  bool on_probation = false;
  /// It was ejected as unresponsive: its process may have restarted.
  bool was_unresponsive = false;
  Time unresponsive_since = 0;
  /// The last response or successful health check.
  Time last_heard_at = -1;
  /// The last response to an attempt.
  Time last_response_at = 0;
  /// One reset ends all attempts of a connection at once, and counts once.
  Time last_connection_reset = 0;

  // ---- Health checks ----

  bool health_check_pending = false;
  bool health_check_passed = false;
  Time health_check_sent_at = 0;
  int unanswered_health_checks = 0;

  // ---- Slow start ----

  bool is_warming_up = false;
  /// The endpoint list reported the start; else it is suspected after an unresponsive period.
  bool start_is_reported = false;
  Time warming_up_since = 0;
  /// Seconds of transfer time that may be sent now; negative: a debt.
  double quota = 0;
  Time quota_refilled_at = 0;

  /// Forgets all failures and ejections: the server is trusted again.
  void clear_failures();
  /// Ejects the server until then, and puts it on probation after that.
  void begin_ejection(Time until);
  /// Counts a response to an attempt.
  void count_response(Time now, bool is_error);
  /// Adds `rate` (seconds of transfer time a second) since the last refill, up to `max_quota`.
  void refill_quota(Time now, double rate, double max_quota);
  /// An attempt of so many seconds of transfer time was sent.
  void begin_transfer(double transfer_time, Time now);
  /// An attempt of so many seconds of transfer time has ended.
  void end_transfer(double transfer_time);

  /// May be sent to, as far as the endpoint list and the operators are concerned.
  bool is_ready() const { return server.status == ServerStatus::ready && !is_banned; }
  bool is_parent() const { return server.role == Role::parent; }
  bool is_cache() const { return server.role == Role::cache; }
  /// Failing or recovering: its measured load is not representative.
  bool is_suspect(Time now) const {
    return on_probation || now < ejected_until || consecutive_failures > 0;
  }
};

}  // namespace alderspur::policy
