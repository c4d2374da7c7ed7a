#include "consensus/messages.h"

#include <type_traits>

#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

using cluster::Packer;
using cluster::Reader;

constexpr std::uint64_t kTimeMost = std::uint64_t{1} << 62;

void put(Packer& p, Time t) { p.number(static_cast<std::uint64_t>(t)); }
Time time(Reader& r) { return static_cast<Time>(r.number(kTimeMost)); }

// One pair for each message: how many fields, then written and read in one order.
constexpr std::size_t fields(const RaftFrame&) { return 1; }
void write(Packer& p, const RaftFrame& m) { p.bytes(m.bytes); }
void read(Reader& r, RaftFrame& m) { m.bytes = r.bytes(kMaxMessageBytes); }

constexpr std::size_t fields(const LeaseRequest&) { return 14; }
constexpr std::size_t least(const LeaseRequest&) {
  return 12;
}  // of a program that knows no trials
void write(Packer& p, const LeaseRequest& m) {
  p.number(m.epoch), put(p, m.sent_at),
      p.number(m.active_number)
          .number(m.stored_number)
          .number(m.rejected_number)
          .text(m.rejection_reason);
  p.number(m.last_grant_id)
      .real(m.total_share)
      .real(m.location_share)
      .real(m.request_rate)
      .text(m.location)
      .number(m.learner_id);
  p.real(m.failure_ratio).number(m.protocol_version);
}
void read(Reader& r, LeaseRequest& m) {
  m.epoch = r.number(), m.sent_at = time(r), m.active_number = r.number(),
  m.stored_number = r.number();
  m.rejected_number = r.number(), m.rejection_reason = r.text(kMaxNoteLength),
  m.last_grant_id = r.number();
  m.total_share = r.real(), m.location_share = r.real(), m.request_rate = r.real(),
  m.location = r.text();
  m.learner_id = r.number();
  if (r.more()) m.failure_ratio = r.real();
  if (r.more()) m.protocol_version = r.number();
}

constexpr std::size_t fields(const LeaseGrant&) { return 12; }
constexpr std::size_t least(const LeaseGrant&) { return 11; }
void write(Packer& p, const LeaseGrant& m) {
  put(p, m.sent_at), p.number(m.id), put(p, m.duration), pack(p, m.current), pack(p, m.pending);
  p.flag(m.is_pending_accepted), pack(p, m.voters),
      p.real(m.total_share)
          .real(m.location_share)
          .number(m.admitted_learner_id)
          .flag(m.is_member)
          .number(m.protocol_version);
}
void read(Reader& r, LeaseGrant& m) {
  m.sent_at = time(r), m.id = r.number(), m.duration = time(r);
  m.current = version(Reader(r.next(), 6), r.good), m.pending = maybe_version(r);
  m.is_pending_accepted = r.flag(), m.voters = names(r), m.total_share = r.real(),
  m.location_share = r.real();
  m.admitted_learner_id = r.number(), m.is_member = r.flag();
  if (r.more()) m.protocol_version = r.number();
}

constexpr std::size_t fields(const Redirect&) { return 1; }
void write(Packer& p, const Redirect& m) { p.text(m.leader); }
void read(Reader& r, Redirect& m) { m.leader = r.text(); }

constexpr std::size_t fields(const FetchRequest&) { return 2; }
void write(Packer& p, const FetchRequest& m) { p.text(m.digest).number(m.offset); }
void read(Reader& r, FetchRequest& m) {
  m.digest = r.text(), m.offset = r.number(kMaxContentBytes);
}

constexpr std::size_t fields(const ContentChunk&) { return 4; }
void write(Packer& p, const ContentChunk& m) {
  p.text(m.digest).number(m.offset).number(m.total_size).bytes(m.bytes);
}
void read(Reader& r, ContentChunk& m) {
  m.digest = r.text(), m.offset = r.number(kMaxContentBytes),
  m.total_size = r.number(kMaxContentBytes);
  m.bytes = r.bytes(kMaxChunkBytes);
}

constexpr std::size_t fields(const ProposeRequest&) { return 3; }
void write(Packer& p, const ProposeRequest& m) {
  p.number(m.nonce), pack(p, m.version), pack(p, m.voters);
}
void read(Reader& r, ProposeRequest& m) {
  m.nonce = r.number(), m.version = version(Reader(r.next(), 6), r.good), m.voters = names(r);
}

constexpr std::size_t fields(const ProposeResponse&) { return 5; }
void write(Packer& p, const ProposeResponse& m) {
  const auto& s = m.result;
  p.number(s.nonce).flag(s.is_accepted).flag(s.is_final).number(s.version_number).text(s.reason);
}
void read(Reader& r, ProposeResponse& m) {
  auto& s = m.result;
  s.nonce = r.number(), s.is_accepted = r.flag(), s.is_final = r.flag(),
  s.version_number = r.number();
  s.reason = r.text(kMaxResultText);
}

constexpr std::size_t fields(const LogStatus&) { return 7; }
void write(Packer& p, const LogStatus& m) {
  p.flag(m.wants_reply)
      .flag(m.is_empty)
      .number(m.term)
      .number(m.last_term)
      .number(m.last_index)
      .number(m.acknowledged_term);
  p.number(m.acknowledged_index);
}
void read(Reader& r, LogStatus& m) {
  m.wants_reply = r.flag(), m.is_empty = r.flag(), m.term = r.number(), m.last_term = r.number(),
  m.last_index = r.number();
  m.acknowledged_term = r.number(), m.acknowledged_index = r.number();
}

constexpr std::size_t fields(const VersionQuery&) { return 0; }
void write(Packer&, const VersionQuery&) {}
void read(Reader&, VersionQuery&) {}

constexpr std::size_t fields(const VersionNews&) { return 2; }
void write(Packer& p, const VersionNews& m) { pack(p, m.current), pack(p, m.accepted); }
void read(Reader& r, VersionNews& m) {
  m.current = version(Reader(r.next(), 6), r.good), m.accepted = maybe_version(r);
}

constexpr std::size_t fields(const RenewHint&) { return 0; }
void write(Packer&, const RenewHint&) {}
void read(Reader&, RenewHint&) {}

constexpr std::size_t fields(const CanaryDecision&) { return 3; }
void write(Packer& p, const CanaryDecision& m) {
  p.number(m.nonce).number(m.version_number).flag(m.promote);
}
void read(Reader& r, CanaryDecision& m) {
  m.nonce = r.number(), m.version_number = r.number(), m.promote = r.flag();
}

template <class M>
constexpr std::size_t least(const M& m) {
  return fields(m);
}

template <std::size_t I = 0>
std::optional<Message> read_kind(std::uint64_t kind, const msgpack_object& o, Reader& r) {
  if constexpr (I == std::variant_size_v<Message>) {
    return {};  // of a later program
  } else {
    if (kind != I + 1) return read_kind<I + 1>(kind, o, r);
    std::variant_alternative_t<I, Message> m;
    if (o.via.array.size < least(m) + 1) return {};
    read(r, m);
    return r.good ? std::optional<Message>(std::move(m)) : std::nullopt;
  }
}

}  // namespace

std::string encode(const Message& message) {
  Packer p;
  std::visit(
      [&](const auto& m) {
        p.array(fields(m) + 1).number(message.index() + 1);
        write(p, m);
      },
      message);
  return p.take();
}

std::optional<Message> decode_message(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return {};
  const cluster::Unpacked u(bytes);
  if (!u.good) return {};
  Reader r(u.m.data, 1);
  const auto kind = r.number();
  return read_kind(kind, u.m.data, r);
}

std::string to_printable(std::string_view text, std::size_t most) {
  std::string out(text.substr(0, most));
  for (char& c : out)
    if (c < ' ' || c > '~' || c == '"') c = c == '"' ? '\'' : ' ';
  return out;
}

}  // namespace alderspur::consensus
