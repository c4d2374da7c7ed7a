// Views over the state of several servers at once. No decisions; one thread.
#pragma once

#include <vector>

#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Served load of each cache of UpstreamTable::caches() over its weight, in that order. Caches that
/// are suspect or have served nothing count as average: a cache that fails requests quickly would
/// otherwise look like the least loaded one.
std::vector<double> relative_loads(const RoutingContext& context);

/// Errors and responses of a group of servers, over the last estimators::kWindowLength.
struct ErrorCounts {
  double errors = 0;
  double responses = 0;
};

/// Counts over the other ready servers of the same role.
ErrorCounts count_peer_errors(const RoutingContext& context, const Upstream& upstream);

/// Sets Upstream::first_response_due of all caches from the attempts in flight.
void update_response_due_times(RoutingContext& context, const RequestTable& requests);

}  // namespace alderspur::policy
