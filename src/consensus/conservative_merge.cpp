#include "consensus/conservative_merge.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>
#include <string_view>

namespace alderspur::consensus {
namespace {

using endpoints::ListedServer;
using endpoints::ServerState;
using endpoints::Snapshot;
using endpoints::SnapshotPtr;

// Servers with the same role at the same location can replace each other.
struct RoleAtLocation {
  Role role;
  std::string location;
  auto operator<=>(const RoleAtLocation&) const = default;
};

RoleAtLocation role_and_location(const Snapshot& list, const ListedServer& server) {
  return {server.role, list.location_name(server)};
}

bool is_same_server(const Snapshot& list, const ListedServer& server, const Snapshot& other_list,
                    const ListedServer& other) {
  return role_and_location(list, server) == role_and_location(other_list, other) &&
         server.address == other.address && server.cell == other.cell;
}

// Returns the strictest entry for a server of the newest list; empty if a list lacks the server or
// has a different server under its id.
std::optional<ListedServer> merge_server(const Snapshot& newest, const ListedServer& server,
                                         const std::vector<SnapshotPtr>& lists) {
  ListedServer merged = server;
  for (const auto& list : lists) {
    const ListedServer* other = list->find(server.id);
    if (!other || !is_same_server(newest, server, *list, *other)) return {};
    if (other->state == ServerState::draining) merged.state = ServerState::draining;
    merged.weight = std::min(merged.weight, other->weight);
  }
  return merged;
}

// Formats a weight with a decimal point or an exponent, as the format of lists requires.
std::string format_weight(double weight) {
  char text[40];
  std::snprintf(text, sizeof text, "%.9g", weight);
  const bool is_integer = std::string_view(text).find_first_of(".e") == std::string_view::npos;
  if (is_integer) std::snprintf(text, sizeof text, "%.1f", weight);
  return text;
}

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string server_text(const Snapshot& list, const ListedServer& server) {
  const std::string place_key = server.role == Role::cache ? "point" : "hub";
  return "[[server]]\nid = " + quoted(server.name) +
         "\nrole = " + quoted(endpoints::to_string(server.role)) + "\n" + place_key + " = " +
         quoted(list.location_name(server)) + "\naddress = " + quoted(server.address) +
         "\nweight = " + format_weight(server.weight) +
         "\nstate = " + quoted(endpoints::to_string(server.state)) +
         "\ncell = " + std::to_string(server.cell) + "\n";
}

}  // namespace

Snapshot merge_conservatively(const std::vector<SnapshotPtr>& lists) {
  const Snapshot& newest = *lists.back();
  Snapshot result = newest;
  result.servers.clear();
  std::set<RoleAtLocation> served;
  // Used only if no other server of their role is in service at their location.
  std::vector<ListedServer> fallbacks;
  for (const ListedServer& server : newest.servers) {
    auto merged = merge_server(newest, server, lists);
    if (!merged) {
      fallbacks.push_back(server);
      continue;
    }
    if (merged->state == ServerState::in_service) {
      served.insert(role_and_location(newest, server));
    } else if (server.state == ServerState::in_service) {
      fallbacks.push_back(server);  // draining only in an older list
    }
    result.servers.push_back(std::move(*merged));
  }
  for (const ListedServer& server : fallbacks) {
    if (served.contains(role_and_location(newest, server))) continue;
    std::erase_if(result.servers, [&](const ListedServer& other) { return other.id == server.id; });
    result.servers.push_back(server);
  }
  result.seal();
  return result;
}

std::string to_text(const Snapshot& list, std::uint64_t generation) {
  const std::string number = std::to_string(generation);
  std::string text = "format = 1\ngeneration = " + number + "\nconfirm = " + number +
                     "\nservers = " + std::to_string(list.servers.size()) + "\n";
  for (const auto& hub : list.hubs) text += "[[hub]]\nname = " + quoted(hub) + "\n";
  for (const auto& point : list.points) {
    text += "[[point]]\nname = " + quoted(point.name) + "\nhub = " + quoted(list.hubs[point.hub]) +
            "\n";
  }
  for (const auto& server : list.servers) text += server_text(list, server);
  return text;
}

MergedListText merge_list_texts(const std::vector<std::string>& texts, std::uint64_t generation) {
  std::vector<SnapshotPtr> lists;
  for (const auto& text : texts) {
    diagnostics::Findings findings;
    const auto read = endpoints::read_list(text, "servers", 0, {}, findings);
    if (!findings.is_ok() || !read.list) {
      const bool has_finding = !findings.list().empty();
      return MergedListText::failure(has_finding ? diagnostics::to_string(findings.list()[0])
                                                 : "the text is not a list of servers");
    }
    lists.push_back(read.list);
  }
  if (lists.empty()) return MergedListText::success("");
  return MergedListText::success(to_text(merge_conservatively(lists), generation));
}

}  // namespace alderspur::consensus
