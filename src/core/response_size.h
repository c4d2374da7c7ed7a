// Estimates the size of the response to a request before the request is forwarded. It does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "estimators/estimators.h"

namespace alderspur::core {

/// Estimates response sizes from the sizes that requests name, and from earlier responses.
class ResponseSizeEstimator {
 public:
  explicit ResponseSizeEstimator(const config::Config& config);
  /// Returns the expected size of the body of the response, in bytes.
  std::size_t estimate(const RequestView& request) const;
  /// Records the size of the body of a response to a request of this class.
  void record(std::uint32_t class_id, std::size_t bytes);

 private:
  double bytes_per_kb_;  // body bytes for each KB of the size that a request names; 0: unknown
  std::vector<estimators::MovingAverage> average_bytes_;  // by class
};

}  // namespace alderspur::core
