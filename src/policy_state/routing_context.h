// The state that all parts of the routing policy share. The router sets the time and the list of
// actions for each event; the parts read and update the tables.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "alderspur/router.h"
#include "estimators/hash.h"
#include "policy_state/fleet_share.h"
#include "policy_state/purge_table.h"
#include "policy_state/request_history.h"
#include "policy_state/upstream_table.h"
#include "policy_state/workload_model.h"

namespace alderspur::policy {

/// The settings, the time of the current event, the shared tables, and the list that collects the
/// actions. Owned by the router, and must outlive all parts of the policy. Not thread-safe.
struct RoutingContext {
  /// `seed` determines the sequence of numbers that draw_uniform() returns.
  RoutingContext(Settings router_settings, std::uint64_t seed)
      : settings(std::move(router_settings)),
        upstreams(settings.location),
        workload(settings),
        fleet(settings),
        history(settings.max_remembered_requests),
        random_counter(seed) {}
  RoutingContext(const RoutingContext&) = delete;
  RoutingContext& operator=(const RoutingContext&) = delete;

  const Settings settings;
  /// The time of the event that is being handled, in microseconds. It never decreases.
  Time now = 0;
  UpstreamTable upstreams;
  WorkloadModel workload;
  FleetShare fleet;
  PurgeTable purges;
  RequestHistory history;
  std::uint64_t random_counter;
  /// At least one outcome has reported a FillOutcome. From then on the policy uses these reports
  /// and no longer infers the outcome of fills from the results of attempts.
  bool fill_outcomes_are_reported = false;
  /// The list to which emit() appends. Set only while an event is being handled.
  std::vector<Action>* actions = nullptr;

  /// Appends an action to the list that the caller of the router receives.
  void emit(const Action& action) const { actions->push_back(action); }
  /// Returns the settings of the class of a request.
  const ClassSettings& class_settings(const Request& request) const {
    return settings.classes[request.class_id.value];
  }
  /// Returns a pseudorandom number, uniformly distributed in the open interval (0, 1). The same
  /// seed gives the same sequence.
  double draw_uniform() {
    return estimators::unit_interval(estimators::mix_bits(random_counter++));
  }
};

}  // namespace alderspur::policy
