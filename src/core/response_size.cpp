#include "core/response_size.h"

#include <algorithm>

namespace alderspur::core {
namespace {

/// The largest body that the protocol allows.
constexpr double kMaxBodyBytes = 240'000;
/// The expected size before the first response of a class whose requests name no size.
constexpr double kInitialBodyBytes = 16'000;
/// Few responses are larger than the average by more than this many mean deviations.
constexpr double kDeviations = 2;

// The size that a request names and the bytes of its response take the same time to transfer.
double bytes_per_kb(const config::Config& config) {
  const double kb_per_second = config.settings.stream_kb_per_second;
  return kb_per_second > 0 ? config.transfer_bytes_per_second / kb_per_second : 0;
}

}  // namespace

ResponseSizeEstimator::ResponseSizeEstimator(const config::Config& config)
    : bytes_per_kb_(bytes_per_kb(config)), average_bytes_(config.names.classes.size()) {}

std::size_t ResponseSizeEstimator::estimate(const RequestView& request) const {
  double bytes = kInitialBodyBytes;
  const auto& average = average_bytes_[request.class_id];
  if (request.size_kb > 0 && bytes_per_kb_ > 0) {
    bytes = request.size_kb * bytes_per_kb_;
  } else if (average.has_samples) {
    bytes = average.value + kDeviations * average.deviation;
  }
  return static_cast<std::size_t>(std::min(bytes, kMaxBodyBytes));
}

void ResponseSizeEstimator::record(std::uint32_t class_id, std::size_t bytes) {
  average_bytes_[class_id].add_sample(static_cast<double>(bytes));
}

}  // namespace alderspur::core
