// The rules of every send: when a request may run again, move or be rejected; the age of copies.
#pragma once

#include <algorithm>
#include <optional>
#include <span>

#include "policy_state/request_state.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Whether the attempt with that number may go to a server. Never two at once.
inline bool may_attempt(const RoutingContext& context, const RequestState& state,
                        const Server& server, std::size_t number) {
  // A repeat has to arrive within the time in which repeats are dropped.
  constexpr Time kTravelTime = 20 * estimators::kMillisecond;
  const ClassSettings& settings = context.class_settings(state.request);
  for (const AttemptState& earlier : std::span(state.attempts).first(number)) {
    if (earlier.in_flight) return false;
    if (earlier.never_ran || settings.idempotency == Idempotency::idempotent) continue;
    if (settings.idempotency == Idempotency::not_idempotent) return false;
    if (context.now - earlier.sent_at >= settings.dedup_window - kTravelTime) return false;
    const DedupScope scope = settings.dedup_scope;
    if (scope != DedupScope::all && earlier.location != server.location) return false;
    if (scope == DedupScope::cell && earlier.cell != server.cell) return false;
  }
  return true;
}

/// Whether a rejection would be true: nothing ran that a client's retry could double.
inline bool may_reject(const RoutingContext& context, const RequestState& state) {
  if (context.class_settings(state.request).may_repeat_anywhere()) return true;
  return std::ranges::all_of(state.attempts, &AttemptState::never_ran);
}

/// Whether the attempt in flight may be cancelled for another one elsewhere.
inline bool may_move(const RoutingContext& context, const RequestState& state,
                     const AttemptState& attempt) {
  const ClassSettings& settings = context.class_settings(state.request);
  if (!settings.may_repeat_anywhere()) return false;
  return settings.idempotency == Idempotency::idempotent ||
         context.now - attempt.sent_at < settings.dedup_window;
}

/// After a purge: no copy from before it, and no fill that may have begun before it.
inline void bound_age(const RoutingContext& context, const RequestState& state, ServerId server,
                      std::optional<Fill>& fill) {
  constexpr Time kClockMargin = 2 * estimators::kMillisecond;
  const Time purged_at = context.purges.last_purge(state.request);
  if (purged_at < 0) return;
  if (!fill) fill = Fill{server};
  // At least 1: an age of 0 would stand for any age.
  const Time most = std::max<Time>(1, context.now - purged_at - kClockMargin);
  fill->max_age = fill->max_age > 0 ? std::min(fill->max_age, most) : most;
  const Time fresh_time = context.class_settings(state.request).fresh_time;
  if (fresh_time > 0 && !state.accepts_stale) fill->max_age = std::min(fill->max_age, fresh_time);
  fill->may_join = false;
  fill->refresh_in_background = false;
}

}  // namespace alderspur::policy
