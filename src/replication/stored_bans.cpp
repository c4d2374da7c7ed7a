#include "replication/stored_bans.h"

#include "msgpack_codec/reader.h"
#include "msgpack_codec/writer.h"

namespace alderspur::replication {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

constexpr std::size_t kOwnChangeElements = 4;

/// The last change made at the router, and the epoch of the process that stored it.
struct OwnChange {
  Dot dot;
  std::uint64_t stored_in = 0;
};

OwnChange read_own_change(Reader& fields) {
  OwnChange change;
  change.dot.author.name = fields.text();
  change.dot.author.epoch = fields.number();
  change.dot.sequence = fields.number();
  change.stored_in = fields.number();
  return change;
}

}  // namespace

std::string encode_final_bans(const BanSet& bans, std::uint64_t epoch) {
  const auto& last = bans.last_own_change();
  if (!last) return bans.encode();
  Writer writer;
  writer.array(BanSet::kElements + 1);
  bans.write(writer);
  writer.array(kOwnChangeElements).text(last->author.name).number(last->author.epoch);
  writer.number(last->sequence).number(epoch);
  return writer.str();
}

std::optional<BanSet> decode_stored_bans(std::string_view payload,
                                         std::optional<std::uint64_t> previous_epoch) {
  if (payload.size() > kMaxEncodedBans) return std::nullopt;
  return msgpack_codec::decode_array(payload, BanSet::kElements, [&](Reader& reader) {
    BanSet bans = BanSet::read(reader);
    if (!reader.has_more()) return bans;
    const auto change = reader.record(kOwnChangeElements, read_own_change);
    if (previous_epoch && change.stored_in == *previous_epoch) {
      bans.set_last_own_change(change.dot);
    }
    return bans;
  });
}

}  // namespace alderspur::replication
