// The error of files and settings that cannot be used.
#pragma once

#include <stdexcept>

namespace alderspur::config {

/// Its message is one line for operators.
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace alderspur::config
