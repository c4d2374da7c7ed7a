// The load of this router as the consensus leader wants to know it: the rate of requests, which
// decides this router's share of quotas, and the part of them that failed, by which a canary
// rollout is judged.
#pragma once

#include <cstdint>

#include "consensus/node_events.h"
#include "core/counters.h"

namespace alderspur::control {

class RequestLoad {
 public:
  /// Microseconds between two measurements.
  static constexpr core::Time kInterval = 500'000;

  /// To be called once in each interval.
  consensus::LoadMeasured measure(const core::Counters& counters);
  /// Counts only failures from now on: another version is active.
  void reset_failure_ratio() { failure_ratio_ = 0; }

 private:
  std::uint64_t admitted_ = 0;  // at the last measurement, as are the next two
  std::uint64_t ended_ = 0;
  std::uint64_t failed_ = 0;
  double request_rate_ = 0;   // requests per second, smoothed
  double failure_ratio_ = 0;  // smoothed
};

}  // namespace alderspur::control
