// Codec of the platform's client protocol: MessagePack-RPC calls in, responses out. No I/O and no
// state; times are microseconds.
//
// The table below is the whole map from the protocol's words to the terms of the code; these words
// occur in rpc_codec.cpp only. The name of any other method is the name of a request class.
//
//   method status      liveness query            notification withdraw   cancellation
//   txn                request id                limit                   time limit (milliseconds)
//   unique             idempotency key           item                    object (16 hex digits)
//   slice              part                      set                     group
//   ram                size (KB)                 seen                    tag of the client's copy
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

/// What a client's message asks for.
enum class CallKind {
  request,         // of the class that it names
  liveness_query,  // the front itself answers it
  cancellation,    // of the call with the id that it carries; is not answered
  ignored,         // an unknown or malformed notification; is not answered
};

/// A call or notification. The strings are slices of the bytes it was read from, and empty where
/// the message lacks them.
struct Call {
  CallKind kind = CallKind::request;
  bool is_well_formed = false;  // the parameters have the form of a request's
  std::uint64_t id = 0;         // of the call, or of the call that is cancelled
  std::string_view class_name;
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

/// Takes one message from the front of `bytes`; `call` is only meaningful if it was complete.
core::ParseStatus next_call(std::string_view& bytes, Call& call);

/// The settings of a request class that decide which requests of it are valid.
struct RequestRules {
  bool requires_idempotency_key = false;
  bool is_write = false;
  bool may_repeat_anywhere = false;  // a retry is harmless though the request may have run
  core::Time max_time_limit = 0;     // 0: not bounded
};

/// The request in the engine's terms, without its class. Nothing if a field is missing, malformed
/// or out of range. A cache closes the connection on a field that it cannot read, which would fail
/// every other request on that connection.
std::optional<core::RequestView> to_request_view(const Call& call, const RequestRules& rules);

/// The parts of a response's encoding before and after its body, which is sent as it is.
struct EncodedResponse {
  std::string head;
  std::string tail;
};
EncodedResponse encode_response(std::uint64_t call_id, const core::Response& response);
/// The complete response to a liveness query.
std::string encode_liveness_response(std::uint64_t call_id);

}  // namespace alderspur::rpc_front
