#include "endpoints/snapshot.h"

#include <xxhash.h>

#include <algorithm>

namespace alderspur::endpoints {
namespace {

// Lengths go in front, so that no two different lists give the same bytes.
class Digest {
 public:
  Digest() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }
  void text(const std::string& s) {
    number(s.size());
    XXH3_64bits_update(state_.get(), s.data(), s.size());
  }
  template <class T>
  void number(T v) {
    XXH3_64bits_update(state_.get(), &v, sizeof v);
  }
  std::uint64_t value() const { return XXH3_64bits_digest(state_.get()); }

 private:
  struct Free {
    void operator()(XXH3_state_t* s) const { XXH3_freeState(s); }
  };
  std::unique_ptr<XXH3_state_t, Free> state_;
};

}  // namespace

const ListedServer* Snapshot::find(ServerId id) const {
  const auto it =
      std::lower_bound(servers.begin(), servers.end(), id,
                       [](const ListedServer& s, ServerId wanted) { return s.id < wanted; });
  return it != servers.end() && it->id == id ? &*it : nullptr;
}

void Snapshot::seal() {
  std::sort(servers.begin(), servers.end(), [](auto& a, auto& b) { return a.id < b.id; });
  auto hub_names = hubs;
  std::sort(hub_names.begin(), hub_names.end());
  std::vector<std::pair<std::string, std::string>> point_names;
  for (const auto& p : points) point_names.emplace_back(p.name, hubs[p.hub]);
  std::sort(point_names.begin(), point_names.end());
  Digest d;
  d.number(hub_names.size());
  for (const auto& h : hub_names) d.text(h);
  d.number(point_names.size());
  for (const auto& [p, h] : point_names) d.text(p), d.text(h);
  d.number(servers.size());
  for (const auto& s : servers) {
    d.text(s.name), d.text(s.address), d.text(location_name(s));
    d.number(static_cast<int>(s.role)), d.number(static_cast<int>(s.state));
    d.number(s.cell), d.number(s.weight);
  }
  digest = d.value();
}

Difference difference(const Snapshot* from, const Snapshot& to) {
  static const Snapshot kNothing;
  const Snapshot& old = from ? *from : kNothing;
  Difference d;
  d.has_location_changes = old.points != to.points || old.hubs != to.hubs;
  auto a = old.servers.begin();
  auto b = to.servers.begin();
  while (a != old.servers.end() || b != to.servers.end()) {
    if (b == to.servers.end() || (a != old.servers.end() && a->id < b->id)) {
      d.removed.push_back((a++)->id);
      continue;
    }
    if (a == old.servers.end() || b->id < a->id) {
      d.added.push_back((b++)->id);
      continue;
    }
    const ListedServer &was = *a++, &is = *b++;
    if (was.state == ServerState::in_service && is.state == ServerState::draining)
      d.drained.push_back(is.id);
    else if (was.address != is.address)
      d.moved.push_back(is.id);
    else if (was.role != is.role || was.cell != is.cell ||
             old.location_name(was) != to.location_name(is))
      d.reassigned.push_back(is.id);
    else if (was.state != is.state)
      d.reinstated.push_back(is.id);
    else if (was.weight != is.weight)
      d.reweighted.push_back(is.id);
  }
  return d;
}

std::string summary(const Snapshot* from, const Snapshot& to, const Difference& d) {
  std::string out =
      from ? "generation " + std::to_string(from->generation) + " to " : "generation ";
  out += std::to_string(to.generation) + ":";
  const auto part = [&, first = true](std::size_t n, const char* what) mutable {
    if (!n) return;
    out += (first ? " " : ", ") + std::to_string(n) + ' ' + what;
    first = false;
  };
  auto say = part;
  say(d.added.size(), "added");
  say(d.removed.size(), "removed");
  say(d.drained.size(), "drained");
  say(d.reinstated.size(), "back in service");
  say(d.moved.size(), "at another address");
  say(d.reweighted.size(), "of another weight");
  say(d.reassigned.size(), "of another role, place or cell");
  if (d.has_location_changes) out += d.server_count() ? ", points or hubs" : " points or hubs";
  if (d.is_empty()) out += " nothing changes";
  return out;
}

const char* to_string(Role role) {
  return role == Role::cache ? "cache" : role == Role::parent ? "parent" : "origin";
}
const char* to_string(ServerState state) {
  return state == ServerState::in_service ? "in_service" : "draining";
}

}  // namespace alderspur::endpoints
