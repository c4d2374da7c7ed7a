// The wire form of the Raft library's messages: MessagePack [type, sent_at, echo's term, echo's
// sent_at, [fields...]]. No I/O.
//
// Each frame echoes the newest message that its sender has accepted from the receiver as a leader;
// by these echoes a leader knows how recently each voter has confirmed it.
#pragma once

extern "C" {  // the library's header does not say so itself
#include <raft.h>
}

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/version.h"

namespace alderspur::consensus {

/// Names a message of a leader by its term and the leader's clock.
struct LeaderContact {
  std::uint64_t term = 0;
  Time sent_at = 0;
};

struct RaftFrameHeader {
  Time sent_at = 0;    // by the sender's clock
  LeaderContact echo;  // term 0: none
};

struct DecodedRaftFrame {
  RaftFrameHeader header;
  raft_message message{};  // its entries and snapshot are memory for the library to take over
};

std::string encode_raft_frame(const RaftFrameHeader& header, const raft_message& message);
/// Empty if the frame does not fit its form or limits, or claims to be of another candidate than
/// `sender`. The message's server fields are not set.
std::optional<DecodedRaftFrame> decode_raft_frame(std::string_view frame, std::string_view sender);

}  // namespace alderspur::consensus
