#include "platform/cache_protocol.h"

#include "core/parsing.h"

namespace alderspur::platform {
namespace {

constexpr std::size_t kLineMost = 4096, kBodyMost = 240'000;

// Cuts the part before `mark` off the front of `text`.
std::string_view cut(std::string_view& text, char mark) {
  const auto at = text.find(mark);
  const auto part = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return part;
}
}  // namespace

std::string fetch_line(const core::UpstreamRequest& o, std::string_view lane,
                       std::string_view source, core::Time now) {
  std::string line = "fetch ";
  const auto add = [&](const char* name, std::string_view value) {
    if (line.back() != ' ') line += ',';
    (line += name) += '=';
    line += value;
  };
  const auto milliseconds = [](core::Time t) {
    return std::to_string(std::max<core::Time>(1, t / 1000));
  };
  (line += o.id) += ' ';
  add("lane", lane);
  add("name", o.object_text);
  add("piece", std::to_string(o.part));
  add("ttl", milliseconds(o.deadline - now));
  if (!o.idempotency_key.empty()) add("dedupe", o.idempotency_key);
  if (o.fill) {
    if (!source.empty()) add("next", source);
    if (o.fill->cache_rank) add("admit", std::to_string(o.fill->cache_rank));
    if (o.fill->max_age > 0) add("agelim", milliseconds(o.fill->max_age));
    std::string ways;
    if (o.fill->may_join) ways += "+j";
    if (o.fill->cached_only) ways += "+h";
    if (o.fill->refresh_in_background) ways += "+r";
    if (!ways.empty()) add("ways", std::string_view{ways}.substr(1));
  }
  if (!o.client_copy_tag.empty()) add("cached", o.client_copy_tag);
  return line + ' ' + std::to_string(o.body.size()) + "\r\n";
}

Parsed next_answer(std::string_view& bytes, CacheResponse& answer) {
  // After a length of 0 the closing CR LF reads as an empty line.
  while (bytes.starts_with("\r\n")) bytes.remove_prefix(2);
  const auto end = bytes.find("\r\n");
  if (end == std::string_view::npos) {
    return bytes.size() > kLineMost ? Parsed::unreadable : Parsed::partial;
  }
  if (end > kLineMost) return Parsed::unreadable;
  std::string_view line = bytes.substr(0, end);
  answer = {};
  answer.id = cut(line, ' ');
  answer.word = cut(line, ' ');
  std::string_view fields = cut(line, ' ');
  std::size_t length = 0;
  if (answer.id.empty() || answer.word.empty()) return Parsed::unreadable;
  // Without its length a line says nothing of where the answer ends.
  if (fields.empty() || !core::parse_number(line, length) || length > kBodyMost) {
    return Parsed::unreadable;
  }
  if (fields == "-") fields = {};
  while (!fields.empty()) {
    std::string_view value = cut(fields, ',');
    const auto name = cut(value, '=');
    if (name == "sum") answer.sum = value;
    if (name == "rep") answer.report = value;
    core::Time ms = 0;
    if (name == "t0") {
      if (!core::parse_number(value, ms) || ms < 0 || ms > core::Time{1} << 50) {
        return Parsed::unreadable;
      }
      answer.born = ms * 1000;
    }
  }
  const std::size_t head = end + 2;
  if (length > 0) {
    if (bytes.size() < head + length + 2) return Parsed::partial;
    answer.body = bytes.substr(head, length);
    if (bytes.substr(head + length, 2) != "\r\n") return Parsed::unreadable;
    bytes.remove_prefix(head + length + 2);
  } else {
    bytes.remove_prefix(head);
  }
  return Parsed::whole;
}

std::optional<alderspur::AttemptResult> result_of(std::string_view word) {
  using R = alderspur::AttemptResult;
  if (word == "served" || word == "still_good") return R::ok;
  if (word == "not_here") return R::miss;
  if (word == "overload") return R::overloaded;
  if (word == "crashed") return R::error;
  if (word == "nobody") return R::already_finished;
  return {};
}

alderspur::LoadReport report_of(std::string_view text) {
  alderspur::LoadReport r;
  while (!text.empty()) {
    std::string_view value = cut(text, ';');
    const auto name = cut(value, ':');
    double x = 0;
    if (!core::parse_number(value, x)) continue;
    if (name == "inflight" || name == "outstanding") r.in_flight = x;
    if (name == "util" || name == "utilization") r.utilization = x;
    if (name == "x1") r.link_or_fill_utilization = x;
  }
  return r;
}

}  // namespace alderspur::platform
