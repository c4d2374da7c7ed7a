#include "routing/server_selection.h"

#include <algorithm>

namespace alderspur::routing {
namespace {

/// Reports whether the list contains the value. An empty list accepts any value.
template <class Element>
bool accepts_value(const std::vector<Element>& accepted, const Element& value) {
  return accepted.empty() || std::find(accepted.begin(), accepted.end(), value) != accepted.end();
}

/// Reports whether the server belongs to the pool. `min_weight`, locations, hubs and cells restrict
/// it.
bool selects(const Pool& pool, const endpoints::Snapshot& list,
             const endpoints::ListedServer& server) {
  if (server.role != pool.role) return false;
  if (server.state != endpoints::ServerState::in_service) return false;
  if (server.weight < pool.min_weight) return false;
  const auto& location = list.location_name(server);
  const bool is_cache = server.role == Role::cache;
  const auto& hub = is_cache ? list.hubs[list.points[server.location_index].hub] : location;
  if (is_cache && !accepts_value(pool.locations, location)) return false;
  return accepts_value(pool.hubs, hub) && accepts_value(pool.cells, server.cell);
}

}  // namespace

std::vector<ServerId> select_servers(const Pool& pool, const endpoints::Snapshot& list) {
  std::vector<ServerId> ids;
  for (const auto& server : list.servers) {
    if (selects(pool, list, server)) ids.push_back(server.id);
  }
  return ids;
}

}  // namespace alderspur::routing
