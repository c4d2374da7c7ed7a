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

void FlapDamping::left(Time now, const DampingSettings& s) {
  if (!s.on) return;
  // RFC 2439, 4.2: the ceiling is what decays to the reuse threshold in the longest time of holding
  // out.
  const double ceiling =
      s.reuse * std::exp2(static_cast<double>(s.longest) / static_cast<double>(s.half_life));
  penalty_ = std::min(ceiling, penalty(now, s) + s.departure);
  at_ = now;
  if (penalty_ >= s.suppress) held_ = true;
}

bool FlapDamping::held(Time now, const DampingSettings& s) {
  if (held_ && (!s.on || now >= free_at(now, s))) held_ = false;
  return held_;
}

Time FlapDamping::free_at(Time now, const DampingSettings& s) const {
  if (!held_ || penalty_ <= s.reuse) return now;
  // Rounded up: at that time the penalty has reached the threshold.
  const double halves = std::log2(penalty_ / s.reuse);
  return at_ + static_cast<Time>(std::ceil(halves * static_cast<double>(s.half_life)));
}

}  // namespace alderspur::endpoints
