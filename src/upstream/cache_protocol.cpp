#include "upstream/cache_protocol.h"

#include "core/parsing.h"

namespace alderspur::upstream {
namespace {

constexpr std::size_t kMaxLineBytes = 4096;
constexpr std::size_t kMaxBodyBytes = 240'000;
constexpr std::string_view kLineEnd = "\r\n";
constexpr core::Time kMicrosecondsPerMillisecond = 1000;
/// Upper limit on times; later ones could overflow when they are converted to microseconds.
constexpr core::Time kMaxUnixMilliseconds = core::Time{1} << 50;

// A status as it is spelled on the wire.
struct StatusWord {
  std::string_view word;
  ResponseStatus status;
};
constexpr StatusWord kStatusWords[] = {
    {"served", ResponseStatus::served},  {"still_good", ResponseStatus::not_modified},
    {"not_here", ResponseStatus::miss},  {"overload", ResponseStatus::overloaded},
    {"crashed", ResponseStatus::failed}, {"nobody", ResponseStatus::already_finished},
    {"green", ResponseStatus::healthy},
};

ResponseStatus parse_status(std::string_view word) {
  for (const StatusWord& entry : kStatusWords) {
    if (entry.word == word) return entry.status;
  }
  return ResponseStatus::unknown;
}

// Removes the front of `text` up to and including the separator, and returns the part before it. If
// there is no separator, removes and returns the whole text.
std::string_view consume_until(std::string_view& text, char separator) {
  const auto position = text.find(separator);
  const auto part = text.substr(0, position);
  text.remove_prefix(position == std::string_view::npos ? text.size() : position + 1);
  return part;
}

// Returns the time in milliseconds, at least 1.
std::string to_milliseconds(core::Time time) {
  return std::to_string(std::max<core::Time>(1, time / kMicrosecondsPerMillisecond));
}

void add_field(std::string& line, std::string_view name, std::string_view value) {
  if (line.back() != ' ') line += ',';
  line += name;
  line += '=';
  line += value;
}

void add_fill_fields(std::string& line, const alderspur::Fill& fill, std::string_view source) {
  if (!source.empty()) add_field(line, "next", source);
  if (fill.cache_rank) add_field(line, "admit", std::to_string(fill.cache_rank));
  if (fill.max_age > 0) add_field(line, "agelim", to_milliseconds(fill.max_age));
  std::string flags;
  if (fill.may_join) flags += "+j";
  if (fill.cached_only) flags += "+h";
  if (fill.refresh_in_background) flags += "+r";
  if (!flags.empty()) add_field(line, "ways", std::string_view{flags}.substr(1));
}

std::string encode_line(std::string_view command, std::string_view argument) {
  std::string line(command);
  line += ' ';
  line += argument;
  line += kLineEnd;
  return line;
}

// Parses the fields of a response. Returns false if the time of the copy is not a number or out of
// range. Unknown fields are ignored.
bool parse_fields(std::string_view fields, CacheResponse& response) {
  while (!fields.empty()) {
    std::string_view value = consume_until(fields, ',');
    const auto name = consume_until(value, '=');
    if (name == "sum") response.tag = value;
    if (name == "rep") response.report = value;
    if (name != "t0") continue;
    const auto milliseconds = core::parse_number<core::Time>(value);
    if (!milliseconds) return false;
    if (*milliseconds < 0 || *milliseconds > kMaxUnixMilliseconds) return false;
    response.created_at = *milliseconds * kMicrosecondsPerMillisecond;
  }
  return true;
}

}  // namespace

std::string encode_fetch(const core::UpstreamRequest& request, std::string_view class_name,
                         std::string_view source, core::Time now) {
  std::string line = "fetch ";
  line += request.id;
  line += ' ';
  add_field(line, "lane", class_name);
  add_field(line, "name", request.object_text);
  add_field(line, "piece", std::to_string(request.part));
  add_field(line, "ttl", to_milliseconds(request.deadline - now));
  if (!request.idempotency_key.empty()) add_field(line, "dedupe", request.idempotency_key);
  if (request.fill) add_fill_fields(line, *request.fill, source);
  if (!request.client_copy_tag.empty()) add_field(line, "cached", request.client_copy_tag);
  line += ' ';
  line += std::to_string(request.body.size());
  line += kLineEnd;
  return line;
}

std::string encode_abort(std::string_view request_id) { return encode_line("abort", request_id); }
std::string encode_health_check(std::string_view tag) { return encode_line("stats", tag); }
std::string encode_liveness_query(std::string_view tag) { return encode_line("alive", tag); }

std::string health_check_tag(std::uint64_t number) {
  std::string tag = "p";
  tag += std::to_string(number);
  return tag;
}

std::string liveness_tag(std::uint64_t number) {
  std::string tag = "w";
  tag += std::to_string(number);
  return tag;
}

core::ParseStatus next_response(std::string_view& bytes, CacheResponse& response) {
  // After an empty body, the CR LF that ends the body appears as an empty line.
  while (bytes.starts_with(kLineEnd)) bytes.remove_prefix(kLineEnd.size());
  const auto line_size = bytes.find(kLineEnd);
  if (line_size == std::string_view::npos) {
    return bytes.size() > kMaxLineBytes ? core::ParseStatus::invalid : core::ParseStatus::partial;
  }
  if (line_size > kMaxLineBytes) return core::ParseStatus::invalid;
  std::string_view line = bytes.substr(0, line_size);
  response = {};
  response.id = consume_until(line, ' ');
  const std::string_view word = consume_until(line, ' ');
  const std::string_view fields = consume_until(line, ' ');
  if (response.id.empty() || word.empty()) return core::ParseStatus::invalid;
  response.status = parse_status(word);
  // The end of a response can only be determined from the length of its body.
  const auto body_size = core::parse_number<std::size_t>(line);
  if (fields.empty() || !body_size || *body_size > kMaxBodyBytes) {
    return core::ParseStatus::invalid;
  }
  if (fields != "-" && !parse_fields(fields, response)) return core::ParseStatus::invalid;
  std::size_t parsed_size = line_size + kLineEnd.size();
  if (*body_size > 0) {
    if (bytes.size() < parsed_size + *body_size + kLineEnd.size()) {
      return core::ParseStatus::partial;
    }
    response.body = bytes.substr(parsed_size, *body_size);
    parsed_size += *body_size;
    if (bytes.substr(parsed_size, kLineEnd.size()) != kLineEnd) return core::ParseStatus::invalid;
    parsed_size += kLineEnd.size();
  }
  bytes.remove_prefix(parsed_size);
  return core::ParseStatus::complete;
}

std::optional<alderspur::AttemptResult> attempt_result(ResponseStatus status) {
  using alderspur::AttemptResult;
  switch (status) {
    case ResponseStatus::served:
    case ResponseStatus::not_modified:
      return AttemptResult::ok;
    case ResponseStatus::miss:
      return AttemptResult::miss;
    case ResponseStatus::overloaded:
      return AttemptResult::overloaded;
    case ResponseStatus::failed:
      return AttemptResult::error;
    case ResponseStatus::already_finished:
      return AttemptResult::already_finished;
    case ResponseStatus::healthy:
    case ResponseStatus::unknown:
      break;
  }
  return {};
}

alderspur::LoadReport parse_load_report(std::string_view text) {
  alderspur::LoadReport report;
  while (!text.empty()) {
    std::string_view value = consume_until(text, ';');
    const auto name = consume_until(value, ':');
    const auto number = core::parse_number<double>(value);
    if (!number) continue;
    if (name == "inflight" || name == "outstanding") report.in_flight = *number;
    if (name == "util" || name == "utilization") report.utilization = *number;
    if (name == "x1") report.link_or_fill_utilization = *number;
  }
  return report;
}

}  // namespace alderspur::upstream
