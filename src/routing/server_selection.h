// Selects the servers of an endpoint list that belong to a pool. No I/O.
#pragma once

#include <vector>

#include "endpoints/snapshot.h"
#include "routing/route.h"

namespace alderspur::routing {

/// Returns the servers in service that the pool selects, in the order of the list.
std::vector<ServerId> select_servers(const Pool& pool, const endpoints::Snapshot& list);

}  // namespace alderspur::routing
