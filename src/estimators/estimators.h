// Estimators and limits from which load balancing decisions are built: a sliding sum, a moving
// average, an adaptive limit and a token bucket. They are plain values without I/O and without
// locks, so each instance must be used by one thread only. Times are in microseconds.
#pragma once

#include "alderspur/router.h"

namespace alderspur::estimators {

/// Microseconds in a millisecond.
constexpr Time kMillisecond = 1000;
/// Microseconds in a second.
constexpr Time kSecond = 1000 * kMillisecond;
/// Length of the window of a SlidingSum, in microseconds.
constexpr Time kWindowLength = 4 * kSecond;
/// Default weight of a new sample in a MovingAverage.
constexpr double kDefaultSampleWeight = 0.05;
/// The value of an AdaptiveLimit that has not been adjusted yet, which no work reaches.
constexpr double kUnlimited = 1e9;

/// Returns `value` if it is finite and positive, otherwise 0. With it, an invalid number in an
/// event counts as absent.
double positive_or_zero(double value);

/// A sum over the last kWindowLength. It is approximated with two fixed windows: the whole current
/// window, and the fraction of the previous window that the last kWindowLength still overlaps.
class SlidingSum {
 public:
  /// Adds an amount at the time `now`.
  void add(Time now, double amount);
  /// Returns the sum over the kWindowLength that ends at `now`.
  double value(Time now);

 private:
  /// Starts a new window if `now` is no longer in the current one.
  void advance(Time now);

  double current_ = 0;
  double previous_ = 0;
  Time window_ = 0;  // index of the current window
};

/// An exponentially weighted moving average with its mean absolute deviation.
struct MovingAverage {
  double value = 0;
  double deviation = 0;
  bool has_samples = false;

  /// Adds a sample. The first sample becomes the average, and half of it the deviation.
  void add_sample(double sample, double weight = kDefaultSampleWeight);
};

/// A limit on work in flight that rises while measured times are below their objective and falls
/// while they are above it.
struct AdaptiveLimit {
  double value = kUnlimited;

  /// Multiplies the limit by 1 + step * offset. `offset` is the distance of a measurement from the
  /// objective and is positive if the measurement is below it. The limit never falls below
  /// `min_limit`. It never rises above a multiple of `in_flight`, so that it does not grow while it
  /// is not used.
  void adjust(double step, double offset, double min_limit, double in_flight);
};

/// An amount of work in flight together with its adaptive limit.
struct LimitedWork {
  AdaptiveLimit limit;
  double in_flight = 0;

  /// Adds work that has started.
  void begin(double amount) { in_flight += amount; }
  /// Subtracts work that has ended.
  void end(double amount);
  bool is_over_limit() const { return in_flight > limit.value; }
};

/// A token bucket that is refilled in fractions of a token and from which whole tokens are taken.
struct TokenBucket {
  double tokens = 0;

  /// Adds `amount` tokens. The bucket holds at most `capacity` tokens.
  void add(double amount, double capacity);
  /// Takes one token. Returns false if the bucket contains less than one.
  bool try_take();
};

}  // namespace alderspur::estimators
