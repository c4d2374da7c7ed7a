// The bans by hand of one router, as its processes hold them together. No I/O, no clock.
//
// What is in force here is the list last known from the disk with the changes laid over it that are
// still on their way there: a ban binds from the moment it is called, and no older list read
// meanwhile takes it back. Lists carry a serial that grows with each change; the higher one holds.
// The processes change the list one after the other (see Folder), so that two changes at once are
// both kept, in some order.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::hot_restart {

constexpr std::size_t kBansMost = 4096, kBanFileMost = 1 << 20;
constexpr std::size_t kUnderWayMost = 24;  // changes that wait for the disk

struct Bans {
  std::uint64_t serial = 0;
  std::set<std::string> names;
  bool operator==(const Bans&) const = default;
};
std::string encode(const Bans& bans);
std::optional<Bans> decode_bans(std::string_view payload);  // empty: not this version's form

struct BanChange {
  std::string name;
  bool out = false;
};
void carry_out(const BanChange& change, std::set<std::string>& names);

class BanStore {
 public:
  // A call. What is in force has changed by exactly this, or by nothing.
  void call(const BanChange& change);
  // The oldest call under way has reached the disk, which then held `list`; or it has not, and
  // stays laid over.
  void saved(const Bans& list);
  void not_saved();
  // The list was read, perhaps as another process left it.
  void seen(const Bans& list);

  bool in_force(const std::string& name) const;
  bool settled(const std::string& name) const;  // no change of it waits for the disk
  // What has changed of what is in force since the last call of this, for the core.
  std::vector<BanChange> take();
  const Bans& list() const { return list_; }
  bool full() const { return under_way_.size() >= kUnderWayMost || told_.size() >= kBansMost; }
  // Calls that did not reach the disk, to be tried again: now under way once more. As many as there
  // is room for.
  std::vector<BanChange> again();

 private:
  void adopt(const Bans& list);
  Bans list_;
  std::vector<BanChange> under_way_, unsaved_;
  std::set<std::string> told_;
};

}  // namespace alderspur::hot_restart
