// Parses a text into its syntax tree, by recursive descent with recovery: one run reports all
// independent errors. A statement with an error is left out of the tree; those around it stay.
//
// Codes: A006 another token was expected, A007 nested too deeply, A008 too large, and those of the
// lexer.
#pragma once

#include <cstddef>
#include <cstdint>

#include "config_language/syntax.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

constexpr std::size_t kMaxNestingDepth = 16;  // nesting of blocks and lists
constexpr std::size_t kMaxTextBytes = 1 << 20;

/// Parses a file and appends errors to `findings`. Returns an empty tree if the text is longer than
/// kMaxTextBytes.
Tree parse(const Sources& sources, std::uint32_t file, diagnostics::Findings& findings);

}  // namespace alderspur::config_language
