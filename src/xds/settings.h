// Settings of the xDS server. Plain values; who reads them from a file is src/settings.
#pragma once

#include <string>

namespace alderspur::xds {

struct Settings {
  bool enabled = false;
  std::string listen;
  std::string cluster;  // the name under which the caches are listed
};

}  // namespace alderspur::xds
