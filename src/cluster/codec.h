// Encodes and decodes the messages that cluster members exchange: MessagePack arrays, version 1.
// The functions do no I/O, hold no state and may be called from any thread.
//
// Additional elements at the end of an array are ignored, so that a later version can add fields.
// A message that exceeds a limit of member.h is not decoded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/message.h"

namespace alderspur::cluster {

/// Maximum sizes in bytes, including the authentication fields.
constexpr std::size_t kMaxDatagramBytes = 4096;
constexpr std::size_t kMaxSnapshotFrameBytes = 1 << 20;

/// Returns the wire form of a datagram's message.
std::string encode(const Message& message);
/// Returns nothing if the bytes are not a valid message.
std::optional<Message> decode_message(std::string_view bytes);

/// The full membership state of one member, sent on a connection of its own. The echoed nonce
/// proves that the snapshot was made for this exchange and is not a replay of an earlier one.
struct MembershipSnapshot {
  std::uint64_t echoed_nonce = 0;  // the nonce that the receiver drew
  std::uint64_t own_nonce = 0;     // drawn by the sender; the receiver must echo it
  std::vector<GossipUpdate> members;
};
/// Returns the wire form of a snapshot.
std::string encode(const MembershipSnapshot& snapshot);
/// Returns nothing if the bytes are not a valid snapshot.
std::optional<MembershipSnapshot> decode_snapshot(std::string_view bytes);

/// The first frame of a channel. It takes the place of a snapshot and identifies the member that
/// will send frames on the channel.
struct Handshake {
  std::uint64_t echoed_nonce = 0;  // the nonce that the accepting side drew
  std::uint64_t epoch = 0;         // epoch of the sending member
  std::string name;                // name of the sending member
};
/// Returns the wire form of a handshake.
std::string encode(const Handshake& handshake);
/// Returns nothing if the bytes are not a valid handshake or the name is empty.
std::optional<Handshake> decode_handshake(std::string_view bytes);

}  // namespace alderspur::cluster
