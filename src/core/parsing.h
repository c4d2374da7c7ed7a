// Parsers for numbers and words in input from outside the process, and a stable hash of text. The
// functions have no state and may be called from any thread.
#pragma once

#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace alderspur::core {

/// The result of parsing one message at the front of a read buffer.
enum class ParseStatus {
  complete,  // one message was parsed and removed from the buffer
  partial,   // more bytes are needed
  invalid,   // the bytes are not a valid message
};

/// Parses the whole text as a number. Returns nullopt if the text is not a number, or if the number
/// is not finite or outside the range of T. `base` applies to integers only.
template <class T>
std::optional<T> parse_number(std::string_view text, [[maybe_unused]] int base = 10) {
  const char* const end = text.data() + text.size();
  T number{};
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), end, number);
  } else {
    result = std::from_chars(text.data(), end, number, base);
  }
  if (text.empty() || result.ec != std::errc() || result.ptr != end) return std::nullopt;
  if constexpr (std::is_floating_point_v<T>) {
    if (!std::isfinite(number)) return std::nullopt;
  }
  return number;
}

/// Returns whether the text is a hexadecimal number of exactly `digits` digits in lower case. Upper
/// case is not accepted because caches compare the names of objects byte by byte, so that each
/// object needs a single spelling.
inline bool is_hex_word(std::string_view text, std::size_t digits) {
  for (const char c : text) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) return false;
  }
  return text.size() == digits;
}

/// Returns whether the text consists of at most 64 characters, all of them ASCII letters, digits,
/// "-" or "_". Such words are inserted into commands, whose meaning a space or a comma would
/// change.
inline bool is_plain_word(std::string_view text) {
  for (const char c : text) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
          c == '_')) {
      return false;
    }
  }
  return text.size() <= 64;
}

/// Returns the 64-bit FNV-1a hash of the text, which is the same on every router and in every run.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return hash;
}

}  // namespace alderspur::core
