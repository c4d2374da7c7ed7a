// Settings of the xDS discovery server, as plain values. src/settings reads them from a file.
#pragma once

#include <string>

namespace alderspur::xds {

/// Configuration of the discovery server.
struct Settings {
  bool enabled = false;
  std::string listen;   // "host:port"
  std::string cluster;  // name of the cluster that lists the endpoints
};

}  // namespace alderspur::xds
