// How many routers share the servers with this one.
#pragma once

#include "alderspur/router.h"

namespace alderspur::policy {

/// The routers that a limit is shared with: those of the own location, or those of all locations.
enum class Scope { location, fleet };

/// This router's share of what all routers together may do. Owned by RoutingContext; one thread.
class FleetShare {
 public:
  /// `settings` must outlive this object.
  explicit FleetShare(const Settings& settings) : settings_(settings) {}

  const BudgetShare& budget() const { return budget_; }
  void set_budget(const BudgetShare& budget) { budget_ = budget; }

  /// Routers at work in that scope, at least 1: the inverse of this router's budget share where one
  /// was assigned, else the number in the settings.
  double router_count(Scope scope) const;
  /// How much more a single observation counts than it does with the few routers that limits and
  /// thresholds are set for, since each of many routers sees only a small part of all responses. At
  /// least 1.
  double evidence_scale(Scope scope) const;

 private:
  const Settings& settings_;
  BudgetShare budget_;
};

}  // namespace alderspur::policy
