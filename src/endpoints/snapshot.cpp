#include "endpoints/snapshot.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace alderspur::endpoints {
namespace {

/// Computes XXH3 over a sequence of values. Each text is preceded by its length, so that different
/// sequences never produce the same bytes.
class Digest {
 public:
  Digest() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }
  void add_text(const std::string& text) {
    add_number(text.size());
    XXH3_64bits_update(state_.get(), text.data(), text.size());
  }
  template <class Number>
  void add_number(Number number) {
    XXH3_64bits_update(state_.get(), &number, sizeof number);
  }
  std::uint64_t value() const { return XXH3_64bits_digest(state_.get()); }

 private:
  struct FreeState {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };
  std::unique_ptr<XXH3_state_t, FreeState> state_;
};

/// Adds the hubs and points, sorted, so that the digest does not depend on their order in the list.
void add_locations(Digest& digest, const Snapshot& list) {
  auto hub_names = list.hubs;
  std::sort(hub_names.begin(), hub_names.end());
  std::vector<std::pair<std::string, std::string>> points_with_hubs;
  points_with_hubs.reserve(list.points.size());
  for (const auto& point : list.points) {
    points_with_hubs.emplace_back(point.name, list.hubs[point.hub]);
  }
  std::sort(points_with_hubs.begin(), points_with_hubs.end());
  digest.add_number(hub_names.size());
  for (const auto& hub : hub_names) digest.add_text(hub);
  digest.add_number(points_with_hubs.size());
  for (const auto& [point, hub] : points_with_hubs) {
    digest.add_text(point);
    digest.add_text(hub);
  }
}

/// Adds one server. The digest is part of the stored state: the order and types of the values must
/// not change.
void add_server(Digest& digest, const Snapshot& list, const ListedServer& server) {
  digest.add_text(server.name);
  digest.add_text(server.address);
  digest.add_text(list.location_name(server));
  digest.add_number(static_cast<int>(server.role));
  digest.add_number(static_cast<int>(server.state));
  digest.add_number(server.cell);
  digest.add_number(server.weight);
}

/// Compares a server that both snapshots list and records how it differs, if it does.
void record_difference(const Snapshot& old_list, const ListedServer& before,
                       const Snapshot& new_list, const ListedServer& after,
                       Difference& difference) {
  if (before.state == ServerState::in_service && after.state == ServerState::draining) {
    difference.drained.push_back(after.id);
  } else if (before.address != after.address) {
    difference.moved.push_back(after.id);
  } else if (before.role != after.role || before.cell != after.cell ||
             old_list.location_name(before) != new_list.location_name(after)) {
    difference.reassigned.push_back(after.id);
  } else if (before.state != after.state) {
    difference.reinstated.push_back(after.id);
  } else if (before.weight != after.weight) {
    difference.reweighted.push_back(after.id);
  }
}

}  // namespace

const ListedServer* Snapshot::find(ServerId id) const {
  const auto it = std::lower_bound(
      servers.begin(), servers.end(), id,
      [](const ListedServer& server, ServerId wanted) { return server.id < wanted; });
  return it != servers.end() && it->id == id ? &*it : nullptr;
}

void Snapshot::seal() {
  std::sort(servers.begin(), servers.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
  Digest content;
  add_locations(content, *this);
  content.add_number(servers.size());
  for (const auto& server : servers) add_server(content, *this, server);
  digest = content.value();
}

Difference difference(const Snapshot* from, const Snapshot& to) {
  const Snapshot empty;
  const Snapshot& old_list = from ? *from : empty;
  Difference result;
  result.has_location_changes = old_list.points != to.points || old_list.hubs != to.hubs;
  // Both lists are sorted by id.
  auto before = old_list.servers.begin();
  auto after = to.servers.begin();
  while (before != old_list.servers.end() || after != to.servers.end()) {
    if (after == to.servers.end() || (before != old_list.servers.end() && before->id < after->id)) {
      result.removed.push_back(before->id);
      ++before;
    } else if (before == old_list.servers.end() || after->id < before->id) {
      result.added.push_back(after->id);
      ++after;
    } else {
      record_difference(old_list, *before, to, *after, result);
      ++before;
      ++after;
    }
  }
  return result;
}

std::string summary(const Snapshot* from, const Snapshot& to, const Difference& difference) {
  std::string text =
      from ? "generation " + std::to_string(from->generation) + " to " : "generation ";
  text += std::to_string(to.generation) + ":";
  bool is_first = true;
  const auto append = [&](const std::vector<ServerId>& servers, const char* what) {
    if (servers.empty()) return;
    text += (is_first ? " " : ", ") + std::to_string(servers.size()) + ' ' + what;
    is_first = false;
  };
  append(difference.added, "added");
  append(difference.removed, "removed");
  append(difference.drained, "drained");
  append(difference.reinstated, "returned to service");
  append(difference.moved, "with a new address");
  append(difference.reweighted, "with a new weight");
  append(difference.reassigned, "with a new role, location or cell");
  if (difference.has_location_changes) {
    text += is_first ? " points or hubs changed" : ", points or hubs changed";
  }
  if (difference.is_empty()) text += " no changes";
  return text;
}

const char* to_string(Role role) {
  switch (role) {
    case Role::cache:
      return "cache";
    case Role::parent:
      return "parent";
    case Role::origin:
      break;
  }
  return "origin";
}

const char* to_string(ServerState state) {
  return state == ServerState::in_service ? "in_service" : "draining";
}

}  // namespace alderspur::endpoints
