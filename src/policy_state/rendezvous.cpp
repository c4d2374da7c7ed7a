#include "policy_state/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>

#include "estimators/hash.h"

namespace alderspur::policy {

std::vector<Upstream*> rendezvous_order(const std::vector<Upstream*>& upstreams, ObjectId object,
                                        const WorkloadModel& workload) {
  struct ScoredUpstream {
    double score = 0;
    Upstream* upstream = nullptr;
  };
  std::vector<ScoredUpstream> scored;
  scored.reserve(upstreams.size());
  for (Upstream* upstream : upstreams) {
    const std::uint64_t hash = estimators::mix_bits(
        estimators::mix_bits(object.value) ^ estimators::mix_bits(upstream->server.id.value));
    const double score =
        std::log(estimators::unit_interval(hash)) / workload.weight(upstream->server);
    scored.push_back({score, upstream});
  }
  std::ranges::stable_sort(scored, std::greater<>(), &ScoredUpstream::score);
  std::vector<Upstream*> order;
  order.reserve(scored.size());
  for (const auto& entry : scored) order.push_back(entry.upstream);
  return order;
}

}  // namespace alderspur::policy
