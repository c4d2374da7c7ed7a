// Parses HTTP/1.1 requests and encodes response heads for all HTTP servers of this program. It does
// not use sockets.
//
// Requests are parsed by http-parser (RFC 9112). If the parser or this module rejects a request,
// `Request::error_status` is the status of the response. The connection must be closed after that
// response, since the start of the next request in the input is unknown. All views point into the
// caller's buffer; only bodies are copied. There is no shared state, so the functions may be called
// on any thread.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::http {

/// Further header fields of a request are parsed, but not listed in Request::fields.
constexpr std::size_t kMaxHeaderFields = 64;

/// The method of a request. `other` stands for every method that is not listed.
enum class Method { get, head, post, put, other };

/// The limits on the size of one request, in bytes.
struct Limits {
  std::size_t max_head_bytes = 8 << 10;
  std::size_t max_body_bytes = 0;  // 0: bodies are not read; a GET or HEAD with one is rejected
};

/// One header field of a request, exactly as the client sent it.
struct HeaderField {
  std::string_view name;
  std::string_view value;
};

/// A parsed or rejected request. Its views are valid as long as the buffer that it was parsed from.
struct Request {
  Method method = Method::other;
  bool keep_alive = false;  // the connection may be used for further requests
  int error_status = 0;     // the status to respond with if the request is rejected, else 0
  std::string_view target;  // path and query
  std::string_view host;
  std::string_view authorization;
  std::string_view cookie;
  std::string_view if_none_match;
  std::vector<HeaderField> fields;  // in the client's order, at most kMaxHeaderFields
  std::string body;

  /// Returns the value of the first listed field with that name, ignoring the case of letters, or
  /// nullopt if there is none.
  std::optional<std::string_view> field(std::string_view name) const;
};

/// Parses the first request of `bytes` and removes it from `bytes`. Returns nullopt if more bytes
/// are needed. If the request is rejected, returns it with an error_status; `bytes` may then still
/// contain the request.
std::optional<Request> next_request(std::string_view& bytes, const Limits& limits = {});

/// The values from which the head of a response is encoded.
struct ResponseHead {
  int status = 200;
  core::Time retry_after = 0;  // microseconds; sent with status 503, in seconds, rounded up
  std::size_t content_length = 0;
  std::string_view etag;  // without quotes; empty: none
  std::string_view content_type = "application/octet-stream";
  std::string_view allow = "GET, HEAD";  // the Allow header of status 405
  bool is_cacheable = true;              // sends "Cache-Control: private" with status 200 and 304
  bool keep_alive = true;
};

/// Encodes the status line, the header fields and the empty line that ends them.
std::string encode_response_head(const ResponseHead& head);

/// Returns the value of the first parameter with that name in a query, without decoding it, or
/// nullopt if the query does not contain the parameter.
std::optional<std::string_view> parameter(std::string_view query, std::string_view name);

/// Returns the value of the cookie with that name in a Cookie header, or an empty string if there
/// is none.
std::string_view cookie_value(std::string_view header, std::string_view name);

/// Returns the tag of an If-None-Match header that contains a single entity tag, without the quotes
/// and a leading "W/". Returns an empty string if the header has another form, or if the tag is not
/// a plain word; see core::is_plain_word().
std::string_view bare_tag(std::string_view if_none_match);

}  // namespace alderspur::http
