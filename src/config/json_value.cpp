#include "config/json_value.h"

#include <algorithm>
#include <cmath>

#include "core/parsing.h"

namespace alderspur::config {
namespace {

// Upper limits to which numbers are clamped.
constexpr double kMaxTime = 1e15;          // microseconds
constexpr double kMaxMilliseconds = 1e14;  // of a Unix time
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

double to_double(const JsonValue& value, double default_value) {
  return value.IsNumber() ? value.GetDouble() : default_value;
}

std::int64_t to_time(const JsonValue& value, std::int64_t default_value) {
  const double time = to_double(value, static_cast<double>(default_value));
  return std::isfinite(time) ? static_cast<std::int64_t>(std::clamp(time, 0.0, kMaxTime))
                             : default_value;
}

std::int64_t milliseconds_to_time(const JsonValue& value) {
  const double milliseconds = std::clamp(to_double(value), 0.0, kMaxMilliseconds);
  return static_cast<std::int64_t>(milliseconds) * kMicrosecondsPerMillisecond;
}

std::uint32_t to_count(const JsonValue& value, std::uint32_t default_value) {
  if (!value.IsNumber()) return default_value;
  return static_cast<std::uint32_t>(std::clamp(to_double(value), 0.0, kMaxCount));
}

bool to_bool(const JsonValue& value) { return value.IsBool() && value.GetBool(); }

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
