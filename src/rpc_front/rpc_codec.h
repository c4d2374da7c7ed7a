// MessagePack-RPC as the platform's clients speak it: calls in, responses out. All of its wire
// words but the names of request classes stand here and in rpc_codec.cpp. No I/O and no state;
// times are microseconds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "core/parsing.h"

namespace alderspur::rpc_front {

/// A notification that cancels the call with the id it carries.
constexpr std::string_view kCancelMethod = "withdraw";
/// A call that is answered by the front itself, as a sign of life.
constexpr std::string_view kStatusMethod = "status";

/// A call or notification. The strings are slices of the bytes it was read from, and empty where
/// the message lacks them.
struct Call {
  bool is_notification = false;
  bool is_well_formed = false;  // the parameters have the form of a request, or of a cancel
  std::uint64_t id = 0;         // of the call, or of the call that is cancelled
  std::string_view method;      // of a request: the name of its class
  std::string_view request_id;
  std::string_view time_limit;
  std::string_view idempotency_key;
  std::string_view object;
  std::string_view part;
  std::string_view group;
  std::string_view size_kb;
  std::string_view client_copy_tag;
  std::string_view body;
};
/// Takes one message from the front of `bytes`.
core::ParseStatus next_call(std::string_view& bytes, Call& call);

/// What the settings say of the requests of a class.
struct RequestRules {
  bool requires_idempotency_key = false;
  bool is_write = false;
  bool may_repeat_anywhere = false;  // a retry is harmless though the request may have run
  core::Time max_time_limit = 0;     // 0: not told
};
/// The request's fields in the engine's terms; false if a field is missing, unusable or out of its
/// range. A cache closes the connection on a field that it cannot read, which would fail every
/// other request on that connection.
bool to_request_view(const Call& call, const RequestRules& rules, core::RequestView& view);

/// The parts of a response around its body.
struct EncodedResponse {
  std::string head;
  std::string tail;
};
EncodedResponse encode_response(std::uint64_t call_id, const core::Response& response);
std::string encode_status(std::uint64_t call_id);

}  // namespace alderspur::rpc_front
