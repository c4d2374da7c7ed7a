// The deadlines of the program in one sorted structure; those that are due run once in each turn of
// the loop. The loop's thread only.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace alderspur::core {

/// Microseconds: a duration, or a Unix time.
using Time = std::int64_t;

/// Callbacks by the time at which they are due.
class Deadlines {
 public:
  /// Identifies a deadline. Equal times are due in the order in which they were set.
  struct Key {
    Time at = 0;
    std::uint64_t sequence = 0;  // 0: no deadline
    auto operator<=>(const Key&) const = default;
    bool is_set() const { return sequence > 0; }
  };

  /// Calls `callback` in the first turn at or after `at`, once.
  Key set(Time at, std::function<void()> callback);
  /// No effect on a deadline that has run or was never set.
  void cancel(const Key& key) { pending_.erase(key); }
  /// Runs all callbacks that are due. Deadlines that they set wait for the next turn, even if they
  /// are due: a callback that sets itself again cannot block the loop.
  void run_due(Time now);
  /// The time of the first deadline; the largest Time if there is none.
  Time next() const;
  std::size_t size() const { return pending_.size(); }

 private:
  std::map<Key, std::function<void()>> pending_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace alderspur::core
