#include "http/message.h"

#include <http_parser.h>
#include <strings.h>

#include "core/parsing.h"

namespace alderspur::http {
namespace {

struct Parsing {
  Request* request;
  bool reads_body = false;
  std::string_view name;
  bool head_done = false, done = false;
  bool repeated = false;
};
bool same(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}
int on_url(http_parser* p, const char* at, std::size_t n) {
  auto& target = static_cast<Parsing*>(p->data)->request->target;
  target =
      target.empty() ? std::string_view(at, n) : std::string_view(target.data(), target.size() + n);
  return 0;
}
int on_name(http_parser* p, const char* at, std::size_t n) {
  static_cast<Parsing*>(p->data)->name = {at, n};
  return 0;
}
int on_value(http_parser* p, const char* at, std::size_t n) {
  auto& s = *static_cast<Parsing*>(p->data);
  if (s.request->fields.size() < kMaxHeaderFields) {
    s.request->fields.emplace_back(s.name, std::string_view(at, n));
  }
  std::string_view* field = same(s.name, "host")            ? &s.request->host
                            : same(s.name, "authorization") ? &s.request->authorization
                            : same(s.name, "cookie")        ? &s.request->cookie
                            : same(s.name, "if-none-match") ? &s.request->if_none_match
                                                            : nullptr;
  if (!field) return 0;
  s.repeated |= field == &s.request->authorization && !field->empty();
  *field = {at, n};
  return 0;
}
int on_head(http_parser* p) {
  auto& s = *static_cast<Parsing*>(p->data);
  s.head_done = true;
  if (!s.reads_body) http_parser_pause(p, 1);
  return 0;
}
int on_body(http_parser* p, const char* at, std::size_t n) {
  static_cast<Parsing*>(p->data)->request->body.append(at, n);
  return 0;
}
int on_whole(http_parser* p) {
  static_cast<Parsing*>(p->data)->done = true;
  http_parser_pause(p, 1);
  return 0;
}

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    default:
      return "Gateway Timeout";
  }
}

}  // namespace

bool next_request(std::string_view& bytes, Request& request, const Limits& limits) {
  request = {};
  while (bytes.starts_with("\r\n")) bytes.remove_prefix(2);
  const auto end = bytes.substr(0, limits.head).find("\r\n\r\n");
  const bool whole_head = end != std::string_view::npos;
  if (!whole_head && bytes.size() >= limits.head) return request.error = 431, true;
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  Parsing state;
  state.request = &request;
  state.reads_body = limits.body > 0;
  parser.data = &state;
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = on_url;
  settings.on_header_field = on_name;
  settings.on_header_value = on_value;
  settings.on_headers_complete = on_head;
  settings.on_body = on_body;
  settings.on_message_complete = on_whole;
  // Also where the head is not whole yet: what can never become a request is answered now.
  const auto head = whole_head && !state.reads_body ? bytes.substr(0, end + 4) : bytes;
  const auto used = http_parser_execute(&parser, &settings, head.data(), head.size());
  const auto error = HTTP_PARSER_ERRNO(&parser);
  if (error != HPE_OK && error != HPE_PAUSED) return request.error = 400, true;
  if (!state.head_done) {
    if (!whole_head) return false;
    return request.error = 400, true;
  }
  const bool has_body = (parser.flags & F_CHUNKED) != 0 ||
                        ((parser.flags & F_CONTENTLENGTH) != 0 && parser.content_length > 0);
  if (state.reads_body) {
    // The length is what the request announced less what has come: never wait for more than will be
    // read.
    const bool announced = (parser.flags & F_CONTENTLENGTH) != 0 && !state.done;
    if (request.body.size() > limits.body || (announced && parser.content_length > limits.body)) {
      return request.error = 413, true;
    }
    if (!state.done) return false;
    bytes.remove_prefix(used);
  } else {
    bytes.remove_prefix(head.size());
  }
  request.keep_alive = http_should_keep_alive(&parser) != 0;
  request.method = parser.method == HTTP_GET    ? Method::get
                   : parser.method == HTTP_HEAD ? Method::head
                   : parser.method == HTTP_POST ? Method::post
                   : parser.method == HTTP_PUT  ? Method::put
                                                : Method::other;
  const bool reads = request.method == Method::get || request.method == Method::head;
  // A body that is not read leaves nothing behind it on this connection that could be told from it.
  if (!state.reads_body && (has_body || !reads)) request.keep_alive = false;
  if (state.repeated || parser.upgrade || (!state.reads_body && has_body && reads)) {
    request.error = 400;
  }
  return true;
}

std::optional<std::string_view> Request::field(std::string_view name) const {
  for (const auto& [n, v] : fields) {
    if (same(n, name)) return v;
  }
  return {};
}

std::string response_head(const Answer& a) {
  std::string out = "HTTP/1.1 " + std::to_string(a.status) + ' ' + reason(a.status) + "\r\n";
  if (a.status != 304) out += "Content-Length: " + std::to_string(a.length) + "\r\n";
  if (a.status == 200) ((out += "Content-Type: ") += a.type) += "\r\n";
  if (a.cacheable && (a.status == 200 || a.status == 304)) out += "Cache-Control: private\r\n";
  if (!a.etag.empty()) ((out += "ETag: \"") += a.etag) += "\"\r\n";
  if (a.status == 401) out += "WWW-Authenticate: Bearer\r\n";
  if (a.status == 405) ((out += "Allow: ") += a.allow) += "\r\n";
  if (a.status == 503) {
    out += "Retry-After: " +
           std::to_string(std::max<core::Time>(1, (a.retry_after + 999'999) / 1'000'000)) + "\r\n";
  }
  out += a.keep_alive ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
  return out;
}

std::optional<std::string_view> parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    if (part.substr(0, part.find('=')) == name) {
      return part.size() > name.size() ? part.substr(name.size() + 1) : std::string_view();
    }
  }
  return {};
}

std::string_view cookie_value(std::string_view header, std::string_view name) {
  while (!header.empty()) {
    auto part = header.substr(0, header.find(';'));
    header.remove_prefix(std::min(header.size(), part.size() + 1));
    while (part.starts_with(' ')) part.remove_prefix(1);
    while (part.ends_with(' ')) part.remove_suffix(1);
    if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == '=') {
      return part.substr(name.size() + 1);
    }
  }
  return {};
}

std::string_view bare_tag(std::string_view tag) {
  if (tag.starts_with("W/")) tag.remove_prefix(2);
  if (tag.size() < 3 || !tag.starts_with('"') || !tag.ends_with('"')) return {};
  tag = tag.substr(1, tag.size() - 2);
  return core::is_plain_word(tag) ? tag : std::string_view();
}

}  // namespace alderspur::http
