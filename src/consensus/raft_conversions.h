// Conversions between the values of this folder and the structures of the Raft library, whose
// memory the library owns and frees (raft_malloc). Running out of memory throws std::bad_alloc.
#pragma once

extern "C" {  // the library's header does not say so itself
#include <raft.h>
}

#include <cstdint>
#include <string_view>
#include <vector>

#include "consensus/persisted_log.h"

namespace alderspur::consensus {

/// The library's id of a server, a hash of its name; never 0.
std::uint64_t raft_id_of(std::string_view name);

raft_buffer to_raft_buffer(std::string_view bytes);
std::string_view bytes_of(const raft_buffer& buffer);

/// An array of entries in one batch of memory: the library frees the entries of a message that it
/// rejects by the first one's batch. Null if there are none.
raft_entry* to_raft_entries(const std::vector<LogEntry>& entries);
std::vector<LogEntry> from_raft_entries(const raft_entry* entries, unsigned count);

raft_configuration to_raft_configuration(const Configuration& configuration);
Configuration from_raft_configuration(const raft_configuration& configuration, std::uint64_t index);

raft_snapshot* to_raft_snapshot(const Snapshot& snapshot);
Snapshot from_raft_snapshot(const raft_snapshot& snapshot);

}  // namespace alderspur::consensus
