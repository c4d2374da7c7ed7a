// Runs the router instances of a simulation. The host decodes each batch of records, passes the
// events to the instances and encodes their actions. records.h and actions.h define the layout of
// records and actions. The host performs no I/O and is not thread-safe. Times are in microseconds.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "config/routing_settings.h"
#include "simulator_adapter/records.h"

namespace alderspur::simulator_adapter {

/// Owns the router instances, by instance number. The instances share only the endpoint lists,
/// which are numbered as well.
class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  /// Processes the records of one batch and returns the complete reply. `body` holds the records
  /// that follow the header. Throws WireError if the batch is malformed.
  std::string process_batch(const BatchHeader& header, std::string_view body);

 private:
  struct Instance;
  class Batch;
  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint32_t, std::vector<ListedServer>> endpoint_lists_;
};

}  // namespace alderspur::simulator_adapter
