// Connections between members: their frames, and full state exchanges.
#include <arpa/inet.h>

#include <cstring>
#include <utility>

#include "cluster_transport/peer.h"

namespace alderspur::cluster_transport {
namespace {

using cluster::FrameStatus;
using cluster::kMaxSnapshotFrameBytes;
using cluster::MembershipSnapshot;

constexpr std::ptrdiff_t kCloseConnection = -1;  // in place of a number of bytes read
constexpr const char* kPeerOfExchange = "an exchange";

}  // namespace

net::Connection::Handler ClusterTransport::handler_for(Peer& peer) {
  net::Connection::Handler handler;
  handler.on_data = [this, &peer](std::string_view bytes) {
    mark_touched(peer);
    return read_frame(peer, bytes);
  };
  handler.on_written = [this, &peer] { mark_touched(peer); };
  handler.on_close = [this, &peer](net::CloseReason) { close(peer); };
  return handler;
}

ClusterTransport::Peer& ClusterTransport::add_exchange(std::unique_ptr<Peer> peer) {
  Peer& added = *peer;
  peers_.emplace(&added, std::move(peer));
  ++exchange_count_;
  added.nonce = random_();
  added.timeout = deadlines_.set(now_() + kExchangeTimeout, [this, &added] { close(added); });
  return added;
}

void ClusterTransport::accept(net::Fd fd) {
  auto peer = std::make_unique<Peer>();
  peer->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, handler_for(*peer));
  send_snapshot(add_exchange(std::move(peer)), 0, {});
}

void ClusterTransport::begin_exchange(const std::string& address) {
  const auto to = net::parse_address(address);
  if (!to || exchange_count_ >= kMaxExchanges) return;
  auto peer = std::make_unique<Peer>();
  peer->is_caller = true;
  peer->connection = net::connect(loop_, *to, handler_for(*peer), &source_address_);
  if (peer->connection) mark_touched(add_exchange(std::move(peer)));
}

void ClusterTransport::send_snapshot(Peer& peer, std::uint64_t echoed_nonce,
                                     std::vector<cluster::GossipUpdate> members) {
  const MembershipSnapshot snapshot{echoed_nonce, peer.nonce, std::move(members)};
  const auto frame = authenticator_.sign(encode(snapshot));
  if (frame.size() > kMaxSnapshotFrameBytes) {
    report_dropped("oversized", "our own picture");
    return close(peer);
  }
  write_frame(peer, frame);
}

void ClusterTransport::write_frame(Peer& peer, std::string_view frame) {
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(frame.size()));
  counters_.bytes_out += frame.size();
  peer.connection->write({reinterpret_cast<const char*>(&size), sizeof size}, frame);
}

// Reads one frame from the front of `bytes`: the number of bytes that it takes, 0 while it is
// incomplete, or kCloseConnection.
std::ptrdiff_t ClusterTransport::read_frame(Peer& peer, std::string_view bytes) {
  std::uint32_t size = 0;
  if (bytes.size() < sizeof size) return 0;
  std::memcpy(&size, bytes.data(), sizeof size);
  size = ntohl(size);
  if (size > (peer.is_channel ? kMaxChannelFrame : kMaxSnapshotFrameBytes)) {
    report_dropped("oversized", kPeerOfExchange);
    return kCloseConnection;
  }
  if (bytes.size() < sizeof size + size) return 0;
  counters_.bytes_in += size;
  if (const char* reason = handle_frame(peer, bytes.substr(sizeof size, size))) {
    report_dropped(reason, kPeerOfExchange);
    return kCloseConnection;
  }
  return static_cast<std::ptrdiff_t>(sizeof size + size);
}

// Null, or why the frame cannot be used.
const char* ClusterTransport::handle_frame(Peer& peer, std::string_view frame) {
  auto& authenticator = peer.is_channel ? channel_authenticator_ : authenticator_;
  const auto verified = authenticator.verify(frame, now_());
  if (verified.status != FrameStatus::valid) return cluster::to_string(verified.status);
  if (peer.is_channel && !peer.is_caller) {
    ++counters_.frames_in;
    peer.last_used_at = now_();
    if (hooks_.on_frame) hooks_.on_frame(peer.member, verified.payload);
    return nullptr;
  }
  return handle_exchange_frame(peer, verified.payload) ? nullptr : "unreadable";
}

// In order: the called side's nonce, the caller's snapshot, the called side's. False where the
// frame is none of these.
bool ClusterTransport::handle_exchange_frame(Peer& peer, std::string_view payload) {
  auto snapshot = cluster::decode_snapshot(payload);
  if (!snapshot) return accept_channel(peer, payload);
  if (peer.is_channel) return send_handshake(peer, snapshot->own_nonce);
  if (peer.is_caller && !std::exchange(peer.has_spoken, true)) {
    send_snapshot(peer, snapshot->own_nonce, membership_->full_state());
    return true;
  }
  if (snapshot->echoed_nonce != peer.nonce) return false;  // replayed from another exchange
  if (!peer.is_caller) {
    if (std::exchange(peer.has_spoken, true)) return false;
    send_snapshot(peer, snapshot->own_nonce, membership_->full_state());
  }
  peer.is_finished = true;
  ++counters_.exchanges;
  handle(cluster::FullStateReceived{std::move(snapshot->members)});
  return true;
}

void ClusterTransport::close(Peer& peer) {
  if (std::exchange(peer.is_closed, true)) return;
  deadlines_.cancel(peer.timeout);
  peer.connection->close();
  mark_touched(peer);
}

void ClusterTransport::mark_touched(Peer& peer) {
  if (!std::exchange(peer.is_touched, true)) touched_peers_.push_back(&peer);
}

void ClusterTransport::end_turn() {
  // By index: handling a peer may touch others.
  std::size_t next = 0;
  while (next < touched_peers_.size()) {
    Peer& peer = *touched_peers_[next];
    ++next;
    finish_writes(peer);
  }
  for (Peer* peer : std::exchange(touched_peers_, {})) {
    peer->is_touched = false;
    if (peer->is_closed) remove(*peer);
  }
}

void ClusterTransport::finish_writes(Peer& peer) {
  if (peer.is_closed) return;
  peer.connection->end_turn();
  if (peer.connection->reoffer_unread()) peer.connection->end_turn();
  if (peer.is_closed || !peer.is_finished || peer.connection->unwritten() > 0) return;
  // The caller has all it wanted; the called side waits for the caller to close, so that its last
  // frame is read.
  if (peer.is_caller) close(peer);
}

void ClusterTransport::remove(Peer& peer) {
  const auto channel = outgoing_channels_.find(peer.member);
  if (channel != outgoing_channels_.end() && channel->second == &peer) {
    outgoing_channels_.erase(channel);
  }
  if (!peer.is_channel) --exchange_count_;
  peers_.erase(&peer);
}

}  // namespace alderspur::cluster_transport
