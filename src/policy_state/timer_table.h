// The timers that a router has set and that have not expired yet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "alderspur/router.h"

namespace alderspur::policy {

/// What is due when a timer expires.
enum class TimerKind { housekeeping, unresponsive_check, request_deadline, resubscribe };

/// A timer that has been set.
struct Timer {
  TimerKind kind{};
  /// Of TimerKind::request_deadline.
  RequestId request{};
};

/// Assigns ids to timers. Owned by the router; one thread.
class TimerTable {
 public:
  /// Stores a timer under a new id.
  TimerId add(const Timer& timer);
  /// Removes an expired timer; absent where the id is not known.
  std::optional<Timer> take(TimerId id);

 private:
  std::map<std::uint32_t, Timer> timers_;
  std::uint32_t next_id_ = 1;
};

}  // namespace alderspur::policy
