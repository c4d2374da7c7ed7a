// Codec of the messages between members: MessagePack arrays, version 1. No I/O and no state; any
// thread.
//
// Further elements at the end of an array are ignored, so that a later version may add some.
// Messages beyond the bounds of member.h cannot be decoded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/message.h"

namespace alderspur::cluster {

constexpr std::size_t kMaxDatagramBytes = 4096;          // bytes, authentication included
constexpr std::size_t kMaxSnapshotFrameBytes = 1 << 20;  // bytes, authentication included

std::string encode(const Message& message);
/// Nothing if the bytes have another form.
std::optional<Message> decode_message(std::string_view bytes);

/// The full state of a member, sent on a connection of its own. The echoed nonce proves that it was
/// made for this exchange and is not a replay of an earlier one.
struct MembershipSnapshot {
  std::uint64_t echoed_nonce = 0;  // drawn by the receiver
  std::uint64_t own_nonce = 0;     // drawn by the sender, to be echoed
  std::vector<GossipUpdate> members;
};
std::string encode(const MembershipSnapshot& snapshot);
/// Nothing if the bytes have another form.
std::optional<MembershipSnapshot> decode_snapshot(std::string_view bytes);

/// Opens a channel, in place of a snapshot: the member that sends on it.
struct Handshake {
  std::uint64_t echoed_nonce = 0;  // drawn by the side that was called
  std::uint64_t epoch = 0;
  std::string name;
};
std::string encode(const Handshake& handshake);
/// Nothing if the bytes have another form or no name.
std::optional<Handshake> decode_handshake(std::string_view bytes);

}  // namespace alderspur::cluster
