// Parsing of numbers and words that come from outside the program, and a stable hash of text. No
// state; any thread.
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

/// The result of taking a message from the front of a read buffer.
enum class ParseStatus {
  complete,  // one message was taken
  partial,   // more bytes are needed
  invalid,   // the bytes are no message
};

/// The number that the whole text states. Nothing if the text is anything else, or if the number is
/// outside the range of T or not finite. `base` applies to integers.
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

/// Whether the text is a hexadecimal number of exactly `digits` digits, in lower case: caches
/// compare names as they are written, so an object must have a single name.
inline bool is_hex_word(std::string_view text, std::size_t digits) {
  for (const char c : text) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) return false;
  }
  return text.size() == digits;
}

/// Whether the text has only letters, digits, "-" and "_", and at most 64 of them. Such words
/// become part of commands: a space or a comma in one would alter the command.
inline bool is_plain_word(std::string_view text) {
  for (const char c : text) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
          c == '_')) {
      return false;
    }
  }
  return text.size() <= 64;
}

/// FNV-1a, 64 bits: the same text gives the same number at every router and in every run.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return hash;
}

}  // namespace alderspur::core
