#include "policy_state/upstream.h"

#include <algorithm>

namespace alderspur::policy {

void Upstream::clear_failures() {
  was_unresponsive = false;
  on_probation = false;
  unanswered_health_checks = 0;
  consecutive_failures = 0;
  consecutive_ejections = 0;
}

void Upstream::begin_ejection(Time until) {
  ejected_until = until;
  consecutive_failures = 0;
  on_probation = true;
  health_check_passed = false;
}

void Upstream::count_response(Time now, bool is_error) {
  responses.add(now, 1);
  if (is_error) errors.add(now, 1);
}

void Upstream::refill_quota(Time now, double rate, double max_quota) {
  const double seconds = static_cast<double>(now - quota_refilled_at) / estimators::kSecond;
  quota = std::min(max_quota, quota + rate * seconds);
  quota_refilled_at = now;
}

void Upstream::begin_transfer(double transfer_time, Time now) {
  if (attempts_in_flight == 0) busy_since = now;
  ++attempts_in_flight;
  transfer_time_in_flight += transfer_time;
}

void Upstream::end_transfer(double transfer_time) {
  attempts_in_flight = std::max(0, attempts_in_flight - 1);
  const double rest = std::max(0.0, transfer_time_in_flight - transfer_time);
  transfer_time_in_flight = attempts_in_flight > 0 ? rest : 0;
}

}  // namespace alderspur::policy
