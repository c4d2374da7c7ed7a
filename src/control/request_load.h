// Measures the load of this router for the consensus leader: the request rate, by which the leader
// divides the quotas among the routers, and the ratio of failed requests, by which the leader
// decides on a canary rollout. Not thread-safe.
#pragma once

#include <cstdint>

#include "consensus/node_events.h"
#include "core/counters.h"

namespace alderspur::control {

/// Computes a smoothed request rate and failure ratio from the engine's counters.
class RequestLoad {
 public:
  /// The interval between two measurements in microseconds.
  static constexpr core::Time kInterval = 500'000;

  /// Returns the load since the previous call, smoothed. Must be called once per kInterval.
  consensus::LoadMeasured measure(const core::Counters& counters);
  /// Discards earlier failures. To be called when another version becomes active.
  void reset_failure_ratio() { failure_ratio_ = 0; }

 private:
  // Counters at the previous measurement.
  std::uint64_t previous_admitted_ = 0;
  std::uint64_t previous_ended_ = 0;
  std::uint64_t previous_failed_ = 0;
  double request_rate_ = 0;   // requests per second, smoothed
  double failure_ratio_ = 0;  // smoothed
};

}  // namespace alderspur::control
