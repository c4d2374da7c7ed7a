// State of the engine's open requests and attempts. Internal to Engine, whose sources share it. The
// loop's thread only; times are microseconds.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "core/engine.h"

namespace alderspur::core {

/// How long an abort may take to a server: the platform's tolerance on all its time limits.
constexpr Time kAbortTravelTime = 50'000;

/// A request from its admission until all its attempts have ended.
struct Engine::OpenRequest {
  Front* front = nullptr;
  std::string id;
  std::string idempotency_key;
  std::string client_copy_tag;
  std::string body;
  std::string object_text;
  alderspur::Request request;
  std::vector<AttemptId> attempts;  // by their numbers
  int attempts_in_flight = 0;
  bool is_open = true;  // its final answer was not given yet
  Time deadline = 0;
  Time unsent_until = 0;     // an attempt that was not written until then fails
  bool was_written = false;  // at least one attempt of it, completely
  Time no_attempts_from = std::numeric_limits<Time>::max();  // no attempt begins from then on
};

/// One attempt until its outcome has been passed to the router.
struct Engine::Attempt {
  RequestHandle request = 0;
  alderspur::AttemptNo number;
  UpstreamRequest upstream_request;
  Time sent_at = 0;
  Time written_at = 0;
  Deadlines::Key timeout;
  Deadlines::Key unsent_timeout;
  bool has_ended = false;  // its outcome is on its way to the router
};

}  // namespace alderspur::core
