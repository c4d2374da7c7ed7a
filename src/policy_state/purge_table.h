// Stores the purges that a router has received recently, so that no copy from before a purge is
// served.
#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "alderspur/router.h"

namespace alderspur::policy {

/// The times of the latest purge of each object, of each group and of everything. Owned by
/// RoutingContext. Not thread-safe.
class PurgeTable {
 public:
  /// Records a purge that was received at `now`. The purge itself happened Purge::age earlier.
  void record(const Purge& purge, Time now);
  /// Returns when the object of a request, its group or everything was last purged, or -1 if no
  /// such purge is stored. If the group is unknown, the purges of all groups count.
  Time last_purge(const Request& request) const;
  /// Reports whether a purge that applies to a request is stored.
  bool is_purged(const Request& request) const { return last_purge(request) >= 0; }
  /// Removes the purges from before `time`.
  void remove_before(Time time);

 private:
  struct Key {
    bool is_object = false;  // false: `id` is a GroupId
    std::uint64_t id = 0;
    auto operator<=>(const Key&) const = default;
  };

  /// Returns the time of the latest purge with this key, or -1 if none is stored.
  Time last_purge_of(const Key& key) const;

  std::map<Key, Time> latest_;
  Time latest_full_purge_ = -1;  // -1: none is stored
};

}  // namespace alderspur::policy
