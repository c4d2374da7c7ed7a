// All deadlines of the program in one sorted structure, swept once a turn.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>

namespace alderspur::core {

using Time = std::int64_t;  // microseconds

class Deadlines {
 public:
  using Key = std::pair<Time, std::uint64_t>;  // equal times fall due in the order they were set

  Key set(Time at, std::function<void()> then) {
    const Key key{at, ++last_sequence_};
    pending_.emplace(key, std::move(then));
    return key;
  }
  void cancel(const Key& key) { pending_.erase(key); }
  // Runs all that is due. What these set for an earlier time waits for the next turn: no endless
  // sweep.
  void run_due(Time now) {
    const std::uint64_t newest = last_sequence_;
    for (auto it = pending_.begin(); it != pending_.end() && it->first.first <= now;) {
      if (it->first.second > newest) {
        ++it;
        continue;
      }
      const auto then = std::move(it->second);
      pending_.erase(it);
      then();
      it = pending_.begin();
    }
  }
  Time next() const {
    return pending_.empty() ? std::numeric_limits<Time>::max() : pending_.begin()->first.first;
  }
  std::size_t size() const { return pending_.size(); }

 private:
  std::map<Key, std::function<void()>> pending_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace alderspur::core
