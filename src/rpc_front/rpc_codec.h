// Codec of the platform's client protocol: decodes MessagePack-RPC calls and encodes responses. It
// performs no I/O and keeps no state. Times are in microseconds.
//
// The table below maps every word of the protocol to the term that the code uses for it. The words
// of the protocol occur in rpc_codec.cpp only. Any other method name is the name of a request
// class.
//
//   method status      liveness query            notification withdraw   cancellation
//   txn                request id                limit                   time limit (milliseconds)
//   unique             idempotency key           item                    object (16 hex digits)
//   slice              part                      set                     group
//   ram                size (KB)                 seen                    tag of the client's copy
//   second             mark of a client's retry
//   error Busy         rejected                  error Failed            failed
//   later              retry after (ms)          current                 not modified
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "core/parsing.h"

namespace alderspur::rpc_front {

/// The kind of a client's message.
enum class CallKind {
  request,         // a request of the class that the method names
  liveness_query,  // answered by RpcFront itself
  cancellation,    // cancels the call whose id it carries; is not answered
  ignored,         // an unknown or malformed notification; is not answered
};

/// A decoded call or notification. The strings refer to the bytes that the message was decoded
/// from, which must outlive them. A string is empty if the message does not contain the field.
struct Call {
  CallKind kind = CallKind::request;
  bool is_well_formed = false;  // the parameters have the form that a request needs
  std::uint64_t id = 0;         // id of this call, or of the call to cancel
  std::string_view class_name;
  std::string_view request_id;
  std::string_view time_limit;
  std::string_view idempotency_key;
  std::string_view object;
  std::string_view part;
  std::string_view group;
  std::string_view size_kb;
  std::string_view client_copy_tag;
  std::string_view retry_mark;
  std::string_view body;
};

/// Decodes the first message of `bytes` into `call` and removes it from `bytes`. Leaves `bytes`
/// unchanged if the message is incomplete. `call` is valid only if the result is `complete`.
core::ParseStatus next_call(std::string_view& bytes, Call& call);

/// The rules by which requests of one class are validated. They come from the class's settings.
struct RequestRules {
  bool requires_idempotency_key = false;
  bool is_write = false;
  bool may_repeat_anywhere = false;  // a retry is safe even if the request has been executed
  core::Time max_time_limit = 0;     // 0: no upper bound
};

/// Converts a call to the engine's form of a request; the caller sets the class. Returns nullopt if
/// a field is missing, malformed or out of range. Such a request must not be forwarded: a cache
/// closes the connection when it cannot parse a field, and every other request on that connection
/// would fail as well.
std::optional<core::RequestView> to_request_view(const Call& call, const RequestRules& rules);

/// The encoded bytes that precede and follow a response's body. The body itself is sent without
/// being copied.
struct EncodedResponse {
  std::string head;
  std::string tail;
};
/// Encodes a response to the call with this id. An error has no body and an empty `tail`.
EncodedResponse encode_response(std::uint64_t call_id, const core::Response& response);
/// Encodes the complete response to a liveness query.
std::string encode_liveness_response(std::uint64_t call_id);

}  // namespace alderspur::rpc_front
