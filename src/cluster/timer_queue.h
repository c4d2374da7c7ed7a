// Stores the timers of one Membership, ordered by the time at which they are due. The queue reads
// no clock; the caller passes the time. It is not thread-safe.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/deadlines.h"

namespace alderspur::cluster {

using core::Time;

/// The due time of an event that does not occur.
constexpr Time kNever = std::numeric_limits<Time>::max();

/// The action that a timer triggers.
enum class TimerKind : std::uint8_t {
  probe,            // ping the next member
  probe_timeout,    // if there is no ack yet, request other members to ping the target
  ping_expiry,      // end the wait for the ack of a ping, direct or indirect
  gossip,           // send queued updates
  reconnect,        // try to reach a failed member or a seed
  refresh,          // repeat old updates
  suspicion,        // check a suspect member
  forget,           // remove a failed or departed member
  nack,             // report to the requester of a ping that no ack has arrived
  leave_completed,  // end the departure of this process
};

/// A timer, without its due time.
struct Timer {
  TimerKind kind{};
  std::string member;         // name of the member that the timer concerns, if any
  std::uint64_t ping_id = 0;  // the ping that the timer concerns, if any
};

/// A queue of timers. Timers that are due at the same time fire in the order they were set.
class TimerQueue {
 public:
  void set(Time due_at, Timer timer) { timers_.emplace(due_at, std::move(timer)); }
  bool empty() const { return timers_.empty(); }
  /// Returns the earliest due time, or kNever if the queue is empty.
  Time next_due() const { return timers_.empty() ? kNever : timers_.begin()->first; }
  /// Removes and returns the first timer that is due; returns nothing if none is.
  std::optional<Timer> take_due(Time now) {
    if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
    Timer timer = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    return timer;
  }
  /// Postpones all timers by `delay`.
  void delay_all(Time delay) {
    std::multimap<Time, Timer> delayed;
    for (auto& [due_at, timer] : timers_) delayed.emplace(due_at + delay, std::move(timer));
    timers_ = std::move(delayed);
  }

 private:
  std::multimap<Time, Timer> timers_;
};

}  // namespace alderspur::cluster
