// One limit on requests: a token bucket for their rate, and a count of those in flight.
#pragma once

#include <cstdint>
#include <optional>

#include "core/deadlines.h"

namespace alderspur::limits {

using core::Time;

/// What is limited. Absent: no limit.
struct Rule {
  std::optional<std::uint32_t> max_in_flight;
  std::optional<double> max_rate;      // requests a second, over 0
  std::optional<std::uint32_t> burst;  // of the rate; absent: a tenth of a second's requests

  bool is_limited() const { return max_in_flight || max_rate; }
};

/// Totals since the limiter was created.
struct LimiterCounters {
  std::uint64_t admitted = 0;
  std::uint64_t rejected_in_flight = 0;
  std::uint64_t rejected_rate = 0;
};

/// The state of one limit; the rule comes with each call, so that it may change at any time.
///
/// Times are microseconds of one clock. A clock that steps back adds no tokens. Not thread-safe.
class Limiter {
 public:
  /// Nothing if a request would be admitted now, else when capacity is expected: for a rate, when
  /// the next token falls due; for requests in flight, by how long they are held on average.
  /// Counts a rejection.
  std::optional<Time> check(const Rule& rule, Time now);

  /// Takes a token and counts a request as in flight. To be called after check() has admitted it.
  void acquire(const Rule& rule);

  /// Ends a request. With a `hold_time` over 0 the average is updated.
  void release(Time hold_time);

  std::size_t in_flight() const { return in_flight_; }
  const LimiterCounters& counters() const { return counters_; }

 private:
  void refill(const Rule& rule, Time now);
  Time expected_release(std::size_t max_in_flight) const;

  std::size_t in_flight_ = 0;
  std::optional<Time> refilled_at_;  // absent: the bucket was never used
  double tokens_ = 0;
  double mean_hold_time_ = 0;  // in microseconds; 0: not known yet
  LimiterCounters counters_;
};

}  // namespace alderspur::limits
