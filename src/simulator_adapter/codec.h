// The simulator's wire: batches of records in, actions out, and their translation to the router's
// interface. Numbers are little-endian, times microseconds. No I/O; one thread.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "config/config.h"

namespace alderspur::simulator_adapter {

/// A malformed frame; what() says what is wrong with it.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kBatchHeader = 20;

struct BatchHeader {
  std::uint32_t length = 0;
  std::uint64_t clock = 0;
  std::uint32_t records = 0;
  std::uint32_t number = 0;
};
/// From kBatchHeader bytes. Throws WireError if the clock is out of range.
BatchHeader read_header(std::string_view bytes);

/// Settings as the wire states them. Throws WireError if they are not a JSON object or lack a class
/// list.
config::RoutingSettings read_settings(std::string_view json);

/// Hosts the router instances that the frames speak of. They share nothing but the numbered lists.
class Host {
 public:
  Host();
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  /// One batch in, the complete reply out. Throws WireError on a malformed frame.
  std::string answer(const BatchHeader& header, std::string_view body);

 private:
  struct Instance;
  class Batch;
  struct ListedServer {
    alderspur::Server server;
    std::uint8_t kind = 0;
  };
  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint32_t, std::vector<ListedServer>> lists_;
};

}  // namespace alderspur::simulator_adapter
