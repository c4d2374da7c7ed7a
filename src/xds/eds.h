// Implements the endpoint discovery service (EDS) of xDS version 3 in its REST form with JSON. It
// answers discovery requests with cluster load assignments. The functions use no sockets and share
// no state; xds/server.h serves them over HTTP.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"

namespace alderspur::xds {

/// The response to a discovery request.
struct DiscoveryReply {
  int status = 200;  // HTTP status
  std::string body;  // a DiscoveryResponse as JSON; empty unless the status is 200
};

/// Returns the address of a server as "host:port", or an empty text if it is unknown.
using AddressLookup = std::function<std::string(alderspur::ServerId)>;

/// Answers one DiscoveryRequest, which is given as JSON. The resource is the cluster `cluster_name`
/// with all endpoints whose address is known and whose status is not `gone`. The status is 304 if
/// the request names the current version, and 400 if the request is malformed or is for another
/// resource type.
DiscoveryReply answer_discovery_request(std::string_view request, const std::string& cluster_name,
                                        const std::vector<alderspur::EndpointStatus>& endpoints,
                                        const AddressLookup& address_of);

}  // namespace alderspur::xds
