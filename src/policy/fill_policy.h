// Where caches fill what they lack, how the copy is cached, and which source is at fault when a
// fill fails.
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

/// Chooses the fill of each send, and attributes failed attempts to the cache or to the source of
/// its fill. Owned by PolicyParts; one thread.
class FillPolicy {
 public:
  FillPolicy(RoutingContext& context, Health& health, SlowStart& slow_start, Admission& admission)
      : context_(context), health_(health), slow_start_(slow_start), admission_(admission) {}

  /// The first usable parent in rendezvous order over all listed ones, else the origin; null: there
  /// is neither.
  Upstream* choose_source(const RequestState& state);
  /// How that cache is to fill the object if it lacks it; absent where fills cannot be controlled.
  std::optional<Fill> plan(RequestState& state, const ObjectState& object, const Upstream& cache);

  /// Updates the state of the source of an attempt by the end of the attempt. True: the object came
  /// from there.
  bool record_source_outcome(const Request& request, const AttemptState& attempt,
                             const AttemptOutcome& outcome);
  /// True: the failure may be the cache's or the source's, and the same cache is to be retried with
  /// the next source to tell which.
  bool suspect_source(RequestState& state, const AttemptState& attempt,
                      const AttemptOutcome& outcome) const;
  /// A cache succeeded without that source (see suspect_source): the source was at fault.
  void record_source_fault(ServerId suspected_source);

 private:
  /// The value of Fill::cache_rank: higher for objects that are requested more.
  std::uint32_t choose_rank(const Request& request, const ObjectState& object) const;
  /// More work is waiting for the origin than it can do in time, and so would this request.
  bool must_wait_for_origin(const RequestState& state) const;
  /// Adjusts the limit on work that may wait for the origin, where the attempt has reached it.
  void record_origin_outcome(const Request& request, const AttemptState& attempt,
                             const AttemptOutcome& outcome, const Upstream& source);
  void record_parent_outcome(Upstream& parent, const AttemptState& attempt,
                             const AttemptOutcome& outcome);
  void record_failed_fill(Upstream& parent, const AttemptOutcome& outcome);

  RoutingContext& context_;
  Health& health_;
  SlowStart& slow_start_;
  Admission& admission_;
};

}  // namespace alderspur::policy
