// Quantiles of measured durations, for the benchmarks of agreed versions.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "core/deadlines.h"

class Durations {
 public:
  void add(alderspur::core::Time duration) { durations_.push_back(duration); }
  std::size_t count() const { return durations_.size(); }
  /// In milliseconds; -1 if there are none.
  double quantile_ms(double quantile) {
    if (durations_.empty()) return -1;
    std::sort(durations_.begin(), durations_.end());
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(durations_.size()));
    return static_cast<double>(durations_[std::min(durations_.size() - 1, rank)]) / 1000;
  }

 private:
  std::vector<alderspur::core::Time> durations_;
};
