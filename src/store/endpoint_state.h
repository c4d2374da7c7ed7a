// The last good endpoint list in a file, with what is remembered of its servers, so that a
// restarted process continues where the earlier one was.
//
// encode() and decode_endpoint_state() do no I/O; save_endpoint_state() and load_endpoint_state()
// block on the disk and must not run on the event loop's thread. Content from the disk is not
// trusted: it passes the checksum of state_file.h, the FlatBuffers verifier and the bounds of a
// list, and the list's digest is computed anew.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "endpoints/endpoint_set.h"
#include "store/state_file.h"

namespace alderspur::store {

constexpr std::size_t kMaxStateFileBytes = 64 << 20;

/// What a router continues from when it starts.
struct EndpointState {
  endpoints::SnapshotPtr list;
  std::vector<endpoints::Remembered> remembered;
  core::Time saved_at = 0;  // Unix microseconds
};

/// Why a payload is not the state of an endpoint list.
struct DecodeError {
  enum class Reason : std::uint8_t { not_a_state_buffer, unknown_format, inconsistent_list };
  Reason reason{};
  std::uint32_t format = 0;  // for unknown_format
};
std::string to_string(const DecodeError& error);

std::string encode(const EndpointState& state);
std::variant<EndpointState, DecodeError> decode_endpoint_state(std::string_view payload);

/// Replaces the file at `path`; returns nothing on success.
std::optional<FileError> save_endpoint_state(const std::string& path, const EndpointState& state,
                                             const WriteStepHook& hook = {});

/// An intact state file with unusable content.
struct InvalidState {
  std::string path;
  DecodeError cause;
};
using LoadError = std::variant<FileError, InvalidState>;
std::string to_string(const LoadError& error);

/// The result of loading: either `state` or `error` is set.
struct LoadedEndpointState {
  std::optional<EndpointState> state;
  bool is_absent = false;  // there is no such file; `error` is set as well
  std::optional<LoadError> error;
};
LoadedEndpointState load_endpoint_state(const std::string& path);

}  // namespace alderspur::store
