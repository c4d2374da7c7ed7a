// Stores the purpose of each timer that a router has set, until the timer expires.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "alderspur/router.h"

namespace alderspur::policy {

/// The action to take when a timer expires.
enum class TimerKind { housekeeping, unresponsive_check, request_deadline, resubscribe };

/// The purpose of a timer.
struct Timer {
  TimerKind kind{};
  /// The request whose deadline the timer marks. Used only with TimerKind::request_deadline.
  RequestId request{};
};

/// Assigns ids to timers and stores the timers by id. Owned by the router. Not thread-safe.
class TimerTable {
 public:
  /// Stores a timer and returns its new id.
  TimerId add(const Timer& timer);
  /// Removes an expired timer and returns it. Returns std::nullopt if the id is unknown.
  std::optional<Timer> take(TimerId id);

 private:
  std::map<std::uint32_t, Timer> timers_;
  std::uint32_t next_id_ = 1;
};

}  // namespace alderspur::policy
