// The canonical form of a syntax tree: two spaces a level, one entry a line, comments where they
// were. Formatting keeps the meaning, and formatting twice changes nothing. No I/O.
#pragma once

#include <string>

#include "config_language/syntax.h"

namespace alderspur::config_language {

std::string format(const Tree& tree);

/// The value on one line, without comments.
std::string to_string(const Value& value);

/// Whether the trees are equal but for spans, comments and empty lines.
bool is_equivalent(const Tree& left, const Tree& right);

}  // namespace alderspur::config_language
