// The table of the servers from the endpoint list. It applies endpoint updates and bans and groups
// the ready servers by role; it makes no routing decisions.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"

namespace alderspur::policy {

/// All listed servers by id, with the ready servers grouped by role. A pointer to a server stays
/// valid until remove_gone() removes that server. Owned by RoutingContext. Not thread-safe.
class UpstreamTable {
 public:
  /// `own_location` is the location of the router.
  explicit UpstreamTable(LocationId own_location) : own_location_(own_location) {}

  /// The effect of an update of one server.
  struct Change {
    Upstream& upstream;
    bool is_new = false;
    /// The status of the server was `gone` and is `ready` again.
    bool has_returned = false;
    /// The process of the server has restarted. The update reset its consecutive failures, its
    /// ejection and its probation.
    bool has_restarted = false;
  };

  /// Adds or updates a server. Call regroup() afterwards.
  Change apply(const Server& server);
  /// Sets the status of all servers that are not in `servers` to `gone`. Call regroup() afterwards.
  void mark_unlisted_as_gone(const std::vector<Server>& servers);
  /// Rebuilds the groups of ready servers. Must be called after updates, bans and removals.
  void regroup();
  /// Removes the servers that are gone and have no attempt in flight. Call regroup() afterwards.
  void remove_gone();
  /// Stores or lifts the ban of a server, whether the server is listed or not. The ban takes effect
  /// with the next apply() for the server. Returns false if the ban was already in that state.
  bool set_ban(const Ban& ban);

  /// Returns the server with that id, or null if it is not in the table.
  Upstream* find(ServerId id);
  /// Returns the ready caches of the router's location.
  const std::vector<Upstream*>& caches() const { return caches_; }
  /// Returns the ready parents of all locations.
  const std::vector<Upstream*>& parents() const { return parents_; }
  /// Returns the ready origin, or null if there is none.
  Upstream* origin() const { return origin_; }
  /// Returns all servers, ready or not.
  std::map<ServerId, Upstream>& all() { return upstreams_; }

  /// Returns the transfer time of the attempts in flight at caches(), in seconds.
  double transfer_time_in_flight() const;

 private:
  const LocationId own_location_;
  std::map<ServerId, Upstream> upstreams_;
  std::set<ServerId> banned_;
  std::vector<Upstream*> caches_;
  std::vector<Upstream*> parents_;
  Upstream* origin_ = nullptr;
};

}  // namespace alderspur::policy
