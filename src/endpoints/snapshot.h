// A list of servers, taken whole: what one generation of the watched files says.
//
// A Snapshot never changes once it is made and is passed about by shared_ptr<const Snapshot>: the
// loop swaps one pointer, and readers on other threads keep theirs. `servers` is sorted by
// ServerId, and lookups cost the logarithm of the list's length. No I/O. Weights are in the unit of
// Server::weight.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"
#include "endpoints/member.h"

namespace alderspur::endpoints {

enum class ServerState : std::uint8_t { in_service, draining };

struct ListedServer {
  ServerId id{};
  std::string name, address;
  Role role = Role::cache;
  std::uint32_t location_index = 0;  // caches: in points; parents and origins: in hubs
  ServerState state = ServerState::in_service;
  std::uint32_t cell = 0;
  double weight = 1;
  std::uint32_t line = 0, piece_index = 0;  // where it stands; no part of what it means

  bool same(const ListedServer& o) const {
    return id == o.id && name == o.name && address == o.address && role == o.role &&
           location_index == o.location_index && state == o.state && cell == o.cell &&
           weight == o.weight;
  }
};
struct Point {
  std::string name;
  std::uint32_t hub = 0;
  bool operator==(const Point&) const = default;
};

struct Snapshot {
  std::uint64_t generation = 0;
  std::uint64_t confirmed_generation = 0;  // the generation whose large removals are meant, 0: none
  std::string source;                      // a path
  std::vector<std::string> piece_files;
  core::Time read_at = 0;    // Unix microseconds at which it was read; not a part of its meaning
  std::uint64_t digest = 0;  // XXH3 of what it means: the same list in another order has the same
  std::vector<std::string> hubs;
  std::vector<Point> points;
  std::vector<ListedServer> servers;

  const ListedServer* find(ServerId id) const;
  const std::string& location_name(const ListedServer& s) const {
    return s.role == Role::cache ? points[s.location_index].name : hubs[s.location_index];
  }
  const std::string& file_of(const ListedServer& s) const {
    return s.piece_index < piece_files.size() ? piece_files[s.piece_index] : source;
  }
  // Sorts and computes the digest; once, by whoever made it.
  void seal();
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

// What of one snapshot differs from another, by meaning. Ids; the removed ones are looked up in
// `from`.
struct Difference {
  std::vector<ServerId> added, removed, drained, reinstated, moved, reweighted, reassigned;
  bool has_location_changes = false;  // points or hubs
  bool is_empty() const {
    return added.empty() && removed.empty() && drained.empty() && reinstated.empty() &&
           moved.empty() && reweighted.empty() && reassigned.empty() && !has_location_changes;
  }
  std::size_t server_count() const {
    return added.size() + removed.size() + drained.size() + reinstated.size() + moved.size() +
           reweighted.size() + reassigned.size();
  }
};
// A null `from` stands for the empty list. A server that differs in several ways is named under the
// first of removed, drained, moved, other, returned, weighted that holds.
Difference difference(const Snapshot* from, const Snapshot& to);
// "generation 7 to 8: 2 added, 1 drained, 3 weights"
std::string summary(const Snapshot* from, const Snapshot& to, const Difference& difference);

const char* to_string(Role role);
const char* to_string(ServerState state);

}  // namespace alderspur::endpoints
