#include "cluster/gossip_queue.h"

#include <algorithm>
#include <iterator>

namespace alderspur::cluster {

void GossipQueue::add(const GossipUpdate& update) {
  const std::string& name = update.identity.name;
  Entry& entry = entries_[name];
  order_.erase({entry.transmissions, name});
  entry.update = update;
  entry.transmissions = 0;
  order_.insert({0, name});
}

std::vector<GossipUpdate> GossipQueue::take(std::size_t max_count, std::size_t max_transmissions) {
  // All updates are chosen before any is put back. Otherwise an update that is put back could be
  // ordered before the others and be chosen again.
  const auto count = static_cast<std::ptrdiff_t>(std::min(max_count, order_.size()));
  const std::vector<Position> chosen(order_.begin(), std::next(order_.begin(), count));
  std::vector<GossipUpdate> taken;
  taken.reserve(chosen.size());
  for (const auto& position : chosen) {
    order_.erase(position);
    const auto found = entries_.find(position.name);
    Entry& entry = found->second;
    taken.push_back(entry.update);
    ++entry.transmissions;
    if (entry.transmissions >= max_transmissions) {
      entries_.erase(found);
    } else {
      order_.insert({entry.transmissions, position.name});
    }
  }
  return taken;
}

}  // namespace alderspur::cluster
