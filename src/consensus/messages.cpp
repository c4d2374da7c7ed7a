#include "consensus/messages.h"

#include <type_traits>
#include <utility>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

constexpr std::uint64_t kMaxTime = std::uint64_t{1} << 62;  // microseconds

void pack_time(Writer& writer, Time time) { writer.number(static_cast<std::uint64_t>(time)); }
Time read_time(Reader& reader) { return static_cast<Time>(reader.number(kMaxTime)); }

// Each message has a function for the number of its fields, and functions that write and read them
// in the same order. `required_field_count` is smaller if earlier builds send fewer fields.

constexpr std::size_t field_count(const RaftFrame&) { return 1; }
void write(Writer& writer, const RaftFrame& message) { writer.bytes(message.bytes); }
void read(Reader& reader, RaftFrame& message) { message.bytes = reader.bytes(kMaxMessageBytes); }

constexpr std::size_t field_count(const LeaseRequest&) { return 14; }
constexpr std::size_t required_field_count(const LeaseRequest&) { return 12; }
void write(Writer& writer, const LeaseRequest& message) {
  writer.number(message.epoch);
  pack_time(writer, message.sent_at);
  writer.number(message.active_number).number(message.stored_number);
  writer.number(message.rejected_number).text(message.rejection_reason);
  writer.number(message.last_grant_id);
  writer.real(message.total_share).real(message.location_share);
  writer.real(message.request_rate).text(message.location);
  writer.number(message.learner_id);
  writer.real(message.failure_ratio).number(message.protocol_version);
}
void read(Reader& reader, LeaseRequest& message) {
  message.epoch = reader.number();
  message.sent_at = read_time(reader);
  message.active_number = reader.number();
  message.stored_number = reader.number();
  message.rejected_number = reader.number();
  message.rejection_reason = reader.text(kMaxNoteLength);
  message.last_grant_id = reader.number();
  message.total_share = reader.real();
  message.location_share = reader.real();
  message.request_rate = reader.real();
  message.location = reader.text();
  message.learner_id = reader.number();
  if (reader.has_more()) message.failure_ratio = reader.real();
  if (reader.has_more()) message.protocol_version = reader.number();
}

constexpr std::size_t field_count(const LeaseGrant&) { return 12; }
constexpr std::size_t required_field_count(const LeaseGrant&) { return 11; }
void write(Writer& writer, const LeaseGrant& message) {
  pack_time(writer, message.sent_at);
  writer.number(message.id);
  pack_time(writer, message.duration);
  pack(writer, message.current);
  pack(writer, message.pending);
  writer.flag(message.is_pending_accepted);
  pack(writer, message.voters);
  writer.real(message.total_share).real(message.location_share);
  writer.number(message.admitted_learner_id).flag(message.is_member);
  writer.number(message.protocol_version);
}
void read(Reader& reader, LeaseGrant& message) {
  message.sent_at = read_time(reader);
  message.id = reader.number();
  message.duration = read_time(reader);
  message.current = read_version(reader);
  message.pending = read_optional_version(reader);
  message.is_pending_accepted = reader.flag();
  message.voters = read_names(reader);
  message.total_share = reader.real();
  message.location_share = reader.real();
  message.admitted_learner_id = reader.number();
  message.is_member = reader.flag();
  if (reader.has_more()) message.protocol_version = reader.number();
}

constexpr std::size_t field_count(const Redirect&) { return 1; }
void write(Writer& writer, const Redirect& message) { writer.text(message.leader); }
void read(Reader& reader, Redirect& message) { message.leader = reader.text(); }

constexpr std::size_t field_count(const FetchRequest&) { return 2; }
void write(Writer& writer, const FetchRequest& message) {
  writer.text(message.digest).number(message.offset);
}
void read(Reader& reader, FetchRequest& message) {
  message.digest = reader.text();
  message.offset = reader.number(kMaxContentBytes);
}

constexpr std::size_t field_count(const ContentChunk&) { return 4; }
void write(Writer& writer, const ContentChunk& message) {
  writer.text(message.digest).number(message.offset);
  writer.number(message.total_size).bytes(message.bytes);
}
void read(Reader& reader, ContentChunk& message) {
  message.digest = reader.text();
  message.offset = reader.number(kMaxContentBytes);
  message.total_size = reader.number(kMaxContentBytes);
  message.bytes = reader.bytes(kMaxChunkBytes);
}

constexpr std::size_t field_count(const ProposeRequest&) { return 3; }
void write(Writer& writer, const ProposeRequest& message) {
  writer.number(message.nonce);
  pack(writer, message.version);
  pack(writer, message.voters);
}
void read(Reader& reader, ProposeRequest& message) {
  message.nonce = reader.number();
  message.version = read_version(reader);
  message.voters = read_names(reader);
}

constexpr std::size_t field_count(const ProposeResponse&) { return kProposalResultFields; }
void write(Writer& writer, const ProposeResponse& message) { pack_fields(writer, message.result); }
void read(Reader& reader, ProposeResponse& message) {
  message.result = read_proposal_result_fields(reader);
}

constexpr std::size_t field_count(const LogStatus&) { return 7; }
void write(Writer& writer, const LogStatus& message) {
  writer.flag(message.wants_reply).flag(message.is_empty);
  writer.number(message.term).number(message.last_term).number(message.last_index);
  writer.number(message.acknowledged_term).number(message.acknowledged_index);
}
void read(Reader& reader, LogStatus& message) {
  message.wants_reply = reader.flag();
  message.is_empty = reader.flag();
  message.term = reader.number();
  message.last_term = reader.number();
  message.last_index = reader.number();
  message.acknowledged_term = reader.number();
  message.acknowledged_index = reader.number();
}

constexpr std::size_t field_count(const VersionQuery&) { return 0; }
void write(Writer&, const VersionQuery&) {}
void read(Reader&, VersionQuery&) {}

constexpr std::size_t field_count(const VersionResponse&) { return 2; }
void write(Writer& writer, const VersionResponse& message) {
  pack(writer, message.current);
  pack(writer, message.accepted);
}
void read(Reader& reader, VersionResponse& message) {
  message.current = read_version(reader);
  message.accepted = read_optional_version(reader);
}

constexpr std::size_t field_count(const RenewHint&) { return 0; }
void write(Writer&, const RenewHint&) {}
void read(Reader&, RenewHint&) {}

constexpr std::size_t field_count(const CanaryDecision&) { return 3; }
void write(Writer& writer, const CanaryDecision& message) {
  writer.number(message.nonce).number(message.version_number).flag(message.promote);
}
void read(Reader& reader, CanaryDecision& message) {
  message.nonce = reader.number();
  message.version_number = reader.number();
  message.promote = reader.flag();
}

template <class Kind>
constexpr std::size_t required_field_count(const Kind& message) {
  return field_count(message);
}

template <std::size_t Index = 0>
std::optional<Message> read_message(std::uint64_t kind, std::size_t array_size, Reader& reader) {
  if constexpr (Index == std::variant_size_v<Message>) {
    return {};  // a kind that a later build added
  } else {
    if (kind != Index + 1) return read_message<Index + 1>(kind, array_size, reader);
    std::variant_alternative_t<Index, Message> message;
    if (array_size < required_field_count(message) + 1) return {};
    read(reader, message);
    return reader.ok() ? std::optional<Message>(std::move(message)) : std::nullopt;
  }
}

}  // namespace

std::string encode(const Message& message) {
  Writer writer;
  std::visit(
      [&](const auto& alternative) {
        writer.array(field_count(alternative) + 1).number(message.index() + 1);
        write(writer, alternative);
      },
      message);
  return writer.str();
}

std::optional<Message> decode_message(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return {};
  const msgpack_codec::Document unpacked(bytes);
  if (!unpacked.is_valid()) return {};
  Reader reader(unpacked.root(), 1);
  const auto kind = reader.number();
  // The reader fails if the root is not an array, in which case `via.array` below is not valid.
  if (!reader.ok()) return {};
  return read_message(kind, unpacked.root().via.array.size, reader);
}

std::string to_printable(std::string_view text, std::size_t max_length) {
  std::string result(text.substr(0, max_length));
  for (char& character : result) {
    if (character == '"') {
      character = '\'';
    } else if (character < ' ' || character > '~') {
      character = ' ';
    }
  }
  return result;
}

}  // namespace alderspur::consensus
