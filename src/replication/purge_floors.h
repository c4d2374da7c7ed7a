// Purge floors that all routers keep: nothing of an object, or of a group, from before a moment may
// be served. A mergeable map: the later moment wins and is never taken back. No I/O, no clock.
//
// Two copies find what differs in bytes that grow with the difference: sums over kLeaves ranges of
// keys, told in two steps. Bounded: beyond `most` the older half is folded into one floor over
// everything (all()), which is wider than what it stands for and never less.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::replication {

using core::Time;
constexpr std::size_t kRanges = 64, kLeaves = kRanges * kRanges;

struct Floor {
  bool object = false;  // else a group
  std::uint64_t id = 0;
  Time at = 0;  // Unix time in microseconds
  bool operator==(const Floor&) const = default;
};

class Floors {
 public:
  explicit Floors(std::size_t most = 1'000'000) : most_(most) {}
  bool raise(const Floor& f);  // true: it says more than was known
  bool raise_all(Time at);
  Time at(bool object, std::uint64_t id) const;  // 0: none
  Time all() const { return all_; }
  std::size_t size() const { return held_.size(); }
  std::array<std::uint64_t, kRanges> sums() const;                     // of the ranges
  std::array<std::uint64_t, kRanges> leaves(std::size_t range) const;  // of the leaves of one
  void each(std::size_t leaf, std::vector<Floor>& into, std::size_t most) const;
  bool operator==(const Floors& o) const { return all_ == o.all_ && held_ == o.held_; }

 private:
  struct Key {
    std::uint64_t place = 0;  // a hash: its first bits name the leaf
    bool object = false;
    std::uint64_t id = 0;
    auto operator<=>(const Key&) const = default;
  };
  static Key key(bool object, std::uint64_t id);
  static std::uint64_t sum(const Key& k, Time at);
  void fold();
  const std::size_t most_;
  std::map<Key, Time> held_;
  Time all_ = 0;
  std::array<std::uint64_t, kLeaves> sums_{};
};

}  // namespace alderspur::replication
