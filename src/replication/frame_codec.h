// Encodes and decodes the frames that replicas exchange. A frame is a MessagePack array of the kind
// and the fields of that kind. The functions do no I/O and hold no state. A frame is decoded as a
// whole before its receiver acts on any part of it. A frame of a kind that only a later version
// defines is not decoded, and the receiver rejects it.
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

constexpr std::size_t kMaxFloorUpdates = 512;   // floors in a floor_updates frame
constexpr std::size_t kMaxRangesPerFrame = 32;  // ranges in a bucket_digests frame
// The limit of a floors frame, for its floors and for its requested buckets.
constexpr std::size_t kMaxFloorsPerFrame = 4096;
constexpr std::uint64_t kMaxFrameTime = std::uint64_t{1} << 62;  // Unix time, microseconds

/// The kinds of frames. The numbers are part of the wire format.
enum class FrameKind : std::uint64_t {
  ban_delta = 1,   // a change to the bans
  floor_updates,   // floors that were raised
  digests,         // opens a comparison
  identical,       // the answer if all digests are equal
  full_bans,       // the answer if the digests of the bans differ
  bucket_digests,  // the answer if range digests differ
  floors,          // floors of buckets that differ, and the buckets whose floors are requested
  rejected,        // the answer to a frame with a time too far ahead
};

/// The bucket digests of one range of a copy of the floors.
struct RangeBuckets {
  std::size_t range = 0;
  BucketDigests digests{};
};

/// Each function returns the wire form of one kind of frame. The caller keeps to the limits above.
std::string encode_ban_delta(const BanSet& delta);
std::string encode_full_bans(const BanSet& bans);
std::string encode_floor_updates(const std::vector<PurgeFloor>& floors);
std::string encode_digests(const BanSet& bans, const PurgeFloors& floors);
std::string encode_identical();
std::string encode_rejected(Time accepted_until);
std::string encode_bucket_digests(Time global_floor, const std::vector<RangeBuckets>& ranges);
std::string encode_floors(Time global_floor, const std::vector<PurgeFloor>& floors,
                          const std::vector<std::size_t>& requested_buckets);

/// The decoded frames, with one type per kind.
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
/// The sender has rejected a frame because it contains a time that is further ahead of its clock
/// than it accepts. One of the two clocks is wrong; the frame does not tell which.
struct RejectedFrame {
  Time accepted_until = 0;  // the latest time that the sender accepts, by its own clock
};
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
                           FullBansFrame, BucketDigestsFrame, FloorsFrame, RejectedFrame>;

/// Returns nothing if the bytes are not a frame of a known kind, or if any part of the frame is
/// malformed or exceeds a limit.
std::optional<Frame> decode_frame(std::string_view bytes);
/// Returns the latest time of a change that the frame contains, or 0 if it contains none.
Time latest_time(const Frame& frame);

}  // namespace alderspur::replication
