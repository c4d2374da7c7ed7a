// What a router remembers of a request until its final answer is given and its last attempt has
// ended. Plain state; times are microseconds of the router's clock.
#pragma once

#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"

namespace alderspur::policy {

/// One sending of a request to a server.
struct AttemptState {
  ServerId server;
  /// Where the server is to fill from; the default id: from nowhere else.
  ServerId source;
  /// Of the server.
  LocationId location;
  /// Of the server.
  CellId cell;
  Time sent_at = 0;
  /// Expected, in seconds.
  double transfer_time = 0;
  bool has_source = false;
  /// It was charged to the slow start quota of its source.
  bool charged_to_source = false;
  /// The object may have to come from the origin, through the source.
  bool may_reach_origin = false;
  bool in_flight = true;
  /// It ended in a way that shows that the server did nothing for it.
  bool never_ran = false;
};

/// Nothing was received from the server since the attempt was sent to it.
bool is_unresponsive_since(const Upstream& upstream, const AttemptState& attempt);

/// An attempt that is about to be sent. `source` is null where the server fills from nowhere else.
AttemptState make_attempt(const Upstream& upstream, const Upstream* source, Time now);

/// One request, owned by the RequestTable.
struct RequestState {
  Request request;
  Time deadline = 0;
  /// The final answer is still owed.
  bool is_open = true;
  /// No cache is likely to have a current copy: never requested here, out of date or purged.
  bool is_likely_miss = true;
  /// The client has part of the response: no further attempt.
  bool response_started = false;
  /// A stale copy will do, since the source has failed or is overloaded.
  bool accepts_stale = false;
  std::vector<AttemptState> attempts;
  /// Sources that are not to be used for this request any more.
  std::vector<ServerId> failed_sources;
  /// A source that may have caused the failure of an attempt (see FillPolicy::suspect_source).
  ServerId suspected_source;
  /// The cache that is retried without `suspected_source`.
  ServerId retried_cache;

  bool was_sent_to(ServerId server) const;
  /// The attempt in flight, null if there is none. At most one is in flight at a time: the last.
  const AttemptState* attempt_in_flight() const;
  /// The number of the last attempt; there must be one.
  AttemptNo last_attempt() const { return {static_cast<std::uint32_t>(attempts.size() - 1)}; }
};

}  // namespace alderspur::policy
