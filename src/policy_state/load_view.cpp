#include "policy_state/load_view.h"

#include <algorithm>
#include <limits>

#include "estimators/estimators.h"

namespace alderspur::policy {

std::vector<double> relative_loads(const RoutingContext& context) {
  std::vector<double> loads;
  double sum = 0;
  double loaded_caches = 0;
  for (Upstream* cache : context.upstreams.caches()) {
    const double load = cache->served_load.value(context.now);
    const double weight = context.workload.weight(cache->server);
    loads.push_back(cache->is_suspect(context.now) ? 0 : load / weight);
    if (loads.back() <= 0) continue;
    sum += loads.back();
    ++loaded_caches;
  }
  if (loaded_caches <= 0) return loads;
  std::ranges::replace_if(
      loads, [](double load) { return !(load > 0); }, sum / loaded_caches);
  return loads;
}

ErrorCounts count_peer_errors(const RoutingContext& context, const Upstream& upstream) {
  const auto& upstreams = context.upstreams;
  ErrorCounts counts;
  for (Upstream* peer : upstream.is_parent() ? upstreams.parents() : upstreams.caches()) {
    if (peer == &upstream) continue;
    counts.errors += peer->errors.value(context.now);
    counts.responses += peer->responses.value(context.now);
  }
  return counts;
}

void update_response_due_times(RoutingContext& context, const RequestTable& requests) {
  constexpr Time kNothingDue = std::numeric_limits<Time>::max() / 2;
  for (Upstream* cache : context.upstreams.caches()) cache->first_response_due = kNothingDue;
  for (const auto& [id, state] : requests) {
    const AttemptState* attempt = state.attempt_in_flight();
    Upstream* upstream = attempt ? context.upstreams.find(attempt->server) : nullptr;
    if (!upstream) continue;
    const auto transfer = static_cast<Time>(attempt->transfer_time * estimators::kSecond);
    upstream->first_response_due =
        std::min(upstream->first_response_due, attempt->sent_at + transfer);
  }
}

}  // namespace alderspur::policy
