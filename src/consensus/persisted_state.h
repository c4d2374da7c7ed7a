// The state that every router persists, besides the contents and a voter's log: the versions and
// the voters that it last knew. Plain values with their codec; control::ConsensusStorage writes the
// file.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/version.h"

namespace alderspur::consensus {

/// The newest versions and voters known to this router.
struct PersistedState {
  Version current;                  // the version that this router last activated
  std::optional<Version> accepted;  // the newest accepted version with a greater number, if any
  std::vector<std::string> voters;  // empty: the voters of the settings apply
  bool operator==(const PersistedState&) const = default;
};

/// Encodes the state for its file.
std::string encode(const PersistedState& state);
/// Decodes the content of the file; empty if it is invalid.
std::optional<PersistedState> decode_persisted_state(std::string_view bytes);

}  // namespace alderspur::consensus
