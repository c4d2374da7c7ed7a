// Well-formed UTF-8.
#pragma once

#include <cstddef>
#include <string_view>

namespace alderspur::config_language {

/// The number of bytes of the character that begins at `at`; 0 if there is no well-formed one.
/// Overlong forms and surrogates are not well-formed.
std::size_t utf8_length(std::string_view text, std::size_t at);

}  // namespace alderspur::config_language
