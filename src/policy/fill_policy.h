// Decides from which source a cache fills an object, how it caches the copy, and whether the cache
// or the source is responsible for a failed fill.
#pragma once

#include <cstdint>
#include <optional>

#include "alderspur/router.h"
#include "policy/admission.h"
#include "policy/health.h"
#include "policy/slow_start.h"
#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Chooses the fill of each Send, and attributes failed attempts to the cache or to its fill
/// source. Owned by PolicyParts. Not thread-safe.
class FillPolicy {
 public:
  FillPolicy(RoutingContext& context, Health& health, SlowStart& slow_start, Admission& admission)
      : context_(context), health_(health), slow_start_(slow_start), admission_(admission) {}

  /// Returns the fill source for a request: the first usable parent in rendezvous order over all
  /// listed parents, or the origin if no parent is usable or the class is never cached. Skips the
  /// failed sources of the request. Returns null if there is no source.
  Upstream* choose_source(const RequestState& state);
  /// Returns how `cache` fills the object if it has no usable copy, or std::nullopt if the caller
  /// does not support fills. Sets RequestState::accepts_stale if a stale copy may be served.
  std::optional<Fill> plan_fill(RequestState& state, const ObjectState& object,
                                const Upstream& cache);

  /// Updates the state of the fill source according to the outcome of an attempt. Returns true if
  /// the object was filled from the source.
  bool record_source_outcome(const Request& request, const AttemptState& attempt,
                             const AttemptOutcome& outcome);
  /// Decides whether either the cache or its source may have caused a failure that does not show
  /// which of them did. If so, stores the source as suspected in `state` and returns true: the same
  /// cache should be retried with the next source.
  bool suspect_source(RequestState& state, const AttemptState& attempt,
                      const AttemptOutcome& outcome) const;
  /// Counts a failure of a suspected source, after the same cache has succeeded without it (see
  /// suspect_source).
  void record_source_failure(ServerId suspected_source);

 private:
  /// Returns the value of Fill::cache_rank, which is higher for objects with more requests.
  std::uint32_t choose_cache_rank(const Request& request, const ObjectState& object) const;
  /// Reports whether this request would have to wait for the origin while the work that waits for
  /// the origin already exceeds its limit.
  bool must_wait_for_origin(const RequestState& state) const;
  /// Adjusts the limit on work that may wait for the origin, if the attempt has reached the origin.
  void record_origin_outcome(const Request& request, const AttemptState& attempt,
                             const AttemptOutcome& outcome, const Upstream& source);
  /// Updates the health of the parent that was the source of an attempt.
  void record_parent_outcome(Upstream& parent, const AttemptState& attempt,
                             const AttemptOutcome& outcome);
  /// Counts a failed fill from a parent, and ejects the parent after several in a row.
  void record_failed_fill(Upstream& parent, const AttemptOutcome& outcome);

  RoutingContext& context_;
  Health& health_;
  SlowStart& slow_start_;
  Admission& admission_;
};

}  // namespace alderspur::policy
