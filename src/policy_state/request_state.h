// The state that a router keeps for a request until its final answer has been given and its last
// attempt has ended. It is plain data: src/policy makes the decisions. Times are in microseconds of
// the router's clock.
#pragma once

#include <optional>
#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"

namespace alderspur::policy {

/// One attempt of a request.
struct AttemptState {
  ServerId server;
  /// The fill source of the attempt, or the default id if `has_source` is false.
  ServerId source;
  /// The location of `server`.
  LocationId location;
  /// The cell of `server`.
  CellId cell;
  Time sent_at = 0;
  /// The expected transfer time of the response, in seconds.
  double transfer_time = 0;
  /// The server fills the object from another server.
  bool has_source = false;
  /// The attempt was charged to the slow start quota of its source.
  bool charged_to_source = false;
  /// The object may have to be fetched from the origin, through the source.
  bool may_reach_origin = false;
  /// The end of the attempt has not been reported yet.
  bool in_flight = true;
  /// The outcome of the attempt proves that the server did not execute it.
  bool never_ran = false;
};

/// Reports whether nothing was received from the server since the attempt was sent.
bool has_not_responded_since(const Upstream& upstream, const AttemptState& attempt);

/// Creates the state of an attempt that is about to be sent. `source` is null if the server does
/// not fill from another server.
AttemptState make_attempt(const Upstream& upstream, const Upstream* source, Time now);

/// An attempt of an earlier try that may have run or is in flight.
struct EarlierAttempt {
  Time sent_at = 0;
  /// The location and the cell of its server.
  LocationId location;
  CellId cell;
  bool in_flight = true;
};

/// What is known of the earlier tries of a request.
struct EarlierTries {
  /// The first attempt that may have run.
  std::optional<EarlierAttempt> first_attempt;
  /// The client has tried before, and this router does not know what was sent for that try.
  bool has_unknown_try = false;

  /// Reports whether the request may have run before.
  bool may_have_run() const { return first_attempt || has_unknown_try; }
};

/// The state of one request. Owned by the RequestTable.
struct RequestState {
  Request request;
  Time arrived_at = 0;
  Time deadline = 0;
  /// The earlier tries of the same client's request, as known when this one started. While it waits
  /// for them to end, they count as unknown.
  EarlierTries earlier_tries;
  /// The router still has to give the final answer.
  bool is_open = true;
  /// Probably no cache has a current copy, because this router has received no recent request for
  /// the same part of the object, or because the copies are stale or purged.
  bool is_likely_miss = true;
  /// The client has received a part of the response, so no further attempt is possible.
  bool response_started = false;
  /// The request may be answered with a stale copy, because the source has failed or is overloaded.
  bool accepts_stale = false;
  /// The attempts in the order in which they were sent.
  std::vector<AttemptState> attempts;
  /// Sources that further attempts of this request must not use.
  std::vector<ServerId> failed_sources;
  /// The source that may have caused the failure of an attempt (see FillPolicy::suspect_source).
  ServerId suspected_source;
  /// The cache that is retried without `suspected_source`.
  ServerId retried_cache;

  /// Reports whether an attempt was sent to `server`.
  bool was_sent_to(ServerId server) const;
  /// Returns the attempt in flight, or null if there is none. Only the last attempt can be in
  /// flight.
  const AttemptState* attempt_in_flight() const;
  /// Returns the number of the last attempt. There must be at least one attempt.
  AttemptNo last_attempt() const { return {static_cast<std::uint32_t>(attempts.size() - 1)}; }
};

}  // namespace alderspur::policy
