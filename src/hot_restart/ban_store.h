// The manual bans of one router, which all of its processes share. This module does no I/O and
// reads no clock.
//
// The bans in effect in a process are the list last read from the disk, overlaid with the changes
// that are not stored on the disk yet. A ban therefore takes effect as soon as it is requested, and
// reading an older list in the meantime does not undo it. Each change of the list increments its
// serial number, and the list with the higher serial number wins. Processes change the list on the
// disk one after the other (see SharedDirectory), so neither of two concurrent changes is lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::hot_restart {

/// The largest number of servers in a list.
constexpr std::size_t kMaxBans = 4096;
/// The largest size of a ban file that is read.
constexpr std::size_t kMaxBanFileBytes = 1 << 20;
/// The largest number of changes that wait to be stored on the disk.
constexpr std::size_t kMaxPendingChanges = 24;

/// The list of banned servers, as it is stored in a file.
struct BanList {
  std::uint64_t serial = 0;  // incremented by each change
  std::set<std::string> servers;
  bool operator==(const BanList&) const = default;
};
/// Returns the text form of a list, which decode_ban_list() reads.
std::string encode(const BanList& list);
/// Parses the text form of a list. Returns nothing if `payload` is not in the format of this
/// version.
std::optional<BanList> decode_ban_list(std::string_view payload);

/// A request to ban one server, or to lift its ban.
struct BanChange {
  std::string server;
  bool is_banned = false;
};
/// Adds the server to `servers` if the change bans it, and removes it otherwise.
void apply_change(const BanChange& change, std::set<std::string>& servers);

/// Holds the bans in effect in this process, including the changes that are not stored on the disk
/// yet. Not thread-safe.
class BanStore {
 public:
  /// Puts a requested change into effect; it is pending until on_saved() or on_save_failed().
  void begin_change(const BanChange& change);
  /// Records that the oldest pending change is stored on the disk, which now holds `list`.
  void on_saved(const BanList& list);
  /// Records that the oldest pending change could not be saved. It stays in effect and can be
  /// retried.
  void on_save_failed();
  /// Adopts a list that was read from the disk if it is newer than the one held here. Another
  /// process may have written it.
  void on_list_read(const BanList& list);

  /// Reports whether a ban of the server is in effect.
  bool is_banned(const std::string& server) const;
  /// Reports whether every change of this server is stored on the disk.
  bool is_saved(const std::string& server) const;
  /// Returns how the bans in effect have changed since the last call.
  std::vector<BanChange> take_effective_changes();
  /// Returns the newest list that is known to be stored on the disk.
  const BanList& saved_list() const { return saved_list_; }
  /// Reports whether the change can be accepted at present.
  bool has_room_for(const BanChange& change) const;
  /// Makes failed changes pending again, up to kMaxPendingChanges in total, and returns them.
  std::vector<BanChange> retry_failed_changes();

 private:
  void adopt_if_newer(const BanList& list);

  BanList saved_list_;
  std::vector<BanChange> pending_;  // changes that are being saved, oldest first
  std::vector<BanChange> failed_;   // unsaved changes; applied to saved_list_ before pending_
  std::set<std::string> reported_;  // the bans that take_effective_changes() reported last
};

}  // namespace alderspur::hot_restart
