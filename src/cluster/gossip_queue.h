// Holds the membership updates that still have to be sent to other members. The queue keeps the
// latest update on each member, returns the updates that were sent least often first, and drops an
// update after a bounded number of transmissions. It does no I/O and is not thread-safe.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace alderspur::cluster {

/// A queue of updates, ordered by the number of times that each was sent.
class GossipQueue {
 public:
  /// Adds an update that counts as never sent. It replaces a queued update on the same member.
  void add(const GossipUpdate& update);
  /// Returns up to `max_count` updates for one message. An update is removed from the queue once it
  /// has been taken `max_transmissions` times.
  std::vector<GossipUpdate> take(std::size_t max_count, std::size_t max_transmissions);
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

 private:
  struct Entry {
    GossipUpdate update;
    std::size_t transmissions = 0;
  };
  struct Position {
    std::size_t transmissions = 0;
    std::string name;
    auto operator<=>(const Position&) const = default;
  };
  std::map<std::string, Entry, std::less<>> entries_;  // by the member's name
  std::set<Position> order_;  // one position for each entry, the least often sent first
};

}  // namespace alderspur::cluster
