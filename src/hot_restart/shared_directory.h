// The directory ($TMPDIR) that the processes of one router share while one replaces the other.
//
// Its files bear the router's key (its clients' address):
//   .bans.a and .bans.b   the list of bans, written alternately; each is replaced whole, synced,
//                         and checked when read, so that one damaged file loses no ban
//   .lock                 the lock under which the list of bans is changed
//   .place0 to .place3    slots, one held by each process through a file lock that the kernel
//                         releases when the process ends; the text is its SlotRecord
//
// Every function may block on the disk: call them on a worker thread, never on the event loop's.
// Nothing throws; errors are returned as SharedDirectoryError.
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

/// All slots are held by other processes.
struct NoFreeSlot {
  std::string path_prefix;
};
/// A file is intact, but not in the format of this version.
struct UnknownFormat {
  std::string path;
};
/// The disk did not answer in time.
struct NotResponding {};
/// Too many changes wait for the disk already.
struct TooManyPendingChanges {};

using SharedDirectoryError =
    std::variant<store::FileError, NoFreeSlot, UnknownFormat, NotResponding, TooManyPendingChanges>;
/// A text for logs and operators.
std::string to_string(const SharedDirectoryError& error);

/// What the other live processes of the router publish, taken together.
struct PeerSummary {
  std::uint32_t count = 0;
  bool has_successor = false;    // one that started after this process is serving
  bool all_know_a_peer = true;   // if they all do and there is only this one, they know this one
  double share = 0;              // sum
  double request_rate = 0;       // sum
  double concurrency_limit = 0;  // maximum
};

/// The list of bans as found on the disk; `error`: one of the files was unusable.
struct BanReadResult {
  BanList list;
  std::optional<SharedDirectoryError> error;
};
/// The list of bans after a change; with an `error`, the change is not on the disk.
struct BanChangeResult {
  BanList list;
  std::optional<SharedDirectoryError> error;
};

/// One process's access to the shared directory. Functions that return an optional error succeeded
/// if it is empty.
class SharedDirectory {
 public:
  /// The files are named `path`/alderspur-`key`.*
  SharedDirectory(std::string path, std::string_view key);

  /// Claims a free slot and publishes a default status in it.
  std::optional<SharedDirectoryError> claim_slot();
  /// Publishes this process's status. Without a slot, claims one instead.
  std::optional<SharedDirectoryError> publish(const ProcessStatus& status);
  /// Reads the statuses of the other processes that hold a slot.
  PeerSummary read_peers();
  /// Raises the share in `status` towards `wanted`, as far as the peers' shares allow, and
  /// publishes it.
  std::optional<SharedDirectoryError> raise_share(ProcessStatus& status, double wanted);

  /// Reads the newer of the two files.
  BanReadResult read_bans() const;
  /// Under the lock: applies the change to the newer of the disk's list and `known`, and writes it.
  BanChangeResult change_ban(const BanList& known, const BanChange& change);
  /// Writes `known` again if the list on the disk is older or damaged.
  std::optional<SharedDirectoryError> restore_bans(const BanList& known);

 private:
  std::string path_of(std::string_view suffix) const { return path_prefix_ + std::string(suffix); }
  std::string slot_path(int slot) const;
  std::optional<SharedDirectoryError> write_bans(const BanList& list);
  void add_peer_in_slot(int slot, PeerSummary& summary) const;

  const std::string path_prefix_;
  net::Fd slot_file_;
  std::int64_t claimed_at_ = 0;  // microseconds of the machine's uptime
  int slot_ = -1;
};

}  // namespace alderspur::hot_restart
