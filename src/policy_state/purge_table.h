// The purges that a router has received lately.
#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "alderspur/router.h"

namespace alderspur::policy {

/// The latest purge of each object and group, and of everything. No decisions. Owned by
/// RoutingContext; one thread.
class PurgeTable {
 public:
  /// Records a purge that was received at `now`.
  void record(const Purge& purge, Time now);
  /// When the object of a request, its group or everything was last purged; -1: not lately.
  Time last_purge(const Request& request) const;
  bool is_purged(const Request& request) const { return last_purge(request) >= 0; }
  /// Forgets the purges from before `time`.
  void forget_before(Time time);

 private:
  struct Key {
    bool is_object = false;  // else a group
    std::uint64_t id = 0;
    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Time> latest_;
  Time latest_of_everything_ = -1;  // -1: not lately
};

}  // namespace alderspur::policy
