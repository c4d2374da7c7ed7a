// HTTP/1.1 messages as every front here reads and writes them: requests in, response heads out. No
// sockets.
//
// Requests are read by http-parser (RFC 9112); what it and this part refuse is answered with the
// status in `error`, after which the connection ends. Views point into the buffer given; a body is
// a copy only where it came in chunks. Nothing here is shared: call it from any thread.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/engine.h"

namespace alderspur::http {

constexpr std::size_t kMaxHeaderFields = 64;

enum class Method { get, head, post, put, other };

struct Limits {
  std::size_t head = 8 << 10;
  std::size_t body = 0;  // 0: a request with a body is an error
};
struct Request {
  Method method = Method::other;
  bool keep_alive = false;
  int error = 0;  // a status to answer at once
  std::string_view target, host, authorization, cookie, if_none_match;
  std::vector<std::pair<std::string_view, std::string_view>>
      fields;  // all, kMaxHeaderFields at most
  std::string body;
  // The first field of that name, whatever its case.
  std::optional<std::string_view> field(std::string_view name) const;
};
// Takes one request from the front of `bytes`. False: not whole yet.
bool next_request(std::string_view& bytes, Request& request, const Limits& limits = {});

struct Answer {
  int status = 200;
  core::Time retry_after = 0;
  std::size_t length = 0;
  std::string_view etag, type = "application/octet-stream", allow = "GET, HEAD";
  bool cacheable = true;  // "Cache-Control: private" on 200 and 304
  bool keep_alive = true;
};
std::string response_head(const Answer& answer);

// The value of a parameter as it stands in the query.
std::optional<std::string_view> parameter(std::string_view query, std::string_view name);
// The value of the cookie of that name; empty if there is none.
std::string_view cookie_value(std::string_view header, std::string_view name);
// The bare tag in an If-None-Match of one entity tag; empty otherwise.
std::string_view bare_tag(std::string_view if_none_match);

}  // namespace alderspur::http
