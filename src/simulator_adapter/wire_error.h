// The error of the simulator's wire protocol.
#pragma once

#include <stdexcept>

namespace alderspur::simulator_adapter {

/// A malformed frame, or input or output that ends early; what() describes it.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace alderspur::simulator_adapter
