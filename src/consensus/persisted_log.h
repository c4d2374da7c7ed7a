// The persistent state of a voter (term, vote, log entries and the newest snapshot) and the writes
// that change it, as plain values. LogStore keeps them on the disk.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace alderspur::consensus {

/// The term and index of a log entry. Of two logs, the one whose last entry has the greater
/// position is more up to date.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  auto operator<=>(const LogPosition&) const = default;
};

/// An entry of the Raft log.
struct LogEntry {
  std::uint64_t term = 0;
  std::uint64_t type = 0;  // the library's code: RAFT_COMMAND, RAFT_BARRIER or RAFT_CHANGE
  std::string data;
};

/// A server of a Raft configuration.
struct RaftServer {
  std::string name;
  int role = 0;  // the library's code: RAFT_STANDBY, RAFT_VOTER or RAFT_SPARE
};

/// A Raft configuration.
struct Configuration {
  std::uint64_t index = 0;  // of the log entry that set it
  std::vector<RaftServer> servers;
};

/// A snapshot of the replicated state machine.
struct Snapshot {
  std::uint64_t index = 0;  // of the last log entry that it covers
  std::uint64_t term = 0;   // of this entry
  Configuration configuration;
  std::string data;  // see AppliedState::snapshot()
};

/// The persistent state of a voter.
struct PersistedLog {
  std::uint64_t term = 0;
  std::uint64_t vote = 0;  // id of the candidate voted for in that term; 0: none
  std::uint64_t first_index = 1;
  std::optional<Snapshot> snapshot;
  std::vector<LogEntry> entries;

  /// Returns true if nothing has ever been written.
  bool is_empty() const { return term == 0 && !snapshot && entries.empty(); }
  /// Returns the index of the last entry; `first_index` - 1 if there are no entries.
  std::uint64_t last_index() const { return first_index + entries.size() - 1; }
  /// Returns the term of the last entry, or of the snapshot if there are no entries.
  std::uint64_t last_term() const {
    if (!entries.empty()) return entries.back().term;
    return snapshot ? snapshot->term : 0;
  }
};

// ---- Writes; each is atomic

/// Sets the term and clears the vote, which belongs to the earlier term.
struct SetTerm {
  std::uint64_t term = 0;
};
/// Records the vote in the current term.
struct SetVote {
  std::uint64_t candidate_id = 0;  // see raft_id_of()
};
/// Appends entries; `first_index` is the index of the first of them.
struct AppendEntries {
  std::uint64_t first_index = 0;
  std::vector<LogEntry> entries;
};
/// Removes the entry at `index` and all entries after it.
struct TruncateFrom {
  std::uint64_t index = 0;
};
/// Replaces the snapshot and removes the entries that it covers, except for the last
/// `trailing_entries` of them. With 0, removes all entries; the next entry is the one after the
/// snapshot.
struct SaveSnapshot {
  Snapshot snapshot;
  std::uint64_t trailing_entries = 0;
};
/// Renames the files of the log and starts with an empty log.
struct ResetLog {};

using LogWrite =
    std::variant<SetTerm, SetVote, AppendEntries, TruncateFrom, SaveSnapshot, ResetLog>;

}  // namespace alderspur::consensus
