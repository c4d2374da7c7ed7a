// One TCP connection of a ClusterTransport: a full state exchange, or a channel. For the source
// files of this folder.
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
  bool is_caller = false;    // we have opened the connection
  bool has_spoken = false;   // our snapshot or handshake is sent, or theirs has come
  bool is_finished = false;  // the exchange is complete
  bool is_closed = false;    // removed at the end of the turn
  bool is_channel = false;
  bool is_touched = false;  // in touched_peers_
  std::uint64_t nonce = 0;  // drawn by us, to be echoed
  core::Deadlines::Key timeout{};

  // Of a channel
  std::string member;                                          // at the other end
  std::string address;                                         // of an outgoing channel
  std::unique_ptr<cluster::FrameAuthenticator> authenticator;  // of what we send
  std::deque<std::string> waiting_frames;                      // until the channel is open
  std::size_t waiting_bytes = 0;
  std::uint64_t written_at_last_check = 0;  // bytes
  Time last_used_at = 0;
};

}  // namespace alderspur::cluster_transport
