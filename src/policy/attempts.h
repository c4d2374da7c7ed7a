// The attempts of a request, from the first to the final answer. Every send passes here.
#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "policy/send_rules.h"
#include "router/policy_parts.h"

namespace alderspur::policy {

class Attempts {
 public:
  Attempts(RoutingContext& context, RequestTable& requests, PolicyParts& parts)
      : context_(context), requests_(requests), parts_(parts) {}

  /// Sends the first attempt, or rejects the request.
  void begin(RequestState& state) {
    if (!parts_.admission.should_shed(state.request) && send_attempt(state, nullptr)) return;
    give_up(state);
    finish(state);
  }
  /// After an attempt without a response. `ask_again`: the same server, to find out what failed.
  void follow_up(RequestState& state, const AttemptState& attempt, const AttemptOutcome& outcome,
                 const Upstream* upstream, bool ask_again) {
    if (retry_is_useless(state, attempt, outcome)) return give_up(state);
    const bool is_free = is_free_retry(state, outcome);
    const Upstream* preferred = upstream;
    if (!ask_again) preferred = next_server(state, attempt, outcome, upstream);
    const bool in_time = state.deadline - context_.now >= kMinAttemptTime;
    if (!in_time || !(is_free || parts_.admission.try_take_retry()) ||
        !send_attempt(state, preferred)) {
      give_up(state);
    }
  }
  /// The final answer: no response.
  void give_up(RequestState& state) {
    if (!std::exchange(state.is_open, false)) return;
    if (may_reject(context_, state)) {
      const Time wait = std::min(context_.settings.max_retry_after, parts_.admission.retry_after());
      const bool is_told = context_.settings.sends_retry_after;
      context_.emit(Reject{state.request.id, is_told ? wait : 0});
    } else {
      context_.emit(Fail{state.request.id});
    }
    abandon_attempt(state);
  }
  /// Closes a request, and forgets it once its last attempt has ended.
  void finish(RequestState& state) {
    if (std::exchange(state.is_open, false)) abandon_attempt(state);
    if (!state.attempt_in_flight()) requests_.erase(state.request.id);
  }
  /// Cancels what a silent server holds and may be sent elsewhere, when the outcomes arrive.
  void evacuate(ServerId server) {
    std::set<RequestId> moved;
    for (const auto& [id, state] : requests_) {
      const AttemptState* attempt = state.attempt_in_flight();
      if (!attempt || !state.is_open || state.response_started) continue;
      const bool waits_for_source = attempt->source == server && attempt->may_reach_origin;
      if (attempt->server != server && !waits_for_source) continue;
      if (may_move(context_, state, *attempt)) moved.insert(id);
    }
    for (const RequestId id : moved) cancel(requests_.at(id));
  }

 private:
  /// With less time than this left no attempt can finish.
  static constexpr Time kMinAttemptTime = 30 * kMillisecond;

  /// Another attempt would end alike: behind every parent stands the same origin.
  bool retry_is_useless(const RequestState& state, const AttemptState& attempt,
                        const AttemptOutcome& outcome) const {
    const bool has_grace = context_.class_settings(state.request).stale_grace_time > 0;
    const bool only_held = attempt.has_source && !attempt.may_reach_origin;
    return outcome.fill_outcome == FillOutcome::source_lacks ||
           outcome.result == AttemptResult::already_finished ||
           (outcome.result == AttemptResult::miss && only_held) ||
           (outcome.fill_outcome == FillOutcome::origin_failed &&
            (state.accepts_stale || !has_grace));
  }
  /// It was not the request's fault: the retry budget is not drawn upon.
  static bool is_free_retry(const RequestState& state, const AttemptOutcome& outcome) {
    return outcome.result == AttemptResult::cancelled ||
           outcome.result == AttemptResult::not_sent ||
           (outcome.result == AttemptResult::reset && state.attempts.size() == 1);
  }
  /// The server to be asked again, if the failure was not its own; null: another one.
  const Upstream* next_server(RequestState& state, const AttemptState& attempt,
                              const AttemptOutcome& outcome, const Upstream* upstream) const {
    const bool first_reset = outcome.result == AttemptResult::reset && state.attempts.size() == 1;
    if (first_reset && context_.settings.health_checks_allowed) return upstream;
    if (!fill_failed(outcome) || outcome.fill_outcome == FillOutcome::fill_limit_reached) {
      return nullptr;
    }
    if (attempt.has_source && outcome.fill_outcome != FillOutcome::origin_failed) {
      state.failed_sources.push_back(attempt.source);
    }
    state.accepts_stale = true;
    return upstream;
  }
  /// At the object's caches, those asked before last; with none of them, past the caches.
  bool send_attempt(RequestState& state, const Upstream* preferred) {
    ObjectState& object = parts_.selection.object(state.request.object);
    auto candidates = parts_.selection.candidates(object, state.request.object);
    std::ranges::stable_sort(candidates, {}, [&](const Upstream* cache) {
      if (cache == preferred) return 0;
      return state.was_sent_to(cache->server.id) ? 2 : 1;
    });
    for (Upstream* cache : candidates) {
      if (!parts_.slow_start.has_quota(*cache)) continue;
      const auto fill = parts_.fills.plan(state, object, *cache);
      if (!send(state, *cache, fill)) continue;
      parts_.selection.record_sent(object, *cache);
      return true;
    }
    return context_.settings.can_bypass_caches && send_past_caches(state);
  }
  bool send_past_caches(RequestState& state) {
    Upstream* source = parts_.fills.choose_source(state);
    if (!source) return false;
    const Upstream* origin = context_.upstreams.origin();
    if (!source->is_parent() || !origin) return send(state, *source, std::nullopt);
    Fill fill;
    fill.source = origin->server.id;
    fill.may_join = context_.settings.can_join_fills;
    return send(state, *source, fill);
  }
  /// Sends if every rule allows it, with all the time left: a time-out throws a slow cache's work
  /// away.
  bool send(RequestState& state, Upstream& upstream, std::optional<Fill> fill) {
    if (!state.is_open || state.response_started) return false;
    const std::size_t number = state.attempts.size();
    if (number >= context_.settings.max_attempts || !upstream.is_ready()) return false;
    if (!may_attempt(context_, state, upstream.server, number)) return false;
    if (!parts_.slow_start.has_quota(upstream)) return false;
    const bool has_source = fill && fill->source != upstream.server.id;
    Upstream* source = has_source ? context_.upstreams.find(fill->source) : nullptr;
    if (source && (!source->is_ready() || !parts_.slow_start.has_quota(*source))) return false;
    const bool may_reach_origin = source && state.is_likely_miss && !fill->cached_only;
    bound_age(context_, state, upstream.server.id, fill);
    parts_.slow_start.charge(upstream, state.request);
    if (source) parts_.slow_start.charge(*source, state.request);
    AttemptState attempt = begin_attempt(upstream, source, context_.now);
    attempt.transfer_time = context_.workload.transfer_time(state.request);
    attempt.may_reach_origin = may_reach_origin;
    state.attempts.push_back(attempt);
    upstream.begin_transfer(attempt.transfer_time, context_.now);
    if (may_reach_origin) parts_.admission.origin_work().begin(attempt.transfer_time);
    const Time timeout = std::max<Time>(1, state.deadline - context_.now);
    context_.emit(Send{state.request.id, upstream.server.id, timeout, fill});
    return true;
  }
  void abandon_attempt(const RequestState& state) {
    const AttemptState* attempt = state.attempt_in_flight();
    if (!attempt) return;
    Upstream* upstream = context_.upstreams.find(attempt->server);
    if (upstream && is_silent_since(*upstream, *attempt) &&
        context_.now - attempt->sent_at >= parts_.health.late_after(state.request)) {
      parts_.health.record_hard_failure(*upstream, true);
    }
    cancel(state);
  }
  void cancel(const RequestState& state) {
    if (!context_.settings.can_cancel_attempts) return;
    context_.emit(Cancel{state.request.id, state.last_attempt()});
  }

  RoutingContext& context_;
  RequestTable& requests_;
  PolicyParts& parts_;
};

}  // namespace alderspur::policy
