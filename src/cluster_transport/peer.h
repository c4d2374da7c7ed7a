// The state of one TCP connection of a ClusterTransport: a full state exchange or a channel. This
// header is private to the source files of this folder.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "cluster_transport/transport.h"

namespace alderspur::cluster_transport {

struct ClusterTransport::Peer {
  std::unique_ptr<net::Connection> connection;
  bool is_initiator = false;  // this process has opened the connection
  // The initiator has sent its snapshot or handshake, or the accepting side has received it.
  bool is_opening_done = false;
  bool is_finished = false;  // the exchange is complete
  bool is_closed = false;    // removed at the end of the loop turn
  bool is_channel = false;
  bool is_touched = false;  // in touched_peers_
  std::uint64_t nonce = 0;  // drawn by this process; the other side must echo it
  core::Deadlines::Key timeout{};

  // Fields of a channel
  std::string member;   // name of the member at the other end
  std::string address;  // address of that member; set in outgoing channels only
  std::unique_ptr<cluster::FrameAuthenticator> authenticator;  // signs the frames sent
  std::deque<std::string> waiting_frames;                      // kept until the channel is open
  std::size_t waiting_bytes = 0;                               // size of waiting_frames
  std::uint64_t written_at_last_check = 0;                     // bytes
  Time last_used_at = 0;
};

}  // namespace alderspur::cluster_transport
