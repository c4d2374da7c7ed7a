// Sets of bans that have seen many changes and hold no ban, as copies near their bounds are. They
// are made as bytes: to make each change by itself would take a test too long.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "msgpack_codec/writer.h"
#include "replication/causal_context.h"

namespace seen_changes {

using alderspur::replication::Dot;

/// An encoded set that has seen all changes up to these, and the detached ones beyond a gap.
inline std::string encode(const std::vector<Dot>& last_contiguous,
                          const std::vector<Dot>& detached) {
  alderspur::msgpack_codec::Writer bytes;
  bytes.array(3).array(0);
  for (const auto* dots : {&last_contiguous, &detached}) {
    bytes.array(dots->size());
    for (const auto& dot : *dots) {
      bytes.array(3).text(dot.author.name).number(dot.author.epoch).number(dot.sequence);
    }
  }
  return bytes.str();
}

/// One change of each of `count` authors, all lifted again.
inline std::string encode_of_authors(const std::string& name, std::size_t count) {
  std::vector<Dot> changes;
  for (std::size_t epoch = 1; epoch <= count; ++epoch) changes.push_back({{name, epoch}, 1});
  return encode(changes, {});
}

/// `count` changes of one author, of which the first is missing.
inline std::string encode_beyond_a_gap(const std::string& name, std::size_t count) {
  std::vector<Dot> detached;
  for (std::size_t i = 0; i < count; ++i) detached.push_back({{name, 1}, i + 2});
  return encode({{{name, 1}, 0}}, detached);
}

}  // namespace seen_changes
