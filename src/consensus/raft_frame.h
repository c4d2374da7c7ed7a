// Codec of the Raft library's messages: MessagePack arrays [type, sent_at, echo's term, echo's
// sent_at, [fields...]]. Does no I/O.
//
// Each frame echoes the term and the time of the newest message that its sender has accepted from
// the receiver as the leader. From these echoes, a leader derives how recently each voter has
// confirmed it.
#pragma once

extern "C" {  // the library's header has no C++ guard
#include <raft.h>
}

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/version.h"

namespace alderspur::consensus {

/// Identifies a message of a leader by the leader's term and its clock when the message was sent.
struct LeaderContact {
  std::uint64_t term = 0;
  Time sent_at = 0;
};

/// The fields that this project adds to each message of the library.
struct RaftFrameHeader {
  Time sent_at = 0;    // by the sender's clock
  LeaderContact echo;  // term 0: the sender has accepted no message from the receiver
};

/// A decoded frame. The caller must pass the message to the library, which takes ownership of the
/// memory of its entries or snapshot.
struct DecodedRaftFrame {
  RaftFrameHeader header;
  raft_message message{};
};

/// Encodes a message of the library.
std::string encode_raft_frame(const RaftFrameHeader& header, const raft_message& message);
/// Decodes a frame. Returns nothing if the frame is malformed or exceeds a limit, or if it is a
/// vote request for a candidate other than `sender`. The message's server fields are not set.
std::optional<DecodedRaftFrame> decode_raft_frame(std::string_view frame, std::string_view sender);

}  // namespace alderspur::consensus
