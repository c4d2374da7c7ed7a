#include "replication/frame_codec.h"

#include "msgpack_codec/writer.h"

namespace alderspur::replication {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

constexpr std::size_t kFloorFields = 3;

static_assert(kRanges == kBucketsPerRange, "digests of both levels have one wire form");

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

std::string encode_bucket_digests(Time global_floor, const std::vector<RangeBuckets>& ranges) {
  Writer writer;
  write_header(writer, FrameKind::bucket_digests, 2);
  write_time(writer, global_floor);
  writer.array(ranges.size());
  for (const auto& [range, digests] : ranges) {
    writer.array(2).number(range);
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
  for (const auto bucket : requested_buckets) writer.array(1).number(bucket);
  return writer.str();
}

Time read_time(Reader& reader) { return static_cast<Time>(reader.number(kMaxFrameTime)); }

std::vector<PurgeFloor> read_floors(Reader& reader) {
  return reader.records(kMaxFloorsPerFrame, kFloorFields, read_floor);
}

RangeDigests read_digests(Reader& reader) {
  return reader.record(RangeDigests{}.size(), read_digest_fields);
}

}  // namespace alderspur::replication
