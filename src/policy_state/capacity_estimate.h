// How much work a warm server of one role does for this router.
#pragma once

#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"

namespace alderspur::policy {

/// Tracks the work in flight for each warm server as a slow moving average with a decaying peak.
/// Owned by SlowStart, one for each role; one thread.
class CapacityEstimate {
 public:
  /// Takes in the work of the servers that are warm and not suspect. To be called once a second.
  void update(const std::vector<Upstream*>& upstreams, Time now);
  /// Concurrent transfers for each server; 0: nothing was observed yet.
  double peak() const { return peak_; }

 private:
  double average_ = 0;
  double peak_ = 0;
};

}  // namespace alderspur::policy
