#include "control/request_load.h"

namespace alderspur::control {
namespace {

/// The weight of the newest measurement in the smoothed values.
constexpr double kSmoothing = 0.3;
constexpr double kMicrosecondsPerSecond = 1e6;
/// Added to the measured rate, so that an idle router still receives a share of the quotas for its
/// first requests. In requests per second.
constexpr double kMinRequestRate = 1;

}  // namespace

consensus::LoadMeasured RequestLoad::measure(const core::Counters& counters) {
  const std::uint64_t failed = counters.rejected + counters.failed;
  const std::uint64_t ended = counters.served + failed;
  if (ended > previous_ended_) {
    const double ratio = static_cast<double>(failed - previous_failed_) /
                         static_cast<double>(ended - previous_ended_);
    failure_ratio_ += kSmoothing * (ratio - failure_ratio_);
  }
  const auto admitted = static_cast<double>(counters.admitted - previous_admitted_);
  const double rate = admitted * kMicrosecondsPerSecond / static_cast<double>(kInterval);
  request_rate_ += kSmoothing * (rate - request_rate_);
  previous_admitted_ = counters.admitted;
  previous_ended_ = ended;
  previous_failed_ = failed;
  return {kMinRequestRate + request_rate_, failure_ratio_};
}

}  // namespace alderspur::control
