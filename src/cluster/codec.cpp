#include "cluster/codec.h"

#include <limits>
#include <utility>

#include "msgpack_codec/reader.h"
#include "msgpack_codec/writer.h"

namespace alderspur::cluster {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

static_assert(msgpack_codec::kMaxNameBytes == kMaxNameLength);

// Numbers of array elements.
constexpr std::size_t kIdentityFields = 6;
constexpr std::size_t kUpdateFields = 4;
constexpr std::size_t kMessageFields = 10;
constexpr std::size_t kSnapshotFields = 3;
constexpr std::size_t kHandshakeFields = 4;
constexpr std::string_view kHandshakeMark = "channel";

void write_identity(Writer& writer, const Identity& identity) {
  writer.array(kIdentityFields).text(identity.name).text(identity.address).text(identity.point);
  writer.text(identity.version).number(identity.epoch).real(identity.share);
}

Identity read_identity_fields(Reader& fields) {
  Identity identity;
  identity.name = fields.text();
  identity.address = fields.text();
  identity.point = fields.text();
  identity.version = fields.text();
  identity.epoch = fields.number();
  identity.share = fields.real();
  return identity;
}

Identity read_identity(Reader& reader) {
  return reader.record(kIdentityFields, read_identity_fields);
}

std::uint32_t read_incarnation(Reader& reader) {
  return static_cast<std::uint32_t>(reader.number(std::numeric_limits<std::uint32_t>::max()));
}

void write_updates(Writer& writer, const std::vector<GossipUpdate>& updates) {
  writer.array(updates.size());
  for (const auto& update : updates) {
    writer.array(kUpdateFields);
    write_identity(writer, update.identity);
    writer.number(update.incarnation).number(static_cast<std::uint64_t>(update.state));
    writer.text(update.reported_by);
  }
}

GossipUpdate read_update(Reader& fields) {
  constexpr auto kLastState = static_cast<std::uint64_t>(MemberState::left);
  GossipUpdate update;
  update.identity = read_identity(fields);
  update.incarnation = read_incarnation(fields);
  update.state = static_cast<MemberState>(fields.number(kLastState));
  update.reported_by = fields.text();
  return update;
}

std::vector<GossipUpdate> read_updates(Reader& reader, std::size_t max_count) {
  return reader.records(max_count, kUpdateFields, read_update);
}

Message read_message(Reader& reader) {
  constexpr auto kLastKind = static_cast<std::uint64_t>(Message::Kind::gossip);
  Message message;
  message.kind = static_cast<Message::Kind>(reader.number(kLastKind));
  message.ping_id = reader.number();
  message.sender = read_identity(reader);
  message.sender_incarnation = read_incarnation(reader);
  message.recipient = reader.text();
  message.recipient_epoch = reader.number();
  message.target = reader.text();
  message.target_address = reader.text();
  message.target_epoch = reader.number();
  message.updates = read_updates(reader, kMaxUpdatesPerMessage);
  return message;
}

MembershipSnapshot read_snapshot(Reader& reader) {
  MembershipSnapshot snapshot;
  snapshot.echoed_nonce = reader.number();
  snapshot.own_nonce = reader.number();
  // The sender itself and all other members in its table.
  snapshot.members = read_updates(reader, kMaxMembers + 1);
  return snapshot;
}

Handshake read_handshake(Reader& reader) {
  Handshake handshake;
  if (reader.text() != kHandshakeMark) reader.fail();
  handshake.echoed_nonce = reader.number();
  handshake.epoch = reader.number();
  handshake.name = reader.text();
  if (handshake.name.empty()) reader.fail();
  return handshake;
}

}  // namespace

std::string encode(const Message& message) {
  Writer writer;
  writer.array(kMessageFields).number(static_cast<std::uint64_t>(message.kind));
  writer.number(message.ping_id);
  write_identity(writer, message.sender);
  writer.number(message.sender_incarnation);
  writer.text(message.recipient).number(message.recipient_epoch);
  writer.text(message.target).text(message.target_address).number(message.target_epoch);
  write_updates(writer, message.updates);
  return writer.str();
}

std::optional<Message> decode_message(std::string_view bytes) {
  return msgpack_codec::decode_array(bytes, kMessageFields, read_message);
}

std::string encode(const MembershipSnapshot& snapshot) {
  Writer writer;
  writer.array(kSnapshotFields).number(snapshot.echoed_nonce).number(snapshot.own_nonce);
  write_updates(writer, snapshot.members);
  return writer.str();
}

std::optional<MembershipSnapshot> decode_snapshot(std::string_view bytes) {
  return msgpack_codec::decode_array(bytes, kSnapshotFields, read_snapshot);
}

std::string encode(const Handshake& handshake) {
  Writer writer;
  writer.array(kHandshakeFields).text(kHandshakeMark).number(handshake.echoed_nonce);
  writer.number(handshake.epoch).text(handshake.name);
  return writer.str();
}

std::optional<Handshake> decode_handshake(std::string_view bytes) {
  return msgpack_codec::decode_array(bytes, kHandshakeFields, read_handshake);
}

}  // namespace alderspur::cluster
