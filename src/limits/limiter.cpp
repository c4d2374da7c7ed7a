#include "limits/limiter.h"

#include <algorithm>
#include <cmath>

namespace alderspur::limits {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kDefaultBurstsPerSecond = 10;  // the default burst is 1 / 10 of the rate
constexpr double kHoldTimeLearningRate = 0.1;   // weight of a new value in the moving average
constexpr double kInitialHoldTime = 100'000;    // microseconds; assumed before the first release
constexpr double kMaxDelay = 1e12;              // microseconds; can be converted to Time
constexpr Time kMinRetryAfter = 1'000;          // microseconds
constexpr Time kMaxRetryAfter = 60'000'000;     // microseconds

/// Returns the capacity of the token bucket, at least 1.
double max_tokens(const Rule& rule) {
  const double burst = rule.burst ? static_cast<double>(*rule.burst)
                                  : rule.max_rate.value_or(0) / kDefaultBurstsPerSecond;
  return std::max(1.0, burst);
}

/// Rounds a delay in microseconds up and clamps it to the bounds of a retry-after time.
Time to_retry_after(double delay) {
  const auto rounded = static_cast<Time>(std::ceil(std::min(delay, kMaxDelay)));
  return std::clamp(rounded, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace

void Limiter::refill(const Rule& rule, Time now) {
  const double capacity = max_tokens(rule);
  if (!refilled_at_) {
    tokens_ = capacity;
    refilled_at_ = now;
  }
  const Time elapsed = std::max<Time>(0, now - *refilled_at_);
  const double seconds = static_cast<double>(elapsed) / kMicrosecondsPerSecond;
  tokens_ = std::min(capacity, tokens_ + seconds * *rule.max_rate);
  refilled_at_ = std::max(*refilled_at_, now);
}

// Estimates when the number in flight falls below the limit. By Little's law, if n requests are in
// flight and each lasts `mean` on average, one of them ends every mean / n. `excess` of them have
// to end before another is admitted.
Time Limiter::expected_wait(std::size_t max_in_flight) const {
  const double mean = mean_hold_time_ > 0 ? mean_hold_time_ : kInitialHoldTime;
  const auto excess = static_cast<double>(in_flight_ - max_in_flight + 1);
  return to_retry_after(mean * excess / static_cast<double>(std::max<std::size_t>(1, in_flight_)));
}

std::optional<Time> Limiter::check(const Rule& rule, Time now) {
  std::optional<Time> retry_after;
  if (rule.max_rate) {
    refill(rule, now);
    if (tokens_ < 1) {
      ++counters_.rejected_rate;
      retry_after = to_retry_after((1 - tokens_) / *rule.max_rate * kMicrosecondsPerSecond);
    }
  }
  if (rule.max_in_flight && in_flight_ >= *rule.max_in_flight) {
    ++counters_.rejected_in_flight;
    retry_after = std::max(retry_after.value_or(0), expected_wait(*rule.max_in_flight));
  }
  return retry_after;
}

void Limiter::acquire(const Rule& rule) {
  if (rule.max_rate) tokens_ -= 1;
  ++in_flight_;
  ++counters_.admitted;
}

void Limiter::release(Time hold_time) {
  if (in_flight_ == 0) return;
  --in_flight_;
  if (hold_time <= 0) return;
  const auto held = static_cast<double>(hold_time);
  const bool is_first = mean_hold_time_ <= 0;
  mean_hold_time_ =
      is_first ? held : mean_hold_time_ + kHoldTimeLearningRate * (held - mean_hold_time_);
}

}  // namespace alderspur::limits
