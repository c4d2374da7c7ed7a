#include "http/message.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <utility>

#include "core/parsing.h"

namespace alderspur::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr core::Time kMicrosecondsPerSecond = 1'000'000;
constexpr core::Time kMinRetryAfterSeconds = 1;

bool equal_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

// ---- Callbacks of http-parser ----

/// The state that the callbacks collect while one request is parsed.
struct ParserState {
  Request& request;
  const bool reads_body;
  std::string_view field_name;  // the header field whose value is parsed next
  bool is_head_complete = false;
  bool is_complete = false;
  bool has_repeated_authorization = false;
};

/// Returns the state that `parser` was given.
ParserState& state_of(http_parser* parser) { return *static_cast<ParserState*>(parser->data); }

/// Returns the member of the request that holds the value of this header field, or null if there is
/// no such member.
std::string_view* known_field(Request& request, std::string_view name) {
  struct KnownField {
    std::string_view name;
    std::string_view Request::*member;
  };
  static constexpr KnownField kKnownFields[] = {{"host", &Request::host},
                                                {"authorization", &Request::authorization},
                                                {"cookie", &Request::cookie},
                                                {"if-none-match", &Request::if_none_match}};
  for (const auto& known : kKnownFields) {
    if (equal_ignoring_case(name, known.name)) return &(request.*known.member);
  }
  return nullptr;
}

int on_url(http_parser* parser, const char* data, std::size_t size) {
  auto& target = state_of(parser).request.target;
  // The parser may pass the target in several parts, which are adjacent in the same buffer.
  const char* begin = target.empty() ? data : target.data();
  target = std::string_view(begin, target.size() + size);
  return 0;
}

int on_header_field(http_parser* parser, const char* data, std::size_t size) {
  state_of(parser).field_name = {data, size};
  return 0;
}

int on_header_value(http_parser* parser, const char* data, std::size_t size) {
  auto& state = state_of(parser);
  const std::string_view value(data, size);
  auto& fields = state.request.fields;
  if (fields.size() < kMaxHeaderFields) fields.push_back({state.field_name, value});
  std::string_view* field = known_field(state.request, state.field_name);
  if (!field) return 0;
  if (field == &state.request.authorization && !field->empty()) {
    state.has_repeated_authorization = true;
  }
  *field = value;
  return 0;
}

int on_headers_complete(http_parser* parser) {
  auto& state = state_of(parser);
  state.is_head_complete = true;
  if (!state.reads_body) http_parser_pause(parser, 1);
  return 0;
}

int on_body(http_parser* parser, const char* data, std::size_t size) {
  state_of(parser).request.body.append(data, size);
  return 0;
}

int on_message_complete(http_parser* parser) {
  state_of(parser).is_complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

http_parser_settings make_callbacks() {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_url = on_url;
  callbacks.on_header_field = on_header_field;
  callbacks.on_header_value = on_header_value;
  callbacks.on_headers_complete = on_headers_complete;
  callbacks.on_body = on_body;
  callbacks.on_message_complete = on_message_complete;
  return callbacks;
}

// ---- Requests ----

Request rejected(Request request, int status) {
  request.error_status = status;
  return request;
}

Method method_of(const http_parser& parser) {
  switch (parser.method) {
    case HTTP_GET:
      return Method::get;
    case HTTP_HEAD:
      return Method::head;
    case HTTP_POST:
      return Method::post;
    case HTTP_PUT:
      return Method::put;
    default:
      return Method::other;
  }
}

/// Returns whether the body exceeds the limit. A body whose announced length exceeds the limit is
/// rejected before it arrives, since it will not be read anyway.
bool is_body_too_large(const http_parser& parser, const ParserState& state, std::size_t limit) {
  if (state.request.body.size() > limit) return true;
  // While a body is parsed, content_length is the number of its bytes that have not arrived yet.
  const bool is_announced = (parser.flags & F_CONTENTLENGTH) != 0 && !state.is_complete;
  return is_announced && parser.content_length > limit;
}

/// Sets the members of the request that depend on its complete head: method, keep_alive, and
/// error_status if the request is rejected.
void finish_request(const http_parser& parser, const ParserState& state) {
  Request& request = state.request;
  const bool has_body = (parser.flags & F_CHUNKED) != 0 ||
                        ((parser.flags & F_CONTENTLENGTH) != 0 && parser.content_length > 0);
  request.method = method_of(parser);
  request.keep_alive = http_should_keep_alive(&parser) != 0;
  const bool is_read = request.method == Method::get || request.method == Method::head;
  const bool leaves_body_unread = !state.reads_body && has_body;
  // The start of the next request is unknown after a body that was not read.
  if (leaves_body_unread || (!state.reads_body && !is_read)) request.keep_alive = false;
  if (state.has_repeated_authorization || parser.upgrade || (leaves_body_unread && is_read)) {
    request.error_status = 400;
  }
}

// ---- Responses ----

const char* reason_phrase(int status) {
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

void append_field(std::string& head, std::string_view name, std::string_view value) {
  head += name;
  head += ": ";
  head += value;
  head += kLineEnd;
}

std::string retry_after_seconds(core::Time retry_after) {
  const core::Time rounded_up = (retry_after + kMicrosecondsPerSecond - 1) / kMicrosecondsPerSecond;
  return std::to_string(std::max(kMinRetryAfterSeconds, rounded_up));
}

}  // namespace

std::optional<Request> next_request(std::string_view& bytes, const Limits& limits) {
  while (bytes.starts_with(kLineEnd)) bytes.remove_prefix(kLineEnd.size());
  const auto head_end = bytes.substr(0, limits.max_head_bytes).find(kHeadEnd);
  const bool has_head = head_end != std::string_view::npos;
  Request request;
  if (!has_head && bytes.size() >= limits.max_head_bytes) return rejected(std::move(request), 431);

  // An incomplete head is parsed too, so that input that cannot become a valid request is rejected
  // without waiting for the rest.
  const bool reads_body = limits.max_body_bytes > 0;
  const auto input = has_head && !reads_body ? bytes.substr(0, head_end + kHeadEnd.size()) : bytes;
  ParserState state{request, reads_body, {}};
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &state;
  static const http_parser_settings callbacks = make_callbacks();
  const auto consumed = http_parser_execute(&parser, &callbacks, input.data(), input.size());

  const auto error = HTTP_PARSER_ERRNO(&parser);
  if (error != HPE_OK && error != HPE_PAUSED) return rejected(std::move(request), 400);
  if (!state.is_head_complete) {
    if (!has_head) return std::nullopt;
    return rejected(std::move(request), 400);
  }
  if (reads_body) {
    if (is_body_too_large(parser, state, limits.max_body_bytes)) {
      return rejected(std::move(request), 413);
    }
    if (!state.is_complete) return std::nullopt;
  }
  bytes.remove_prefix(reads_body ? consumed : input.size());
  finish_request(parser, state);
  return request;
}

std::optional<std::string_view> Request::field(std::string_view name) const {
  for (const auto& field : fields) {
    if (equal_ignoring_case(field.name, name)) return field.value;
  }
  return std::nullopt;
}

std::string encode_response_head(const ResponseHead& head) {
  const int status = head.status;
  std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason_phrase(status);
  text += kLineEnd;
  if (status != 304) append_field(text, "Content-Length", std::to_string(head.content_length));
  if (status == 200) append_field(text, "Content-Type", head.content_type);
  if (head.is_cacheable && (status == 200 || status == 304)) {
    append_field(text, "Cache-Control", "private");
  }
  if (!head.etag.empty()) append_field(text, "ETag", '"' + std::string(head.etag) + '"');
  if (status == 401) append_field(text, "WWW-Authenticate", "Bearer");
  if (status == 405) append_field(text, "Allow", head.allow);
  if (status == 503) append_field(text, "Retry-After", retry_after_seconds(head.retry_after));
  append_field(text, "Connection", head.keep_alive ? "keep-alive" : "close");
  text += kLineEnd;
  return text;
}

std::optional<std::string_view> parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    if (part.substr(0, part.find('=')) == name) {
      return part.size() > name.size() ? part.substr(name.size() + 1) : std::string_view();
    }
  }
  return std::nullopt;
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

std::string_view bare_tag(std::string_view if_none_match) {
  std::string_view tag = if_none_match;
  if (tag.starts_with("W/")) tag.remove_prefix(2);
  if (tag.size() < 3 || !tag.starts_with('"') || !tag.ends_with('"')) return {};
  tag = tag.substr(1, tag.size() - 2);
  return core::is_plain_word(tag) ? tag : std::string_view();
}

}  // namespace alderspur::http
