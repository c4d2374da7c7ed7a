#include "policy/send_rules.h"

#include <algorithm>
#include <span>

#include "estimators/estimators.h"

namespace alderspur::policy {
namespace {

/// Time that a request takes to reach a server. A retry must arrive there, not only be sent, within
/// the dedup window.
constexpr Time kRequestTransitTime = 20 * estimators::kMillisecond;
/// How long a client whose class does not say so is taken to wait across all of its tries.
constexpr Time kDefaultClientTimeout = 5 * estimators::kSecond;
/// Safety margin that is subtracted from the maximum age of copies after a purge.
constexpr Time kClockMargin = 2 * estimators::kMillisecond;

/// Reports whether a server drops a new attempt as a duplicate of an earlier one that may have run,
/// which is an AttemptState or an EarlierAttempt.
template <class AttemptType>
bool drops_repeat(const RoutingContext& context, const ClassSettings& settings,
                  const AttemptType& earlier, const Server& server) {
  if (context.now - earlier.sent_at >= settings.dedup_window - kRequestTransitTime) return false;
  const DedupScope scope = settings.dedup_scope;
  if (scope != DedupScope::all && earlier.location != server.location) return false;
  return scope != DedupScope::cell || earlier.cell == server.cell;
}

/// Reports whether the class and the earlier tries of the request allow an attempt at `server`. The
/// time of an unknown try is known only by the window within which clients try again: it has not
/// ended when a try arrives, but may end at any time afterwards.
bool do_earlier_tries_allow(const RoutingContext& context, const RequestState& state,
                            const Server& server) {
  const EarlierTries& earlier = state.earlier_tries;
  const ClassSettings& settings = context.class_settings(state.request);
  if (!earlier.may_have_run() || settings.idempotency == Idempotency::idempotent) return true;
  if (settings.idempotency == Idempotency::not_idempotent) return false;
  if (earlier.first_attempt && !drops_repeat(context, settings, *earlier.first_attempt, server)) {
    return false;
  }
  return !earlier.has_unknown_try || context.now <= state.arrived_at + kRequestTransitTime;
}

}  // namespace

bool is_remembered(const RoutingContext& context, const Request& request) {
  return request.identity && context.class_settings(request).idempotency != Idempotency::idempotent;
}

bool has_unknown_try(const RoutingContext& context, const Request& request) {
  return request.is_retry &&
         context.class_settings(request).idempotency == Idempotency::idempotent_with_key;
}

bool may_have_run(const RoutingContext& context, const Request& request) {
  if (!is_remembered(context, request)) return has_unknown_try(context, request);
  const EarlierTries* earlier = context.history.find(*request.identity);
  if (!earlier) return has_unknown_try(context, request);
  return earlier->may_have_run() || context.history.is_active(*request.identity);
}

Time remember_until(const RoutingContext& context, const Request& request) {
  const ClassSettings& settings = context.class_settings(request);
  const Time client_timeout =
      settings.client_timeout > 0 ? settings.client_timeout : kDefaultClientTimeout;
  return context.now + std::max(client_timeout, settings.dedup_window);
}

bool may_attempt(const RoutingContext& context, const RequestState& state, const Server& server,
                 std::size_t number) {
  if (!do_earlier_tries_allow(context, state, server)) return false;
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
  return !state.earlier_tries.may_have_run() &&
         std::ranges::all_of(state.attempts, &AttemptState::never_ran);
}

bool may_cancel_for_retry(const RoutingContext& context, const RequestState& state) {
  const ClassSettings& settings = context.class_settings(state.request);
  if (!settings.may_repeat_anywhere()) return false;
  if (settings.idempotency == Idempotency::idempotent) return true;
  const Time oldest_allowed = context.now - settings.dedup_window;
  const EarlierTries& earlier = state.earlier_tries;
  if (earlier.has_unknown_try) return false;
  if (earlier.first_attempt && earlier.first_attempt->sent_at <= oldest_allowed) return false;
  return std::ranges::all_of(state.attempts, [=](const AttemptState& attempt) {
    return attempt.never_ran || attempt.sent_at > oldest_allowed;
  });
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
