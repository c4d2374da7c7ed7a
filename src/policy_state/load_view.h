// Functions that summarize the state of several servers. They make no routing decisions. They read
// the RoutingContext, so they must run on the thread of the router.
#pragma once

#include <vector>

#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Returns, for each cache of UpstreamTable::caches() in the same order, its served load divided by
/// its weight. Caches that are suspect or have served nothing get the average load. Otherwise a
/// cache that fails requests quickly would look like the least loaded one.
std::vector<double> relative_loads(const RoutingContext& context);

/// The number of errors and responses of a group of servers over the last
/// estimators::kWindowLength.
struct ErrorCounts {
  double errors = 0;
  double responses = 0;
};

/// Counts the errors and responses of the other ready servers of the same role as `upstream`.
ErrorCounts count_peer_errors(const RoutingContext& context, const Upstream& upstream);

/// Recomputes Upstream::first_response_due of all caches from the attempts in flight.
void update_response_due_times(RoutingContext& context, const RequestTable& requests);

}  // namespace alderspur::policy
