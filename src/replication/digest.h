// The hash function for digests of copies. Its values are the same at every router and in every
// run.
#pragma once

#include <cstdint>

#include "estimators/hash.h"
#include "replication/causal_context.h"

namespace alderspur::replication {

/// Returns the hash of a dot, or of an author with the highest contiguous sequence number received.
inline std::uint64_t hash_dot(const Author& author, std::uint64_t sequence) {
  std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
  for (const char character : author.name) {
    hash = estimators::mix_bits(hash ^ static_cast<unsigned char>(character));
  }
  return estimators::mix_bits(estimators::mix_bits(hash ^ author.epoch) + sequence);
}

}  // namespace alderspur::replication
