// The configuration that the platform gives a router: a JSON file with its addresses and limits,
// the settings of the routing policy, and the last known events of service discovery. The
// platform's field names occur in the codecs only (config.cpp, routing_settings.h, watch_event.h).
// Reading blocks on the disk.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "config/error.h"
#include "config/routing_settings.h"
#include "config/watch_event.h"

namespace alderspur::config {

/// Times are microseconds.
struct Config {
  std::string name;               // of this router
  std::string listen;             // address for the platform's clients
  std::string discovery_address;  // of the service discovery server
  std::string operators_address;  // for operators' calls; empty: they cannot call
  std::string shared_directory;   // of all processes of this router; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  int max_descriptors = 1024;
  alderspur::Settings settings;
  Names names;
  std::int64_t connect_timeout = 400'000;
  std::int64_t idle_timeout = 30'000'000;  // after which a server closes an idle connection
  std::size_t max_requests_per_connection = 32;
  std::uint64_t known_event_number = 0;  // the last one that is covered by known_events
  std::vector<WatchEvent> known_events;
};

/// The whole file as text. Throws Error if it cannot be read.
std::string read_text(const std::string& path);
/// Throws Error if the text is not a configuration.
Config read(std::string_view text);
/// Throws Error if the file cannot be read or is not a configuration.
Config read_file(const std::string& path);

}  // namespace alderspur::config
