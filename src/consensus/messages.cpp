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
void write(Packer& p, const RaftFrame& m) { p.bytes(m.frame); }
void read(Reader& r, RaftFrame& m) { m.frame = r.bytes(kFrameMost); }

constexpr std::size_t fields(const Renew&) { return 14; }
constexpr std::size_t least(const Renew&) { return 12; }  // of a program that knows no trials
void write(Packer& p, const Renew& m) {
  p.number(m.epoch), put(p, m.sent),
      p.number(m.acting).number(m.holds).number(m.refused).text(m.reason);
  p.number(m.grant)
      .real(m.share_all)
      .real(m.share_point)
      .real(m.weight)
      .text(m.point)
      .number(m.learner);
  p.real(m.bad).number(m.forms);
}
void read(Reader& r, Renew& m) {
  m.epoch = r.number(), m.sent = time(r), m.acting = r.number(), m.holds = r.number();
  m.refused = r.number(), m.reason = r.text(kNoteMost), m.grant = r.number();
  m.share_all = r.real(), m.share_point = r.real(), m.weight = r.real(), m.point = r.text();
  m.learner = r.number();
  if (r.more()) m.bad = r.real();
  if (r.more()) m.forms = r.number();
}

constexpr std::size_t fields(const Grant&) { return 12; }
constexpr std::size_t least(const Grant&) { return 11; }
void write(Packer& p, const Grant& m) {
  put(p, m.sent), p.number(m.id), put(p, m.length), pack(p, m.in_force), pack(p, m.pending);
  p.flag(m.agreed), pack(p, m.voters),
      p.real(m.share_all).real(m.share_point).number(m.admitted).flag(m.among).number(m.forms);
}
void read(Reader& r, Grant& m) {
  m.sent = time(r), m.id = r.number(), m.length = time(r);
  m.in_force = version(Reader(r.next(), 6), r.good), m.pending = maybe_version(r);
  m.agreed = r.flag(), m.voters = names(r), m.share_all = r.real(), m.share_point = r.real();
  m.admitted = r.number(), m.among = r.flag();
  if (r.more()) m.forms = r.number();
}

constexpr std::size_t fields(const Redirect&) { return 1; }
void write(Packer& p, const Redirect& m) { p.text(m.leader); }
void read(Reader& r, Redirect& m) { m.leader = r.text(); }

constexpr std::size_t fields(const Want&) { return 2; }
void write(Packer& p, const Want& m) { p.text(m.digest).number(m.offset); }
void read(Reader& r, Want& m) { m.digest = r.text(), m.offset = r.number(kContentMost); }

constexpr std::size_t fields(const Chunk&) { return 4; }
void write(Packer& p, const Chunk& m) {
  p.text(m.digest).number(m.offset).number(m.total).bytes(m.bytes);
}
void read(Reader& r, Chunk& m) {
  m.digest = r.text(), m.offset = r.number(kContentMost), m.total = r.number(kContentMost);
  m.bytes = r.bytes(kChunk);
}

constexpr std::size_t fields(const Propose&) { return 3; }
void write(Packer& p, const Propose& m) {
  p.number(m.nonce), pack(p, m.version), pack(p, m.voters);
}
void read(Reader& r, Propose& m) {
  m.nonce = r.number(), m.version = version(Reader(r.next(), 6), r.good), m.voters = names(r);
}

constexpr std::size_t fields(const Answer&) { return 5; }
void write(Packer& p, const Answer& m) {
  const auto& s = m.settled;
  p.number(s.nonce).flag(s.yes).flag(s.final).number(s.number).text(s.text);
}
void read(Reader& r, Answer& m) {
  auto& s = m.settled;
  s.nonce = r.number(), s.yes = r.flag(), s.final = r.flag(), s.number = r.number();
  s.text = r.text(kSettledText);
}

constexpr std::size_t fields(const LogPosition&) { return 7; }
void write(Packer& p, const LogPosition& m) {
  p.flag(m.asks)
      .flag(m.pristine)
      .number(m.term)
      .number(m.last_term)
      .number(m.last)
      .number(m.your_term);
  p.number(m.your_last);
}
void read(Reader& r, LogPosition& m) {
  m.asks = r.flag(), m.pristine = r.flag(), m.term = r.number(), m.last_term = r.number(),
  m.last = r.number();
  m.your_term = r.number(), m.your_last = r.number();
}

constexpr std::size_t fields(const Ask&) { return 0; }
void write(Packer&, const Ask&) {}
void read(Reader&, Ask&) {}

constexpr std::size_t fields(const Tell&) { return 2; }
void write(Packer& p, const Tell& m) { pack(p, m.in_force), pack(p, m.agreed); }
void read(Reader& r, Tell& m) {
  m.in_force = version(Reader(r.next(), 6), r.good), m.agreed = maybe_version(r);
}

constexpr std::size_t fields(const RenewHint&) { return 0; }
void write(Packer&, const RenewHint&) {}
void read(Reader&, RenewHint&) {}

constexpr std::size_t fields(const Verdict&) { return 3; }
void write(Packer& p, const Verdict& m) { p.number(m.nonce).number(m.number).flag(m.go_on); }
void read(Reader& r, Verdict& m) {
  m.nonce = r.number(), m.number = r.number(), m.go_on = r.flag();
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
  if (bytes.size() > kFrameMost) return {};
  const cluster::Unpacked u(bytes);
  if (!u.good) return {};
  Reader r(u.m.data, 1);
  const auto kind = r.number();
  return read_kind(kind, u.m.data, r);
}

std::string plain(std::string_view text, std::size_t most) {
  std::string out(text.substr(0, most));
  for (char& c : out)
    if (c < ' ' || c > '~' || c == '"') c = c == '"' ? '\'' : ' ';
  return out;
}

}  // namespace alderspur::consensus
