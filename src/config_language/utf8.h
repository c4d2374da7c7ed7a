// Checks for well-formed UTF-8.
#pragma once

#include <cstddef>
#include <string_view>

namespace alderspur::config_language {

/// Returns the length in bytes of the character at `at`, or 0 if it is not well-formed.
/// Overlong forms and surrogates are not well-formed.
std::size_t utf8_length(std::string_view text, std::size_t at);

}  // namespace alderspur::config_language
