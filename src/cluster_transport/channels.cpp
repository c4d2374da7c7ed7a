// The channels of a Link.
#include <arpa/inet.h>

#include <cstring>

#include "cluster_transport/peer.h"

namespace alderspur::cluster {

// The called side: an exchange has turned out to be a channel. Danger: a former process of that
// name, stopped for a while, may still speak; what is known to have come after it holds.
bool ClusterTransport::open(Peer& peer, std::string_view payload) {
  const auto hello = decode_hello(payload);
  if (!hello || peer.caller || peer.said || hello->asked != peer.drawn) return false;
  const Seen* known = membership_->find(hello->name);
  if (known && hello->epoch < known->member.identity.epoch) return false;
  peer.is_channel = peer.said = true;
  peer.name = hello->name;
  --exchanges_;
  peer.used = now_();
  deadlines_.cancel(peer.timeout);
  watch(peer);
  return true;
}

// The calling side: the other has drawn its number; what waited goes out behind our name.
bool ClusterTransport::answer(Peer& peer, std::uint64_t asked) {
  if (std::exchange(peer.said, true)) return false;
  write(peer,
        seal_.seal(encode(Handshake{asked, membership_->self().epoch, membership_->self().name})));
  for (const auto& frame : std::exchange(peer.waiting, {})) write(peer, peer.seal->seal(frame));
  peer.waiting_bytes = 0;
  return true;
}

void ClusterTransport::write(Peer& peer, std::string_view sealed) {
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(sealed.size()));
  counts_.bytes_out += sealed.size();
  peer.connection->write({reinterpret_cast<const char*>(&size), sizeof size}, sealed);
}

ClusterTransport::Peer* ClusterTransport::channel(const std::string& to) {
  const Seen* member = membership_->find(to);
  if (!member || member->member.state == State::left) return nullptr;
  const auto& address = member->member.identity.address;
  if (const auto it = out_.find(to); it != out_.end()) {
    if (it->second->address == address && !it->second->dead) return it->second;
    drop(*it->second);
    out_.erase(to);
  }
  Time& dialled = dialled_[to];
  const auto at = net::parse_address(address);
  if (!at || channels_full() || (dialled && now_() < dialled + kRedial)) return nullptr;
  dialled = now_();
  if (dialled_.size() > kChannelsMost) dialled_.clear();
  auto peer = std::make_unique<Peer>();
  Peer* raw = peer.get();
  raw->caller = raw->is_channel = true;
  raw->name = to, raw->address = address, raw->used = now_();
  raw->seal = std::make_unique<Seal>(seal_.under(random_()));
  raw->connection = net::connect(loop_, *at, handler(*raw), nullptr, &source_);
  if (!raw->connection) return nullptr;
  peers_.emplace(raw, std::move(peer));
  out_[to] = raw;
  watch(*raw);
  touch(*raw);
  return raw;
}

void ClusterTransport::send_frame(const std::string& to, std::string_view frame) {
  Peer* peer = channel(to);
  const bool room =
      peer && frame.size() < kFrameMost &&
      peer->connection->unwritten() + peer->waiting_bytes + frame.size() < kWaitingMost &&
      peer->waiting.size() < kFramesWaiting;
  if (!room) return void(++counts_.frames_lost);
  ++counts_.frames_out;
  peer->used = now_();
  if (!peer->said) {
    peer->waiting_bytes += frame.size();
    return void(peer->waiting.emplace_back(frame));
  }
  write(*peer, peer->seal->seal(frame));
  touch(*peer);
}

// Danger: a link may take what is written and never move it, or never come up: seen by what has
// left.
void ClusterTransport::watch(Peer& peer) {
  peer.moved = peer.connection->written_total();
  peer.timeout = deadlines_.set(now_() + kStalled, [this, &peer] { look_at(peer); });
}

void ClusterTransport::look_at(Peer& peer) {
  const bool owes =
      peer.connection->unwritten() > 0 || !peer.waiting.empty() || (peer.caller && !peer.said);
  if ((owes && peer.connection->written_total() == peer.moved) || now_() > peer.used + kUnused)
    return drop(peer);
  watch(peer);
}

}  // namespace alderspur::cluster
