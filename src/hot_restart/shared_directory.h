// The directory ($TMPDIR) that the processes of one router share while one process replaces
// another.
//
// The names of its files contain the router's key, which is the address for clients:
//   .bans.a and .bans.b   the list of bans, written alternately. Each file is replaced atomically,
//                         synced, and verified by a checksum when it is read, so that no ban is
//                         lost when one file is damaged.
//   .lock                 the file lock under which the list of bans is changed
//   .place0 to .place3    the slots. Each process holds one slot through a file lock, which the
//                         kernel releases when the process ends. The file contains its SlotRecord.
//
// Every function may block on the disk. Call them on a worker thread, never on the event loop's
// thread. No function throws; errors are returned as SharedDirectoryError.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "hot_restart/ban_store.h"
#include "hot_restart/process_status.h"
#include "net/connection.h"
#include "store/state_file.h"

namespace alderspur::hot_restart {

/// Other processes hold all slots.
struct NoFreeSlot {
  std::string path_prefix;
};
/// A file is intact, but its format is not that of this version.
struct UnknownFormat {
  std::string path;
};
/// The disk did not respond in time.
struct NotResponding {};
/// The change was refused because too many changes already wait to be stored on the disk.
struct TooManyPendingChanges {};

/// The reason why an operation on the shared directory failed.
using SharedDirectoryError =
    std::variant<store::FileError, NoFreeSlot, UnknownFormat, NotResponding, TooManyPendingChanges>;
/// Returns a description of the error for logs and operators.
std::string to_string(const SharedDirectoryError& error);

/// The combined statuses of the router's other live processes.
struct PeerSummary {
  std::uint32_t count = 0;
  bool has_successor = false;  // a process that started after this one is serving
  // Whether each of the other processes has found at least one peer. With a single other process,
  // that peer is this process.
  bool all_have_found_a_peer = true;
  double share = 0;              // sum over the other processes
  double request_rate = 0;       // sum over the other processes, per second
  double concurrency_limit = 0;  // maximum over the other processes
};

/// The list of bans that was read from the disk. `error` is set if one of the two files was
/// unusable; the list then comes from the other file, or is empty if that is unusable as well.
struct BanReadResult {
  BanList list;
  std::optional<SharedDirectoryError> error;
};
/// The list of bans after a change. If `error` is set, the change is not stored on the disk.
struct BanChangeResult {
  BanList list;
  std::optional<SharedDirectoryError> error;
};

/// Gives one process access to the shared directory. Functions that return an optional error have
/// succeeded if it is empty. Not thread-safe.
class SharedDirectory {
 public:
  /// The names of the files start with `path`/alderspur-`key`, with '-' for '/' and ':' in the key.
  SharedDirectory(std::string path, std::string_view key);

  /// Claims a free slot and publishes a default status in it.
  std::optional<SharedDirectoryError> claim_slot();
  /// Publishes this process's status. If the process holds no slot, claims one instead.
  std::optional<SharedDirectoryError> publish(const ProcessStatus& status);
  /// Reads the statuses of the other processes that hold a slot.
  PeerSummary read_peers();
  /// Raises the share in `status` towards `wanted`, as far as the peers' shares allow, and
  /// publishes the status. Leaves the share as it was if the raise cannot be published or conflicts
  /// with a concurrent raise by a peer.
  std::optional<SharedDirectoryError> raise_share(ProcessStatus& status, double wanted);

  /// Reads both files and returns the list with the higher serial number.
  BanReadResult read_bans() const;
  /// Applies the change to the newer of `known` and the list on the disk, and writes the result
  /// unless the disk holds it already. Holds the file lock meanwhile.
  BanChangeResult change_ban(const BanList& known, const BanChange& change);
  /// Writes `known` to the disk if the list there is older or damaged.
  std::optional<SharedDirectoryError> restore_bans(const BanList& known);

 private:
  std::string path_of(std::string_view suffix) const { return path_prefix_ + std::string(suffix); }
  std::string slot_path(int slot) const;
  std::optional<SharedDirectoryError> write_bans(const BanList& list);
  void add_peer_in_slot(int slot, PeerSummary& summary) const;

  const std::string path_prefix_;
  net::Fd slot_file_;
  std::int64_t claimed_at_ = 0;  // microseconds since the machine's boot
  int slot_ = -1;                // -1 while the process holds no slot
};

}  // namespace alderspur::hot_restart
