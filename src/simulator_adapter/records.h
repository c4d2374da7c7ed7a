// The records of the simulator's batches: codes, header and the decoding of records into the events
// of the router's interface. No I/O and no state; times are microseconds.
//
// The names of the fields of a load report come from an instance's settings; the ones that are used
// are outstanding (requests in flight), utilization and x1 (utilization of the link or of fills).
//
// Every `read_...` takes one value from the reader and throws WireError if the bytes end early.
// What this version does not know is read as the most careful value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "config/routing_settings.h"
#include "simulator_adapter/wire_reader.h"

namespace alderspur::simulator_adapter {

/// Records of a batch, by their code on the wire.
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

constexpr std::size_t kBatchHeaderBytes = 20;

/// The header of a batch.
struct BatchHeader {
  std::uint32_t length = 0;   // bytes of the records
  std::uint64_t clock = 0;    // microseconds
  std::uint32_t records = 0;  // number of records
  std::uint32_t number = 0;   // of the batch; repeated in the reply
};
/// From kBatchHeaderBytes bytes. Throws WireError if the clock is out of range.
BatchHeader read_header(std::string_view bytes);

/// The settings of an instance. Throws WireError if the text is not a JSON object or names no
/// classes.
config::RoutingSettings read_settings(std::string_view json);

/// A server of a numbered endpoint list. Its role follows from the kind, by an instance's settings.
struct ListedServer {
  alderspur::Server server;
  std::uint8_t kind = 0;
};
std::vector<ListedServer> read_endpoint_list(WireReader& reader);

// `names`: of the instance that the record concerns.
alderspur::Request read_request(WireReader& reader);
alderspur::ResponseStarted read_response_started(WireReader& reader);
alderspur::AttemptOutcome read_outcome(WireReader& reader, const config::Names& names);
alderspur::HealthCheckResult read_health_check(WireReader& reader, const config::Names& names);
alderspur::Purge read_purge(WireReader& reader);

}  // namespace alderspur::simulator_adapter
