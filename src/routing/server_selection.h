// Which servers of an endpoint list belong to a pool.
#pragma once

#include <vector>

#include "endpoints/snapshot.h"
#include "routing/route.h"

namespace alderspur::routing {

/// The servers in service that the pool selects, in the list's order.
std::vector<ServerId> select_servers(const Pool& pool, const endpoints::Snapshot& list);

}  // namespace alderspur::routing
