// The timers of the process: one sorted collection of callbacks, each with the time at which it is
// due. The event loop calls run_due() once in each iteration, which the code calls a turn. Not
// thread-safe: use it from the event loop's thread only.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace alderspur::core {

/// A duration or a Unix time, in microseconds.
using Time = std::int64_t;

/// A set of callbacks, sorted by the time at which they are due.
class Deadlines {
 public:
  /// Identifies a deadline. Deadlines with the same time run in the order in which they were set.
  struct Key {
    Time at = 0;
    std::uint64_t sequence = 0;  // 0: identifies no deadline
    auto operator<=>(const Key&) const = default;
    bool is_set() const { return sequence > 0; }
  };

  /// Calls `callback` once, in the first turn at or after the time `at`. Returns the key with which
  /// the deadline can be cancelled.
  Key set(Time at, std::function<void()> callback);
  /// Cancels a deadline. Does nothing if it has already run or was never set.
  void cancel(const Key& key) { pending_.erase(key); }
  /// Runs all callbacks that are due at `now`. A deadline that one of these callbacks sets runs in
  /// the next turn at the earliest, even if it is already due, so that a callback that sets itself
  /// again cannot block the loop.
  void run_due(Time now);
  /// Returns the time of the earliest deadline, or the largest Time if there is none.
  Time next() const;
  /// Returns the number of deadlines that have not run yet.
  std::size_t size() const { return pending_.size(); }

 private:
  std::map<Key, std::function<void()>> pending_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace alderspur::core
