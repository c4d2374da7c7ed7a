// Settings of the xDS discovery server. Plain values; src/settings reads them from a file.
#pragma once

#include <string>

namespace alderspur::xds {

struct Settings {
  bool enabled = false;
  std::string listen;   // "host:port"
  std::string cluster;  // the name of the cluster under which the endpoints are listed
};

}  // namespace alderspur::xds
