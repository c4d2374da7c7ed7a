// HTTP/1.1 messages as all servers of this program read and write them: requests in, response heads
// out. No sockets.
//
// Requests are parsed by http-parser (RFC 9112). What the parser or this module rejects carries the
// status to respond with in `Request::error_status`; the connection is to be closed after that
// response, since the rest of its input cannot be framed. Views point into the buffer given; only a
// body is copied. No shared state: the functions may be called from any thread.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"

namespace alderspur::http {

/// Header fields beyond this number are parsed, but not listed in Request::fields.
constexpr std::size_t kMaxHeaderFields = 64;

enum class Method { get, head, post, put, other };

/// Bounds of one request, in bytes.
struct Limits {
  std::size_t max_head_bytes = 8 << 10;
  std::size_t max_body_bytes = 0;  // 0: a request with a body is an error
};

/// One field of a request's head, as the client sent it.
struct HeaderField {
  std::string_view name;
  std::string_view value;
};

/// A request. Its views are valid as long as the buffer from which it was read.
struct Request {
  Method method = Method::other;
  bool keep_alive = false;  // the client wants to use the connection for further requests
  int error_status = 0;     // of the response where the request is rejected; 0: it is not
  std::string_view target;  // path and query
  std::string_view host;
  std::string_view authorization;
  std::string_view cookie;
  std::string_view if_none_match;
  std::vector<HeaderField> fields;  // in the client's order, kMaxHeaderFields at most
  std::string body;

  /// The value of the first field with that name, in upper or lower case.
  std::optional<std::string_view> field(std::string_view name) const;
};

/// Takes one request, or one that is rejected, from the front of `bytes`. Nothing where more bytes
/// are needed. After a rejection `bytes` may still hold the request.
std::optional<Request> next_request(std::string_view& bytes, const Limits& limits = {});

/// What the head of a response is made of.
struct ResponseHead {
  int status = 200;
  core::Time retry_after = 0;  // microseconds; sent with status 503, in seconds, rounded up
  std::size_t content_length = 0;
  std::string_view etag;  // without quotes; empty: none
  std::string_view content_type = "application/octet-stream";
  std::string_view allow = "GET, HEAD";  // the methods named with status 405
  bool is_cacheable = true;              // "Cache-Control: private" with statuses 200 and 304
  bool keep_alive = true;
};

/// The status line and the header fields, with the empty line that ends them.
std::string encode_response_head(const ResponseHead& head);

/// The value of a parameter as it stands in the query, without decoding; nothing where the query
/// does not have it.
std::optional<std::string_view> parameter(std::string_view query, std::string_view name);

/// The value of the cookie with that name in a Cookie header; empty where there is none.
std::string_view cookie_value(std::string_view header, std::string_view name);

/// The tag in an If-None-Match header with a single entity tag, without quotes and "W/". Empty
/// where the header has another form or the tag other characters than a plain word.
std::string_view bare_tag(std::string_view if_none_match);

}  // namespace alderspur::http
