#include "endpoints/check.h"

#include <cmath>
#include <cstddef>
#include <map>
#include <string_view>
#include <unordered_map>

namespace alderspur::endpoints {
namespace {

/// Counts the servers in service of one point or role in two successive lists.
struct ServiceChange {
  std::size_t before = 0;
  std::size_t lost = 0;  // in service before, but not after
  std::size_t after = 0;
};

/// Counts the servers in service of one role in a single list.
struct ServiceCount {
  std::size_t in_service = 0;
};

std::string percent(double fraction) { return std::to_string(std::lround(fraction * 100)) + "%"; }

bool is_in_service(const ListedServer* server) {
  return server && server->state == ServerState::in_service;
}

/// Returns the location of findings that concern the whole list.
diagnostics::Location whole_list(const Snapshot& list) { return {list.source, 0, 0}; }

/// Reports L023 if `target`, a point or a role, loses too many servers without confirmation.
void check_loss(const Snapshot& next, const std::string& target, const ServiceChange& change,
                const ChangeLimits& limits, diagnostics::Findings& findings) {
  const double allowed = limits.max_lost_fraction * static_cast<double>(change.before);
  if (change.before == 0 || static_cast<double>(change.lost) <= allowed) return;
  if (next.confirmed_generation == next.generation) return;
  findings.error("L023", whole_list(next),
                 target + " would lose " + std::to_string(change.lost) + " of " +
                     std::to_string(change.before) +
                     " servers in service in one change; more than " +
                     percent(limits.max_lost_fraction) + " requires confirmation",
                 "if this is intended, add confirm = " + std::to_string(next.generation));
}

/// Checks the generation. Returns true if the servers of the two lists have to be compared.
bool check_generation(const Snapshot& active, const Snapshot& next,
                      diagnostics::Findings& findings) {
  const std::string remedy = "set a generation higher than " + std::to_string(active.generation);
  if (next.generation < active.generation) {
    findings.error("L020", whole_list(next),
                   "generation " + std::to_string(next.generation) +
                       " is lower than the active generation " + std::to_string(active.generation),
                   remedy);
    return false;
  }
  if (next.generation > active.generation) return true;
  if (next.digest != active.digest) {
    findings.error("L021", whole_list(next),
                   "generation " + std::to_string(next.generation) +
                       " is already active with different content",
                   remedy);
  }
  return false;
}

/// The changes between two lists. Points are named; only their caches are counted.
struct ServiceChanges {
  std::map<std::string, ServiceChange> by_point;
  std::map<Role, ServiceChange> by_role;
};

ServiceChanges count_changes(const Snapshot& active, const Snapshot& next) {
  ServiceChanges changes;
  for (const auto& server : active.servers) {
    if (!is_in_service(&server)) continue;
    const std::size_t lost = is_in_service(next.find(server.id)) ? 0 : 1;
    auto& role = changes.by_role[server.role];
    ++role.before;
    role.lost += lost;
    if (server.role != Role::cache) continue;
    auto& point = changes.by_point[active.location_name(server)];
    ++point.before;
    point.lost += lost;
  }
  for (const auto& server : next.servers) {
    if (is_in_service(&server)) ++changes.by_role[server.role].after;
  }
  return changes;
}

/// Maps zone names to their indexes.
class ZoneIndex {
 public:
  explicit ZoneIndex(const std::vector<std::string>& zones) : names_(zones.begin(), zones.end()) {
    for (std::uint32_t i = 0; i < zones.size(); ++i) indexes_.emplace(zones[i], i);
  }
  /// Returns the index of the zone with this name. Reports L024 and returns 0 if there is none.
  std::uint32_t find(const Snapshot& list, const char* kind, const std::string& name,
                     diagnostics::Findings& findings) const {
    const auto it = indexes_.find(name);
    if (it != indexes_.end()) return it->second;
    const auto nearest = diagnostics::closest_match(name, names_);
    findings.error("L024", whole_list(list),
                   std::string(kind) + " " + name + " is not a zone in this router's configuration",
                   nearest.empty() ? "the configured zones (azs) must include every point and hub"
                                   : "did you mean '" + nearest + "'?");
    return 0;
  }

 private:
  std::vector<std::string_view> names_;
  std::unordered_map<std::string, std::uint32_t> indexes_;
};

}  // namespace

void check_alone(const Snapshot& list, diagnostics::Findings& findings) {
  std::vector<std::size_t> in_service_by_point(list.points.size());
  std::map<Role, ServiceCount> by_role;  // only roles that the list contains
  for (const auto& server : list.servers) {
    auto& role = by_role[server.role];
    if (!is_in_service(&server)) continue;
    ++role.in_service;
    if (server.role == Role::cache) ++in_service_by_point[server.location_index];
  }
  for (std::size_t i = 0; i < list.points.size(); ++i) {
    if (in_service_by_point[i] > 0) continue;
    findings.error("L022", whole_list(list),
                   "point " + list.points[i].name + " has no cache in service",
                   "list a cache in service there, or remove the point");
  }
  for (const auto& [role, count] : by_role) {
    if (count.in_service > 0) continue;
    findings.error("L022", whole_list(list),
                   std::string("no ") + to_string(role) + " is in service",
                   "keep at least one in service");
  }
}

void check_change(const Snapshot* active, const Snapshot& next, const ChangeLimits& limits,
                  diagnostics::Findings& findings) {
  if (!active || !check_generation(*active, next, findings)) return;
  const auto changes = count_changes(*active, next);
  for (const auto& [name, change] : changes.by_point) {
    check_loss(next, "point " + name, change, limits, findings);
  }
  for (const auto& [role, change] : changes.by_role) {
    if (change.before > 0 && change.after == 0) {
      findings.error("L022", whole_list(next),
                     std::string("no ") + to_string(role) + " would be left in service",
                     "keep at least one in service");
    } else if (role == Role::parent) {
      check_loss(next, "role parent", change, limits, findings);
    }
  }
}

LocationZones resolve_zones(const Snapshot& list, const std::vector<std::string>& zones,
                            diagnostics::Findings& findings) {
  const ZoneIndex index(zones);
  LocationZones result;
  result.points.reserve(list.points.size());
  result.hubs.reserve(list.hubs.size());
  for (const auto& point : list.points) {
    result.points.push_back(index.find(list, "point", point.name, findings));
  }
  for (const auto& hub : list.hubs) {
    result.hubs.push_back(index.find(list, "hub", hub, findings));
  }
  return result;
}

Member to_member(const ListedServer& server, const LocationZones& zones) {
  const auto& zones_of_role = server.role == Role::cache ? zones.points : zones.hubs;
  Member member;
  member.name = server.name;
  member.address = server.address;
  member.server.id = server.id;
  member.server.role = server.role;
  member.server.location = {zones_of_role[server.location_index]};
  member.server.cell = {server.cell};
  member.server.status =
      server.state == ServerState::draining ? ServerStatus::draining : ServerStatus::ready;
  member.server.weight = server.weight;
  return member;
}

std::vector<Member> to_members(const Snapshot& list, const std::vector<std::string>& zones,
                               diagnostics::Findings& findings) {
  const auto location_zones = resolve_zones(list, zones, findings);
  if (!findings.is_ok()) return {};
  std::vector<Member> members;
  members.reserve(list.servers.size());
  for (const auto& server : list.servers) members.push_back(to_member(server, location_zones));
  return members;
}

}  // namespace alderspur::endpoints
