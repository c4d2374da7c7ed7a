// A complete server list: the content of one generation of the watched files.
//
// A Snapshot is immutable after seal() and is shared as a SnapshotPtr: the event loop replaces its
// pointer, and readers on other threads keep the snapshot that they hold. `servers` is sorted by
// ServerId, so that a lookup takes logarithmic time. No I/O. Weights are in the unit of
// Server::weight.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/deadlines.h"
#include "endpoints/member.h"

namespace alderspur::endpoints {

/// Whether a listed server takes requests. The numeric values are part of the stored state and must
/// not change.
enum class ServerState : std::uint8_t { in_service, draining };

/// One server as a list describes it.
struct ListedServer {
  ServerId id{};
  std::string name;
  std::string address;  // "HOST:PORT"
  Role role = Role::cache;
  // Index in Snapshot::points for caches, and in Snapshot::hubs for parents and origins.
  std::uint32_t location_index = 0;
  ServerState state = ServerState::in_service;
  std::uint32_t cell = 0;
  double weight = 1;
  // The position in the text. It is not part of the digest.
  std::uint32_t line = 0;
  std::uint32_t piece_index = 0;
};

/// A point of presence. Each one belongs to a hub.
struct Point {
  std::string name;
  std::uint32_t hub = 0;  // index in Snapshot::hubs
  bool operator==(const Point&) const = default;
};

/// One generation of the server list.
struct Snapshot {
  std::uint64_t generation = 0;
  // The generation for which the author confirms that large removals are intended; 0: none.
  std::uint64_t confirmed_generation = 0;
  std::string source;                    // path of the file or the manifest
  std::vector<std::string> piece_files;  // the files of a manifest's pieces
  core::Time read_at = 0;                // Unix microseconds; not part of the digest
  // XXH3 over the hubs, points and servers. It does not depend on their order in the text.
  std::uint64_t digest = 0;
  std::vector<std::string> hubs;
  std::vector<Point> points;
  std::vector<ListedServer> servers;

  /// Returns the server with this id, or null if there is none.
  const ListedServer* find(ServerId id) const;
  /// Returns the name of the server's point (caches) or hub (parents and origins).
  const std::string& location_name(const ListedServer& server) const {
    return server.role == Role::cache ? points[server.location_index].name
                                      : hubs[server.location_index];
  }
  /// Returns the name of the file that lists the server.
  const std::string& file_of(const ListedServer& server) const {
    return server.piece_index < piece_files.size() ? piece_files[server.piece_index] : source;
  }
  /// Sorts the servers and computes the digest. Must be called once, when the list is complete. The
  /// list must not change afterwards.
  void seal();
};
/// A sealed list that several threads may share.
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// The differences between two snapshots, as ids of the servers that differ. A removed server can
/// be looked up in the older snapshot only. A server that differs in several ways appears once, in
/// the first list that applies, in the order drained, moved, reassigned, reinstated, reweighted.
struct Difference {
  std::vector<ServerId> added;
  std::vector<ServerId> removed;
  std::vector<ServerId> drained;
  std::vector<ServerId> reinstated;   // from draining to in service
  std::vector<ServerId> moved;        // have a different address
  std::vector<ServerId> reweighted;   // have a different weight
  std::vector<ServerId> reassigned;   // have a different role, location or cell
  bool has_location_changes = false;  // the points or hubs differ

  /// Returns the number of servers that differ.
  std::size_t server_count() const {
    return added.size() + removed.size() + drained.size() + reinstated.size() + moved.size() +
           reweighted.size() + reassigned.size();
  }
  /// Reports whether the snapshots have the same content.
  bool is_empty() const { return server_count() == 0 && !has_location_changes; }
};
/// Compares two sealed snapshots. A null `from` stands for an empty list.
Difference difference(const Snapshot* from, const Snapshot& to);
/// Describes a difference in one line for logs, such as
/// "generation 7 to 8: 2 added, 1 drained, 3 with a new weight".
std::string summary(const Snapshot* from, const Snapshot& to, const Difference& difference);

/// Return the words of the list's text form (list.h).
const char* to_string(Role role);
const char* to_string(ServerState state);

}  // namespace alderspur::endpoints
