// What all parts of the routing policy share.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "alderspur/router.h"
#include "estimators/hash.h"
#include "policy_state/fleet_share.h"
#include "policy_state/purge_table.h"
#include "policy_state/upstream_table.h"
#include "policy_state/workload_model.h"

namespace alderspur::policy {

/// Settings, the time of the current event, the shared tables of state, and the actions that are
/// being collected. Owned by the router, which outlives all parts of the policy; one thread.
struct RoutingContext {
  /// `seed` starts the sequence of draw().
  RoutingContext(Settings router_settings, std::uint64_t seed)
      : settings(std::move(router_settings)),
        upstreams(settings.location),
        workload(settings),
        fleet(settings),
        random_counter(seed) {}
  RoutingContext(const RoutingContext&) = delete;
  RoutingContext& operator=(const RoutingContext&) = delete;

  const Settings settings;
  /// The time of the event that is being handled, microseconds. Never steps back.
  Time now = 0;
  UpstreamTable upstreams;
  WorkloadModel workload;
  FleetShare fleet;
  PurgeTable purges;
  std::uint64_t random_counter;
  /// Some response has reported what became of its fill: such reports replace guesses.
  bool fill_outcomes_are_reported = false;
  /// Where emit() appends; set while an event is being handled.
  std::vector<Action>* actions = nullptr;

  /// Appends an action for the caller of the router.
  void emit(const Action& action) const { actions->push_back(action); }
  /// The settings of the class of a request.
  const ClassSettings& class_settings(const Request& request) const {
    return settings.classes[request.class_id.value];
  }
  /// A number drawn from (0, 1); the same seed draws the same sequence.
  double draw() { return estimators::unit_interval(estimators::mix_bits(random_counter++)); }
};

}  // namespace alderspur::policy
