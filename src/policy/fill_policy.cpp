#include "policy/fill_policy.h"

#include <algorithm>

#include "policy_state/outcome.h"
#include "policy_state/rendezvous.h"

namespace alderspur::policy {
namespace {

using estimators::kMillisecond;

/// Number of consecutive failed fills after which their source is ejected.
constexpr int kFailedFillsToEject = 3;
/// An object larger than this multiple of the average size of its class is cached only after
/// repeated requests, and then at the lowest rank.
constexpr double kLargeObjectFactor = 8;
/// A rejection within this time comes from the cache itself, because no source is near enough to
/// respond that fast.
constexpr Time kMaxLocalRejectionTime = 3 * kMillisecond;

/// The values of Fill::cache_rank.
enum CacheRank : std::uint32_t { kNotCached = 0, kLow = 1, kMedium = 2, kHigh = 3 };

}  // namespace

Upstream* FillPolicy::choose_source(const RequestState& state) {
  const auto has_failed = [&](const Upstream& source) {
    return std::ranges::count(state.failed_sources, source.server.id) > 0;
  };
  Upstream* origin = context_.upstreams.origin();
  if (origin && has_failed(*origin)) origin = nullptr;
  // Requests of a class that is never cached are executed at the origin. The queue of a parent
  // would only delay them.
  if (context_.class_settings(state.request).never_cached && origin) return origin;
  const auto& parents = context_.upstreams.parents();
  for (Upstream* parent : rendezvous_order(parents, state.request.object, context_.workload)) {
    if (!has_failed(*parent) && health_.is_usable(*parent) && slow_start_.has_quota(*parent)) {
      return parent;
    }
  }
  return origin;
}

std::optional<Fill> FillPolicy::plan_fill(RequestState& state, const ObjectState& object,
                                          const Upstream& cache) {
  if (!context_.settings.has_fills) return std::nullopt;
  const ClassSettings& settings = context_.class_settings(state.request);
  const Upstream* source = choose_source(state);
  const bool is_cacheable = !settings.never_cached && !state.request.is_write;
  // Fills that wait for a slow origin occupy all servers on their path. Over the limit, parents
  // therefore serve only objects that they have cached.
  const bool avoids_origin = is_cacheable && must_wait_for_origin(state);
  Fill fill;
  fill.cache_rank = choose_cache_rank(state.request, object);
  fill.may_join = is_cacheable && context_.settings.can_join_fills;
  fill.refresh_in_background =
      is_cacheable && settings.fresh_time > 0 && object.has_repeated_requests && !avoids_origin;
  fill.cached_only = avoids_origin && source && source->is_parent();
  const bool fills_nothing = !source || (avoids_origin && !fill.cached_only);
  fill.source = fills_nothing ? cache.server.id : source->server.id;
  if (is_cacheable && settings.stale_grace_time > 0 && (state.accepts_stale || avoids_origin)) {
    fill.max_age = settings.fresh_time + settings.stale_grace_time;
    state.accepts_stale = true;
  }
  return fill;
}

bool FillPolicy::record_source_outcome(const Request& request, const AttemptState& attempt,
                                       const AttemptOutcome& outcome) {
  Upstream* source = attempt.has_source ? context_.upstreams.find(attempt.source) : nullptr;
  if (!source) return false;
  record_origin_outcome(request, attempt, outcome, *source);
  const bool came_from_source = was_filled(outcome);
  if (came_from_source) {
    source->served_transfer_time.add(context_.now, context_.workload.transfer_time(request));
  }
  if (attempt.charged_to_source && source->is_warming_up && needed_no_fill(outcome)) {
    slow_start_.refund(*source, request);
  }
  if (source->is_parent()) record_parent_outcome(*source, attempt, outcome);
  return came_from_source;
}

bool FillPolicy::suspect_source(RequestState& state, const AttemptState& attempt,
                                const AttemptOutcome& outcome) const {
  const bool is_overloaded = outcome.result == AttemptResult::overloaded;
  if (outcome.result != AttemptResult::error && !is_overloaded) return false;
  if (is_overloaded && outcome.elapsed <= kMaxLocalRejectionTime) return false;
  if (context_.fill_outcomes_are_reported || !attempt.has_source) return false;
  if (state.retried_cache == attempt.server) return false;
  if (context_.class_settings(state.request).never_cached) return false;
  state.suspected_source = attempt.source;
  state.retried_cache = attempt.server;
  state.failed_sources.push_back(attempt.source);
  return true;
}

void FillPolicy::record_source_failure(ServerId suspected_source) {
  Upstream* source = context_.upstreams.find(suspected_source);
  if (!source || !source->is_parent()) return;
  ++source->consecutive_failures;
  if (source->consecutive_failures < kFailedFillsToEject && !source->on_probation) return;
  health_.eject(*source);
}

std::uint32_t FillPolicy::choose_cache_rank(const Request& request,
                                            const ObjectState& object) const {
  if (context_.class_settings(request).never_cached || request.is_write) return kNotCached;
  const MovingAverage& average_size = context_.workload.estimates(request).size_kb;
  const double size = estimators::positive_or_zero(request.size_kb);
  if (average_size.has_samples && size > kLargeObjectFactor * average_size.value) {
    return object.has_repeated_requests ? kLow : kNotCached;
  }
  if (object.replica_count > 1) return kHigh;
  return object.has_repeated_requests ? kMedium : kLow;
}

bool FillPolicy::must_wait_for_origin(const RequestState& state) const {
  if (!admission_.origin_work().is_over_limit()) return false;
  return context_.fill_outcomes_are_reported ? state.is_likely_miss
                                             : context_.purges.is_purged(state.request);
}

void FillPolicy::record_origin_outcome(const Request& request, const AttemptState& attempt,
                                       const AttemptOutcome& outcome, const Upstream& source) {
  const AttemptResult result = outcome.result;
  const bool is_origin = source.server.role == Role::origin;
  bool was_fetched = false;
  bool was_delayed = false;
  if (context_.fill_outcomes_are_reported) {
    was_fetched =
        was_filled(outcome) && (is_origin || outcome.fill_outcome == FillOutcome::filled_by_origin);
    was_delayed = attempt.may_reach_origin && result == AttemptResult::timeout;
  } else if (attempt.may_reach_origin && context_.purges.is_purged(request)) {
    // Only a purged object certainly had to be fetched. If hits were included, their short times
    // would hide the times of fetches.
    was_fetched = result == AttemptResult::ok;
    was_delayed = result == AttemptResult::overloaded && outcome.elapsed > kMaxLocalRejectionTime;
  }
  const bool has_failed = outcome.fill_outcome == FillOutcome::origin_failed ||
                          outcome.fill_outcome == FillOutcome::fill_limit_reached ||
                          (source_failed(outcome) && is_origin) || was_delayed;
  if (!was_fetched && !has_failed) return;
  // If the time to the first byte is reported, the transfer time is excluded.
  const Time waited = outcome.time_to_first_byte > 0 ? outcome.time_to_first_byte : outcome.elapsed;
  admission_.record_origin_wait(request, waited, has_failed);
}

void FillPolicy::record_parent_outcome(Upstream& parent, const AttemptState& attempt,
                                       const AttemptOutcome& outcome) {
  const AttemptResult result = outcome.result;
  const bool reflects_parent = !context_.fill_outcomes_are_reported && attempt.may_reach_origin;
  if (reflects_parent && (result == AttemptResult::ok || result == AttemptResult::error)) {
    const bool has_failed = result == AttemptResult::error;
    parent.count_response(context_.now, has_failed);
    if (has_failed && !parent.on_probation && health_.is_outlier(parent)) health_.eject(parent);
  }
  if (was_filled(outcome) || (reflects_parent && result == AttemptResult::ok)) {
    parent.consecutive_failures = 0;
    parent.consecutive_ejections = 0;
    parent.on_probation = false;
  }
  if (source_failed(outcome)) record_failed_fill(parent, outcome);
}

void FillPolicy::record_failed_fill(Upstream& parent, const AttemptOutcome& outcome) {
  const bool is_unreachable = outcome.fill_outcome == FillOutcome::source_unreachable &&
                              outcome.result == AttemptResult::overloaded;
  // Many routers connect at the same time to a parent that is starting, so a refused connection
  // counts for all of them.
  const double scale = context_.fleet.observation_weight(Scope::location);
  parent.consecutive_failures += is_unreachable ? static_cast<int>(scale) : 1;
  if (parent.consecutive_failures < kFailedFillsToEject) return;
  health_.eject(parent);
  if (is_unreachable) slow_start_.begin(parent, context_.now, StartEvidence::suspected);
}

}  // namespace alderspur::policy
