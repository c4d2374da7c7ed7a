// Estimates how much work a warmed-up server of one role does for this router. Slow start derives
// the capacity of a new server from it where the endpoint list reports no capacities.
#pragma once

#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"

namespace alderspur::policy {

/// Tracks the average number of concurrent transfers per warmed-up server as a moving average with
/// a decaying peak. SlowStart owns one instance for each role. Not thread-safe.
class CapacityEstimate {
 public:
  /// Adds a sample: the average load of those `upstreams` that are neither warming up nor suspect.
  /// Must be called once a second.
  void update(const std::vector<Upstream*>& upstreams, Time now);
  /// Returns the peak number of concurrent transfers per server, or 0 before the first observation.
  double peak() const { return peak_; }

 private:
  double average_ = 0;
  double peak_ = 0;
};

}  // namespace alderspur::policy
