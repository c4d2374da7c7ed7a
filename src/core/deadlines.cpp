#include "core/deadlines.h"

#include <limits>
#include <utility>

namespace alderspur::core {

Deadlines::Key Deadlines::set(Time at, std::function<void()> callback) {
  const Key key{at, ++last_sequence_};
  pending_.emplace(key, std::move(callback));
  return key;
}

void Deadlines::run_due(Time now) {
  const std::uint64_t newest = last_sequence_;
  for (auto it = pending_.begin(); it != pending_.end() && it->first.at <= now;) {
    if (it->first.sequence > newest) {
      ++it;
      continue;
    }
    const auto callback = std::move(it->second);
    pending_.erase(it);
    callback();
    it = pending_.begin();
  }
}

Time Deadlines::next() const {
  return pending_.empty() ? std::numeric_limits<Time>::max() : pending_.begin()->first.at;
}

}  // namespace alderspur::core
