// Selects the caches that serve an object: the first cache in rendezvous order (its home) and,
// while the object is hot, the next caches in that order as replicas.
#pragma once

#include <cstddef>
#include <vector>

#include "alderspur/router.h"
#include "policy/health.h"
#include "policy_state/request_table.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// Implements Hot Filing with dynamic thresholds (docs/design.md): if an object's share of the load
/// of a cache exceeds the threshold of that cache, the next cache in rendezvous order becomes a
/// replica of the object. Owned by PolicyParts. Not thread-safe.
class CacheSelection {
 public:
  CacheSelection(RoutingContext& context, const Health& health)
      : context_(context), health_(health) {}

  /// Returns the state of an object. Creates it if there is none.
  ObjectState& object(ObjectId id) { return objects_[id]; }
  bool has_objects() const { return !objects_.empty(); }
  /// Returns the caches for the next attempt in order of preference.
  std::vector<Upstream*> candidates(ObjectState& object, ObjectId id) const;

  /// Counts an attempt that was sent to a cache.
  void record_sent(ObjectState& object, const Upstream& cache) const;
  /// Counts a request that a server has served, and expands the replica set of a hot object.
  void record_served(const Request& request, Upstream& upstream);
  /// Removes idle objects, and shrinks the replica sets of objects that are no longer hot. Must be
  /// called once a second.
  void clean_up();

 private:
  /// Returns the maximum size of a replica set: half of the caches of the location, but at least
  /// two if the location has two.
  std::size_t max_replicas() const;
  /// Adds a cache to the replica set if the object is hot at `cache`.
  void expand_if_hot(ObjectState& object, ReplicaState& replica, Upstream& cache) const;
  /// Removes the last cache from the replica set if the object has not been hot for a while.
  void shrink_if_cooled_down(ObjectState& object) const;
  /// Returns the number of requests that were recently sent to a replica, relative to its weight. A
  /// new replica counts as more loaded than it is, so that its share rises gradually.
  double replica_load(ObjectState& object, const Upstream& cache) const;
  /// Moves the caches with far more work in flight than the average to the end of the order.
  void move_congested_last(std::vector<Upstream*>& order) const;
  /// Returns the share of the load of a cache above which an object is hot. The threshold is lower
  /// for caches with a higher load.
  double hot_threshold(const Upstream& cache) const;

  RoutingContext& context_;
  const Health& health_;
  ObjectTable objects_;
};

}  // namespace alderspur::policy
