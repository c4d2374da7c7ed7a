// The epoch of a start: greater than that of every start before, as long as the folder is kept, and
// than the wall clock's microseconds. In a file that is replaced whole.
#pragma once

#include <cstdint>
#include <string>

#include "core/deadlines.h"

namespace alderspur::cluster {

// Before anything is served: it syncs. `error`: what was found spoilt or could not be written; the
// epoch is then the clock's alone, and a clock that was set back may make it less than an earlier
// one.
std::uint64_t next_epoch(const std::string& folder, core::Time wall, std::string& error);

}  // namespace alderspur::cluster
