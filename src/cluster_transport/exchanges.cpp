// The TCP connections of ClusterTransport: their frames, and full state exchanges.
#include <arpa/inet.h>

#include <cstring>
#include <utility>

#include "cluster_transport/peer.h"

namespace alderspur::cluster_transport {
namespace {

using cluster::FrameStatus;
using cluster::kMaxSnapshotFrameBytes;
using cluster::MembershipSnapshot;

// Returned in place of the number of bytes read, to close the connection.
constexpr std::ptrdiff_t kCloseConnection = -1;
// Reported as the sender of a dropped frame, because a connection does not store its peer address.
constexpr const char* kTcpPeer = "a TCP connection between members";

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
  peer->is_initiator = true;
  peer->connection = net::connect(loop_, *to, handler_for(*peer), &source_address_);
  if (peer->connection) mark_touched(add_exchange(std::move(peer)));
}

void ClusterTransport::send_snapshot(Peer& peer, std::uint64_t echoed_nonce,
                                     std::vector<cluster::GossipUpdate> members) {
  const MembershipSnapshot snapshot{echoed_nonce, peer.nonce, std::move(members)};
  const auto frame = authenticator_.sign(encode(snapshot));
  if (frame.size() > kMaxSnapshotFrameBytes) {
    report_dropped("oversized", "the snapshot of this process");
    return close(peer);
  }
  write_frame(peer, frame);
}

void ClusterTransport::write_frame(Peer& peer, std::string_view frame) {
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(frame.size()));
  counters_.bytes_out += frame.size();
  peer.connection->write({reinterpret_cast<const char*>(&size), sizeof size}, frame);
}

// Reads one frame from the front of `bytes`. Returns the number of bytes that it occupies, 0 while
// it is incomplete, or kCloseConnection if it cannot be used.
std::ptrdiff_t ClusterTransport::read_frame(Peer& peer, std::string_view bytes) {
  std::uint32_t size = 0;
  if (bytes.size() < sizeof size) return 0;
  std::memcpy(&size, bytes.data(), sizeof size);
  size = ntohl(size);
  if (size > (peer.is_channel ? kMaxChannelFrame : kMaxSnapshotFrameBytes)) {
    report_dropped("oversized", kTcpPeer);
    return kCloseConnection;
  }
  if (bytes.size() < sizeof size + size) return 0;
  counters_.bytes_in += size;
  if (const char* reason = handle_frame(peer, bytes.substr(sizeof size, size))) {
    report_dropped(reason, kTcpPeer);
    return kCloseConnection;
  }
  return static_cast<std::ptrdiff_t>(sizeof size + size);
}

// Handles one frame. Returns null, or the reason why the frame cannot be used.
const char* ClusterTransport::handle_frame(Peer& peer, std::string_view frame) {
  auto& authenticator = peer.is_channel ? channel_authenticator_ : authenticator_;
  const auto verified = authenticator.verify(frame, now_());
  if (verified.status != FrameStatus::valid) return cluster::to_string(verified.status);
  if (peer.is_channel && !peer.is_initiator) {
    ++counters_.frames_in;
    peer.last_used_at = now_();
    if (hooks_.on_frame) hooks_.on_frame(peer.member, verified.payload);
    return nullptr;
  }
  return handle_exchange_frame(peer, verified.payload) ? nullptr : "unreadable";
}

// Handles a frame of an exchange, or the first frame of a channel. The frames of an exchange are,
// in order: the accepting side's nonce, the initiator's snapshot and the accepting side's snapshot.
// Returns false if the frame is not the expected one.
bool ClusterTransport::handle_exchange_frame(Peer& peer, std::string_view payload) {
  auto snapshot = cluster::decode_snapshot(payload);
  if (!snapshot) return accept_channel(peer, payload);
  if (peer.is_channel) return send_handshake(peer, snapshot->own_nonce);
  if (peer.is_initiator && !std::exchange(peer.is_opening_done, true)) {
    send_snapshot(peer, snapshot->own_nonce, membership_->full_state());
    return true;
  }
  if (snapshot->echoed_nonce != peer.nonce) return false;  // replayed from another exchange
  if (!peer.is_initiator) {
    if (std::exchange(peer.is_opening_done, true)) return false;
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
  // The loop uses an index, because handling one peer may add others to touched_peers_.
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
  // One frame is read at a time. Frames that have arrived together are all read in this turn, since
  // no further event may report them.
  while (!peer.is_closed && peer.connection->reoffer_unread()) peer.connection->end_turn();
  if (peer.is_closed || !peer.is_finished || peer.connection->unwritten() > 0) return;
  // The exchange is complete for the initiator. The accepting side waits for the initiator to close
  // the connection, so that its last frame is read.
  if (peer.is_initiator) close(peer);
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
