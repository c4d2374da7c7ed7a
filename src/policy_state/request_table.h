// Hash tables of requests and objects by id. The hash depends only on the id, so that the iteration
// order, and with it the order of the actions, is the same for the same events.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "alderspur/router.h"
#include "estimators/hash.h"
#include "policy_state/object_state.h"
#include "policy_state/request_state.h"

namespace alderspur::policy {

/// Hashes an alderspur::Id of any kind.
struct IdHash {
  template <class IdType>
  std::size_t operator()(const IdType& id) const {
    return estimators::mix_bits(id.value);
  }
};

/// The requests that have no final answer yet or have an attempt in flight.
using RequestTable = std::unordered_map<RequestId, RequestState, IdHash>;
/// The objects that were requested recently.
using ObjectTable = std::unordered_map<ObjectId, ObjectState, IdHash>;

}  // namespace alderspur::policy
