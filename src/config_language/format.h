// Formats a syntax tree canonically: two spaces per level, one entry per line, comments in their
// places. Formatting keeps the meaning and is idempotent. No I/O.
#pragma once

#include <string>

#include "config_language/syntax.h"

namespace alderspur::config_language {

/// Returns the text of the tree in canonical form.
std::string format(const Tree& tree);

/// Returns the value on one line, without comments.
std::string to_string(const Value& value);

/// Reports whether the trees are equal, ignoring spans, comments and empty lines.
bool is_equivalent(const Tree& left, const Tree& right);

}  // namespace alderspur::config_language
