// The purge floors that all routers of a cluster share. A cached copy of an object, or of any
// object of a group, that is older than the floor must not be served. This is a replicated map in
// which the later floor wins and a floor never decreases. It does no I/O, reads no clock and is not
// thread-safe.
//
// Two replicas find their differences with traffic that is proportional to the difference, as with
// a Merkle tree of two levels. Keys are hashed into kBuckets buckets. Replicas first compare
// digests of ranges of kBucketsPerRange buckets, and then digests of the buckets of each range that
// differs.
//
// Limit: when there are more than `max_floors` floors, the older half is folded into one floor for
// all objects, global_floor(). The global floor forbids at least all that the replaced floors did.
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

/// The floor of one object or group.
struct PurgeFloor {
  bool is_object = false;  // true for an object, false for a group
  std::uint64_t id = 0;    // id of the object or group
  Time at = 0;             // Unix time in microseconds; copies from before this time are invalid
  bool operator==(const PurgeFloor&) const = default;
};

using RangeDigests = std::array<std::uint64_t, kRanges>;
using BucketDigests = std::array<std::uint64_t, kBucketsPerRange>;

/// One replica's copy of the purge floors.
class PurgeFloors {
 public:
  explicit PurgeFloors(std::size_t max_floors = kDefaultMaxFloors) : max_floors_(max_floors) {}

  /// Raises the floor of an object or a group. Returns false if it was at least as high before.
  bool raise(const PurgeFloor& floor);
  /// Raises the global floor. Returns false if it was at least as high before.
  bool raise_global(Time at);

  /// Returns the floor that applies to an object or a group, which is at least the global floor; 0
  /// if there is none.
  Time floor_of(bool is_object, std::uint64_t id) const;
  Time global_floor() const { return global_floor_; }
  /// Returns the number of floors, without the global one.
  std::size_t size() const { return floors_.size(); }
  /// Returns how often the older half of the floors was folded into the global floor.
  std::uint64_t folds() const { return folds_; }

  /// Returns the digests of all ranges. The global floor is not part of them.
  RangeDigests range_digests() const;
  /// Returns the digests of the buckets of the range with number `range` modulo kRanges.
  BucketDigests bucket_digests(std::size_t range) const;
  /// Appends the floors of a bucket to `floors` until `floors` has `max_size` elements.
  void append_bucket(std::size_t bucket, std::vector<PurgeFloor>& floors,
                     std::size_t max_size) const;

  bool operator==(const PurgeFloors& other) const {
    return global_floor_ == other.global_floor_ && floors_ == other.floors_;
  }

 private:
  struct Key {
    std::uint64_t hash = 0;  // the most significant bits are the number of the bucket
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
  std::array<std::uint64_t, kBuckets> bucket_digests_{};  // sums of the digests of the floors
};

}  // namespace alderspur::replication
