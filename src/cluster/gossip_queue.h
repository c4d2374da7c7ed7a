// Updates that are still to be sent to others: the latest of each member, the least often sent
// first, each sent a bounded number of times. No I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace alderspur::cluster {

class GossipQueue {
 public:
  /// Replaces what waits of the same member; it counts as never sent.
  void add(const GossipUpdate& update);
  /// Up to `max_count` updates for one message. An update leaves the queue once it has been taken
  /// `max_transmissions` times.
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
  std::set<Position> order_;                           // of entries_
};

}  // namespace alderspur::cluster
