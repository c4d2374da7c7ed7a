// The configuration that the platform provides for a router: a JSON file with the router's
// addresses and limits, the settings of the routing policy, and the most recent events of service
// discovery. The platform's field names occur only in the codecs (config.cpp, routing_settings.cpp,
// watch_event.cpp). The functions that take a path block while they read the file.
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

/// The configuration of a router. Times are in microseconds.
struct Config {
  std::string name;               // name of this router
  std::string listen;             // address on which clients of the platform are accepted
  std::string discovery_address;  // address of the service discovery server
  std::string operators_address;  // address on which operators' calls are accepted; empty: none
  std::string shared_directory;   // shared by all processes of this router; empty: none
  std::uint64_t seed = 0;         // of all random choices of this router
  std::size_t memory_mb = 192;    // limit on the memory of this router
  int max_descriptors = 1024;     // limit on open file descriptors
  /// The maximum transfer rate of a response body; 0: unknown.
  double transfer_bytes_per_second = 0;
  alderspur::Settings settings;
  Names names;
  std::int64_t connect_timeout = 400'000;
  std::int64_t idle_timeout = 30'000'000;  // after which a server closes an idle connection
  std::size_t max_requests_per_connection = 32;
  std::uint64_t known_event_number = 0;  // known_events cover all events up to this number
  std::vector<WatchEvent> known_events;  // of service discovery, applied at start
};

/// Reads the whole file as text. Throws Error if it cannot be read.
std::string read_text(const std::string& path);
/// Parses a configuration. Throws Error if the text is not a valid configuration.
Config read(std::string_view text);
/// Reads and parses a configuration file. Throws Error if the file cannot be read or is not a valid
/// configuration.
Config read_file(const std::string& path);

}  // namespace alderspur::config
