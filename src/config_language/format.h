// The canonical form of a syntax tree: two spaces a level, one entry a line, comments kept where
// they stood.
//
// Formatting twice changes nothing, and what is formatted means what it meant: the tree of the
// output is that of the input but for places. Pure.
#pragma once

#include <string>

#include "config_language/syntax.h"

namespace alderspur::config_language {

std::string format(const Tree& tree);
std::string text_of(const Value& value);  // on one line, without comments

// The trees mean the same, letter for letter, places and comments aside.
bool same(const Tree& a, const Tree& b);

}  // namespace alderspur::config_language
