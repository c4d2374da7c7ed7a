#include "replication/frame_codec.h"

#include <algorithm>
#include <utility>

#include "msgpack_codec/reader.h"
#include "msgpack_codec/writer.h"

namespace alderspur::replication {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

// Numbers of array elements.
constexpr std::size_t kFloorFields = 3;
constexpr std::size_t kRangeFields = 2;
constexpr std::size_t kBucketFields = 1;

static_assert(kRanges == kBucketsPerRange, "range and bucket digests share one wire form");

void write_header(Writer& writer, FrameKind kind, std::size_t field_count) {
  writer.array(field_count + 1).number(static_cast<std::uint64_t>(kind));
}

void write_time(Writer& writer, Time time) { writer.number(static_cast<std::uint64_t>(time)); }

void write_floors(Writer& writer, const std::vector<PurgeFloor>& floors) {
  writer.array(floors.size());
  for (const auto& floor : floors) {
    writer.array(kFloorFields).flag(floor.is_object).number(floor.id);
    write_time(writer, floor.at);
  }
}

void write_digests(Writer& writer, const RangeDigests& digests) {
  writer.array(digests.size());
  for (const auto digest : digests) writer.number(digest);
}

Time read_time(Reader& reader) { return static_cast<Time>(reader.number(kMaxFrameTime)); }

PurgeFloor read_floor(Reader& fields) {
  PurgeFloor floor;
  floor.is_object = fields.flag();
  floor.id = fields.number();
  floor.at = read_time(fields);
  return floor;
}

RangeDigests read_digest_fields(Reader& fields) {
  RangeDigests digests{};
  for (auto& digest : digests) digest = fields.number();
  return digests;
}

RangeDigests read_digests(Reader& reader) {
  return reader.record(RangeDigests{}.size(), read_digest_fields);
}

RangeBuckets read_range(Reader& fields) {
  RangeBuckets buckets;
  buckets.range = static_cast<std::size_t>(fields.number(kRanges - 1));
  buckets.digests = read_digests(fields);
  return buckets;
}

std::size_t read_bucket(Reader& fields) {
  return static_cast<std::size_t>(fields.number(kBuckets - 1));
}

BanSet read_bans(Reader& reader) {
  auto bans = BanSet::decode(reader.bytes(kMaxEncodedBans));
  if (!bans) reader.fail();
  return std::move(bans).value_or(BanSet());
}

DigestsFrame read_digests_frame(Reader& reader) {
  DigestsFrame frame;
  frame.bans_digest = reader.number();
  frame.global_floor = read_time(reader);
  frame.ranges = read_digests(reader);
  return frame;
}

BucketDigestsFrame read_bucket_digests_frame(Reader& reader) {
  BucketDigestsFrame frame;
  frame.global_floor = read_time(reader);
  frame.ranges = reader.records(kMaxRangesPerFrame, kRangeFields, read_range);
  return frame;
}

FloorsFrame read_floors_frame(Reader& reader) {
  FloorsFrame frame;
  frame.global_floor = read_time(reader);
  frame.floors = reader.records(kMaxFloorsPerFrame, kFloorFields, read_floor);
  frame.requested_buckets = reader.records(kMaxFloorsPerFrame, kBucketFields, read_bucket);
  return frame;
}

RejectedFrame read_rejected_frame(Reader& reader) { return {read_time(reader)}; }

Frame read_frame(Reader& reader) {
  switch (static_cast<FrameKind>(reader.number())) {
    case FrameKind::ban_delta:
      return BanDeltaFrame{read_bans(reader)};
    case FrameKind::floor_updates:
      return FloorUpdatesFrame{reader.records(kMaxFloorUpdates, kFloorFields, read_floor)};
    case FrameKind::digests:
      return read_digests_frame(reader);
    case FrameKind::identical:
      return IdenticalFrame{};
    case FrameKind::full_bans:
      return FullBansFrame{read_bans(reader)};
    case FrameKind::bucket_digests:
      return read_bucket_digests_frame(reader);
    case FrameKind::floors:
      return read_floors_frame(reader);
    case FrameKind::rejected:
      return read_rejected_frame(reader);
  }
  reader.fail();
  return IdenticalFrame{};
}

Time latest_floor(const std::vector<PurgeFloor>& floors) {
  Time latest = 0;
  for (const auto& floor : floors) latest = std::max(latest, floor.at);
  return latest;
}

Time latest_in(const BanDeltaFrame& frame) { return frame.delta.latest_time(); }
Time latest_in(const FullBansFrame& frame) { return frame.bans.latest_time(); }
Time latest_in(const FloorUpdatesFrame& frame) { return latest_floor(frame.floors); }
Time latest_in(const DigestsFrame& frame) { return frame.global_floor; }
Time latest_in(const IdenticalFrame& /*frame*/) { return 0; }
Time latest_in(const RejectedFrame& /*frame*/) { return 0; }
Time latest_in(const BucketDigestsFrame& frame) { return frame.global_floor; }
Time latest_in(const FloorsFrame& frame) {
  return std::max(frame.global_floor, latest_floor(frame.floors));
}

std::string encode_bans(FrameKind kind, const BanSet& bans) {
  Writer writer;
  write_header(writer, kind, 1);
  writer.bytes(bans.encode());
  return writer.str();
}

}  // namespace

std::string encode_ban_delta(const BanSet& delta) {
  return encode_bans(FrameKind::ban_delta, delta);
}

std::string encode_full_bans(const BanSet& bans) { return encode_bans(FrameKind::full_bans, bans); }

std::string encode_floor_updates(const std::vector<PurgeFloor>& floors) {
  Writer writer;
  write_header(writer, FrameKind::floor_updates, 1);
  write_floors(writer, floors);
  return writer.str();
}

std::string encode_digests(const BanSet& bans, const PurgeFloors& floors) {
  Writer writer;
  write_header(writer, FrameKind::digests, 3);
  writer.number(bans.digest());
  write_time(writer, floors.global_floor());
  write_digests(writer, floors.range_digests());
  return writer.str();
}

std::string encode_identical() {
  Writer writer;
  write_header(writer, FrameKind::identical, 0);
  return writer.str();
}

std::string encode_rejected(Time accepted_until) {
  Writer writer;
  write_header(writer, FrameKind::rejected, 1);
  write_time(writer, accepted_until);
  return writer.str();
}

std::string encode_bucket_digests(Time global_floor, const std::vector<RangeBuckets>& ranges) {
  Writer writer;
  write_header(writer, FrameKind::bucket_digests, 2);
  write_time(writer, global_floor);
  writer.array(ranges.size());
  for (const auto& [range, digests] : ranges) {
    writer.array(kRangeFields).number(range);
    write_digests(writer, digests);
  }
  return writer.str();
}

std::string encode_floors(Time global_floor, const std::vector<PurgeFloor>& floors,
                          const std::vector<std::size_t>& requested_buckets) {
  Writer writer;
  write_header(writer, FrameKind::floors, 3);
  write_time(writer, global_floor);
  write_floors(writer, floors);
  writer.array(requested_buckets.size());
  for (const auto bucket : requested_buckets) writer.array(kBucketFields).number(bucket);
  return writer.str();
}

std::optional<Frame> decode_frame(std::string_view bytes) {
  return msgpack_codec::decode_array(bytes, 1, read_frame);
}

Time latest_time(const Frame& frame) {
  return std::visit([](const auto& specific) { return latest_in(specific); }, frame);
}

}  // namespace alderspur::replication
