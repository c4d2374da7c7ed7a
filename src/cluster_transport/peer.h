// A connection of a Link: an exchange of pictures, or a channel. For link.cpp and channels.cpp.
#pragma once

#include <algorithm>
#include <deque>

#include "cluster_transport/transport.h"

namespace alderspur::cluster {

struct ClusterTransport::Peer {
  std::unique_ptr<net::Connection> connection;
  bool caller = false, said = false, finished = false, dead = false;
  std::uint64_t drawn = 0;  // by us, to be repeated
  bool is_channel = false, touched = false;
  std::string name, address;        // of the member at the other end of a channel
  std::unique_ptr<Seal> seal;       // of what we say on it
  std::deque<std::string> waiting;  // until it is open
  std::size_t waiting_bytes = 0;
  std::uint64_t moved = 0;  // bytes at the last look
  Time used = 0;
  core::Deadlines::Key timeout{};
};

}  // namespace alderspur::cluster
