// The channels of ClusterTransport, which carry frames from one member to another.
#include <utility>

#include "cluster_transport/peer.h"

namespace alderspur::cluster_transport {

using cluster::Handshake;
using cluster::MemberState;
using cluster::MemberView;

// Turns an accepted exchange into a channel when its first frame is a handshake; returns false if
// the handshake is not valid. An earlier process with the same name that was stopped for a while
// may still send frames. It is rejected, because its frames must not be taken for those of the
// process that has replaced it.
bool ClusterTransport::accept_channel(Peer& peer, std::string_view payload) {
  const auto handshake = cluster::decode_handshake(payload);
  if (!handshake || peer.is_initiator || peer.is_opening_done) return false;
  if (handshake->echoed_nonce != peer.nonce) return false;
  const MemberView* known = membership_->find(handshake->name);
  if (known != nullptr && handshake->epoch < known->update.identity.epoch) return false;
  peer.is_channel = true;
  peer.is_opening_done = true;
  peer.member = handshake->name;
  --exchange_count_;
  peer.last_used_at = now_();
  deadlines_.cancel(peer.timeout);
  schedule_progress_check(peer);
  return true;
}

// Answers the accepting side's nonce with a handshake, followed by the frames that waited for it.
// Returns false if the handshake has been sent before.
bool ClusterTransport::send_handshake(Peer& peer, std::uint64_t nonce) {
  if (std::exchange(peer.is_opening_done, true)) return false;
  const auto& self = membership_->self();
  write_frame(peer, authenticator_.sign(encode(Handshake{nonce, self.epoch, self.name})));
  for (const auto& frame : std::exchange(peer.waiting_frames, {})) {
    write_frame(peer, peer.authenticator->sign(frame));
  }
  peer.waiting_bytes = 0;
  return true;
}

// Returns the channel to a member and opens it if necessary. Returns null if there is no channel
// and none can be opened now.
ClusterTransport::Peer* ClusterTransport::channel_to(const std::string& member) {
  const MemberView* view = membership_->find(member);
  if (view == nullptr || view->update.state == MemberState::left) return nullptr;
  const auto& address = view->update.identity.address;
  if (const auto found = outgoing_channels_.find(member); found != outgoing_channels_.end()) {
    Peer* channel = found->second;
    if (channel->address == address && !channel->is_closed) return channel;
    close(*channel);
    outgoing_channels_.erase(member);
  }
  return open_channel(member, address);
}

ClusterTransport::Peer* ClusterTransport::open_channel(const std::string& member,
                                                       const std::string& address) {
  Time& last_connect_at = last_connect_at_[member];
  const bool must_wait = last_connect_at != 0 && now_() < last_connect_at + kReconnectBackoff;
  const auto to = net::parse_address(address);
  if (!to || has_max_channels() || must_wait) return nullptr;
  last_connect_at = now_();
  if (last_connect_at_.size() > kMaxChannels) last_connect_at_.clear();
  auto owned = std::make_unique<Peer>();
  Peer* peer = owned.get();
  peer->is_initiator = true;
  peer->is_channel = true;
  peer->member = member;
  peer->address = address;
  peer->last_used_at = now_();
  peer->authenticator =
      std::make_unique<cluster::FrameAuthenticator>(authenticator_.with_sender(random_()));
  peer->connection = net::connect(loop_, *to, handler_for(*peer), &source_address_);
  if (!peer->connection) return nullptr;
  peers_.emplace(peer, std::move(owned));
  outgoing_channels_[member] = peer;
  schedule_progress_check(*peer);
  mark_touched(*peer);
  return peer;
}

void ClusterTransport::send_frame(const std::string& to, std::string_view frame) {
  Peer* peer = channel_to(to);
  const bool has_capacity =
      peer != nullptr && frame.size() < kMaxChannelFrame &&
      peer->connection->unwritten() + peer->waiting_bytes + frame.size() < kMaxWaitingBytes &&
      peer->waiting_frames.size() < kMaxWaitingFrames;
  if (!has_capacity) {
    ++counters_.frames_lost;
    return;
  }
  ++counters_.frames_out;
  peer->last_used_at = now_();
  if (!peer->is_opening_done) {
    peer->waiting_bytes += frame.size();
    peer->waiting_frames.emplace_back(frame);
    return;
  }
  write_frame(*peer, peer->authenticator->sign(frame));
  mark_touched(*peer);
}

void ClusterTransport::schedule_progress_check(Peer& peer) {
  peer.written_at_last_check = peer.connection->written_total();
  peer.timeout = deadlines_.set(now_() + kStallTimeout, [this, &peer] { check_progress(peer); });
}

// Closes a channel that is idle or makes no progress. A connection may accept data and never
// transmit it, or never be established. Both are detected by the number of bytes written to the
// network.
void ClusterTransport::check_progress(Peer& peer) {
  const bool has_pending = peer.connection->unwritten() > 0 || !peer.waiting_frames.empty() ||
                           (peer.is_initiator && !peer.is_opening_done);
  const bool has_progressed = peer.connection->written_total() != peer.written_at_last_check;
  const bool is_idle = now_() > peer.last_used_at + kIdleTimeout;
  if ((has_pending && !has_progressed) || is_idle) return close(peer);
  schedule_progress_check(peer);
}

}  // namespace alderspur::cluster_transport
