#include "policy/attempts.h"

#include <algorithm>
#include <set>
#include <utility>

#include "policy/send_rules.h"
#include "policy_state/outcome.h"

namespace alderspur::policy {
namespace {

/// The minimum remaining time for a retry. No attempt can finish in less.
constexpr Time kMinAttemptTime = 30 * estimators::kMillisecond;

bool is_first_reset(const RequestState& state, const AttemptOutcome& outcome) {
  return outcome.result == AttemptResult::reset && state.attempts.size() == 1;
}

/// Reports whether the retry is not taken from the retry budget, because the request did not cause
/// the failure.
bool is_exempt_from_retry_budget(const RequestState& state, const AttemptOutcome& outcome) {
  return outcome.result == AttemptResult::cancelled || outcome.result == AttemptResult::not_sent ||
         is_first_reset(state, outcome);
}

}  // namespace

void Attempts::start(RequestState& state) {
  if (!parts_.admission.should_shed(state.request) && send_attempt(state, nullptr)) return;
  reject_or_fail(state);
  close(state);
}

void Attempts::on_attempt_failed(RequestState& state, const AttemptState& attempt,
                                 const AttemptOutcome& outcome, const Upstream* upstream,
                                 bool retry_same_server) {
  if (is_retry_useless(state, attempt, outcome)) {
    reject_or_fail(state);
    return;
  }
  const bool is_exempt = is_exempt_from_retry_budget(state, outcome);
  const Upstream* preferred =
      retry_same_server ? upstream : choose_preferred_server(state, attempt, outcome, upstream);
  const bool is_in_time = state.deadline - context_.now >= kMinAttemptTime;
  const bool may_retry = is_in_time && (is_exempt || parts_.admission.try_take_retry());
  if (!may_retry || !send_attempt(state, preferred)) reject_or_fail(state);
}

void Attempts::reject_or_fail(RequestState& state) {
  if (!may_reject(context_, state)) return fail(state);
  if (!std::exchange(state.is_open, false)) return;
  const Time pause = std::min(context_.settings.max_retry_after, parts_.admission.retry_after());
  context_.emit(Reject{state.request.id, context_.settings.sends_retry_after ? pause : 0});
  abandon_attempt(state);
}

void Attempts::fail(RequestState& state) {
  if (!std::exchange(state.is_open, false)) return;
  context_.emit(Fail{state.request.id});
  abandon_attempt(state);
}

void Attempts::close(RequestState& state) {
  if (std::exchange(state.is_open, false)) abandon_attempt(state);
  if (state.attempt_in_flight()) return;
  const Request& request = state.request;
  if (is_remembered(context_, request)) {
    context_.history.end_try(request, context_.now, remember_until(context_, request));
  }
  requests_.erase(request.id);
}

void Attempts::begin(RequestState& state) {
  if (!is_remembered(context_, state.request)) return start(state);
  const bool is_unknown = has_unknown_try(context_, state.request);
  switch (context_.history.begin_try(state.request, is_unknown, context_.now)) {
    case TryAdmission::starts:
      start_try(state);
      break;
    case TryAdmission::waits:
      state.earlier_tries.has_unknown_try = true;
      break;
    case TryAdmission::conflicts:
      state.earlier_tries.has_unknown_try = true;
      fail(state);
      close(state);
      break;
    case TryAdmission::unavailable:
      state.earlier_tries.has_unknown_try = may_have_run(context_, state.request);
      reject_or_fail(state);
      close(state);
      break;
  }
}

void Attempts::start_waiting_tries() {
  while (const auto id = context_.history.take_ready()) {
    const auto found = requests_.find(*id);
    if (found != requests_.end()) start_try(found->second);
  }
}

void Attempts::start_try(RequestState& state) {
  const EarlierTries* earlier = context_.history.find(*state.request.identity);
  state.earlier_tries = earlier ? *earlier : EarlierTries{};
  start(state);
}

void Attempts::cancel_attempts_for_retry(ServerId server) {
  std::set<RequestId> movable;
  for (const auto& [id, state] : requests_) {
    if (is_cancellable_on(server, state)) movable.insert(id);
  }
  for (const RequestId id : movable) cancel_last_attempt(requests_.at(id));
}

bool Attempts::is_retry_useless(const RequestState& state, const AttemptState& attempt,
                                const AttemptOutcome& outcome) const {
  const bool has_stale_grace = context_.class_settings(state.request).stale_grace_time > 0;
  const bool was_cached_only = attempt.has_source && !attempt.may_reach_origin;
  // All parents fetch the object from the same origin, so another parent would fail as well.
  const bool origin_failed_finally = outcome.fill_outcome == FillOutcome::origin_failed &&
                                     (state.accepts_stale || !has_stale_grace);
  return outcome.fill_outcome == FillOutcome::source_lacks ||
         outcome.result == AttemptResult::already_finished ||
         (outcome.result == AttemptResult::miss && was_cached_only) || origin_failed_finally;
}

const Upstream* Attempts::choose_preferred_server(RequestState& state, const AttemptState& attempt,
                                                  const AttemptOutcome& outcome,
                                                  const Upstream* upstream) const {
  if (is_first_reset(state, outcome) && context_.settings.health_checks_allowed) return upstream;
  if (!fill_failed(outcome) || outcome.fill_outcome == FillOutcome::fill_limit_reached) {
    return nullptr;
  }
  if (attempt.has_source && outcome.fill_outcome != FillOutcome::origin_failed) {
    state.failed_sources.push_back(attempt.source);
  }
  state.accepts_stale = true;
  return upstream;
}

bool Attempts::is_cancellable_on(ServerId server, const RequestState& state) const {
  const AttemptState* attempt = state.attempt_in_flight();
  if (!attempt || !state.is_open || state.response_started) return false;
  const bool waits_for_source = attempt->source == server && attempt->may_reach_origin;
  if (attempt->server != server && !waits_for_source) return false;
  return may_cancel_for_retry(context_, state);
}

bool Attempts::send_attempt(RequestState& state, const Upstream* preferred) {
  ObjectState& object = parts_.selection.object(state.request.object);
  auto candidates = parts_.selection.candidates(object, state.request.object);
  // The preferred server comes first, and servers that have already received the request come last.
  std::ranges::stable_sort(candidates, {}, [&](const Upstream* cache) {
    if (cache == preferred) return 0;
    return state.was_sent_to(cache->server.id) ? 2 : 1;
  });
  for (Upstream* cache : candidates) {
    if (!parts_.slow_start.has_quota(*cache)) continue;
    const auto fill = parts_.fills.plan_fill(state, object, *cache);
    if (!send(state, *cache, fill)) continue;
    parts_.selection.record_sent(object, *cache);
    return true;
  }
  return context_.settings.can_bypass_caches && send_bypassing_caches(state);
}

bool Attempts::send_bypassing_caches(RequestState& state) {
  Upstream* source = parts_.fills.choose_source(state);
  if (!source) return false;
  const Upstream* origin = context_.upstreams.origin();
  if (!source->is_parent() || !origin) return send(state, *source, std::nullopt);
  Fill fill;
  fill.source = origin->server.id;
  fill.may_join = context_.settings.can_join_fills;
  return send(state, *source, fill);
}

bool Attempts::send(RequestState& state, Upstream& upstream, std::optional<Fill> fill) {
  if (!may_send_to(state, upstream)) return false;
  const bool has_source = fill && fill->source != upstream.server.id;
  Upstream* source = has_source ? context_.upstreams.find(fill->source) : nullptr;
  if (source && (!source->is_ready() || !parts_.slow_start.has_quota(*source))) return false;
  const bool may_reach_origin = source && state.is_likely_miss && !fill->cached_only;
  limit_age_after_purge(context_, state, upstream.server.id, fill);
  parts_.slow_start.charge(upstream, state.request);
  if (source) parts_.slow_start.charge(*source, state.request);
  AttemptState attempt = make_attempt(upstream, source, context_.now);
  attempt.transfer_time = context_.workload.transfer_time(state.request);
  attempt.may_reach_origin = may_reach_origin;
  state.attempts.push_back(attempt);
  if (is_remembered(context_, state.request)) context_.history.record_sent(state.request, attempt);
  upstream.begin_transfer(attempt.transfer_time, context_.now);
  if (may_reach_origin) parts_.admission.origin_work().begin(attempt.transfer_time);
  // The timeout is all the time that is left. A shorter one would discard the work that a slow
  // cache has already done.
  const Time timeout = std::max<Time>(1, state.deadline - context_.now);
  context_.emit(Send{state.request.id, upstream.server.id, timeout, fill});
  return true;
}

bool Attempts::may_send_to(const RequestState& state, Upstream& upstream) {
  if (!state.is_open || state.response_started) return false;
  const std::size_t number = state.attempts.size();
  if (number >= context_.settings.max_attempts || !upstream.is_ready()) return false;
  if (!may_attempt(context_, state, upstream.server, number)) return false;
  return parts_.slow_start.has_quota(upstream);
}

void Attempts::abandon_attempt(const RequestState& state) {
  // An attempt that cannot be cancelled goes on, and its own outcome is counted.
  if (!context_.settings.can_cancel_attempts) return;
  const AttemptState* attempt = state.attempt_in_flight();
  if (!attempt) return;
  Upstream* upstream = context_.upstreams.find(attempt->server);
  if (upstream && has_not_responded_since(*upstream, *attempt) &&
      context_.now - attempt->sent_at >= parts_.health.response_timeout(state.request)) {
    parts_.health.record_hard_failure(*upstream, true);
  }
  cancel_last_attempt(state);
}

void Attempts::cancel_last_attempt(const RequestState& state) const {
  if (!context_.settings.can_cancel_attempts) return;
  context_.emit(Cancel{state.request.id, state.last_attempt()});
}

}  // namespace alderspur::policy
