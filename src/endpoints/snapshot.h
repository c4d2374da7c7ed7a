// A complete list of servers: what one generation of the watched files says.
//
// A Snapshot never changes once it is sealed and is shared as SnapshotPtr: the event loop replaces
// one pointer, and readers on other threads keep theirs. `servers` is sorted by ServerId; a lookup
// costs the logarithm of the list's length. No I/O. Weights are in the unit of Server::weight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/deadlines.h"
#include "endpoints/member.h"

namespace alderspur::endpoints {

/// The numbers stand in stored state and must not change.
enum class ServerState : std::uint8_t { in_service, draining };

/// One server of a list.
struct ListedServer {
  ServerId id{};
  std::string name;
  std::string address;  // "HOST:PORT"
  Role role = Role::cache;
  std::uint32_t location_index = 0;  // caches: in points; parents and origins: in hubs
  ServerState state = ServerState::in_service;
  std::uint32_t cell = 0;
  double weight = 1;
  // Where it is written; no part of its meaning.
  std::uint32_t line = 0;
  std::uint32_t piece_index = 0;
};

/// A point of presence; each belongs to a hub.
struct Point {
  std::string name;
  std::uint32_t hub = 0;  // index in Snapshot::hubs
  bool operator==(const Point&) const = default;
};

/// One generation of the list.
struct Snapshot {
  std::uint64_t generation = 0;
  std::uint64_t confirmed_generation = 0;  // whose large removals are intended; 0: none
  std::string source;                      // path of the file or the manifest
  std::vector<std::string> piece_files;    // of a manifest
  core::Time read_at = 0;                  // Unix microseconds; no part of its meaning
  std::uint64_t digest = 0;  // XXH3 of its meaning: the same list in another order has the same
  std::vector<std::string> hubs;
  std::vector<Point> points;
  std::vector<ListedServer> servers;

  /// Returns null if no server has this id.
  const ListedServer* find(ServerId id) const;
  /// The name of the server's point (caches) or hub (parents and origins).
  const std::string& location_name(const ListedServer& server) const {
    return server.role == Role::cache ? points[server.location_index].name
                                      : hubs[server.location_index];
  }
  /// The file that lists the server.
  const std::string& file_of(const ListedServer& server) const {
    return server.piece_index < piece_files.size() ? piece_files[server.piece_index] : source;
  }
  /// Sorts the servers and computes the digest. To be called once, when the list is complete.
  void seal();
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// How the meaning of one snapshot differs from another's, by server ids. Removed servers are to be
/// looked up in the older one. A server that differs in several ways is named in the first of
/// removed, drained, moved, reassigned, reinstated, reweighted that applies.
struct Difference {
  std::vector<ServerId> added;
  std::vector<ServerId> removed;
  std::vector<ServerId> drained;
  std::vector<ServerId> reinstated;  // in service again
  std::vector<ServerId> moved;       // to another address
  std::vector<ServerId> reweighted;
  std::vector<ServerId> reassigned;   // to another role, location or cell
  bool has_location_changes = false;  // points or hubs were changed

  std::size_t server_count() const {
    return added.size() + removed.size() + drained.size() + reinstated.size() + moved.size() +
           reweighted.size() + reassigned.size();
  }
  bool is_empty() const { return server_count() == 0 && !has_location_changes; }
};
/// A null `from` stands for an empty list.
Difference difference(const Snapshot* from, const Snapshot& to);
/// A line for logs: "generation 7 to 8: 2 added, 1 drained, 3 of another weight".
std::string summary(const Snapshot* from, const Snapshot& to, const Difference& difference);

/// The words of the list's written form.
const char* to_string(Role role);
const char* to_string(ServerState state);

}  // namespace alderspur::endpoints
