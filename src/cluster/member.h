// The value types that describe cluster members: identity, state and the updates that members send
// to each other. They do no I/O and read no clock.
//
// A member is identified by its name. Its epoch increases with every start of its process, and its
// incarnation increases within one start. All updates on one name are ordered by
// (epoch, incarnation, state); the greater update overrides the lesser one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/deadlines.h"

namespace alderspur::cluster {

using core::Time;

constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxUpdatesPerMessage = 6;
constexpr std::size_t kMaxNameLength = 64;  // bytes of a name, an address, a point or a version

/// The identity that one start of a member announces.
struct Identity {
  std::string name;
  std::string address;  // IPv4 address and port of the cluster protocol
  std::string point;    // the location that the member serves
  std::string version;  // version of the program
  std::uint64_t epoch = 0;
  double share = 0;  // configured share of the traffic; 0 if it is not configured
  bool operator==(const Identity&) const = default;
};

/// The states of a member, in the order in which they override each other within one incarnation.
/// The numbers are part of the wire format.
enum class MemberState : std::uint8_t { alive, suspect, failed, left };
/// Returns the state's name as it appears in the log and on the operators' pages.
const char* to_string(MemberState state);

/// Reports whether a member in this state is probed and counted as present.
inline bool is_live(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

/// An update on the state of one member, as it is sent between members.
struct GossipUpdate {
  Identity identity;
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::alive;
  std::string reported_by;  // the member that suspects this one or has declared it failed
};

/// Reports whether `update` overrides `known`, an update on the same name.
bool overrides(const GossipUpdate& update, const GossipUpdate& known);

/// Returns false if a field exceeds its limit or a mandatory field is missing.
bool is_valid(const Identity& identity);

}  // namespace alderspur::cluster
