// What members of the cluster know and say of each other. Values only: no I/O, no clock.
//
// A member is known by its name; its epoch grows with every start of its process, its incarnation
// within one start. (epoch, incarnation, state) orders all that is said of a name, and the greater
// overrides the lesser.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/deadlines.h"

namespace alderspur::cluster {

using core::Time;

constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxUpdatesPerMessage = 6;
constexpr std::size_t kMaxNameLength = 64;  // characters of a name, an address or a version

struct Identity {
  std::string name;
  std::string address;
  std::string point;  // the location that it serves
  std::string version;
  std::uint64_t epoch = 0;
  double share = 0;  // of the traffic, as configured; 0: not configured
  bool operator==(const Identity&) const = default;
};

/// In the order in which they override each other within one incarnation; the numbers are on the
/// wire.
enum class MemberState : std::uint8_t { alive, suspect, failed, left };
const char* to_string(MemberState state);

/// Alive or suspect: probed, and counted as there.
inline bool is_live(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

/// One piece of news of a member.
struct GossipUpdate {
  Identity identity;
  std::uint32_t incarnation = 0;
  MemberState state = MemberState::alive;
  std::string reported_by;  // who suspects it, or has declared it failed
};

/// True if `update` overrides `known`, of the same name.
bool overrides(const GossipUpdate& update, const GossipUpdate& known);

/// False where a bound is exceeded or a mandatory field is missing.
bool is_valid(const Identity& identity);

}  // namespace alderspur::cluster
