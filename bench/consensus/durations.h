// Durations of one kind, for the figures of agreed versions.
#pragma once

#include <algorithm>
#include <vector>

#include "core/deadlines.h"

struct Durations {
  std::vector<alderspur::core::Time> all;
  double ms(double q) {  // -1: none
    if (all.empty()) return -1;
    std::sort(all.begin(), all.end());
    return static_cast<double>(all[std::min(
               all.size() - 1, static_cast<std::size_t>(q * static_cast<double>(all.size())))]) /
           1000;
  }
};
