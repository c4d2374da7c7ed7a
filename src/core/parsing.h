// Numbers and words as they come from outside.
#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <string_view>
#include <type_traits>

namespace alderspur::core {

/// What taking a message from the front of a read buffer has come to.
enum class ParseStatus {
  complete,  // one message was taken
  partial,   // more bytes are needed
  invalid,   // the bytes are no message
};

// The whole text must be the number.
template <class T>
bool parse_number(std::string_view text, T& out, [[maybe_unused]] int base = 10) {
  std::from_chars_result r{};
  if constexpr (std::is_floating_point_v<T>) {
    r = std::from_chars(text.data(), text.data() + text.size(), out);
  } else {
    r = std::from_chars(text.data(), text.data() + text.size(), out, base);
  }
  if (text.empty() || r.ec != std::errc() || r.ptr != text.data() + text.size()) return false;
  if constexpr (std::is_floating_point_v<T>) return std::isfinite(out);
  return true;
}

// Lower case only: caches take names as they are written, so one thing must have one name.
inline bool is_hex_word(std::string_view text, std::size_t digits) {
  for (const char c : text) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'))) return false;
  }
  return text.size() == digits;
}

/// Letters, digits, "-" and "_", at most 64. Such words become part of commands: a space or a comma
/// in one would alter the command.
inline bool is_plain_word(std::string_view text) {
  for (const char c : text) {
    if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
          c == '_')) {
      return false;
    }
  }
  return text.size() <= 64;
}

// The same text gives the same number at every router and in every run. FNV-1a, 64 bits.
inline std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return hash;
}

}  // namespace alderspur::core
