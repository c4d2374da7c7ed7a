#include "config_language/utf8.h"

namespace alderspur::config_language {
namespace {

bool is_between(unsigned byte, unsigned min, unsigned max) { return byte >= min && byte <= max; }

bool is_continuation(unsigned byte) { return (byte & 0xc0) == 0x80; }

}  // namespace

std::size_t utf8_length(std::string_view text, std::size_t at) {
  // Returns 0 past the end; 0 is not a continuation byte.
  const auto byte = [&](std::size_t offset) {
    return at + offset < text.size() ? static_cast<unsigned char>(text[at + offset]) : 0U;
  };
  const unsigned first = byte(0);
  const unsigned second = byte(1);
  if (first < 0x80) return 1;
  if (!is_continuation(second)) return 0;
  if (is_between(first, 0xc2, 0xdf)) return 2;
  if (!is_continuation(byte(2))) return 0;
  if (is_between(first, 0xe0, 0xef)) {
    const bool is_overlong = first == 0xe0 && second < 0xa0;
    const bool is_surrogate = first == 0xed && second > 0x9f;
    return is_overlong || is_surrogate ? 0 : 3;
  }
  if (!is_continuation(byte(3))) return 0;
  if (is_between(first, 0xf0, 0xf4)) {
    const bool is_overlong = first == 0xf0 && second < 0x90;
    const bool is_too_large = first == 0xf4 && second > 0x8f;
    return is_overlong || is_too_large ? 0 : 4;
  }
  return 0;
}

}  // namespace alderspur::config_language
