// The state that a router keeps for each server. It is plain data: src/policy makes the decisions.
// Times are in microseconds of the router's clock; unless stated otherwise, 0 means that the event
// has not happened yet.
#pragma once

#include "alderspur/router.h"
#include "estimators/estimators.h"

namespace alderspur::policy {

using estimators::SlidingSum;

/// The state of one server. Owned by the UpstreamTable.
struct Upstream {
  /// The latest entry of the endpoint list for the server.
  Server server;
  /// Banned by an operator.
  bool is_banned = false;

  // ---- Load ----

  /// The load of the served requests: their KB, or 1 for a request of unknown size.
  SlidingSum served_load;
  /// The transfer time of the served responses, in seconds.
  SlidingSum served_transfer_time;
  int attempts_in_flight = 0;
  /// The expected transfer time of the attempts in flight, in seconds.
  double transfer_time_in_flight = 0;
  /// When the number of attempts in flight last rose from 0.
  Time busy_since = 0;
  /// The earliest time at which one of the responses in flight can be complete, given its transfer
  /// time.
  Time first_response_due = 0;

  // ---- Health ----

  /// The number of error responses and connection resets.
  SlidingSum errors;
  /// The number of all responses and connection resets.
  SlidingSum responses;
  int consecutive_failures = 0;
  int consecutive_ejections = 0;
  Time ejected_until = 0;
  /// The server is ejected, or its ejection has ended and one attempt at a time tests it.
  bool on_probation = false;
  /// The server was ejected as unresponsive, so its process may have restarted.
  bool was_unresponsive = false;
  Time unresponsive_since = 0;
  /// When the server last responded to an attempt or a health check. -1: never.
  Time last_alive_at = -1;
  /// When the server last responded to an attempt.
  Time last_response_at = 0;
  /// When a connection to the server was last reset. A reset ends all attempts of the connection at
  /// the same time and counts as one failure.
  Time last_connection_reset = 0;

  // ---- Health checks ----

  bool health_check_pending = false;
  bool health_check_passed = false;
  Time health_check_sent_at = 0;
  int unanswered_health_checks = 0;

  // ---- Slow start ----

  bool is_warming_up = false;
  /// The endpoint list reported the start of the server. Otherwise the start is only suspected,
  /// because the server was unresponsive for a while.
  bool start_is_reported = false;
  Time warming_up_since = 0;
  /// The transfer time that may be sent to the server now, in seconds. A negative quota is a debt
  /// that refills have to cover first.
  double quota = 0;
  Time quota_refilled_at = 0;

  /// Ends the probation and resets the counts of failures, ejections and unanswered health checks.
  /// The ejection time and the error rate stay unchanged.
  void clear_failures();
  /// Ejects the server until `until`, and puts it on probation from then on.
  void begin_ejection(Time until);
  /// Counts a response to an attempt.
  void count_response(Time now, bool is_error);
  /// Refills the quota for the time since the last refill at `rate` seconds of transfer time per
  /// second. The quota never exceeds `max_quota`.
  void refill_quota(Time now, double rate, double max_quota);
  /// Adds a sent attempt to the work in flight. `transfer_time` is in seconds.
  void begin_transfer(double transfer_time, Time now);
  /// Removes an attempt that has ended from the work in flight. `transfer_time` is in seconds and
  /// must be the value that was passed to begin_transfer().
  void end_transfer(double transfer_time);

  /// Reports whether the endpoint list and the operators allow new attempts to the server.
  bool is_ready() const { return server.status == ServerStatus::ready && !is_banned; }
  bool is_parent() const { return server.role == Role::parent; }
  bool is_cache() const { return server.role == Role::cache; }
  /// Reports whether the server is failing or recovering from failures, so that its measured load
  /// is not representative.
  bool is_suspect(Time now) const {
    return on_probation || now < ejected_until || consecutive_failures > 0;
  }
};

}  // namespace alderspur::policy
