#include "endpoints/damping.h"

#include <algorithm>
#include <cmath>

namespace alderspur::endpoints {
namespace {

constexpr double kNegligibleFraction = 1.0 / 8;  // fraction of the reuse threshold

}  // namespace

double FlapDamping::penalty(Time now, const DampingSettings& settings) const {
  // The penalty must not grow when the clock is set back.
  const Time age = std::max<Time>(0, now - penalty_at_);
  const double half_lives = static_cast<double>(age) / static_cast<double>(settings.half_life);
  return penalty_ * std::exp2(-half_lives);
}

void FlapDamping::record_departure(Time now, const DampingSettings& settings) {
  if (!settings.is_enabled) return;
  // RFC 2439, section 4.2: the ceiling decays to the reuse threshold within the maximum suppress
  // time.
  const double ceiling =
      settings.reuse_threshold * std::exp2(static_cast<double>(settings.max_suppress_time) /
                                           static_cast<double>(settings.half_life));
  penalty_ = std::min(ceiling, penalty(now, settings) + settings.departure_penalty);
  penalty_at_ = now;
  if (penalty_ >= settings.suppress_threshold) is_suppressed_ = true;
}

bool FlapDamping::update_suppressed(Time now, const DampingSettings& settings) {
  if (is_suppressed_ && (!settings.is_enabled || now >= reuse_time(now, settings))) {
    is_suppressed_ = false;
  }
  return is_suppressed_;
}

Time FlapDamping::reuse_time(Time now, const DampingSettings& settings) const {
  if (!is_suppressed_ || penalty_ <= settings.reuse_threshold) return now;
  const double half_lives = std::log2(penalty_ / settings.reuse_threshold);
  // Rounded up, so that the penalty is at or below the threshold when the suppression ends.
  const double duration = std::ceil(half_lives * static_cast<double>(settings.half_life));
  return penalty_at_ + static_cast<Time>(duration);
}

bool FlapDamping::is_negligible(Time now, const DampingSettings& settings) const {
  return !is_suppressed_ && penalty(now, settings) < settings.reuse_threshold * kNegligibleFraction;
}

void FlapDamping::restore(double penalty, Time penalty_at, bool is_suppressed) {
  penalty_ = penalty;
  penalty_at_ = penalty_at;
  is_suppressed_ = is_suppressed;
}

}  // namespace alderspur::endpoints
