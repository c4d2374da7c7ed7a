#include "cluster/codec.h"

#include "cluster/packing.h"

namespace alderspur::cluster {
namespace {

void pack(Packer& p, const Identity& i) {
  p.array(6).text(i.name).text(i.address).text(i.point).text(i.version).number(i.epoch).real(
      i.share);
}
void pack(Packer& p, const std::vector<GossipUpdate>& all) {
  p.array(all.size());
  for (const auto& r : all) {
    pack(p.array(4), r.identity);
    p.number(r.incarnation).number(static_cast<std::uint64_t>(r.state)).text(r.by);
  }
}
Identity who(Reader&& r, bool& good) {
  Identity i;
  i.name = r.text(), i.address = r.text(), i.point = r.text(), i.version = r.text();
  i.epoch = r.number(), i.share = r.real();
  good = good && r.good;
  return i;
}
std::vector<GossipUpdate> rumours(Reader& from, std::size_t most) {
  std::vector<GossipUpdate> out;
  const auto n = from.array(most);
  for (std::uint32_t k = 0; k < n; ++k) {
    Reader r = from.item(k, 4);
    GossipUpdate x;
    x.identity = who(Reader(r.next(), 6), r.good);
    x.incarnation = static_cast<std::uint32_t>(r.number(0xffffffff));
    x.state = static_cast<State>(r.number(static_cast<std::uint64_t>(State::left)));
    x.by = r.text();
    if (!r.good) return from.good = false, out;
    out.push_back(std::move(x));
  }
  return out;
}

}  // namespace

std::string encode(const Message& m) {
  Packer p;
  pack(p.array(10).number(static_cast<std::uint64_t>(m.kind)).number(m.number), m.from);
  p.number(m.incarnation);
  p.text(m.to).number(m.to_epoch).text(m.target).text(m.target_address).number(m.target_epoch);
  return pack(p, m.rumours), p.take();
}

std::optional<Message> decode_message(std::string_view bytes) {
  const Unpacked u(bytes);
  if (!u.good) return {};
  Reader r(u.m.data, 10);
  Message m;
  m.kind = static_cast<Message::Kind>(r.number(static_cast<std::uint64_t>(Message::Kind::gossip)));
  m.number = r.number();
  m.from = who(Reader(r.next(), 6), r.good);
  m.incarnation = static_cast<std::uint32_t>(r.number(0xffffffff));
  m.to = r.text(), m.to_epoch = r.number();
  m.target = r.text(), m.target_address = r.text(), m.target_epoch = r.number();
  m.rumours = rumours(r, kRumoursMost);
  return r.good ? std::optional(std::move(m)) : std::nullopt;
}

std::string encode(const MembershipSnapshot& picture) {
  Packer p;
  p.array(3).number(picture.asked).number(picture.ask);
  return pack(p, picture.members), p.take();
}

std::optional<MembershipSnapshot> decode_picture(std::string_view bytes) {
  const Unpacked u(bytes);
  if (!u.good) return {};
  Reader r(u.m.data, 3);
  MembershipSnapshot p;
  p.asked = r.number(), p.ask = r.number();
  p.members = rumours(r, kMembersMost + 1);
  return r.good ? std::optional(std::move(p)) : std::nullopt;
}

std::string encode(const Handshake& h) {
  Packer p;
  return p.array(4).text("channel").number(h.asked).number(h.epoch).text(h.name).take();
}
std::optional<Handshake> decode_hello(std::string_view bytes) {
  const Unpacked u(bytes);
  if (!u.good) return {};
  Reader r(u.m.data, 4);
  Handshake h;
  if (r.text() != "channel") return {};
  h.asked = r.number(), h.epoch = r.number(), h.name = r.text();
  return r.good && !h.name.empty() ? std::optional(std::move(h)) : std::nullopt;
}

}  // namespace alderspur::cluster
