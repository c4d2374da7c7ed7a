#include "config/config.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "config/json_value.h"

namespace alderspur::config {
namespace {

constexpr std::uint32_t kMinDescriptors = 32;
constexpr std::uint32_t kMaxDescriptors = 1 << 20;
/// The part of the memory limit that requests may use which are remembered after their end, and the
/// memory that each of them takes.
constexpr std::size_t kHistoryMemoryDivisor = 32;
constexpr std::size_t kBytesPerRememberedRequest = 256;

// The platform's field names: "board" is the address of the service discovery server, "operator"
// the address for operators' calls, "sockets" the limit on descriptors, and "flow_bytes_per_s" the
// maximum transfer rate of a response body. "known" holds the most
// recent events of service discovery ("notices") and the number up to which they cover all events
// ("rev").

void read_process(const JsonValue& value, Config& config) {
  config.name = to_text(member(value, "name"));
  config.listen = to_text(member(value, "listen"));
  config.discovery_address = to_text(member(value, "board"));
  config.operators_address = to_text(member(value, "operator"));
  config.transfer_bytes_per_second = to_double(member(value, "flow_bytes_per_s"));
  config.seed = parse_hex(to_text(member(value, "seed"))).value_or(0);
  const JsonValue& limits = member(value, "limits");
  const auto default_memory = static_cast<std::uint32_t>(config.memory_mb);
  const auto default_descriptors = static_cast<std::uint32_t>(config.max_descriptors);
  config.memory_mb = to_count(member(limits, "memory_mb"), default_memory);
  const std::uint32_t descriptors = to_count(member(limits, "sockets"), default_descriptors);
  config.max_descriptors =
      static_cast<int>(std::clamp(descriptors, kMinDescriptors, kMaxDescriptors));
}

void read_connections(const JsonValue& limits, Config& config) {
  const auto default_requests = static_cast<std::uint32_t>(config.max_requests_per_connection);
  config.connect_timeout = to_time(member(limits, "dial-timeout"), config.connect_timeout);
  config.idle_timeout = to_time(member(limits, "idle-close"), config.idle_timeout);
  config.max_requests_per_connection =
      std::max(1u, to_count(member(limits, "streams-per-conn"), default_requests));
}

void read_known_events(const JsonValue& known, Config& config) {
  const JsonValue& number = member(known, "rev");
  config.known_event_number = number.IsUint64() ? number.GetUint64() : 0;
  const JsonValue& events = member(known, "notices");
  for (std::size_t i = 0; i < element_count(events); ++i) {
    if (auto event = read_watch_event(element(events, i), config.names)) {
      config.known_events.push_back(std::move(*event));
    }
  }
}

}  // namespace

std::string read_text(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) throw Error("cannot read the configuration file " + path);
  return text.str();
}

Config read(std::string_view text) {
  const auto document = parse_json(text);
  if (!document.IsObject()) throw Error("the configuration is not a JSON object");
  Config config;
  read_process(document, config);
  const JsonValue& settings = member(document, "settings");
  if (!settings.IsObject()) throw Error("the configuration has no \"settings\" object");
  RoutingSettings routing = read_routing_settings(settings);
  config.settings = std::move(routing.settings);
  config.settings.max_remembered_requests =
      (config.memory_mb << 20) / kHistoryMemoryDivisor / kBytesPerRememberedRequest;
  config.names = std::move(routing.names);
  read_connections(member(settings, "ceilings"), config);
  read_known_events(member(document, "known"), config);
  return config;
}

Config read_file(const std::string& path) { return read(read_text(path)); }

}  // namespace alderspur::config
