// Codec of the frames between replicas: a MessagePack array of the kind and its fields. No I/O and
// no state. A kind of a later version reads as unknown and is rejected by the receiver.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "msgpack_codec/reader.h"
#include "replication/ban_set.h"
#include "replication/purge_floors.h"

namespace alderspur::replication {

constexpr std::size_t kMaxFloorUpdates = 512;     // floors in a frame of updates
constexpr std::size_t kMaxRangesPerFrame = 32;    // ranges whose bucket digests are sent
constexpr std::size_t kMaxFloorsPerFrame = 4096;  // floors in a reply, and buckets requested
constexpr std::uint64_t kMaxFrameTime = std::uint64_t{1} << 62;  // Unix time, microseconds

/// The numbers are on the wire.
enum class FrameKind : std::uint64_t {
  ban_delta = 1,   // a change of the bans
  floor_updates,   // floors that were raised
  digests,         // opens a comparison
  identical,       // answers digests that are the same
  full_bans,       // answers a digest of bans that differs
  bucket_digests,  // answers range digests that differ
  floors,          // floors of buckets that differ, and the buckets whose floors are requested
};

/// Bucket digests of one range of a copy.
struct RangeBuckets {
  std::size_t range = 0;
  BucketDigests digests{};
};

std::string encode_ban_delta(const BanSet& delta);
std::string encode_full_bans(const BanSet& bans);
std::string encode_floor_updates(const std::vector<PurgeFloor>& floors);
std::string encode_digests(const BanSet& bans, const PurgeFloors& floors);
std::string encode_identical();
std::string encode_bucket_digests(Time global_floor, const std::vector<RangeBuckets>& ranges);
std::string encode_floors(Time global_floor, const std::vector<PurgeFloor>& floors,
                          const std::vector<std::size_t>& requested_buckets);

/// Fields of a frame, in the order in which they stand. Values that do not fit fail the reader.
Time read_time(msgpack_codec::Reader& reader);
std::vector<PurgeFloor> read_floors(msgpack_codec::Reader& reader);
RangeDigests read_digests(msgpack_codec::Reader& reader);

}  // namespace alderspur::replication
