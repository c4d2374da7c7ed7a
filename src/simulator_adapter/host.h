// Hosts the router instances that the simulator's batches speak of: records in, actions out. The
// layout of records and actions is in records.h and actions.h. No I/O; one thread; times are
// microseconds.
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

/// Instances share nothing but the numbered endpoint lists.
class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  /// Processes the records of one batch and returns the complete reply. Throws WireError on a
  /// malformed frame.
  std::string answer(const BatchHeader& header, std::string_view body);

 private:
  struct Instance;
  class Batch;
  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint32_t, std::vector<ListedServer>> endpoint_lists_;
};

}  // namespace alderspur::simulator_adapter
