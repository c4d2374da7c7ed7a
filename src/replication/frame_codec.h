// Codec of the frames between replicas: a MessagePack array of the kind and its fields. No I/O and
// no state. A frame is decoded as a whole before its receiver acts on any of it. A kind of a later
// version reads as unknown and is rejected by the receiver.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

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

/// What decode_frame() has read, one type a kind.
struct BanDeltaFrame {
  BanSet delta;
};
struct FloorUpdatesFrame {
  std::vector<PurgeFloor> floors;
};
struct DigestsFrame {
  std::uint64_t bans_digest = 0;
  Time global_floor = 0;
  RangeDigests ranges{};
};
struct IdenticalFrame {};
struct FullBansFrame {
  BanSet bans;
};
struct BucketDigestsFrame {
  Time global_floor = 0;
  std::vector<RangeBuckets> ranges;
};
struct FloorsFrame {
  Time global_floor = 0;
  std::vector<PurgeFloor> floors;
  std::vector<std::size_t> requested_buckets;
};
using Frame = std::variant<BanDeltaFrame, FloorUpdatesFrame, DigestsFrame, IdenticalFrame,
                           FullBansFrame, BucketDigestsFrame, FloorsFrame>;

/// Empty where the bytes are no frame of a known kind, or any part of it has another form or
/// exceeds a bound.
std::optional<Frame> decode_frame(std::string_view bytes);
/// The latest time in the frame; 0: it has none.
Time latest_time(const Frame& frame);

}  // namespace alderspur::replication
