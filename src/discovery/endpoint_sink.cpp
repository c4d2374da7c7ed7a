#include "discovery/endpoint_sink.h"

#include <utility>

namespace alderspur::discovery {

void DirectEndpointSink::update_endpoints(bool is_complete,
                                          const std::vector<config::Member>& members) {
  if (is_complete) upstream_pool_.remove_unlisted(members);
  alderspur::EndpointUpdate update;
  update.is_complete = is_complete;
  for (const auto& member : members) {
    update.servers.push_back(member.server);
    const bool is_usable = upstream_pool_.update_endpoint(member);
    if (!is_usable) update.servers.back().status = alderspur::ServerStatus::gone;
  }
  engine_.update_endpoints(std::move(update));
}

}  // namespace alderspur::discovery
