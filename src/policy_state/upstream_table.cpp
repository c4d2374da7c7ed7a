#include "policy_state/upstream_table.h"

#include <numeric>

namespace alderspur::policy {

UpstreamTable::Change UpstreamTable::apply(const Server& server) {
  const bool is_new = !upstreams_.contains(server.id);
  Upstream& upstream = upstreams_[server.id];
  Change change{upstream, is_new};
  if (!is_new) {
    change.has_returned =
        upstream.server.status == ServerStatus::gone && server.status == ServerStatus::ready;
    change.has_restarted = server.started_at > upstream.server.started_at;
  }
  upstream.server = server;
  if (estimators::positive_or_zero(server.weight) <= 0) upstream.server.weight = 1;
  upstream.is_banned = banned_.contains(server.id);
  if (change.has_restarted) {
    upstream.consecutive_failures = 0;
    upstream.ejected_until = 0;
    upstream.on_probation = false;
    upstream.was_unresponsive = false;
  }
  return change;
}

void UpstreamTable::mark_unlisted_as_gone(const std::vector<Server>& servers) {
  std::set<ServerId> listed;
  for (const auto& server : servers) listed.insert(server.id);
  for (auto& [id, upstream] : upstreams_) {
    if (!listed.contains(id)) upstream.server.status = ServerStatus::gone;
  }
}

void UpstreamTable::regroup() {
  caches_.clear();
  parents_.clear();
  origin_ = nullptr;
  for (auto& [id, upstream] : upstreams_) {
    if (!upstream.is_ready()) continue;
    if (upstream.server.role == Role::origin) {
      origin_ = &upstream;
    } else if (upstream.is_parent()) {
      parents_.push_back(&upstream);
    } else if (upstream.server.location == own_location_) {
      caches_.push_back(&upstream);
    }
  }
}

void UpstreamTable::remove_gone() {
  std::erase_if(upstreams_, [](const auto& entry) {
    const Upstream& upstream = entry.second;
    return upstream.server.status == ServerStatus::gone && upstream.attempts_in_flight == 0;
  });
}

bool UpstreamTable::set_ban(const Ban& ban) {
  if (ban.is_banned) return banned_.insert(ban.server).second;
  return banned_.erase(ban.server) > 0;
}

Upstream* UpstreamTable::find(ServerId id) {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

double UpstreamTable::transfer_time_in_flight() const {
  return std::accumulate(
      caches_.begin(), caches_.end(), 0.0,
      [](double sum, const Upstream* cache) { return sum + cache->transfer_time_in_flight; });
}

}  // namespace alderspur::policy
