#include "endpoints/check.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace alderspur::endpoints {
namespace {

struct Tally {
  std::size_t before = 0, out = 0, left = 0;
};
std::string percent(double part) {
  return std::to_string(static_cast<int>(part * 100 + 0.5)) + "%";
}

bool serves(const ListedServer* s) { return s && s->state == ServerState::in_service; }

void too_much(const Snapshot& next, const std::string& what, const Tally& t,
              const ChangeLimits& bounds, diagnostics::Findings& findings) {
  if (t.before == 0 ||
      static_cast<double>(t.out) <= bounds.max_lost_fraction * static_cast<double>(t.before))
    return;
  if (next.confirmed_generation == next.generation) return;
  findings.error("L023", {next.source, 0, 0},
                 what + " would lose " + std::to_string(t.out) + " of " + std::to_string(t.before) +
                     " servers in service at once, over " + percent(bounds.max_lost_fraction),
                 "if it is meant, add confirm = " + std::to_string(next.generation));
}

}  // namespace

void check_alone(const Snapshot& list, diagnostics::Findings& findings) {
  std::vector<std::size_t> by_point(list.points.size());
  std::map<Role, std::pair<std::size_t, std::size_t>> by_role;  // listed, in service
  for (const auto& s : list.servers) {
    auto& [listed, in_service] = by_role[s.role];
    ++listed;
    if (!serves(&s)) continue;
    ++in_service;
    if (s.role == Role::cache) ++by_point[s.location_index];
  }
  for (std::size_t i = 0; i < by_point.size(); ++i)
    if (by_point[i] == 0)
      findings.error("L022", {list.source, 0, 0},
                     "point " + list.points[i].name + " has no cache in service",
                     "list one, or remove the point");
  for (const auto& [role, n] : by_role)
    if (n.second == 0)
      findings.error("L022", {list.source, 0, 0},
                     std::string("no ") + to_string(role) + " is in service",
                     "leave one in service");
}

void check_change(const Snapshot* in_force, const Snapshot& next, const ChangeLimits& bounds,
                  diagnostics::Findings& findings) {
  if (!in_force) return;
  const Snapshot& old = *in_force;
  if (next.generation < old.generation) {
    findings.error("L020", {next.source, 0, 0},
                   "generation " + std::to_string(next.generation) + " goes back behind " +
                       std::to_string(old.generation) + ", which is in force",
                   "write a generation over " + std::to_string(old.generation));
    return;
  }
  if (next.generation == old.generation) {
    if (next.digest != old.digest)
      findings.error(
          "L021", {next.source, 0, 0},
          "generation " + std::to_string(next.generation) + " is in force with other content",
          "write a generation over " + std::to_string(old.generation));
    return;
  }
  std::map<std::string, Tally> points;
  std::map<Role, Tally> roles;
  for (const auto& was : old.servers) {
    if (!serves(&was)) continue;
    const bool out = !serves(next.find(was.id));
    auto& role = roles[was.role];
    ++role.before, role.out += out;
    if (was.role != Role::cache) continue;
    auto& point = points[old.location_name(was)];
    ++point.before, point.out += out;
  }
  for (const auto& s : next.servers)
    if (serves(&s)) ++roles[s.role].left;
  for (const auto& [name, t] : points) too_much(next, "point " + name, t, bounds, findings);
  for (const auto& [role, t] : roles) {
    if (t.before > 0 && t.left == 0)
      findings.error("L022", {next.source, 0, 0},
                     std::string("no ") + to_string(role) + " would be left in service",
                     "leave one in service");
    else if (role == Role::parent)
      too_much(next, "the parents", t, bounds, findings);
  }
}

void resolve_zones(const Snapshot& list, const std::vector<std::string>& zones,
                   std::vector<std::uint32_t>& points, std::vector<std::uint32_t>& hubs,
                   diagnostics::Findings& findings) {
  std::unordered_map<std::string, std::uint32_t> numbers;
  for (std::uint32_t i = 0; i < zones.size(); ++i) numbers.emplace(zones[i], i);
  const std::vector<std::string_view> known(zones.begin(), zones.end());
  const auto number = [&](const char* what, const std::string& name) -> std::uint32_t {
    const auto it = numbers.find(name);
    if (it != numbers.end()) return it->second;
    const auto near = diagnostics::nearest(name, known);
    findings.error(
        "L024", {list.source, 0, 0},
        std::string(what) + " " + name + " is not in this router's settings",
        near.empty() ? "their zones (azs) name all places" : "did you mean '" + near + "'?");
    return 0;
  };
  points.clear(), hubs.clear();
  for (const auto& p : list.points) points.push_back(number("point", p.name));
  for (const auto& h : list.hubs) hubs.push_back(number("hub", h));
}

Member to_member(const Snapshot&, const ListedServer& s,
                 const std::vector<std::uint32_t>& point_zones,
                 const std::vector<std::uint32_t>& hub_zones) {
  Member m;
  m.name = s.name;
  m.address = s.address;
  m.server.id = s.id;
  m.server.role = s.role;
  m.server.location = {s.role == Role::cache ? point_zones[s.location_index]
                                             : hub_zones[s.location_index]};
  m.server.cell = {s.cell};
  m.server.status = s.state == ServerState::draining ? ServerStatus::draining : ServerStatus::ready;
  m.server.weight = s.weight;
  return m;
}

std::vector<Member> to_members(const Snapshot& list, const std::vector<std::string>& zones,
                               diagnostics::Findings& findings) {
  std::vector<std::uint32_t> points, hubs;
  std::vector<Member> out;
  resolve_zones(list, zones, points, hubs, findings);
  if (!findings.good()) return out;
  for (const auto& s : list.servers) out.push_back(to_member(list, s, points, hubs));
  return out;
}

}  // namespace alderspur::endpoints
