// The rules that every send obeys. Pure functions of the context and the state of a request.
#pragma once

#include <cstddef>
#include <optional>

#include "alderspur/router.h"
#include "policy_state/request_state.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Whether the attempt with that number may go to a server: none of the earlier ones is in flight,
/// and the class's idempotency allows one more.
bool may_attempt(const RoutingContext& context, const RequestState& state, const Server& server,
                 std::size_t number);

/// Whether the request may be rejected: nothing ran that a retry by the client could double.
bool may_reject(const RoutingContext& context, const RequestState& state);

/// Whether the attempt in flight may be cancelled in favour of one at another server.
bool may_move(const RoutingContext& context, const RequestState& state,
              const AttemptState& attempt);

/// Adapts the fill of a send to the last purge of the object, if any: no copy from before it, and
/// no fill that may have begun before it. `server` is where the request goes.
void limit_age_after_purge(const RoutingContext& context, const RequestState& state,
                           ServerId server, std::optional<Fill>& fill);

}  // namespace alderspur::policy
