// Hash tables by strong ids. Their order depends on the ids alone, so that the same events lead to
// the same actions in the same order.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "alderspur/router.h"
#include "estimators/hash.h"
#include "policy_state/object_state.h"
#include "policy_state/request_state.h"

namespace alderspur::policy {

/// Hashes any alderspur::Id.
struct IdHash {
  template <class IdType>
  std::size_t operator()(const IdType& id) const {
    return estimators::mix_bits(id.value);
  }
};

/// The requests that are owed a final answer or have an attempt in flight.
using RequestTable = std::unordered_map<RequestId, RequestState, IdHash>;
/// The objects that were requested lately.
using ObjectTable = std::unordered_map<ObjectId, ObjectState, IdHash>;

}  // namespace alderspur::policy
