// Defines the error type of the simulator's wire protocol.
#pragma once

#include <stdexcept>

namespace alderspur::simulator_adapter {

/// Reports a malformed batch, invalid settings, input that ends early, or a reply that cannot be
/// written. what() describes the failure.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace alderspur::simulator_adapter
