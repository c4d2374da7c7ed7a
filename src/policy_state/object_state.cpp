#include "policy_state/object_state.h"

#include <algorithm>

namespace alderspur::policy {

ReplicaState& ObjectState::find_or_add_replica(ServerId id, Time now) {
  const auto found = std::ranges::find(replicas, id, &ReplicaState::id);
  if (found != replicas.end()) return *found;
  ReplicaState& replica = replicas.emplace_back();
  replica.id = id;
  replica.joined_at = now;
  return replica;
}

bool ObjectState::record_part(std::uint32_t part) {
  constexpr std::uint32_t kTrackedParts = 64;
  const std::uint64_t bit = 1ULL << (part % kTrackedParts);
  const bool was_requested = (requested_parts & bit) != 0;
  has_repeated_requests = has_repeated_requests || was_requested;
  requested_parts |= bit;
  return was_requested;
}

}  // namespace alderspur::policy
