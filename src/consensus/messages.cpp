#include "consensus/messages.h"

#include <type_traits>
#include <utility>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

using cluster::Packer;
using cluster::Reader;

constexpr std::uint64_t kMaxTime = std::uint64_t{1} << 62;

void pack_time(Packer& packer, Time time) { packer.number(static_cast<std::uint64_t>(time)); }
Time read_time(Reader& reader) { return static_cast<Time>(reader.number(kMaxTime)); }

// For each message: the number of its fields, then writing and reading them in the same order.
// `required_field_count` is smaller where earlier programs send fewer fields.

constexpr std::size_t field_count(const RaftFrame&) { return 1; }
void write(Packer& packer, const RaftFrame& message) { packer.bytes(message.bytes); }
void read(Reader& reader, RaftFrame& message) { message.bytes = reader.bytes(kMaxMessageBytes); }

constexpr std::size_t field_count(const LeaseRequest&) { return 14; }
constexpr std::size_t required_field_count(const LeaseRequest&) { return 12; }
void write(Packer& packer, const LeaseRequest& message) {
  packer.number(message.epoch);
  pack_time(packer, message.sent_at);
  packer.number(message.active_number).number(message.stored_number);
  packer.number(message.rejected_number).text(message.rejection_reason);
  packer.number(message.last_grant_id);
  packer.real(message.total_share).real(message.location_share);
  packer.real(message.request_rate).text(message.location);
  packer.number(message.learner_id);
  packer.real(message.failure_ratio).number(message.protocol_version);
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
  if (reader.more()) message.failure_ratio = reader.real();
  if (reader.more()) message.protocol_version = reader.number();
}

constexpr std::size_t field_count(const LeaseGrant&) { return 12; }
constexpr std::size_t required_field_count(const LeaseGrant&) { return 11; }
void write(Packer& packer, const LeaseGrant& message) {
  pack_time(packer, message.sent_at);
  packer.number(message.id);
  pack_time(packer, message.duration);
  pack(packer, message.current);
  pack(packer, message.pending);
  packer.flag(message.is_pending_accepted);
  pack(packer, message.voters);
  packer.real(message.total_share).real(message.location_share);
  packer.number(message.admitted_learner_id).flag(message.is_member);
  packer.number(message.protocol_version);
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
  if (reader.more()) message.protocol_version = reader.number();
}

constexpr std::size_t field_count(const Redirect&) { return 1; }
void write(Packer& packer, const Redirect& message) { packer.text(message.leader); }
void read(Reader& reader, Redirect& message) { message.leader = reader.text(); }

constexpr std::size_t field_count(const FetchRequest&) { return 2; }
void write(Packer& packer, const FetchRequest& message) {
  packer.text(message.digest).number(message.offset);
}
void read(Reader& reader, FetchRequest& message) {
  message.digest = reader.text();
  message.offset = reader.number(kMaxContentBytes);
}

constexpr std::size_t field_count(const ContentChunk&) { return 4; }
void write(Packer& packer, const ContentChunk& message) {
  packer.text(message.digest).number(message.offset);
  packer.number(message.total_size).bytes(message.bytes);
}
void read(Reader& reader, ContentChunk& message) {
  message.digest = reader.text();
  message.offset = reader.number(kMaxContentBytes);
  message.total_size = reader.number(kMaxContentBytes);
  message.bytes = reader.bytes(kMaxChunkBytes);
}

constexpr std::size_t field_count(const ProposeRequest&) { return 3; }
void write(Packer& packer, const ProposeRequest& message) {
  packer.number(message.nonce);
  pack(packer, message.version);
  pack(packer, message.voters);
}
void read(Reader& reader, ProposeRequest& message) {
  message.nonce = reader.number();
  message.version = read_version(reader);
  message.voters = read_names(reader);
}

constexpr std::size_t field_count(const ProposeResponse&) { return kProposalResultFields; }
void write(Packer& packer, const ProposeResponse& message) { pack_fields(packer, message.result); }
void read(Reader& reader, ProposeResponse& message) {
  message.result = read_proposal_result_fields(reader);
}

constexpr std::size_t field_count(const LogStatus&) { return 7; }
void write(Packer& packer, const LogStatus& message) {
  packer.flag(message.wants_reply).flag(message.is_empty);
  packer.number(message.term).number(message.last_term).number(message.last_index);
  packer.number(message.acknowledged_term).number(message.acknowledged_index);
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
void write(Packer&, const VersionQuery&) {}
void read(Reader&, VersionQuery&) {}

constexpr std::size_t field_count(const VersionNews&) { return 2; }
void write(Packer& packer, const VersionNews& message) {
  pack(packer, message.current);
  pack(packer, message.accepted);
}
void read(Reader& reader, VersionNews& message) {
  message.current = read_version(reader);
  message.accepted = read_optional_version(reader);
}

constexpr std::size_t field_count(const RenewHint&) { return 0; }
void write(Packer&, const RenewHint&) {}
void read(Reader&, RenewHint&) {}

constexpr std::size_t field_count(const CanaryDecision&) { return 3; }
void write(Packer& packer, const CanaryDecision& message) {
  packer.number(message.nonce).number(message.version_number).flag(message.promote);
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
    return {};  // a kind of a later program
  } else {
    if (kind != Index + 1) return read_message<Index + 1>(kind, array_size, reader);
    std::variant_alternative_t<Index, Message> message;
    if (array_size < required_field_count(message) + 1) return {};
    read(reader, message);
    return reader.good ? std::optional<Message>(std::move(message)) : std::nullopt;
  }
}

}  // namespace

std::string encode(const Message& message) {
  Packer packer;
  std::visit(
      [&](const auto& alternative) {
        packer.array(field_count(alternative) + 1).number(message.index() + 1);
        write(packer, alternative);
      },
      message);
  return packer.take();
}

std::optional<Message> decode_message(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return {};
  const cluster::Unpacked unpacked(bytes);
  if (!unpacked.good) return {};
  Reader reader(unpacked.m.data, 1);
  const auto kind = reader.number();
  // Not an array: the reader is bad, and the size below is never read.
  if (!reader.good) return {};
  return read_message(kind, unpacked.m.data.via.array.size, reader);
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
