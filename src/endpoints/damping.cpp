#include "endpoints/damping.h"

#include <algorithm>
#include <cmath>

namespace alderspur::endpoints {

double FlapDamping::penalty(Time now, const DampingSettings& s) const {
  // A clock that stepped back must not let a penalty grow.
  const double halves =
      static_cast<double>(std::max<Time>(0, now - at_)) / static_cast<double>(s.half_life);
  return penalty_ * std::exp2(-halves);
}

void FlapDamping::record_departure(Time now, const DampingSettings& s) {
  if (!s.is_enabled) return;
  // RFC 2439, 4.2: the ceiling is what decays to the reuse threshold in the longest time of holding
  // out.
  const double ceiling = s.reuse_threshold * std::exp2(static_cast<double>(s.max_suppress_time) /
                                                       static_cast<double>(s.half_life));
  penalty_ = std::min(ceiling, penalty(now, s) + s.departure_penalty);
  at_ = now;
  if (penalty_ >= s.suppress_threshold) held_ = true;
}

bool FlapDamping::update_suppressed(Time now, const DampingSettings& s) {
  if (held_ && (!s.is_enabled || now >= reuse_time(now, s))) held_ = false;
  return held_;
}

Time FlapDamping::reuse_time(Time now, const DampingSettings& s) const {
  if (!held_ || penalty_ <= s.reuse_threshold) return now;
  // Rounded up: at that time the penalty has reached the threshold.
  const double halves = std::log2(penalty_ / s.reuse_threshold);
  return at_ + static_cast<Time>(std::ceil(halves * static_cast<double>(s.half_life)));
}

}  // namespace alderspur::endpoints
