// The wire form of the cluster's messages: MessagePack arrays, version 1. No sockets, no secrets.
//
// Further elements at the end of an array are passed over, so that a later version may add some.
// What does not fit the bounds of membership.h reads as nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/membership.h"

namespace alderspur::cluster {

constexpr std::size_t kDatagramMost = 4096, kPictureMost = 1 << 20;

std::string encode(const Message& message);
std::optional<Message> decode_message(std::string_view bytes);

// A whole picture, by a connection of its own. `asked` repeats what the other side drew, so that a
// picture kept from an earlier exchange is none; `ask` is what this side has drawn.
struct MembershipSnapshot {
  std::uint64_t asked = 0, ask = 0;
  std::vector<GossipUpdate> members;
};
std::string encode(const MembershipSnapshot& picture);
std::optional<MembershipSnapshot> decode_picture(std::string_view bytes);

// The first word of a channel, in place of a picture: who speaks on it, with what the called side
// drew.
struct Handshake {
  std::uint64_t asked = 0, epoch = 0;
  std::string name;
};
std::string encode(const Handshake& hello);
std::optional<Handshake> decode_hello(std::string_view bytes);

}  // namespace alderspur::cluster
