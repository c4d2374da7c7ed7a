// The channels of a ClusterTransport.
#include <utility>

#include "cluster_transport/peer.h"

namespace alderspur::cluster_transport {

using cluster::Handshake;
using cluster::MemberState;
using cluster::MemberView;

// The called side: an exchange turns out to be a channel. An earlier process of that name, which
// was stopped for a while, may still speak; it must not pass for the one known to have followed it.
bool ClusterTransport::accept_channel(Peer& peer, std::string_view payload) {
  const auto handshake = cluster::decode_handshake(payload);
  if (!handshake || peer.is_caller || peer.has_spoken) return false;
  if (handshake->echoed_nonce != peer.nonce) return false;
  const MemberView* known = membership_->find(handshake->name);
  if (known != nullptr && handshake->epoch < known->update.identity.epoch) return false;
  peer.is_channel = true;
  peer.has_spoken = true;
  peer.member = handshake->name;
  --exchange_count_;
  peer.last_used_at = now_();
  deadlines_.cancel(peer.timeout);
  schedule_progress_check(peer);
  return true;
}

// The calling side: the other has sent its nonce; what has waited follows our handshake.
bool ClusterTransport::send_handshake(Peer& peer, std::uint64_t nonce) {
  if (std::exchange(peer.has_spoken, true)) return false;
  const auto& self = membership_->self();
  write_frame(peer, authenticator_.sign(encode(Handshake{nonce, self.epoch, self.name})));
  for (const auto& frame : std::exchange(peer.waiting_frames, {})) {
    write_frame(peer, peer.authenticator->sign(frame));
  }
  peer.waiting_bytes = 0;
  return true;
}

// Null where there is none and none can be opened now.
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
  peer->is_caller = true;
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
  if (!peer->has_spoken) {
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

// A connection may accept what is written and never transmit it, or never be established: seen by
// the bytes that have left.
void ClusterTransport::check_progress(Peer& peer) {
  const bool has_pending = peer.connection->unwritten() > 0 || !peer.waiting_frames.empty() ||
                           (peer.is_caller && !peer.has_spoken);
  const bool has_progressed = peer.connection->written_total() != peer.written_at_last_check;
  const bool is_idle = now_() > peer.last_used_at + kIdleTimeout;
  if ((has_pending && !has_progressed) || is_idle) return close(peer);
  schedule_progress_check(peer);
}

}  // namespace alderspur::cluster_transport
