// Makes encoded sets of bans that have received many changes and contain no ban, for tests of
// replicas near their limits. The sets are written as bytes, because applying each change would
// take too long in a test.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "msgpack_codec/writer.h"
#include "replication/causal_context.h"

namespace seen_changes {

using alderspur::replication::Dot;

/// Returns an encoded set that has received all changes up to `last_contiguous`, and the changes
/// `detached` beyond a gap.
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

/// Returns an encoded set that has received one change of each of `count` authors, whose bans have
/// all been lifted.
inline std::string encode_of_authors(const std::string& name, std::size_t count) {
  std::vector<Dot> changes;
  for (std::size_t epoch = 1; epoch <= count; ++epoch) changes.push_back({{name, epoch}, 1});
  return encode(changes, {});
}

/// Returns an encoded set that has received `count` changes of one author, but not the author's
/// first change.
inline std::string encode_beyond_a_gap(const std::string& name, std::size_t count) {
  std::vector<Dot> detached;
  for (std::size_t i = 0; i < count; ++i) detached.push_back({{name, 1}, i + 2});
  return encode({{{name, 1}, 0}}, detached);
}

}  // namespace seen_changes
