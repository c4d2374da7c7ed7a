#include "policy_state/timer_table.h"

namespace alderspur::policy {

TimerId TimerTable::add(const Timer& timer) {
  const TimerId id{next_id_};
  ++next_id_;
  timers_[id.value] = timer;
  return id;
}

std::optional<Timer> TimerTable::take(TimerId id) {
  const auto node = timers_.extract(id.value);
  if (!node) return std::nullopt;
  return node.mapped();
}

}  // namespace alderspur::policy
