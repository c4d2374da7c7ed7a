// Splits a text into tokens.
//
// Codes: A001 an unexpected character, A002 an unterminated string, A003 an unknown escape, A004
// an invalid number, A005 an unknown unit, A009 invalid UTF-8 or a control character.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config_language/source.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::config_language {

/// A token and its place in the text.
struct Token {
  enum class Kind {
    word,
    string,
    number,
    constant,
    punctuation,
    line_end,
    comment,
    end,      // end of the file; always the last token
    invalid,  // malformed; the lexer has reported it
  };

  Kind kind = Kind::end;
  Span span;
  // A string's content, a constant's name, a number without its unit, or else the whole token.
  std::string text;
  double number = 0;
  std::string unit;
};

/// Splits a file into tokens and appends errors to `findings`.
std::vector<Token> tokenize(const Sources& sources, std::uint32_t file,
                            diagnostics::Findings& findings);

}  // namespace alderspur::config_language
