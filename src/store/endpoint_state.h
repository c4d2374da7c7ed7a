// Membership's last good state in a file: the list in force and what is remembered of its servers.
//
// encode() and decode() do no I/O. What comes from the disk is not trusted: it passes the checksum
// of state_file.h, the FlatBuffers verifier, and the bounds of a list; its digest is reckoned anew.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endpoints/endpoint_set.h"
#include "store/state_file.h"

namespace alderspur::store {

constexpr std::size_t kStateMost = 64 << 20;

struct EndpointState {
  endpoints::SnapshotPtr list;
  std::vector<endpoints::Remembered> remembered;
  core::Time saved = 0;  // Unix microseconds
};
std::string encode(const EndpointState& state);
std::optional<EndpointState> decode(std::string_view payload, std::string& error);

std::string save(const std::string& path, const EndpointState& state, const StepHook& hook = {});
struct Restored {
  std::optional<EndpointState> state;
  bool absent = false;
  std::string error;
};
Restored load(const std::string& path);

}  // namespace alderspur::store
