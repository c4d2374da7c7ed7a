// The manual bans of one router, as all of its processes share them. No I/O, no clock.
//
// The bans in effect here are the list last read from the disk, overlaid with the changes that have
// not reached the disk yet: a ban takes effect as soon as it is requested, and reading an older
// list meanwhile does not undo it. Each change of the list increments its serial number; the list
// with the higher serial wins. Processes change the list on the disk one after the other (see
// SharedDirectory), so that of two concurrent changes neither is lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::hot_restart {

constexpr std::size_t kMaxBans = 4096;
constexpr std::size_t kMaxBanFileBytes = 1 << 20;
constexpr std::size_t kMaxPendingChanges = 24;  // changes waiting for the disk

/// The list of banned servers as it stands in a file.
struct BanList {
  std::uint64_t serial = 0;
  std::set<std::string> servers;
  bool operator==(const BanList&) const = default;
};
/// The text of a list, as decode_ban_list() reads it.
std::string encode(const BanList& list);
/// Returns nothing if the payload does not have the format of this version.
std::optional<BanList> decode_ban_list(std::string_view payload);

/// One server is banned, or its ban is lifted.
struct BanChange {
  std::string server;
  bool is_banned = false;
};
/// Adds the server to the set or removes it.
void apply_change(const BanChange& change, std::set<std::string>& servers);

/// The bans in effect in this process, with the changes that still wait for the disk.
class BanStore {
 public:
  /// Puts a requested change into effect; it is pending until on_saved() or on_save_failed().
  void begin_change(const BanChange& change);
  /// The oldest pending change has reached the disk, which now holds `list`.
  void on_saved(const BanList& list);
  /// The oldest pending change could not be saved. It stays in effect and can be retried.
  void on_save_failed();
  /// The list was read from the disk, perhaps as another process left it.
  void on_list_read(const BanList& list);

  /// Whether a ban of the server is in effect.
  bool is_banned(const std::string& server) const;
  /// Whether no change of this server waits for the disk.
  bool is_saved(const std::string& server) const;
  /// The changes of the bans in effect since the last call.
  std::vector<BanChange> take_effective_changes();
  /// The newest list known to be on the disk.
  const BanList& saved_list() const { return saved_list_; }
  /// Whether no further change can be accepted now.
  bool is_full() const {
    return pending_.size() >= kMaxPendingChanges || reported_.size() >= kMaxBans;
  }
  /// Makes failed changes pending again, as many as there is room for, and returns them.
  std::vector<BanChange> retry_failed_changes();

 private:
  void adopt_if_newer(const BanList& list);

  BanList saved_list_;
  std::vector<BanChange> pending_;  // being saved, oldest first
  std::vector<BanChange> failed_;   // not saved; laid over saved_list_ before pending_
  std::set<std::string> reported_;  // the bans as take_effective_changes() last reported them
};

}  // namespace alderspur::hot_restart
