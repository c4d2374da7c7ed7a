// One limit on requests. A token bucket limits their rate, and a counter limits the number in
// flight.
//
// A caller passes the current rule to check(), and calls acquire() if the request is admitted and
// release() when it ends. limits.h combines several limits. No I/O, and no clock is read.
#pragma once

#include <cstdint>
#include <optional>

#include "core/deadlines.h"

namespace alderspur::limits {

using core::Time;

/// The values of a limit. An absent value means no limit.
struct Rule {
  std::optional<std::uint32_t> max_in_flight;
  std::optional<double> max_rate;  // requests per second, greater than 0
  // The capacity of the token bucket. If it is absent, the bucket holds the requests of 0.1 s.
  std::optional<std::uint32_t> burst;

  /// Reports whether the rule limits anything.
  bool is_limited() const { return max_in_flight || max_rate; }
};

/// Totals since the limiter was created.
struct LimiterCounters {
  std::uint64_t admitted = 0;
  std::uint64_t rejected_in_flight = 0;
  std::uint64_t rejected_rate = 0;
};

/// The state of one limit. The rule is passed with each call, so that it may change at any time.
///
/// Times are microseconds of one clock. No tokens are added when the clock is set back. Not
/// thread-safe.
class Limiter {
 public:
  /// Returns nothing if a request would be admitted now. Otherwise counts a rejection and returns
  /// the time until capacity is expected: for the rate, until the next token is available; for
  /// requests in flight, an estimate from their mean duration. Acquires nothing.
  std::optional<Time> check(const Rule& rule, Time now);

  /// Takes a token and counts a request as in flight. Must be called only after check() has
  /// admitted the request.
  void acquire(const Rule& rule);

  /// Ends a request. A `hold_time` greater than 0, in microseconds, updates the mean duration.
  void release(Time hold_time);

  std::size_t in_flight() const { return in_flight_; }
  const LimiterCounters& counters() const { return counters_; }

 private:
  void refill(const Rule& rule, Time now);
  Time expected_wait(std::size_t max_in_flight) const;

  std::size_t in_flight_ = 0;
  std::optional<Time> refilled_at_;  // absent: the token bucket has not been used yet
  double tokens_ = 0;
  double mean_hold_time_ = 0;  // microseconds, moving average; 0: not known yet
  LimiterCounters counters_;
};

}  // namespace alderspur::limits
