// Small estimators and limits: a sliding sum, a moving average, an adaptive limit and a token
// bucket. Plain values without I/O; each belongs to one thread. Times are microseconds.
#pragma once

#include "alderspur/router.h"

namespace alderspur::estimators {

/// Microseconds in a millisecond.
constexpr Time kMillisecond = 1000;
/// Microseconds in a second.
constexpr Time kSecond = 1000 * kMillisecond;
/// Length of the window of a SlidingSum.
constexpr Time kWindowLength = 4 * kSecond;
/// Weight of a new sample in a MovingAverage.
constexpr double kDefaultSampleWeight = 0.05;
/// Value of an AdaptiveLimit that has not been adjusted yet.
constexpr double kUnlimited = 1e9;

/// `value` if it is finite and above 0, else 0. Values from outside that are unusable count as
/// absent.
double positive_or_zero(double value);

/// A sum over the last kWindowLength, approximated by two fixed windows: all of the current
/// one and the part of the previous one that the last kWindowLength still covers.
class SlidingSum {
 public:
  /// Adds an amount at the time `now`.
  void add(Time now, double amount);
  /// The sum at the time `now`.
  double value(Time now);

 private:
  void advance(Time now);

  double current_ = 0;
  double previous_ = 0;
  Time window_ = 0;  // index of the current window
};

/// An exponentially weighted average with its mean absolute deviation.
struct MovingAverage {
  double value = 0;
  double deviation = 0;
  bool has_samples = false;

  /// Takes in a sample; the first one becomes the average.
  void learn(double sample, double weight = kDefaultSampleWeight);
};

/// A limit on work in flight that follows how far measured times are from their objective.
struct AdaptiveLimit {
  double value = kUnlimited;

  /// Scales the limit by 1 + step * offset. `offset` is the distance from the objective, positive
  /// where there is time to spare. The limit stays at or above `min_limit`, and below a multiple of
  /// `in_flight`, so that it cannot grow while it is not used.
  void adjust(double step, double offset, double min_limit, double in_flight);
};

/// Work in flight under an adaptive limit of its own.
struct LimitedWork {
  AdaptiveLimit limit;
  double in_flight = 0;

  void begin(double amount) { in_flight += amount; }
  void end(double amount);
  bool is_over_limit() const { return in_flight > limit.value; }
};

/// A budget of whole tokens that is filled in fractions.
struct TokenBucket {
  double tokens = 0;

  /// Adds to the bucket, up to `capacity` tokens.
  void add(double amount, double capacity);
  /// Takes one token. False: there is none.
  bool try_take();
};

}  // namespace alderspur::estimators
