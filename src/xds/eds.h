// The endpoint discovery service of xDS (v3, REST with JSON): answers discovery requests with
// cluster load assignments. No sockets, no shared state.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"

namespace alderspur::xds {

/// The response to a discovery request.
struct DiscoveryReply {
  int status = 200;  // of HTTP
  std::string body;  // a DiscoveryResponse as JSON; empty unless the status is 200
};

/// "host:port" of a server; empty where it is not known.
using AddressLookup = std::function<std::string(alderspur::ServerId)>;

/// Answers one DiscoveryRequest, given as JSON. The resource is the cluster `cluster_name` with all
/// endpoints whose address is known, except those that are gone. Status 304 where the caller has
/// this version, 400 where the request is malformed or of another resource type.
DiscoveryReply answer_discovery_request(std::string_view request, const std::string& cluster_name,
                                        const std::vector<alderspur::EndpointStatus>& endpoints,
                                        const AddressLookup& address_of);

}  // namespace alderspur::xds
