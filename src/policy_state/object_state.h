// What a router remembers of an object that was requested lately, and of the caches that serve it.
// Plain state; times are microseconds of the router's clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "alderspur/router.h"
#include "estimators/estimators.h"

namespace alderspur::policy {

using estimators::SlidingSum;

/// A cache that has served the object or was sent a request for it.
struct ReplicaState {
  ServerId id;
  /// Of this object, in the unit of Upstream::served_load.
  SlidingSum served_load;
  /// Attempts that were sent.
  SlidingSum sent;
  /// Requests that were served.
  SlidingSum served;
  Time joined_at = 0;
};

/// One object, from its first request until it has not been requested for a while.
struct ObjectState {
  Time last_request = 0;
  /// When the replica set last grew.
  Time last_expanded = 0;
  /// When its share of a cache's load was last too large for the replica set to shrink.
  Time last_busy = 0;
  /// When it last came from a fill source.
  Time last_fetched = 0;
  /// A bit for each part that was requested, modulo 64.
  std::uint64_t requested_parts = 0;
  /// Some part was requested more than once.
  bool was_repeated = false;
  /// How many caches, in rendezvous order, serve it.
  std::size_t replica_count = 1;
  std::vector<ReplicaState> replicas;

  /// The state of that cache for this object; a new one where there is none.
  ReplicaState& find_or_add_replica(ServerId id, Time now);
  /// Records a request for a part. True: the same part was requested before.
  bool record_part(std::uint32_t part);
};

}  // namespace alderspur::policy
