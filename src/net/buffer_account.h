// Counts the memory that the connections of an event loop hold for bytes that are not sent or not
// read yet, connections in a lingering close included.
#pragma once

#include <cstddef>

namespace alderspur::net {

/// Sums over connections, in bytes.
struct BufferAccount {
  std::size_t unsent = 0;  // accepted for sending but not sent
  std::size_t unread = 0;  // received but not consumed
  std::size_t held = 0;    // memory allocated for both
};

}  // namespace alderspur::net
