// Manages the attempts of a request, from the first attempt to the final answer.
#pragma once

#include <optional>

#include "alderspur/router.h"
#include "policy/policy_parts.h"
#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Starts and retries attempts, and gives each request exactly one final answer. All Send actions
/// are emitted here. Owned by the router. Not thread-safe.
class Attempts {
 public:
  Attempts(RoutingContext& context, RequestTable& requests, PolicyParts& parts)
      : context_(context), requests_(requests), parts_(parts) {}

  /// Begins a request: sends the first attempt, or rejects or fails the request and removes `state`
  /// from the request table. If another try of the same request is active, waits for its end.
  void begin(RequestState& state);
  /// Starts the tries whose wait has ended. Must be called at the end of each event.
  void start_waiting_tries();
  /// Retries after an attempt that ended without a usable response, or gives the final answer.
  /// `upstream` is the server of that attempt, or null if it is no longer in the table.
  /// `retry_same_server` is the result of FillPolicy::suspect_source for the attempt.
  void on_attempt_failed(RequestState& state, const AttemptState& attempt,
                         const AttemptOutcome& outcome, const Upstream* upstream,
                         bool retry_same_server);
  /// Gives the final answer to a request that has none yet: a Reject if nothing ran that a retry by
  /// the client would execute twice, otherwise a Fail.
  void reject_or_fail(RequestState& state);
  /// Closes a request without giving an answer. Removes it from the request table unless an attempt
  /// is still in flight.
  void close(RequestState& state);
  /// Cancels the attempts that wait for an unresponsive server and may be retried elsewhere. The
  /// requests are retried when the outcomes of the cancelled attempts arrive.
  void cancel_attempts_for_retry(ServerId server);

 private:
  /// Sends the first attempt. If that is not possible, rejects or fails the request and removes
  /// `state` from the request table.
  void start(RequestState& state);
  /// Starts a try with what is known of the earlier ones.
  void start_try(RequestState& state);
  /// Gives the final answer that makes no statement about whether the request ran.
  void fail(RequestState& state);
  /// Reports whether a retry would end in the same way as the failed attempt.
  bool is_retry_useless(const RequestState& state, const AttemptState& attempt,
                        const AttemptOutcome& outcome) const;
  /// Returns the server to retry first, which is the server of the failed attempt if another part
  /// of the path failed. Returns null if the retry should go to another server. Excludes a failed
  /// fill source from further attempts of the request.
  const Upstream* choose_preferred_server(RequestState& state, const AttemptState& attempt,
                                          const AttemptOutcome& outcome,
                                          const Upstream* upstream) const;
  /// Reports whether the request waits for `server` and may be retried elsewhere.
  bool is_cancellable_on(ServerId server, const RequestState& state) const;
  /// Sends an attempt to the first cache that may get it, or else to a server behind the caches.
  /// Tries the caches in order of preference, starting with `preferred` unless it is null. Returns
  /// false if nothing was sent.
  bool send_attempt(RequestState& state, const Upstream* preferred);
  /// Sends an attempt to a parent or the origin. Returns false if nothing was sent.
  bool send_bypassing_caches(RequestState& state);
  /// Sends an attempt if all rules allow it. Returns false if nothing was sent.
  bool send(RequestState& state, Upstream& upstream, std::optional<Fill> fill);
  /// Reports whether the request, its idempotency and the state of the server allow an attempt.
  bool may_send_to(const RequestState& state, Upstream& upstream);
  /// Cancels the attempt in flight, if there is one and the caller supports that. If its server has
  /// not responded in time, counts a failure of the server, since the outcome will not.
  void abandon_attempt(const RequestState& state);
  /// Emits a Cancel for the last attempt, if the caller supports it.
  void cancel_last_attempt(const RequestState& state) const;

  RoutingContext& context_;
  RequestTable& requests_;
  PolicyParts& parts_;
};

}  // namespace alderspur::policy
