// MessagePack-RPC as the platform's clients speak it: calls in, answers out. No sockets.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "platform/cache_protocol.h"

namespace alderspur::platform {

struct Call {
  bool notification = false;
  std::uint64_t id = 0;  // of the call, or of the call that `withdraw` names
  std::string_view method;
  // Fields and body of a request; empty where absent.
  std::string_view txn, limit, unique, item, slice, set, ram, seen, body;
  bool well_formed = false;  // the parameters have the form of a request
};
// Takes one message from the front of `bytes`; the call's strings are slices of it.
Parsed next_call(std::string_view& bytes, Call& call);
// What the settings say of the requests of a class.
struct ClassForm {
  bool keyed = false, write = false;
  bool harmless = false;   // may be tried again though it may have run
  core::Time longest = 0;  // that a client waits, 0: not told
};
// The request's fields in the core's terms; false if a field is missing, unusable or out of its
// range. Danger: a cache closes on what it can't read, and every other request on that connection
// goes with it.
bool to_request_view(const Call& call, const ClassForm& form, core::RequestView& demand);

// An answer in three parts: head, the body itself, tail.
struct Encoded {
  std::string head, tail;
};
Encoded encode_answer(std::uint64_t id, const core::Response& answer);
std::string encode_status(std::uint64_t id);

}  // namespace alderspur::platform
