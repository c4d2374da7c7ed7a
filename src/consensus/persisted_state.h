// What a router keeps through a restart, besides the contents and a voter's log.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/version.h"

namespace alderspur::consensus {

struct PersistedState {
  Version current;                  // last known to apply to all routers
  std::optional<Version> accepted;  // known beyond that
  std::vector<std::string> voters;
  bool operator==(const PersistedState&) const = default;
};

std::string encode(const PersistedState& state);
std::optional<PersistedState> decode_persisted_state(std::string_view bytes);

}  // namespace alderspur::consensus
