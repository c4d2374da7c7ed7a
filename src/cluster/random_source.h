// The random number generator of one Membership. The same seed gives the same sequence. It is not
// thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::cluster {

/// A seeded generator of uniform random numbers.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t next() { return engine_(); }
  /// Returns a uniform number in [0, bound), or 0 if `bound` is less than 2.
  std::uint64_t below(std::uint64_t bound) {
    if (bound < 2) return 0;
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
  }
  /// Returns a uniform time in [0, bound), or 0 if `bound` is less than 2.
  core::Time time_below(core::Time bound) {
    return static_cast<core::Time>(below(static_cast<std::uint64_t>(bound)));
  }
  template <typename T>
  void shuffle(std::vector<T>& items) {
    std::shuffle(items.begin(), items.end(), engine_);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace alderspur::cluster
