// What all parts of the routing policy share: settings, the time of the event, the tables of state
// and the actions that are being collected. One thread.
#pragma once

#include <utility>
#include <vector>

#include "alderspur/router.h"
#include "estimators/hash.h"
#include "policy_state/fleet_share.h"
#include "policy_state/purge_table.h"
#include "policy_state/upstream_table.h"
#include "policy_state/workload_model.h"

namespace alderspur::policy {

struct RoutingContext {
  RoutingContext(Settings router_settings, std::uint64_t seed)
      : settings(std::move(router_settings)),
        upstreams(settings.location),
        workload(settings),
        fleet(settings),
        random_counter(seed) {}
  RoutingContext(const RoutingContext&) = delete;
  RoutingContext& operator=(const RoutingContext&) = delete;

  const Settings settings;
  Time now = 0;
  UpstreamTable upstreams;
  WorkloadModel workload;
  FleetShare fleet;
  PurgeTable purges;
  std::uint64_t random_counter;
  /// Responses have told what became of fills: there is no need to guess at it.
  bool fill_outcomes_are_told = false;
  std::vector<Action>* actions = nullptr;

  void emit(const Action& action) const { actions->push_back(action); }
  const ClassSettings& class_settings(const Request& request) const {
    return settings.classes[request.class_id.value];
  }
  /// A number drawn from (0, 1); the same seed draws the same sequence.
  double draw() { return estimators::unit_interval(estimators::mix_bits(random_counter++)); }
};

}  // namespace alderspur::policy
