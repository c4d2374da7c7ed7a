#include "estimators/estimators.h"

#include <algorithm>
#include <cmath>

namespace alderspur::estimators {
namespace {

/// A limit rises to at most this multiple of the work in flight, which leaves room for a burst.
constexpr double kLimitHeadroom = 3;
/// A limit may always rise to this multiple of its minimum, however little work is in flight.
constexpr double kMinLimitRange = 4;

}  // namespace

double positive_or_zero(double value) { return std::isfinite(value) && value > 0 ? value : 0; }

void SlidingSum::add(Time now, double amount) {
  advance(now);
  current_ += amount;
}

double SlidingSum::value(Time now) {
  advance(now);
  const double elapsed_fraction = static_cast<double>(now % kWindowLength) / kWindowLength;
  return current_ + previous_ * (1 - elapsed_fraction);
}

void SlidingSum::advance(Time now) {
  const Time window = now / kWindowLength;
  if (window == window_) return;
  previous_ = window == window_ + 1 ? current_ : 0;
  current_ = 0;
  window_ = window;
}

void MovingAverage::add_sample(double sample, double weight) {
  if (!has_samples) {
    value = sample;
    deviation = sample / 2;
    has_samples = true;
  }
  deviation += weight * (std::abs(sample - value) - deviation);
  value += weight * (sample - value);
}

void AdaptiveLimit::adjust(double step, double offset, double min_limit, double in_flight) {
  const double max_limit = std::max(kMinLimitRange * min_limit, kLimitHeadroom * in_flight);
  value = std::clamp(value * (1 + step * offset), min_limit, max_limit);
}

void LimitedWork::end(double amount) { in_flight = std::max(0.0, in_flight - amount); }

void TokenBucket::add(double amount, double capacity) {
  tokens = std::min(capacity, tokens + amount);
}

bool TokenBucket::try_take() {
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

}  // namespace alderspur::estimators
