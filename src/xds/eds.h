// The endpoint discovery service of xDS (v3, REST with JSON): requests in, assignments out. No
// sockets.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"

namespace alderspur::xds {

struct Reply {
  int status = 200;
  std::string body;
};
// Answers one DiscoveryRequest for the cluster. 304 where the caller holds this version already.
Reply discover(std::string_view request, const std::string& cluster,
               const std::vector<alderspur::EndpointStatus>& standings,
               const std::function<std::string(alderspur::ServerId)>& address);

}  // namespace alderspur::xds
