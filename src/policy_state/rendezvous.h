// Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998) with weights. Pure.
#pragma once

#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"
#include "policy_state/workload_model.h"

namespace alderspur::policy {

/// The servers in their order of preference for an object: the same at every router.
std::vector<Upstream*> rendezvous_order(const std::vector<Upstream*>& upstreams, ObjectId object,
                                        const WorkloadModel& workload);

}  // namespace alderspur::policy
