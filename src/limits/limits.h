// Limits the requests of routes, pools and policies: the number in flight and the rate.
//
// A request claims all limits that apply to it, and is admitted only if all of them admit it.
// Limits are identified by name, so that they keep their state when the table of routes is
// replaced. A limit that is lowered below the number of requests in flight rejects further requests
// until enough of them have ended.
//
// Times are microseconds of one clock. No I/O. Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limits/limiter.h"

namespace alderspur::limits {

class Limits;

/// The capacity that an admitted request holds in its limits. It is released once, by release() or
/// by the destructor. A Reservation must not outlive its Limits.
class Reservation {
 public:
  /// Creates a reservation that holds no capacity.
  Reservation() = default;
  Reservation(Reservation&& other) noexcept;
  Reservation& operator=(Reservation&& other) noexcept;
  ~Reservation();
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  /// Releases the capacity and updates the mean duration of requests, which the destructor does not
  /// update. A second call has no effect.
  void release(Time now);

 private:
  friend class Limits;

  void swap(Reservation& other) noexcept;

  Limits* limits_ = nullptr;  // null: holds no capacity
  std::vector<std::string> names_;
  Time acquired_at_ = 0;
};

/// A claim on the limit with this name, such as "route parts", under its current rule.
struct Claim {
  std::string name;
  Rule rule;
};

/// The result of Limits::acquire().
struct Admission {
  bool is_admitted = true;
  Reservation reservation;  // holds capacity only if admitted and limited
  std::string rejected_by;  // if rejected: the name of the limit with the longest wait
  Time retry_after = 0;     // if rejected: the time until capacity is expected, greater than 0
};

/// Holds the state of all limits. Must outlive its reservations.
class Limits {
 public:
  /// Admits a request if all claimed limits admit it. A claim without a limit is ignored.
  Admission acquire(const std::vector<Claim>& claims, Time now);

  /// Removes the limits that are not named and have no request in flight.
  void retain(const std::vector<std::string>& names);

  /// Returns the number of requests in flight; 0 for an unknown name.
  std::size_t in_flight(std::string_view name) const;
  /// Returns the totals of a limit; all are 0 for an unknown name.
  LimiterCounters counters(std::string_view name) const;
  /// Returns the number of limits with a state.
  std::size_t size() const { return limiters_.size(); }

 private:
  friend class Reservation;

  void release(const std::vector<std::string>& names, Time hold_time);

  std::map<std::string, Limiter, std::less<>> limiters_;
};

}  // namespace alderspur::limits
