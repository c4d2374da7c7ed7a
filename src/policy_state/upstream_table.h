// The servers that a router knows.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "alderspur/router.h"
#include "policy_state/upstream.h"

namespace alderspur::policy {

/// All known servers by id, with those that may be used grouped by role. No decisions and no I/O.
/// Owned by RoutingContext; one thread. Pointers to servers stay valid until remove_gone() removes
/// them.
class UpstreamTable {
 public:
  explicit UpstreamTable(LocationId own_location) : own_location_(own_location) {}

  /// What an update of one server changed.
  struct Change {
    Upstream& upstream;
    bool is_new = false;
    /// It was gone and is ready again.
    bool has_returned = false;
    /// Its process started anew; its failures are forgotten.
    bool has_restarted = false;
  };

  /// Adds or updates a server. Call regroup() afterwards.
  Change apply(const Server& server);
  /// Marks all servers as gone that are not among these. Call regroup() afterwards.
  void retain(const std::vector<Server>& servers);
  /// Groups the servers by role again, after updates, bans and removals.
  void regroup();
  /// Forgets the servers that are gone and have no attempt in flight. Call regroup() afterwards.
  void remove_gone();
  /// Bans a server, listed or not, or lifts the ban; apply() takes it over. False: nothing changed.
  bool set_ban(const Ban& ban);

  /// Null: not known.
  Upstream* find(ServerId id);
  /// Ready caches of the own location.
  const std::vector<Upstream*>& caches() const { return caches_; }
  /// Ready parents of all locations.
  const std::vector<Upstream*>& parents() const { return parents_; }
  /// The ready origin; null: there is none.
  Upstream* origin() const { return origin_; }
  /// All servers, ready or not.
  std::map<ServerId, Upstream>& all() { return upstreams_; }

  /// Seconds of transfer time that the caches() have in flight.
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
