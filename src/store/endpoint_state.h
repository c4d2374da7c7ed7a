// Stores the last valid endpoint list in a file, together with the state that is remembered for its
// servers, so that a restarted process continues from the state of the previous process.
//
// encode() and decode_endpoint_state() do no I/O. save_endpoint_state() and load_endpoint_state()
// block on the disk and must not run on the event loop's thread. Content from the disk is not
// trusted: the checksum of state_file.h, the FlatBuffers verifier and the bounds of a list are
// checked, and the list's digest is computed again and compared.
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

/// The largest size of a state file that is read.
constexpr std::size_t kMaxStateFileBytes = 64 << 20;

/// The state of the endpoint list from which a starting router continues.
struct EndpointState {
  endpoints::SnapshotPtr list;
  std::vector<endpoints::Remembered> remembered;
  core::Time saved_at = 0;  // Unix microseconds
};

/// The reason why a payload cannot be decoded to the state of an endpoint list.
struct DecodeError {
  enum class Reason : std::uint8_t { not_a_state_buffer, unknown_format, inconsistent_list };
  Reason reason{};
  std::uint32_t format = 0;  // the format that was found, for unknown_format only
};
/// Returns a description of the error for logs and operators.
std::string to_string(const DecodeError& error);

/// Returns the payload that decode_endpoint_state() reads. `state.list` must not be null.
std::string encode(const EndpointState& state);
/// Decodes a payload and checks its content. Remembered entries with invalid values are left out.
std::variant<EndpointState, DecodeError> decode_endpoint_state(std::string_view payload);

/// Replaces the file at `path` atomically. Returns nothing on success. `hook` is for tests.
std::optional<FileError> save_endpoint_state(const std::string& path, const EndpointState& state,
                                             const WriteStepHook& hook = {});

/// A state file whose checksum is correct but whose content cannot be used.
struct InvalidState {
  std::string path;
  DecodeError cause;
};
/// The reason why a state could not be loaded.
using LoadError = std::variant<FileError, InvalidState>;
/// Returns a description of the error for logs and operators.
std::string to_string(const LoadError& error);

/// The result of loading a state. Either `state` or `error` is set.
struct LoadedEndpointState {
  std::optional<EndpointState> state;
  bool is_absent = false;  // the file does not exist; `error` is set as well
  std::optional<LoadError> error;
};
/// Reads and checks the state file at `path`.
LoadedEndpointState load_endpoint_state(const std::string& path);

}  // namespace alderspur::store
