// Lookups in JSON from outside that cannot fail: a field that is absent or of another type gives a
// default. Values are limited to ranges in which later arithmetic cannot overflow.
#pragma once

#include <rapidjson/document.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::config {

using JsonValue = rapidjson::Value;

/// Parses iteratively, so that deep nesting cannot exhaust the stack. Null if the text is not JSON.
rapidjson::Document parse_json(std::string_view text);

/// Null if `value` is not an object or has no such member.
const JsonValue& member(const JsonValue& value, const char* name);
/// 0 if `value` is not an array.
std::size_t element_count(const JsonValue& value);
/// Null if `value` is not an array or is shorter.
const JsonValue& element(const JsonValue& value, std::size_t index);

double to_real(const JsonValue& value, double otherwise = 0);
/// A non-negative time in the unit in which it is written.
std::int64_t to_time(const JsonValue& value, std::int64_t otherwise = 0);
/// A time in milliseconds, as microseconds.
std::int64_t milliseconds_to_time(const JsonValue& value);
std::uint32_t to_count(const JsonValue& value, std::uint32_t otherwise = 0);
/// False unless it is `true`.
bool to_flag(const JsonValue& value);
/// Empty if it is not a string.
std::string to_text(const JsonValue& value);
/// Empty if it is not an array.
std::vector<std::string> to_texts(const JsonValue& value);

/// Nothing unless the whole text is a hexadecimal number of at most 64 bits.
std::optional<std::uint64_t> parse_hex(std::string_view text);

/// A word on the wire and what it stands for.
template <class Enum>
struct WireWord {
  std::string_view word;
  Enum value;
};

/// What the word stands for in this table.
template <class Enum, std::size_t kSize>
Enum parse_word(const WireWord<Enum> (&words)[kSize], std::string_view word, Enum otherwise) {
  for (const auto& entry : words) {
    if (entry.word == word) return entry.value;
  }
  return otherwise;
}

}  // namespace alderspur::config
