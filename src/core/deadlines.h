// All deadlines of the program in one sorted structure, run once each turn of the loop. The loop's
// thread.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>

namespace alderspur::core {

/// Microseconds. On the Unix clock where a clock is meant; Engine::now() never steps back.
using Time = std::int64_t;

class Deadlines {
 public:
  /// Names a deadline that was set. Equal times fall due in the order in which they were set.
  struct Key {
    Time at = 0;
    std::uint64_t sequence = 0;  // 0: none was set
    auto operator<=>(const Key&) const = default;
    bool is_set() const { return sequence > 0; }
  };

  Key set(Time at, std::function<void()> callback) {
    const Key key{at, ++last_sequence_};
    pending_.emplace(key, std::move(callback));
    return key;
  }
  /// Harmless where the deadline has fallen due or was never set.
  void cancel(const Key& key) { pending_.erase(key); }
  /// Runs all callbacks that are due. What these set, even for an earlier time, waits for the next
  /// turn: a callback that sets itself again cannot hold the loop.
  void run_due(Time now) {
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
  /// When the first one is due; the largest Time: none is set.
  Time next() const {
    return pending_.empty() ? std::numeric_limits<Time>::max() : pending_.begin()->first.at;
  }
  std::size_t size() const { return pending_.size(); }

 private:
  std::map<Key, std::function<void()>> pending_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace alderspur::core
