// Tracks how many routers share the servers with this router, so that limits can be divided among
// them.
#pragma once

#include "alderspur/router.h"

namespace alderspur::policy {

/// The routers among which a limit is divided: those of the router's own location, or those of all
/// locations.
enum class Scope { location, fleet };

/// This router's share of the limits that all routers have in common. Owned by RoutingContext. Not
/// thread-safe.
class FleetShare {
 public:
  /// `settings` must outlive this object.
  explicit FleetShare(const Settings& settings) : settings_(settings) {}

  /// The share that was assigned last.
  const BudgetShare& budget() const { return budget_; }
  void set_budget(const BudgetShare& budget) { budget_ = budget; }

  /// Returns the number of active routers in the scope. This is the inverse of this router's budget
  /// share if a share was assigned, otherwise the number in the settings. At least 1, provided that
  /// an assigned share is at most 1.
  double router_count(Scope scope) const;
  /// Returns the factor by which a single observation counts more than it does in the small fleet
  /// for which limits and thresholds are set. With many routers, each router observes only a small
  /// part of all responses. At least 1.
  double observation_weight(Scope scope) const;

 private:
  const Settings& settings_;
  BudgetShare budget_;
};

}  // namespace alderspur::policy
