// The epoch of a start of this process: greater than that of every earlier start, as long as the
// state folder is kept, and at least the wall clock's microseconds. Stored in the file "epoch" of
// that folder, which is replaced whole.
#pragma once

#include <cstdint>
#include <string>

#include "core/deadlines.h"

namespace alderspur::cluster {

/// What was wrong with the stored epoch.
enum class EpochError {
  none,
  unreadable,         // the file cannot be read, or is corrupt
  unexpected_format,  // of another version, or no epoch file
  not_written,        // the new epoch could not be stored
};

struct EpochResult {
  /// With an error from the clock alone: if that was set back, less than an earlier one.
  std::uint64_t epoch = 0;
  EpochError error = EpochError::none;
  std::string reason;  // for the log; empty without an error
};

/// Reads the stored epoch and stores the next. `state_folder` empty: nothing is stored.
/// `wall_clock`: Unix time in microseconds. It syncs to disk: call it before serving starts.
EpochResult next_epoch(const std::string& state_folder, core::Time wall_clock);

}  // namespace alderspur::cluster
