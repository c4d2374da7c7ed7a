#include "policy_state/capacity_estimate.h"

#include <algorithm>

#include "estimators/estimators.h"

namespace alderspur::policy {
namespace {

/// Weight of a new sample in the average. It is small because one sample per second, from a single
/// router, is noisy.
constexpr double kSmoothingFactor = 0.1;
/// Fraction by which the peak decays with each sample.
constexpr double kPeakDecay = 0.01;

}  // namespace

void CapacityEstimate::update(const std::vector<Upstream*>& upstreams, Time now) {
  double transfers = 0;
  double warm_servers = 0;
  for (Upstream* upstream : upstreams) {
    if (upstream->is_warming_up || upstream->is_suspect(now)) continue;
    const double seconds = upstream->served_transfer_time.value(now);
    transfers += seconds * estimators::kSecond / estimators::kWindowLength;
    ++warm_servers;
  }
  if (warm_servers <= 0) return;
  average_ += kSmoothingFactor * (transfers / warm_servers - average_);
  peak_ = std::max(average_, peak_ * (1 - kPeakDecay));
}

}  // namespace alderspur::policy
