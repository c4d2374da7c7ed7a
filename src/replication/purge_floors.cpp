#include "replication/purge_floors.h"

#include <algorithm>

#include "estimators/hash.h"

namespace alderspur::replication {
namespace {

constexpr int kBucketBits = 12;
constexpr int kBucketShift = 64 - kBucketBits;
static_assert(std::size_t{1} << kBucketBits == kBuckets);

std::size_t bucket_of(std::uint64_t hash) { return hash >> kBucketShift; }

std::ptrdiff_t offset(std::size_t index) { return static_cast<std::ptrdiff_t>(index); }

}  // namespace

PurgeFloors::Key PurgeFloors::key_of(bool is_object, std::uint64_t id) {
  return {estimators::mix_bits(id * 2 + (is_object ? 1 : 0)), is_object, id};
}

std::uint64_t PurgeFloors::digest_of(const Key& key, Time at) {
  return estimators::mix_bits(key.hash ^ estimators::mix_bits(static_cast<std::uint64_t>(at)));
}

bool PurgeFloors::raise(const PurgeFloor& floor) {
  if (floor.at <= global_floor_) return false;
  const Key key = key_of(floor.is_object, floor.id);
  const auto [entry, is_new] = floors_.try_emplace(key, floor.at);
  std::uint64_t& digest = bucket_digests_[bucket_of(key.hash)];
  if (!is_new) {
    if (floor.at <= entry->second) return false;
    digest -= digest_of(key, entry->second);
    entry->second = floor.at;
  }
  digest += digest_of(key, floor.at);
  if (floors_.size() > max_floors_) fold_older_half();
  return true;
}

bool PurgeFloors::raise_global(Time at) {
  if (at <= global_floor_) return false;
  global_floor_ = at;
  for (auto entry = floors_.begin(); entry != floors_.end();) {
    if (entry->second > global_floor_) {
      ++entry;
      continue;
    }
    bucket_digests_[bucket_of(entry->first.hash)] -= digest_of(entry->first, entry->second);
    entry = floors_.erase(entry);
  }
  return true;
}

void PurgeFloors::fold_older_half() {
  ++folds_;
  std::vector<Time> times;
  times.reserve(floors_.size());
  for (const auto& [key, at] : floors_) times.push_back(at);
  const auto median = times.begin() + offset(times.size() / 2);
  std::nth_element(times.begin(), median, times.end());
  raise_global(*median);
}

Time PurgeFloors::floor_of(bool is_object, std::uint64_t id) const {
  const auto entry = floors_.find(key_of(is_object, id));
  return std::max(global_floor_, entry == floors_.end() ? 0 : entry->second);
}

BucketDigests PurgeFloors::bucket_digests(std::size_t range) const {
  BucketDigests digests{};
  const auto first = bucket_digests_.begin() + offset(range % kRanges * kBucketsPerRange);
  std::copy_n(first, kBucketsPerRange, digests.begin());
  return digests;
}

RangeDigests PurgeFloors::range_digests() const {
  RangeDigests digests{};
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    digests[bucket / kBucketsPerRange] += bucket_digests_[bucket];
  }
  return digests;
}

void PurgeFloors::append_bucket(std::size_t bucket, std::vector<PurgeFloor>& floors,
                                std::size_t max_size) const {
  const std::uint64_t first_hash = static_cast<std::uint64_t>(bucket) << kBucketShift;
  auto entry = floors_.lower_bound({first_hash, false, 0});
  while (entry != floors_.end() && bucket_of(entry->first.hash) == bucket &&
         floors.size() < max_size) {
    floors.push_back({entry->first.is_object, entry->first.id, entry->second});
    ++entry;
  }
}

}  // namespace alderspur::replication
