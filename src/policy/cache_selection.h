// Which caches serve an object: its home in a rendezvous hash, and replicas while it is hot.
#pragma once

#include <cstddef>
#include <vector>

#include "alderspur/router.h"
#include "policy/health.h"
#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Hot Filing with dynamic thresholds (docs/design.md): an object whose share of a cache's load
/// exceeds the threshold of the cache gains the next cache in rendezvous order as a replica. Owned
/// by PolicyParts; one thread.
class CacheSelection {
 public:
  CacheSelection(RoutingContext& context, const Health& health)
      : context_(context), health_(health) {}

  /// The state of an object; a new one where there is none.
  ObjectState& object(ObjectId id) { return objects_[id]; }
  bool has_objects() const { return !objects_.empty(); }
  /// The caches for the next attempt, best first.
  std::vector<Upstream*> candidates(ObjectState& object, ObjectId id) const;

  /// Counts an attempt that was sent to a cache.
  void record_sent(ObjectState& object, const Upstream& cache) const;
  /// Counts a request that a server has served, and expands the replica set of a hot object.
  void record_served(const Request& request, Upstream& upstream);
  /// Forgets idle objects and shrinks the replica sets of those that have cooled down. To be called
  /// once a second.
  void clean_up();

 private:
  /// Half of the caches of the location, at least two where there are so many.
  std::size_t max_replicas() const;
  void expand_if_hot(ObjectState& object, ReplicaState& replica, Upstream& cache) const;
  void shrink_if_cooled_down(ObjectState& object) const;
  /// Requests that were sent to a replica lately, over its weight.
  double replica_load(ObjectState& object, const Upstream& cache) const;
  /// Moves caches behind the others that have far more work in flight than the average.
  void move_crowded_last(std::vector<Upstream*>& order) const;
  /// Share of the load of a cache above which an object is hot: lower for loaded caches.
  double hot_threshold(const Upstream& cache) const;

  RoutingContext& context_;
  const Health& health_;
  ObjectTable objects_;
};

}  // namespace alderspur::policy
