// Reads the memory use of this process from the kernel.
#pragma once

#include <cstddef>
#include <optional>

namespace alderspur::admin {

/// Returns the anonymous memory of this process in bytes: what it has allocated itself, without
/// program and library files. Returns nothing if the kernel does not tell it.
std::optional<std::size_t> anonymous_memory();

}  // namespace alderspur::admin
