// Hash functions that return the same value in every process and on every machine. They are pure
// functions and may be called from any thread.
#pragma once

#include <cstdint>

namespace alderspur::estimators {

/// The state increment of SplitMix64 (Steele et al. 2014).
constexpr std::uint64_t kSplitMixIncrement = 0x9e3779b97f4a7c15ULL;

/// Applies the output function of SplitMix64: each bit of the value affects all bits of the result.
constexpr std::uint64_t finalize_bits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// Returns the output of SplitMix64 for the state `value`.
constexpr std::uint64_t mix_bits(std::uint64_t value) {
  return finalize_bits(value + kSplitMixIncrement);
}

/// Maps a hash to the open interval (0, 1), so that the logarithm of the result is finite.
constexpr double unit_interval(std::uint64_t hash) {
  constexpr double kStep = 0x1.0p-53;
  return (static_cast<double>(hash >> 11) + 0.5) * kStep;
}

}  // namespace alderspur::estimators
