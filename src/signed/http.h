// HTTP/1.1 as the signed front speaks it: requests in, response heads out. No sockets.
#pragma once

#include <string>
#include <string_view>

#include "core/engine.h"

namespace signed_urls {

constexpr std::size_t kHeadMost = 8 << 10;

struct HttpRequest {
  bool head = false, keep_alive = false;
  int error = 0;  // a status to answer at once, after which the connection ends
  bool wrong_method = false;
  std::string_view target, authorization, cookie, if_none_match;
};
// Takes one request head from the front of `bytes`. False: not whole yet.
bool next_request(std::string_view& bytes, HttpRequest& request);

struct HttpAnswer {
  int status = 200;
  core::Time retry_after = 0;
  std::size_t length = 0;
  std::string_view etag;
  bool keep_alive = true;
};
std::string response_head(const HttpAnswer& answer);

// The value of the cookie of that name; empty if there is none.
std::string_view cookie_value(std::string_view header, std::string_view name);
// The bare tag in an If-None-Match of one entity tag; empty otherwise.
std::string_view bare_tag(std::string_view if_none_match);

}  // namespace signed_urls
