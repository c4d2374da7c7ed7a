#include "policy_state/fleet_share.h"

#include <algorithm>

namespace alderspur::policy {

double FleetShare::router_count(Scope scope) const {
  const bool is_fleet = scope == Scope::fleet;
  const double share = is_fleet ? budget_.fleet_share : budget_.location_share;
  if (share > 0) return 1 / share;
  const std::uint32_t location = settings_.location.value;
  const auto& counts = settings_.router_count_by_location;
  const bool has_own_count = !is_fleet && location < counts.size();
  return std::max(1U, has_own_count ? counts[location] : settings_.router_count);
}

double FleetShare::observation_weight(Scope scope) const {
  constexpr double kReferenceRouters = 2;
  return std::max(1.0, router_count(scope) / kReferenceRouters);
}

}  // namespace alderspur::policy
