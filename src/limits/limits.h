// Limits on requests by route, pool and policy: how many at once, how many a second. No I/O, no
// clock of its own.
//
// A request asks all gates that concern it at once and is let through by all or by none; what it
// was given goes back exactly once, by its Permit. A refusal says when room is to be expected: for
// a rate, when the next token falls due; for concurrency, by how long requests are held on average.
// Gates are kept by name, so that a table of routes that is swapped keeps what is in flight; a
// limit that falls below what is out refuses until enough has gone. Rates are token buckets (burst
// tokens at most, `rate` of them a second). Times are microseconds of one clock that does not step
// back; a step back adds no tokens. One thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::limits {

using core::Time;

struct Rule {  // absent: no limit
  std::optional<std::uint32_t> max_in_flight;
  std::optional<double> max_rate;  // a second, over 0
  std::optional<std::uint32_t>
      burst;  // of the rate; absent: what a tenth of a second brings, one at least
  bool any() const { return max_in_flight || max_rate; }
};
struct GateCounters {
  std::uint64_t admitted = 0, refused_full = 0, refused_rate = 0;
};

class Limits;
// What a request holds. Moves only; gives back when it goes, by itself or by release().
class Permit {
 public:
  Permit() = default;
  Permit(Permit&& other) noexcept { swap(other); }
  Permit& operator=(Permit&& other) noexcept {
    Permit gone(std::move(other));
    swap(gone);
    return *this;
  }
  ~Permit();
  Permit(const Permit&) = delete;
  Permit& operator=(const Permit&) = delete;
  // With the time, which teaches how long requests are held; without it nothing is learned.
  void release(Time now);

 private:
  friend class Limits;
  void swap(Permit& other) noexcept;
  Limits* limits_ = nullptr;
  std::vector<std::string> gates_;
  Time since_ = 0;
};

struct Verdict {
  bool admitted = true;
  Permit permit;
  std::string gate;      // which refused
  Time retry_after = 0;  // of a refusal, over 0
};

// Must outlive its permits.
class Limits {
 public:
  struct Ask {
    std::string gate;  // "route parts"
    Rule rule;
  };
  Verdict ask(const std::vector<Ask>& asked, Time now);
  // Gates that no rule names any more and that hold nothing are forgotten.
  void keep(const std::vector<std::string>& named);

  std::size_t in_flight(std::string_view gate) const;
  GateCounters counters(std::string_view gate) const;
  std::size_t gates() const { return gates_.size(); }

 private:
  friend class Permit;
  struct Gate {
    std::size_t out = 0;
    double tokens = 0;
    Time filled = 0;  // when tokens was reckoned
    bool begun = false;
    double held = 0;  // microseconds, a moving mean
    GateCounters counters;
  };
  void fill(Gate& gate, const Rule& rule, Time now) const;
  void give_back(const std::vector<std::string>& gates, Time since, Time now);

  std::map<std::string, Gate, std::less<>> gates_;
};

// Further tries, as a part of first ones: each first try earns `part` of a further one, up to
// `most` saved. From "Retry budgets" of the Finagle library's published design: a service that
// fails everything is asked 1 + part times as much, and not as often as clients have patience.
class RetryBudget {
 public:
  explicit RetryBudget(double part, double most = 20)
      : part_(part), most_(most), saved_(most / 2) {}
  void first() { saved_ = saved_ + part_ < most_ ? saved_ + part_ : most_; }
  bool further() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

 private:
  double part_, most_, saved_;
};

}  // namespace alderspur::limits
