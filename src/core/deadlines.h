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
    const Key key{at, ++last_};
    waiting_.emplace(key, std::move(then));
    return key;
  }
  void clear(const Key& key) { waiting_.erase(key); }
  // Runs all that is due. What these set for an earlier time waits for the next turn: no endless
  // sweep.
  void sweep(Time now) {
    const std::uint64_t newest = last_;
    for (auto it = waiting_.begin(); it != waiting_.end() && it->first.first <= now;) {
      if (it->first.second > newest) {
        ++it;
        continue;
      }
      const auto then = std::move(it->second);
      waiting_.erase(it);
      then();
      it = waiting_.begin();
    }
  }
  Time next() const {
    return waiting_.empty() ? std::numeric_limits<Time>::max() : waiting_.begin()->first.first;
  }
  std::size_t size() const { return waiting_.size(); }

 private:
  std::map<Key, std::function<void()>> waiting_;
  std::uint64_t last_ = 0;
};

}  // namespace alderspur::core
