// The rules that each Send must satisfy: idempotency, retries at other servers, and purges. The
// functions depend only on the context and the state of the request.
#pragma once

#include <cstddef>
#include <optional>

#include "alderspur/router.h"
#include "policy_state/request_state.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Reports whether the request must not run twice at any time and its tries can be recognized, so
/// that they are recorded in the RequestHistory.
bool is_remembered(const RoutingContext& context, const Request& request);

/// Reports whether the client has tried before, so that a request of which nothing is remembered
/// may have run.
bool has_unknown_try(const RoutingContext& context, const Request& request);

/// Reports whether an earlier try of a request, remembered or not, may have run and the class does
/// not allow it to run again.
bool may_have_run(const RoutingContext& context, const Request& request);

/// Returns until when a request that ends now must be remembered if it may have run.
Time remember_until(const RoutingContext& context, const Request& request);

/// Reports whether attempt `number` of a request may be sent to `server`. It may if none of the
/// earlier attempts is in flight and the idempotency of the class allows another attempt there,
/// after all attempts of this try of the client and of its earlier tries.
bool may_attempt(const RoutingContext& context, const RequestState& state, const Server& server,
                 std::size_t number);

/// Reports whether the request may be rejected, that is, whether nothing ran that a retry by the
/// client would execute twice.
bool may_reject(const RoutingContext& context, const RequestState& state);

/// Reports whether the attempt in flight may be cancelled and retried at another server.
bool may_cancel_for_retry(const RoutingContext& context, const RequestState& state);

/// Restricts the fill of a Send after a purge of the object: the request must not be answered with
/// a copy from before the purge, nor join a fill that may have begun before it. `server` is the
/// server of the Send. Does nothing if no purge of the object is stored.
void limit_age_after_purge(const RoutingContext& context, const RequestState& state,
                           ServerId server, std::optional<Fill>& fill);

}  // namespace alderspur::policy
