// What a voter keeps on its disk: term, vote, log entries and the newest snapshot, and the writes
// that change them. Values only; class LogStore puts them on the disk.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace alderspur::consensus {

/// Term and index of a log entry. Of two logs, the one with the greater position of its last entry
/// is more up to date.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

struct LogEntry {
  std::uint64_t term = 0;
  std::uint64_t type = 0;  // the Raft library's: command, barrier or change of the configuration
  std::string data;
};

/// A server of a Raft configuration.
struct RaftServer {
  std::string name;
  int role = 0;  // the Raft library's: RAFT_STANDBY, RAFT_VOTER or RAFT_SPARE
};

struct Configuration {
  std::uint64_t index = 0;  // of the log entry that set it
  std::vector<RaftServer> servers;
};

struct Snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  Configuration configuration;
  std::string data;  // of the replicated state machine
};

/// The content of a voter's disk.
struct PersistedLog {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;  // id of the candidate voted for in that term; 0: none
  std::uint64_t first_index = 1;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;

  /// True if nothing was ever written.
  bool is_empty() const { return term == 0 && !snapshot && entries.empty(); }
  std::uint64_t last_index() const { return first_index + entries.size() - 1; }
  std::uint64_t last_term() const {
    if (!entries.empty()) return entries.back().term;
    return snapshot ? snapshot->term : 0;
  }
};

// ---- Writes, each of which reaches the disk as a whole or not at all

/// Also clears the vote, which belongs to the earlier term.
struct SetTerm {
  std::uint64_t term = 0;
};
struct SetVote {
  std::uint64_t candidate_id = 0;
};
struct AppendEntries {
  std::uint64_t first_index = 0;
  std::vector<LogEntry> entries;
};
/// Removes the entry at that index and all after it.
struct TruncateFrom {
  std::uint64_t index = 0;
};
/// Replaces the snapshot and drops the entries that it covers, except for the last
/// `trailing_entries` of them. 0: drops all entries; the log goes on after the snapshot.
struct SaveSnapshot {
  Snapshot snapshot;
  std::uint64_t trailing_entries = 0;
};
/// Sets the whole log aside and starts with an empty one.
struct ResetLog {};

using LogWrite =
    std::variant<SetTerm, SetVote, AppendEntries, TruncateFrom, SaveSnapshot, ResetLog>;

}  // namespace alderspur::consensus
