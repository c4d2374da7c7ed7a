// The state of the engine's open requests and attempts. This header is private to the sources that
// implement Engine. Use it from the event loop's thread only. Times are in microseconds.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "core/engine.h"

namespace alderspur::core {

/// The longest time until an abort reaches the server. This is the platform's tolerance on all its
/// time limits.
constexpr Time kAbortPropagationTime = 50'000;

/// A request. It exists from its admission until it is answered and all its attempts have ended.
struct Engine::OpenRequest {
  Front* front = nullptr;
  std::string id;
  std::string idempotency_key;
  std::string client_copy_tag;
  std::string body;
  std::string object_text;
  alderspur::Request request;
  std::vector<AttemptId> attempts;  // indexed by AttemptNo
  int attempts_in_flight = 0;
  bool is_open = true;  // no final answer has been decided, and the request is not cancelled
  Time deadline = 0;
  Time write_deadline = 0;   // an attempt that is not written by then fails
  bool was_written = false;  // at least one attempt was written completely
  /// No attempt starts at or after this time.
  Time no_attempts_from = std::numeric_limits<Time>::max();
};

/// An attempt. It exists until its outcome has been passed to the router.
struct Engine::Attempt {
  RequestHandle request = 0;
  alderspur::AttemptNo number;
  UpstreamRequest upstream_request;
  Time sent_at = 0;
  Time written_at = 0;
  Deadlines::Key timeout;
  Deadlines::Key write_timeout;
  bool has_ended = false;  // the outcome is queued for the router
};

}  // namespace alderspur::core
