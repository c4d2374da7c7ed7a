// Computes the time that a suspect member has to refute a suspicion: the dynamic suspicion timeout
// of Lifeguard.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "core/deadlines.h"

namespace alderspur::cluster {

/// The range of the timeout, in microseconds.
struct SuspicionBounds {
  core::Time min_timeout = 0;
  core::Time max_timeout = 0;
  // Number of reporters, beyond the first, that reduce the timeout to its minimum.
  std::size_t confirmations = 0;
};

/// Returns the timeout for a suspicion with this number of independent reporters. The timeout
/// decreases from the maximum to the minimum with the logarithm of the number of confirmations. A
/// small cluster needs fewer confirmations: `live_members` is the number of live members other than
/// this process and includes the suspect.
inline core::Time suspicion_timeout(const SuspicionBounds& bounds, std::size_t reporters,
                                    std::size_t live_members) {
  const std::size_t others = live_members > 1 ? live_members - 1 : 0;
  const auto needed = static_cast<double>(std::min(bounds.confirmations, others));
  const auto confirmations = static_cast<double>(reporters == 0 ? 0 : reporters - 1);
  const double fraction =
      needed < 1 ? 1 : std::min(1.0, std::log(confirmations + 1) / std::log(needed + 1));
  const auto range = static_cast<double>(bounds.max_timeout - bounds.min_timeout);
  return bounds.max_timeout - static_cast<core::Time>(fraction * range);
}

}  // namespace alderspur::cluster
