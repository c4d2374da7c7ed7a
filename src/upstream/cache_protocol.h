// Codec of the line protocol between the router and caches, parents and the origin. It encodes
// commands and parses responses. The functions do no I/O and have no state. Times are in
// microseconds; durations on the wire are in milliseconds.
//
// The table below maps all words of the protocol to the terms of the code. The words occur in
// cache_protocol.cpp only.
//
//   Commands
//   fetch       attempt of a request       abort       cancellation of an attempt
//   stats       health check               alive       liveness query
//
//   Fields of a fetch
//   lane        request class              name        object
//   piece       part                       ttl         time until the deadline
//   dedupe      idempotency key            cached      tag of the client's copy
//   next        source of the fill         admit       cache rank
//   agelim      maximum age of the copy    ways        flags of the fill: j may join a running
//                                                      fill, h cached only, r refresh in
//                                                      background
//
//   Statuses of responses
//   served      served                     still_good  not modified
//   not_here    miss                       overload    overloaded
//   crashed     failed                     nobody      already finished
//   green       healthy
//
//   Fields of a response
//   sum         tag of the copy            t0          time at which the origin served the copy
//   rep         load report
//
//   Fields of a load report
//   inflight, outstanding                  requests in flight
//   util, utilization                      utilization
//   x1                                     utilization of the link or of fills
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/engine.h"
#include "core/parsing.h"

namespace alderspur::upstream {

// ---- Commands ----

/// The bytes that follow the body of a fetch.
constexpr std::string_view kFetchEnd = "\r\n";

/// Returns the line of a fetch that precedes the request's body; the caller appends the body and
/// kFetchEnd. `source` is the name of the server from which the cache fills the object, or empty.
/// `now` is used to compute the time that is left until the request's deadline.
std::string encode_fetch(const core::UpstreamRequest& request, std::string_view class_name,
                         std::string_view source, core::Time now);
/// Returns the command that cancels the attempt of the request with this id.
std::string encode_abort(std::string_view request_id);
/// Returns the command that requests a server's health and load report. The response carries `tag`
/// as its id.
std::string encode_health_check(std::string_view tag);
/// Returns the command that requests a response of any kind, which shows that the connection works.
std::string encode_liveness_query(std::string_view tag);
/// Returns a tag that takes the place of the request id in a health check. The tag is unique if
/// `number` has not been used before.
std::string health_check_tag(std::uint64_t number);
/// Returns a tag for a liveness query. It never equals the tag of a health check.
std::string liveness_tag(std::uint64_t number);

// ---- Responses ----

/// The status of a response.
enum class ResponseStatus {
  served,
  not_modified,  // the client's copy is current
  miss,          // the cache has no copy and was not allowed to fetch one
  overloaded,
  failed,
  already_finished,  // the server had no such request to cancel or to answer
  healthy,           // the response to a health check
  unknown,           // the status word is not defined in this version
};

/// A response of a server. The strings point into the buffer that it was parsed from.
struct CacheResponse {
  std::string_view id;
  ResponseStatus status = ResponseStatus::unknown;
  std::string_view body;
  std::string_view tag;
  std::string_view report;
  core::Time created_at = 0;  // Unix time at which the origin served this copy; 0: unknown
};

/// Parses one response at the front of `bytes` and removes it from `bytes`. If the result is
/// `partial`, only empty lines were removed, and the contents of `response` are unspecified.
core::ParseStatus next_response(std::string_view& bytes, CacheResponse& response);

/// Returns the result of an attempt that ended with this status, or nullopt if no attempt ends with
/// it.
std::optional<alderspur::AttemptResult> attempt_result(ResponseStatus status);
/// Parses a load report. Fields that are unknown or not numbers are ignored.
alderspur::LoadReport parse_load_report(std::string_view text);

}  // namespace alderspur::upstream
