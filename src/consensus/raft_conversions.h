// Conversions between the values of persisted_log.h and the structures of the Raft library. Memory
// of the library's structures is allocated with raft_malloc; the library takes ownership of it and
// frees it. The `to_raft_...` functions throw std::bad_alloc if there is no memory.
#pragma once

extern "C" {  // the library's header has no C++ guard
#include <raft.h>
}

#include <cstdint>
#include <string_view>
#include <vector>

#include "consensus/persisted_log.h"

namespace alderspur::consensus {

/// Returns the library's id of a server: a hash of its name, never 0.
std::uint64_t raft_id_of(std::string_view name);

/// Copies bytes into a buffer of the library.
raft_buffer to_raft_buffer(std::string_view bytes);
/// Returns a view of a buffer's bytes, valid as long as the buffer is.
std::string_view bytes_of(const raft_buffer& buffer);

/// Copies entries into an array whose data is in one batch of memory, because the library frees the
/// entries of a message that it rejects through the batch of the first entry. Returns null if there
/// are no entries.
raft_entry* to_raft_entries(const std::vector<LogEntry>& entries);
/// Copies `count` entries of the library.
std::vector<LogEntry> from_raft_entries(const raft_entry* entries, unsigned count);

/// Convert a Raft configuration; `index` is the index of the log entry that set it.
raft_configuration to_raft_configuration(const Configuration& configuration);
Configuration from_raft_configuration(const raft_configuration& configuration, std::uint64_t index);

/// Convert a snapshot with its configuration and its data.
raft_snapshot* to_raft_snapshot(const Snapshot& snapshot);
Snapshot from_raft_snapshot(const raft_snapshot& snapshot);

}  // namespace alderspur::consensus
