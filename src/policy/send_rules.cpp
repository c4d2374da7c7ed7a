#include "policy/send_rules.h"

#include <algorithm>
#include <span>

#include "estimators/estimators.h"

namespace alderspur::policy {
namespace {

/// Time that a request takes to reach a server. A retry must arrive there, not only be sent, within
/// the dedup window.
constexpr Time kRequestTransitTime = 20 * estimators::kMillisecond;
/// Safety margin that is subtracted from the maximum age of copies after a purge.
constexpr Time kClockMargin = 2 * estimators::kMillisecond;

/// Reports whether a server drops a new attempt as a duplicate of an earlier one that may have run.
bool drops_repeat(const RoutingContext& context, const ClassSettings& settings,
                  const AttemptState& earlier, const Server& server) {
  if (context.now - earlier.sent_at >= settings.dedup_window - kRequestTransitTime) return false;
  const DedupScope scope = settings.dedup_scope;
  if (scope != DedupScope::all && earlier.location != server.location) return false;
  return scope != DedupScope::cell || earlier.cell == server.cell;
}

}  // namespace

bool may_attempt(const RoutingContext& context, const RequestState& state, const Server& server,
                 std::size_t number) {
  const ClassSettings& settings = context.class_settings(state.request);
  for (const AttemptState& earlier : std::span(state.attempts).first(number)) {
    if (earlier.in_flight) return false;
    if (earlier.never_ran || settings.idempotency == Idempotency::idempotent) continue;
    if (settings.idempotency == Idempotency::not_idempotent) return false;
    if (!drops_repeat(context, settings, earlier, server)) return false;
  }
  return true;
}

bool may_reject(const RoutingContext& context, const RequestState& state) {
  if (context.class_settings(state.request).may_repeat_anywhere()) return true;
  return std::ranges::all_of(state.attempts, &AttemptState::never_ran);
}

bool may_cancel_for_retry(const RoutingContext& context, const RequestState& state,
                          const AttemptState& attempt) {
  const ClassSettings& settings = context.class_settings(state.request);
  if (!settings.may_repeat_anywhere()) return false;
  return settings.idempotency == Idempotency::idempotent ||
         context.now - attempt.sent_at < settings.dedup_window;
}

void limit_age_after_purge(const RoutingContext& context, const RequestState& state,
                           ServerId server, std::optional<Fill>& fill) {
  const Time purged_at = context.purges.last_purge(state.request);
  if (purged_at < 0) return;
  if (!fill) fill = Fill{server};
  // The maximum age is at least 1, because 0 would remove the limit.
  const Time max_age = std::max<Time>(1, context.now - purged_at - kClockMargin);
  fill->max_age = fill->max_age > 0 ? std::min(fill->max_age, max_age) : max_age;
  const Time fresh_time = context.class_settings(state.request).fresh_time;
  if (fresh_time > 0 && !state.accepts_stale) fill->max_age = std::min(fill->max_age, fresh_time);
  fill->may_join = false;
  fill->refresh_in_background = false;
}

}  // namespace alderspur::policy
