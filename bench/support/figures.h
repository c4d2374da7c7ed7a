// What the measurements share: quantiles of measured values, and a main function that reports
// exceptions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <vector>

#include "core/deadlines.h"

namespace figures {

/// A duration in seconds.
inline double in_seconds(alderspur::core::Time duration) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(duration) / kMicrosecondsPerSecond;
}

/// The value below which this fraction of all values lies, from 0 (the smallest) to 1 (the
/// largest).
inline double quantile(std::vector<double> values, double fraction, double if_empty) {
  if (values.empty()) return if_empty;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}

/// Runs a measurement; the exit code is its result, or 1 after an exception.
inline int run_main(const char* program, int argc, char** argv, int (*run)(int, char**)) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s: %s\n", program, error.what());
    return 1;
  }
}

}  // namespace figures
