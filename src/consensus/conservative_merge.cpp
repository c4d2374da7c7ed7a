#include "consensus/conservative_merge.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace alderspur::consensus {
namespace {

using endpoints::Listed;
using endpoints::Snapshot;
using endpoints::State;

using Place = std::pair<Role, std::string>;
Place place_of(const Snapshot& s, const Listed& l) { return {l.role, s.place_name(l)}; }

// True if both tell of one server at one place.
bool agree(const Snapshot& a, const Listed& x, const Snapshot& b, const Listed& y) {
  return place_of(a, x) == place_of(b, y) && x.address == y.address && x.cell == y.cell;
}

}  // namespace

Snapshot merge_conservatively(const std::vector<endpoints::SnapshotPtr>& lists) {
  const Snapshot& newest = *lists.back();
  Snapshot out = newest;
  out.servers.clear();
  std::set<Place> served;
  std::vector<Listed> unsure;
  for (const Listed& s : newest.servers) {
    Listed merged = s;
    bool sure = true;
    for (const auto& list : lists) {
      const Listed* other = list->find(s.id);
      sure = sure && other && agree(newest, s, *list, *other);
      if (!sure) break;
      if (other->state == State::draining) merged.state = State::draining;
      merged.weight = std::min(merged.weight, other->weight);
    }
    if (!sure) {
      unsure.push_back(s);
      continue;
    }
    if (merged.state == State::in_service)
      served.insert(place_of(newest, s));
    else if (s.state == State::in_service)
      unsure.push_back(s);  // draining by an older one only
    out.servers.push_back(std::move(merged));
  }
  for (const Listed& s : unsure) {
    if (served.contains(place_of(newest, s))) continue;
    std::erase_if(out.servers, [&](const Listed& x) { return x.id == s.id; });
    out.servers.push_back(s);
  }
  out.seal();
  return out;
}

std::string to_text(const Snapshot& list, std::uint64_t generation) {
  std::string out = "format = 1\ngeneration = " + std::to_string(generation) +
                    "\nconfirm = " + std::to_string(generation) +
                    "\nservers = " + std::to_string(list.servers.size()) + "\n";
  for (const auto& h : list.hubs) out += "[[hub]]\nname = \"" + h + "\"\n";
  for (const auto& p : list.points)
    out += "[[point]]\nname = \"" + p.name + "\"\nhub = \"" + list.hubs[p.hub] + "\"\n";
  for (const auto& s : list.servers) {
    char weight[40];
    std::snprintf(weight, sizeof weight, "%.9g", s.weight);
    if (std::string_view(weight).find_first_of(".e") == std::string_view::npos)
      std::snprintf(weight, sizeof weight, "%.1f", s.weight);
    out += "[[server]]\nid = \"" + s.name + "\"\nrole = \"" + endpoints::word(s.role) + "\"\n" +
           (s.role == Role::cache ? "point" : "hub") + " = \"" + list.place_name(s) +
           "\"\naddress = \"" + s.address + "\"\nweight = " + weight + "\nstate = \"" +
           endpoints::word(s.state) + "\"\ncell = " + std::to_string(s.cell) + "\n";
  }
  return out;
}

std::string list_to_act_on(const std::vector<std::string>& texts, std::uint64_t generation,
                           std::string& error) {
  std::vector<endpoints::SnapshotPtr> lists;
  for (const auto& text : texts) {
    diagnostics::Findings findings;
    const auto read = endpoints::read_list(text, "servers", 0, {}, findings);
    if (!findings.good() || !read.list) {
      error = findings.list().empty() ? "no list of servers"
                                      : diagnostics::to_string(findings.list()[0]);
      return {};
    }
    lists.push_back(read.list);
  }
  return lists.empty() ? std::string() : to_text(merge_conservatively(lists), generation);
}

}  // namespace alderspur::consensus
