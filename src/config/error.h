// The exception for invalid files and settings.
#pragma once

#include <stdexcept>

namespace alderspur::config {

/// Thrown if a file or a setting is invalid. The message is a single line for operators.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace alderspur::config
