#include "control/request_load.h"

namespace alderspur::control {
namespace {

/// The weight of the newest measurement in the smoothed values.
constexpr double kSmoothing = 0.3;
constexpr double kMicrosecondsPerSecond = 1e6;
/// Keeps the rate of an idle router above 0, so that it has a share with which to begin.
constexpr double kMinRequestRate = 1;

}  // namespace

consensus::LoadMeasured RequestLoad::measure(const core::Counters& counters) {
  const std::uint64_t failed = counters.rejected + counters.failed;
  const std::uint64_t ended = counters.served + failed;
  if (ended > ended_) {
    const double ratio =
        static_cast<double>(failed - failed_) / static_cast<double>(ended - ended_);
    failure_ratio_ += kSmoothing * (ratio - failure_ratio_);
  }
  const auto admitted = static_cast<double>(counters.admitted - admitted_);
  const double rate = admitted * kMicrosecondsPerSecond / static_cast<double>(kInterval);
  request_rate_ += kSmoothing * (rate - request_rate_);
  admitted_ = counters.admitted;
  ended_ = ended;
  failed_ = failed;
  return {kMinRequestRate + request_rate_, failure_ratio_};
}

}  // namespace alderspur::control
