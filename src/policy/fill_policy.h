// Where caches fill what they lack, how the copy is kept, and what failed fills say of their
// source.
#pragma once

#include <algorithm>
#include <optional>

#include "policy/admission.h"
#include "policy_state/rendezvous.h"

namespace alderspur::policy {

class FillPolicy {
 public:
  FillPolicy(RoutingContext& context, Health& health, SlowStart& slow_start, Admission& admission)
      : context_(context), health_(health), slow_start_(slow_start), admission_(admission) {}

  /// The first usable parent in rendezvous order over all listed ones, else the origin, if any.
  Upstream* choose_source(const RequestState& state) {
    const auto has_failed = [&](const Upstream& source) {
      return std::ranges::count(state.failed_sources, source.server.id) > 0;
    };
    Upstream* origin = context_.upstreams.origin();
    if (origin && has_failed(*origin)) origin = nullptr;
    // What is never cached runs at the origin anyway: a full parent's queue would only delay it.
    if (context_.class_settings(state.request).never_cached && origin) return origin;
    const auto& parents = context_.upstreams.parents();
    for (Upstream* parent : rendezvous_order(parents, state.request.object, context_.workload)) {
      if (!has_failed(*parent) && health_.is_usable(*parent) && slow_start_.has_quota(*parent)) {
        return parent;
      }
    }
    return origin;
  }
  /// How that cache is to fill the object if it lacks it; nothing where caches can't be told.
  std::optional<Fill> plan(RequestState& state, const ObjectState& object, const Upstream& cache) {
    if (!context_.settings.has_fills) return std::nullopt;
    const ClassSettings& settings = context_.class_settings(state.request);
    const Upstream* source = choose_source(state);
    const bool is_kept = !settings.never_cached && !state.request.is_write;
    // Fills that wait for a slow origin hold places: over the limit parents give only their copies.
    const bool needs_origin = context_.fill_outcomes_are_told
                                  ? state.is_likely_miss
                                  : context_.purges.is_purged(state.request);
    const bool is_over = is_kept && admission_.origin_work().is_over_limit() && needs_origin;
    Fill fill;
    fill.cache_rank = choose_rank(state.request, object);
    fill.may_join = is_kept && context_.settings.can_join_fills;
    fill.refresh_in_background =
        is_kept && settings.fresh_time > 0 && object.was_repeated && !is_over;
    fill.cached_only = is_over && source && source->is_parent();
    const bool fills_nothing = !source || (is_over && !fill.cached_only);
    fill.source = fills_nothing ? cache.server.id : source->server.id;
    if (is_kept && settings.stale_grace_time > 0 && (state.accepts_stale || is_over)) {
      fill.max_age = settings.fresh_time + settings.stale_grace_time;
      state.accepts_stale = true;
    }
    return fill;
  }
  /// What the end of an attempt says of its source. True: it filled the object from there.
  bool judge_source(const Request& request, const AttemptState& attempt,
                    const AttemptOutcome& outcome) {
    Upstream* source = attempt.has_source ? context_.upstreams.find(attempt.source) : nullptr;
    if (!source) return false;
    learn_origin(request, attempt, outcome, *source);
    const bool gave = was_filled(outcome);
    if (gave) {
      source->served_transfer_time.add(context_.now, context_.workload.transfer_time(request));
    }
    // What turned out a hit asked nothing of a source that warms up.
    if (attempt.charged_to_source && source->is_warming_up && needed_no_fill(outcome)) {
      slow_start_.refund(*source, request);
    }
    if (source->is_parent()) judge_parent(*source, attempt, outcome, gave);
    return gave;
  }
  /// True: ask the same cache once more with the next source, to tell which of the two failed.
  bool suspect_source(RequestState& state, const AttemptState& attempt,
                      const AttemptOutcome& outcome) const {
    const bool overloaded = outcome.result == AttemptResult::overloaded;
    if (outcome.result != AttemptResult::error && !overloaded) return false;
    if (overloaded && outcome.elapsed <= kOwnAnswerTime) return false;
    if (context_.fill_outcomes_are_told || !attempt.has_source) return false;
    if (state.cache_asked_again == attempt.server) return false;
    if (context_.class_settings(state.request).never_cached) return false;
    state.suspected_source = attempt.source;
    state.cache_asked_again = attempt.server;
    state.failed_sources.push_back(attempt.source);
    return true;
  }
  /// The cache answered without that source, so the source had failed.
  void blame(ServerId suspected_source) {
    Upstream* source = context_.upstreams.find(suspected_source);
    if (!source || !source->is_parent()) return;
    if (++source->consecutive_failures < kFailedFills && !source->on_probation) return;
    health_.eject(*source);
  }

 private:
  /// Fills failed in a row by one source: passed over.
  static constexpr int kFailedFills = 3;
  /// Over so many times the average size of its class an object is kept at the lowest rank at most.
  static constexpr double kHugeFactor = 8;

  std::uint32_t choose_rank(const Request& request, const ObjectState& object) const {
    enum Rank : std::uint32_t { kNotKept = 0, kLow = 1, kMiddle = 2, kHigh = 3 };
    if (context_.class_settings(request).never_cached || request.is_write) return kNotKept;
    const MovingAverage& size = context_.workload.estimates(request).size_kb;
    const double own_size = estimators::positive_or_zero(request.size_kb);
    if (size.has_samples && own_size > kHugeFactor * size.value) {
      return object.was_repeated ? kLow : kNotKept;
    }
    if (object.replica_count > 1) return kHigh;
    return object.was_repeated ? kMiddle : kLow;
  }
  /// Moves the limit on what may wait for the origin, where the attempt shows how the origin does.
  void learn_origin(const Request& request, const AttemptState& attempt,
                    const AttemptOutcome& outcome, const Upstream& source) {
    const AttemptResult result = outcome.result;
    const bool is_origin = source.server.role == Role::origin;
    bool fetched = false;
    bool was_kept_out = false;
    if (context_.fill_outcomes_are_told) {
      fetched = was_filled(outcome) &&
                (is_origin || outcome.fill_outcome == FillOutcome::filled_by_origin);
      was_kept_out = attempt.may_reach_origin && result == AttemptResult::timeout;
    } else if (attempt.may_reach_origin && context_.purges.is_purged(request)) {
      // Only what was purged had to be fetched: hits would hide what fetches take.
      fetched = result == AttemptResult::ok;
      was_kept_out = result == AttemptResult::overloaded && outcome.elapsed > kOwnAnswerTime;
    }
    const bool is_stuck = outcome.fill_outcome == FillOutcome::origin_failed ||
                          outcome.fill_outcome == FillOutcome::fill_limit_reached ||
                          (source_failed(outcome) && is_origin) || was_kept_out;
    // Where the first byte is told, the link's part does not count.
    const Time waited =
        outcome.time_to_first_byte > 0 ? outcome.time_to_first_byte : outcome.elapsed;
    if (fetched || is_stuck) admission_.learn_origin(request, waited, is_stuck);
  }
  void judge_parent(Upstream& parent, const AttemptState& attempt, const AttemptOutcome& outcome,
                    bool gave) {
    const AttemptResult result = outcome.result;
    const bool may_tell = !context_.fill_outcomes_are_told && attempt.may_reach_origin;
    if (may_tell && (result == AttemptResult::ok || result == AttemptResult::error)) {
      const bool failed = result == AttemptResult::error;
      parent.count_response(context_.now, failed);
      if (failed && !parent.on_probation && health_.is_outlier(parent)) health_.eject(parent);
    }
    if (gave || (may_tell && result == AttemptResult::ok)) {
      parent.consecutive_failures = 0;
      parent.consecutive_ejections = 0;
      parent.on_probation = false;
    }
    if (!source_failed(outcome)) return;
    // Many routers reach a parent that starts at once: there, one refused connection ejects it.
    const bool is_unreached = outcome.fill_outcome == FillOutcome::source_unreachable &&
                              result == AttemptResult::overloaded;
    const double scale = context_.fleet.evidence_scale(Scope::location);
    parent.consecutive_failures += is_unreached ? static_cast<int>(scale) : 1;
    if (parent.consecutive_failures < kFailedFills) return;
    health_.eject(parent);
    if (is_unreached) slow_start_.begin(parent, context_.now, false);
  }

  RoutingContext& context_;
  Health& health_;
  SlowStart& slow_start_;
  Admission& admission_;
};

}  // namespace alderspur::policy
