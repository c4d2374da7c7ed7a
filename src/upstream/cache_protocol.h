// The line protocol spoken to caches, parents and the origin: commands out, responses in. All of
// its wire words stand in cache_protocol.cpp. No I/O and no state; times are microseconds.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "core/parsing.h"

namespace alderspur::upstream {

// ---- Commands ----

/// The line before the request's body; the body and CR LF follow. `source`: the name of the server
/// from which a cache fills the object, empty: none.
std::string encode_fetch(const core::UpstreamRequest& request, std::string_view class_name,
                         std::string_view source, core::Time now);
std::string encode_abort(std::string_view request_id);
std::string encode_health_check(std::string_view tag);
/// Asks for a reply of any kind, to see whether the connection still works.
std::string encode_liveness_query(std::string_view tag);
/// Tags stand in place of request ids; a new number makes a tag unique.
std::string health_check_tag(std::uint64_t number);
std::string liveness_tag(std::uint64_t number);

// ---- Responses ----

enum class ResponseStatus {
  served,
  not_modified,
  miss,
  overloaded,
  failed,
  already_finished,
  healthy,  // to a health check
  unknown,
};

/// The strings are slices of the bytes it was read from.
struct CacheResponse {
  std::string_view id;
  ResponseStatus status = ResponseStatus::unknown;
  std::string_view body;
  std::string_view tag;
  std::string_view report;
  core::Time created_at = 0;  // Unix time at which the origin gave out this copy; 0: not told
};

/// Takes one response from the front of `bytes`. `partial`: nothing but empty lines was taken.
core::ParseStatus next_response(std::string_view& bytes, CacheResponse& response);

/// Nothing: not a status that answers an attempt.
std::optional<alderspur::AttemptResult> attempt_result(ResponseStatus status);
/// Fields that are unknown or not numbers are passed over.
alderspur::LoadReport parse_load_report(std::string_view text);

}  // namespace alderspur::upstream
