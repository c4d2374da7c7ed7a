// Weighted rendezvous hashing (highest random weight, Thaler and Ravishankar 1998). A pure function
// that keeps no state.
#pragma once

#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"
#include "policy_state/workload_model.h"

namespace alderspur::policy {

/// Returns `upstreams` in their order of preference for an object. All routers with the same
/// servers and weights compute the same order.
std::vector<Upstream*> rendezvous_order(const std::vector<Upstream*>& upstreams, ObjectId object,
                                        const WorkloadModel& workload);

}  // namespace alderspur::policy
