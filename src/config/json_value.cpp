#include "config/json_value.h"

#include <algorithm>
#include <cmath>

#include "core/parsing.h"

namespace alderspur::config {
namespace {

constexpr double kMaxTime = 1e15;          // microseconds
constexpr double kMaxMilliseconds = 1e14;  // of a date
constexpr double kMaxCount = 4e9;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
constexpr int kHexBase = 16;

const JsonValue& null_value() {
  static const JsonValue value;
  return value;
}

}  // namespace

rapidjson::Document parse_json(std::string_view text) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) document.SetNull();
  return document;
}

const JsonValue& member(const JsonValue& value, const char* name) {
  if (!value.IsObject()) return null_value();
  const auto found = value.FindMember(name);
  return found == value.MemberEnd() ? null_value() : found->value;
}

std::size_t element_count(const JsonValue& value) { return value.IsArray() ? value.Size() : 0; }

const JsonValue& element(const JsonValue& value, std::size_t index) {
  return index < element_count(value) ? value[static_cast<rapidjson::SizeType>(index)]
                                      : null_value();
}

double to_real(const JsonValue& value, double otherwise) {
  return value.IsNumber() ? value.GetDouble() : otherwise;
}

std::int64_t to_time(const JsonValue& value, std::int64_t otherwise) {
  const double time = to_real(value, static_cast<double>(otherwise));
  return std::isfinite(time) ? static_cast<std::int64_t>(std::clamp(time, 0.0, kMaxTime))
                             : otherwise;
}

std::int64_t milliseconds_to_time(const JsonValue& value) {
  const double milliseconds = std::clamp(to_real(value), 0.0, kMaxMilliseconds);
  return static_cast<std::int64_t>(milliseconds) * kMicrosecondsPerMillisecond;
}

std::uint32_t to_count(const JsonValue& value, std::uint32_t otherwise) {
  if (!value.IsNumber()) return otherwise;
  return static_cast<std::uint32_t>(std::clamp(to_real(value), 0.0, kMaxCount));
}

bool to_flag(const JsonValue& value) { return value.IsBool() && value.GetBool(); }

std::string to_text(const JsonValue& value) {
  return value.IsString() ? std::string(value.GetString(), value.GetStringLength()) : std::string();
}

std::vector<std::string> to_texts(const JsonValue& value) {
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < element_count(value); ++i) {
    texts.push_back(to_text(element(value, i)));
  }
  return texts;
}

std::optional<std::uint64_t> parse_hex(std::string_view text) {
  return core::parse_number<std::uint64_t>(text, kHexBase);
}

}  // namespace alderspur::config
