#include "cluster/member.h"

#include <array>
#include <tuple>

namespace alderspur::cluster {

const char* to_string(MemberState state) {
  constexpr std::array kNames = {"alive", "suspect", "failed", "left"};
  return kNames.at(static_cast<std::size_t>(state));
}

bool overrides(const GossipUpdate& update, const GossipUpdate& known) {
  const auto rank = [](const GossipUpdate& ranked) {
    return std::tuple(ranked.identity.epoch, ranked.incarnation, ranked.state);
  };
  return rank(update) > rank(known);
}

bool is_valid(const Identity& identity) {
  return !identity.name.empty() && identity.name.size() <= kMaxNameLength &&
         identity.address.size() <= kMaxNameLength && identity.point.size() <= kMaxNameLength &&
         identity.version.size() <= kMaxNameLength && identity.epoch > 0;
}

}  // namespace alderspur::cluster
