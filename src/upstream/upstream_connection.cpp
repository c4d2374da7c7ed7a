#include "upstream/upstream_connection.h"

#include <algorithm>

namespace alderspur::upstream {

bool UpstreamPool::UpstreamConnection::is_responsive() const {
  return unresponsive_since == 0 || socket->last_read_at() > unresponsive_since;
}

core::Time UpstreamPool::UpstreamConnection::earliest_of_attempts(core::Time PendingResponse::*time,
                                                                  core::Time now) const {
  core::Time earliest = now;
  for (const auto& [id, response] : pending) {
    if (!response.is_health_check()) earliest = std::min(earliest, response.*time);
  }
  return earliest;
}

std::vector<UpstreamPool::UpstreamConnection*> UpstreamPool::Endpoint::current_connections() const {
  std::vector<UpstreamConnection*> current;
  current.reserve(connections.size());
  for (const auto& connection : connections) current.push_back(connection.get());
  return current;
}

}  // namespace alderspur::upstream
