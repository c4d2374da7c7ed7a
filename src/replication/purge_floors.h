// Purge floors that all routers share: no copy of an object, or of a group, from before its floor
// may be served. A mergeable map: the later moment wins and is never taken back. No I/O, no clock;
// not thread-safe.
//
// Two copies find their differences with traffic that grows with the difference, as with a Merkle
// tree of two levels: keys are hashed into kBuckets buckets, and digests are compared first of
// ranges of kBucketsPerRange buckets, then of the buckets of a range that differs. Bounded: beyond
// `max_floors` the older half is folded into one floor over everything, global_floor(), which
// forbids more than what it replaces and never less.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::replication {

using core::Time;

constexpr std::size_t kRanges = 64;
constexpr std::size_t kBucketsPerRange = 64;
constexpr std::size_t kBuckets = kRanges * kBucketsPerRange;
constexpr std::size_t kDefaultMaxFloors = 1'000'000;

struct PurgeFloor {
  bool is_object = false;  // else a group
  std::uint64_t id = 0;    // of the object or group
  Time at = 0;             // Unix time in microseconds: everything from before is void
  bool operator==(const PurgeFloor&) const = default;
};

using RangeDigests = std::array<std::uint64_t, kRanges>;
using BucketDigests = std::array<std::uint64_t, kBucketsPerRange>;

class PurgeFloors {
 public:
  explicit PurgeFloors(std::size_t max_floors = kDefaultMaxFloors) : max_floors_(max_floors) {}

  /// True where the floor forbids more than was known.
  bool raise(const PurgeFloor& floor);
  /// The same for the floor over everything.
  bool raise_global(Time at);

  /// The floor of an object or a group, the global one included; 0: none.
  Time floor_of(bool is_object, std::uint64_t id) const;
  Time global_floor() const { return global_floor_; }
  std::size_t size() const { return floors_.size(); }
  /// How often the older half was folded into the global floor.
  std::uint64_t folds() const { return folds_; }

  RangeDigests range_digests() const;
  /// Digests of the buckets of one range, `range` modulo kRanges.
  BucketDigests bucket_digests(std::size_t range) const;
  /// Appends the floors of a bucket to `floors` until that holds `max_size`.
  void append_bucket(std::size_t bucket, std::vector<PurgeFloor>& floors,
                     std::size_t max_size) const;

  bool operator==(const PurgeFloors& other) const {
    return global_floor_ == other.global_floor_ && floors_ == other.floors_;
  }

 private:
  struct Key {
    std::uint64_t hash = 0;  // its first bits are the bucket
    bool is_object = false;
    std::uint64_t id = 0;
    auto operator<=>(const Key&) const = default;
  };
  static Key key_of(bool is_object, std::uint64_t id);
  static std::uint64_t digest_of(const Key& key, Time at);
  void fold_older_half();

  const std::size_t max_floors_;
  std::map<Key, Time> floors_;
  Time global_floor_ = 0;
  std::uint64_t folds_ = 0;
  std::array<std::uint64_t, kBuckets> bucket_digests_{};  // sums over the bucket's floors
};

}  // namespace alderspur::replication
