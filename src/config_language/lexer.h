// Splits a text into tokens.
//
// Codes: A001 an unexpected character, A002 a string without an end, A003 an unknown escape, A004
// an invalid number, A005 an unknown unit, A009 invalid UTF-8 or a control character.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config_language/source.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

struct Token {
  enum class Kind {
    word,
    string,
    number,
    constant,
    punctuation,
    line_end,
    comment,
    end,      // of the file; the last token
    invalid,  // was reported by the lexer
  };

  Kind kind = Kind::end;
  Span span;
  std::string text;  // a string's content, a constant's name, a number without its unit, else all
  double number = 0;
  std::string unit;
};

/// Errors are added to the findings.
std::vector<Token> tokenize(const Sources& sources, std::uint32_t file,
                            diagnostics::Findings& findings);

}  // namespace alderspur::config_language
