// How long a suspect member has to refute its suspicion: Lifeguard's dynamic suspicion timeout.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "core/deadlines.h"

namespace alderspur::cluster {

struct SuspicionBounds {
  core::Time min_timeout = 0;
  core::Time max_timeout = 0;
  std::size_t confirmations = 0;  // reporters after the first that shorten the timeout to its least
};

/// Falls from the longest to the shortest timeout with the logarithm of the independent
/// confirmations. A small cluster needs fewer of them: it has `live_members`, the suspect included.
inline core::Time suspicion_timeout(const SuspicionBounds& bounds, std::size_t reporters,
                                    std::size_t live_members) {
  const std::size_t others = live_members > 1 ? live_members - 1 : 0;
  const auto needed = static_cast<double>(std::min(bounds.confirmations, others));
  const auto confirmations = static_cast<double>(reporters == 0 ? 0 : reporters - 1);
  const double part =
      needed < 1 ? 1 : std::min(1.0, std::log(confirmations + 1) / std::log(needed + 1));
  const auto range = static_cast<double>(bounds.max_timeout - bounds.min_timeout);
  return bounds.max_timeout - static_cast<core::Time>(part * range);
}

}  // namespace alderspur::cluster
