// Codec of the line protocol spoken to caches, parents and the origin: commands out, responses in.
// No I/O and no state; times are microseconds.
//
// The table below is the whole map from the protocol's words to the terms of the code; these words
// occur in cache_protocol.cpp only. Durations on the wire are milliseconds.
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
//   agelim      maximum age of the copy    ways        flags of the fill: j may join another,
//                                                      h cached only, r refresh in background
//
//   Statuses of responses
//   served      served                     still_good  not modified
//   not_here    miss                       overload    overloaded
//   crashed     failed                     nobody      already finished
//   green       healthy
//
//   Fields of a response
//   sum         tag of the copy            t0          time at which the origin gave out the copy
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

/// Follows the body of a fetch.
constexpr std::string_view kFetchEnd = "\r\n";

/// The line before the request's body; the body and kFetchEnd follow. `source`: the name of the
/// server from which a cache fills the object, empty: none. `now`: to state the time that is left.
std::string encode_fetch(const core::UpstreamRequest& request, std::string_view class_name,
                         std::string_view source, core::Time now);
/// Cancels the attempt of the request with this id.
std::string encode_abort(std::string_view request_id);
/// Asks a server for its health and its load report; the response bears `tag` as its id.
std::string encode_health_check(std::string_view tag);
/// Asks for a response of any kind, which shows that the connection still works.
std::string encode_liveness_query(std::string_view tag);
/// Tags stand in place of request ids. A number that was not used before makes a tag unique.
std::string health_check_tag(std::uint64_t number);
/// See health_check_tag(); tags of the two kinds differ.
std::string liveness_tag(std::uint64_t number);

// ---- Responses ----

enum class ResponseStatus {
  served,
  not_modified,  // the client's copy is current
  miss,          // the cache has no copy and was not to fetch one
  overloaded,
  failed,
  already_finished,  // nothing was left to cancel or to answer
  healthy,           // answers a health check
  unknown,           // a word that this version does not know
};

/// The strings are slices of the bytes it was read from.
struct CacheResponse {
  std::string_view id;
  ResponseStatus status = ResponseStatus::unknown;
  std::string_view body;
  std::string_view tag;
  std::string_view report;
  core::Time created_at = 0;  // Unix time at which the origin gave out this copy; 0: unknown
};

/// Takes one response from the front of `bytes`. With the status `partial`, nothing but empty lines
/// was taken, and `response` is meaningless.
core::ParseStatus next_response(std::string_view& bytes, CacheResponse& response);

/// Nothing if the status does not answer an attempt.
std::optional<alderspur::AttemptResult> attempt_result(ResponseStatus status);
/// Fields that are unknown or not numbers are ignored.
alderspur::LoadReport parse_load_report(std::string_view text);

}  // namespace alderspur::upstream
