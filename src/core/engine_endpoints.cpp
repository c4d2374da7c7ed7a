// Implements the endpoint updates, health check results, bans, purges and endpoint reports of
// Engine.
#include <algorithm>
#include <utility>

#include "core/engine.h"
#include "core/engine_state.h"

namespace alderspur::core {
namespace {

/// Tolerance on the time of a purge, in microseconds.
constexpr Time kPurgeMargin = 2'000;

// Returns whether the purge covers the request's object.
bool is_covered(const alderspur::Request& request, const alderspur::Purge& purge) {
  if (purge.covers_everything) return true;
  if (purge.object) return *purge.object == request.object;
  return request.is_group_unknown || purge.group == request.group;
}

}  // namespace

// ---- Endpoints ----

void Engine::on_health_check_result(const alderspur::HealthCheckResult& result) {
  waiting_events_.push_back({result, 0, 0, {}});
}

void Engine::set_ban(alderspur::ServerId server, bool is_banned) {
  urgent_events_.push_back({alderspur::Ban{server, is_banned}, 0, 0, {}});
}

void Engine::set_budget_share(const alderspur::BudgetShare& share) {
  urgent_events_.push_back({share, 0, 0, {}});
}

void Engine::update_endpoints(alderspur::EndpointUpdate update) {
  ++counters_.endpoint_updates;
  urgent_events_.push_back({std::move(update), 0, 0, {}});
}

std::vector<alderspur::EndpointStatus> Engine::endpoint_statuses() {
  auto statuses = router_.endpoint_statuses(now());
  std::erase_if(statuses, [&](const alderspur::EndpointStatus& status) {
    return status.server.location != settings_.location;
  });
  return statuses;
}

Engine::EndpointCounts Engine::count_endpoints() {
  const auto statuses = router_.endpoint_statuses(now());
  const auto unavailable = std::count_if(statuses.begin(), statuses.end(),
                                         [](const auto& status) { return !status.is_usable; });
  return {statuses.size(), static_cast<std::size_t>(unavailable)};
}

// ---- Purges ----

void Engine::purge(const PurgeNotice& notice) {
  ++counters_.purges;
  alderspur::Purge purge;
  if (notice.object) purge.object = alderspur::ObjectId{*notice.object};
  purge.group = {notice.group};
  purge.age = std::max<Time>(0, now() - notice.unix_time);
  purge.covers_everything = notice.covers_everything;
  urgent_events_.push_back({purge, 0, 0, {}});
  if (purge_listener_) purge_listener_(notice);
}

// An attempt that was decided before the purge and is not written yet must not be served a copy
// from before the purge. Attempts that are already written are left unchanged.
void Engine::lower_max_age(const alderspur::Purge& purge) {
  const Time age = std::max<Time>(1, purge.age - kPurgeMargin);
  for (auto& [id, attempt] : attempts_) {
    if (attempt.written_at) continue;
    if (!is_covered(requests_.at(attempt.request).request, purge)) continue;
    UpstreamRequest& upstream = attempt.upstream_request;
    if (!upstream.fill) upstream.fill = alderspur::Fill{upstream.server};
    alderspur::Fill& fill = *upstream.fill;
    const Time fresh_time = settings_.classes[upstream.class_id].fresh_time;
    const Time before = fill.max_age > 0 ? fill.max_age : fresh_time;
    fill.max_age = before > 0 ? std::min(before, age) : age;
    fill.may_join = false;
    fill.refresh_in_background = false;
  }
}

}  // namespace alderspur::core
