// The attempts of a request, from the first one to the final answer.
#pragma once

#include <optional>

#include "alderspur/router.h"
#include "policy/policy_parts.h"
#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Starts and retries attempts, and gives each request exactly one final answer. Every send passes
/// here. Owned by the router; one thread.
class Attempts {
 public:
  Attempts(RoutingContext& context, RequestTable& requests, PolicyParts& parts)
      : context_(context), requests_(requests), parts_(parts) {}

  /// Sends the first attempt, or rejects the request; the latter forgets `state`.
  void start(RequestState& state);
  /// Retries after an attempt that brought no response, or gives the final answer. `upstream` is
  /// the server of that attempt; null: it is not known any more. `retry_same_server`: see
  /// FillPolicy::suspect_source.
  void on_attempt_failed(RequestState& state, const AttemptState& attempt,
                         const AttemptOutcome& outcome, const Upstream* upstream,
                         bool retry_same_server);
  /// Gives the final answer without a response, if it is still owed: a rejection where nothing ran
  /// that a retry by the client could double, else a failure.
  void reject_or_fail(RequestState& state);
  /// Closes a request without an answer, and forgets it once its last attempt has ended.
  void close(RequestState& state);
  /// Cancels what waits for an unresponsive server and may run elsewhere. It is retried when the
  /// outcomes of the cancelled attempts arrive.
  void cancel_movable_attempts(ServerId server);

 private:
  /// A retry would end in the same way.
  bool is_retry_useless(const RequestState& state, const AttemptState& attempt,
                        const AttemptOutcome& outcome) const;
  /// The server to retry first, if the failure was not its own; null: another one. Excludes a fill
  /// source that has failed from the further attempts of the request.
  const Upstream* choose_preferred_server(RequestState& state, const AttemptState& attempt,
                                          const AttemptOutcome& outcome,
                                          const Upstream* upstream) const;
  /// The request waits for that server, and may be retried elsewhere.
  bool is_movable_from(ServerId server, const RequestState& state) const;
  /// Tries the caches of the object in order of preference, then the servers behind the caches.
  /// False: nothing could be sent.
  bool send_attempt(RequestState& state, const Upstream* preferred);
  /// Sends to a parent or the origin. False: nothing was sent.
  bool send_bypassing_caches(RequestState& state);
  /// Sends if all rules allow it. False: nothing was sent.
  bool send(RequestState& state, Upstream& upstream, std::optional<Fill> fill);
  bool may_send_to(const RequestState& state, Upstream& upstream);
  /// Cancels the attempt in flight, if any, and counts it as a failure of a server that has not
  /// responded in time.
  void abandon_attempt(const RequestState& state);
  void cancel_last_attempt(const RequestState& state) const;

  RoutingContext& context_;
  RequestTable& requests_;
  PolicyParts& parts_;
};

}  // namespace alderspur::policy
