// Limits on requests by route, pool and policy: how many at once and how many a second.
//
// A request names all limits that concern it and is admitted by all of them or by none. Limits are
// found by name, so that they keep their state when the table of routes is replaced; one that falls
// below what is in flight rejects until enough requests have ended.
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

/// The capacity that a request holds in its limits. Released once: by release() or, at the latest,
/// by the destructor.
class Reservation {
 public:
  /// Holds nothing.
  Reservation() = default;
  Reservation(Reservation&& other) noexcept;
  Reservation& operator=(Reservation&& other) noexcept;
  ~Reservation();
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  /// Releases, and updates the mean time for which requests are held, which the destructor cannot.
  void release(Time now);

 private:
  friend class Limits;

  void swap(Reservation& other) noexcept;

  Limits* limits_ = nullptr;  // null: holds nothing
  std::vector<std::string> names_;
  Time acquired_at_ = 0;
};

/// A limit by its name, such as "route parts", with the rule that is in force now.
struct Claim {
  std::string name;
  Rule rule;
};

/// Whether a request is admitted.
struct Admission {
  bool is_admitted = true;
  Reservation reservation;  // if admitted
  std::string rejected_by;  // name of the limit with the longest wait
  Time retry_after = 0;     // if rejected: when capacity is expected, over 0
};

/// Must outlive its reservations.
class Limits {
 public:
  /// Admits a request if all of these limits do.
  Admission acquire(const std::vector<Claim>& claims, Time now);

  /// Removes the limits that are not among these names and have nothing in flight.
  void retain(const std::vector<std::string>& names);

  /// 0 for an unknown name, as in counters().
  std::size_t in_flight(std::string_view name) const;
  LimiterCounters counters(std::string_view name) const;
  /// The number of limits that have a state.
  std::size_t size() const { return limiters_.size(); }

 private:
  friend class Reservation;

  void release(const std::vector<std::string>& names, Time hold_time);

  std::map<std::string, Limiter, std::less<>> limiters_;
};

}  // namespace alderspur::limits
