// The state that a router keeps for each recently requested object and for the caches that serve
// it. It is plain data: src/policy makes the decisions. Times are in microseconds of the router's
// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "alderspur/router.h"
#include "estimators/estimators.h"

namespace alderspur::policy {

using estimators::SlidingSum;

/// The statistics of one object at one cache that has served it or was sent a request for it.
struct ReplicaState {
  ServerId id;
  /// The load that the object caused at the cache, in the unit of Upstream::served_load.
  SlidingSum served_load;
  /// The number of attempts that were sent to the cache.
  SlidingSum sent;
  /// The number of requests that the cache served.
  SlidingSum served;
  /// When this entry was created.
  Time joined_at = 0;
};

/// The state of one object. It is created by the first request for the object and removed when the
/// object has not been requested for a while.
struct ObjectState {
  Time last_request = 0;
  /// When the replica set last grew.
  Time last_expanded = 0;
  /// When the object's share of a cache's load was last too large for the replica set to shrink.
  Time last_busy = 0;
  /// When the object was last fetched from a fill source.
  Time last_fetched = 0;
  /// One bit for each requested part, by the part number modulo 64.
  std::uint64_t requested_parts = 0;
  /// Some part was requested more than once.
  bool has_repeated_requests = false;
  /// The number of caches that serve the object: the first ones in rendezvous order.
  std::size_t replica_count = 1;
  /// The statistics per cache. Caches that have left the replica set may still be listed.
  std::vector<ReplicaState> replicas;

  /// Returns the statistics of the object at a cache. Creates them if there are none.
  ReplicaState& find_or_add_replica(ServerId id, Time now);
  /// Records a request for a part. Returns true if the same part was requested before.
  bool record_part(std::uint32_t part);
};

}  // namespace alderspur::policy
