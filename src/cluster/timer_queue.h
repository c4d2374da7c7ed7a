// The timers of one Membership, by the time when they are due. No clock of its own.
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

constexpr Time kNever = std::numeric_limits<Time>::max();

enum class TimerKind : std::uint8_t {
  probe,          // ping the next member
  probe_timeout,  // no ack yet: have others ping it
  probe_verdict,  // the end of a ping, direct or indirect
  gossip,
  reconnect,  // try to reach a failed member or a seed
  refresh,    // repeat old updates
  suspicion,  // look at a suspect member
  forget,     // a failed or departed member
  nack,       // tell who asked for a ping that there was no ack
  leave_completed,
};

struct Timer {
  TimerKind kind{};
  std::string member;         // its name, where the timer concerns one
  std::uint64_t ping_id = 0;  // where the timer concerns a ping
};

/// Timers due at the same time fire in the order in which they were set.
class TimerQueue {
 public:
  void set(Time due_at, Timer timer) { timers_.emplace(due_at, std::move(timer)); }
  bool empty() const { return timers_.empty(); }
  /// kNever where there is no timer.
  Time next_due() const { return timers_.empty() ? kNever : timers_.begin()->first; }
  /// Removes and returns the first timer that is due.
  std::optional<Timer> take_due(Time now) {
    if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
    Timer timer = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    return timer;
  }
  void delay_all(Time delay) {
    std::multimap<Time, Timer> delayed;
    for (auto& [due_at, timer] : timers_) delayed.emplace(due_at + delay, std::move(timer));
    timers_ = std::move(delayed);
  }

 private:
  std::multimap<Time, Timer> timers_;
};

}  // namespace alderspur::cluster
