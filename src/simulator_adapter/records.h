// Decodes the header and the records of the simulator's batches into the events of the router's
// interface. The functions perform no I/O and keep no state. Times are in microseconds.
//
// The settings of an instance name the fields of its load reports. Three fields are used:
// outstanding (requests in flight), utilization, and x1 (utilization of the link or of fills).
//
// Each `read_...` function that takes a reader consumes one value from it and throws WireError if
// the bytes end early. A code that this version does not define is read as the most conservative
// value: an unknown server status as gone, an unknown result of an attempt as an error.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "config/routing_settings.h"
#include "simulator_adapter/wire_reader.h"

namespace alderspur::simulator_adapter {

/// Record codes of a batch, as they are sent on the wire.
enum class RecordCode : std::uint8_t {
  start_instance = 1,
  endpoint_update = 2,
  request = 3,
  response_started = 4,
  outcome = 5,
  client_gone = 6,
  timer_expired = 7,
  health_check_result = 8,
  peer = 9,  // ignored
  stop_instance = 10,
  purge = 11,
  endpoint_list = 12
};

/// Size of an encoded batch header.
constexpr std::size_t kBatchHeaderBytes = 20;

/// Describes the batch that follows it.
struct BatchHeader {
  std::uint32_t length = 0;           // size of all records in bytes
  std::uint64_t clock = 0;            // simulated time in microseconds
  std::uint32_t record_count = 0;     // number of records
  std::uint32_t sequence_number = 0;  // number of the batch, which the reply repeats
};
/// Decodes a header from kBatchHeaderBytes bytes. Throws WireError if the clock is out of range.
BatchHeader read_header(std::string_view bytes);

/// Parses the settings of an instance. Throws WireError if the text is not a JSON object or does
/// not define any classes.
config::RoutingSettings read_settings(std::string_view json);

/// A server of a numbered endpoint list. The settings of an instance map its kind to a role.
struct ListedServer {
  alderspur::Server server;
  std::uint8_t kind = 0;
};

/// Decodes the count of an endpoint list and its servers.
std::vector<ListedServer> read_endpoint_list(WireReader& reader);

// Each of these functions decodes the event of one record. `names` are the names of the instance
// that the record names.
alderspur::Request read_request(WireReader& reader);
alderspur::ResponseStarted read_response_started(WireReader& reader);
alderspur::AttemptOutcome read_outcome(WireReader& reader, const config::Names& names);
alderspur::HealthCheckResult read_health_check(WireReader& reader, const config::Names& names);
alderspur::Purge read_purge(WireReader& reader);

}  // namespace alderspur::simulator_adapter
