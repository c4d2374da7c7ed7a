// Constructs the parts of the routing policy and connects them.
#pragma once

#include "policy/admission.h"
#include "policy/cache_selection.h"
#include "policy/fill_policy.h"
#include "policy/health.h"
#include "policy/slow_start.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// One instance of each part of the policy. All parts share a context, which must outlive them.
/// Owned by the router. Not thread-safe.
struct PolicyParts {
  explicit PolicyParts(RoutingContext& context)
      : slow_start(context),
        health(context, slow_start),
        selection(context, health),
        admission(context, health, slow_start),
        fills(context, health, slow_start, admission) {}
  PolicyParts(const PolicyParts&) = delete;
  PolicyParts& operator=(const PolicyParts&) = delete;

  SlowStart slow_start;
  Health health;
  CacheSelection selection;
  Admission admission;
  FillPolicy fills;
};

}  // namespace alderspur::policy
