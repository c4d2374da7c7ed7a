// Assigns an epoch to each start of this process. The epoch is greater than the epoch of every
// earlier start, as long as the state folder is kept, and not less than the wall clock time in
// microseconds. It is stored in the file "epoch" of the state folder, which is replaced atomically.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/deadlines.h"

namespace alderspur::cluster {

/// What went wrong when the stored epoch was read or replaced.
enum class EpochError {
  none,
  unreadable,         // the file cannot be read or is corrupt
  unexpected_format,  // the file was written by another version or is not an epoch file
  not_written,        // the new epoch could not be stored
};

/// The epoch of this start, and the error that occurred, if any.
struct EpochResult {
  /// If the stored epoch could not be read, this is derived from the clock alone. It is then less
  /// than an earlier epoch if the clock was set back in between.
  std::uint64_t epoch = 0;
  /// The epoch of the previous start; nothing if there was none or an error occurred. If it is set,
  /// no later start has the same previous epoch.
  std::optional<std::uint64_t> previous;
  EpochError error = EpochError::none;
  std::string reason;  // for the log; empty if there is no error
};

/// Reads the stored epoch, stores the next one and returns it. If `state_folder` is empty, nothing
/// is read or stored. `wall_clock` is Unix time in microseconds. The function waits for a disk
/// sync, so call it before the router starts to serve requests.
EpochResult next_epoch(const std::string& state_folder, core::Time wall_clock);

}  // namespace alderspur::cluster
