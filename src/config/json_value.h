// Lookups in untrusted JSON that never fail: if a field is absent or has another type, the result
// is a default value. Numbers are clamped to ranges in which later arithmetic cannot overflow. The
// functions have no state and may be called from any thread.
#pragma once

#include <rapidjson/document.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace alderspur::config {

/// A JSON value. References that the lookups return are valid as long as the parsed document.
using JsonValue = rapidjson::Value;

/// Parses a JSON text. Returns a null value if the text is not valid JSON. The parser is iterative,
/// so that deeply nested input cannot exhaust the stack.
rapidjson::Document parse_json(std::string_view text);

/// Returns a member of an object, or a null value if `value` is not an object or has no such
/// member.
const JsonValue& member(const JsonValue& value, const char* name);
/// Returns the number of elements of an array, or 0 if `value` is not an array.
std::size_t element_count(const JsonValue& value);
/// Returns an element of an array, or a null value if `value` is not an array or has fewer
/// elements.
const JsonValue& element(const JsonValue& value, std::size_t index);

/// Returns the value as a number, or `default_value` if it is not a number.
double to_double(const JsonValue& value, double default_value = 0);
/// Returns the value as a time in the unit in which it is written, clamped to 0 to 1e15. Returns
/// `default_value` if the value is not a number.
std::int64_t to_time(const JsonValue& value, std::int64_t default_value = 0);
/// Converts a time in milliseconds to microseconds, clamped to 0 to 1e14 ms. Returns 0 if the value
/// is not a number.
std::int64_t milliseconds_to_time(const JsonValue& value);
/// Returns the value as a non-negative integer, clamped to 0 to 4e9. Returns `default_value` if the
/// value is not a number.
std::uint32_t to_count(const JsonValue& value, std::uint32_t default_value = 0);
/// Returns whether the value is the JSON literal `true`.
bool to_bool(const JsonValue& value);
/// Returns the value of a string, or an empty string if the value is not a string.
std::string to_text(const JsonValue& value);
/// Returns the elements of an array of strings, or an empty list if the value is not an array. An
/// element that is not a string becomes an empty string.
std::vector<std::string> to_texts(const JsonValue& value);

/// Parses the whole text as a hexadecimal number. Returns nullopt if it is not one, or if it has
/// more than 64 bits.
std::optional<std::uint64_t> parse_hex(std::string_view text);

/// A word on the wire and the enum value that it represents.
template <class Enum>
struct WireWord {
  std::string_view word;
  Enum value;
};

/// Returns the enum value of a word in the table, or `default_value` if the word is not in it.
template <class Enum, std::size_t kSize>
Enum parse_word(const WireWord<Enum> (&words)[kSize], std::string_view word, Enum default_value) {
  for (const auto& entry : words) {
    if (entry.word == word) return entry.value;
  }
  return default_value;
}

}  // namespace alderspur::config
