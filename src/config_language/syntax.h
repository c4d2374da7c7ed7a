// The syntax tree: one form for every statement, with its comments and the location of every part.
//
//     statement = word { argument } [ "=" value ] [ "{" { statement } "}" ] end
//     argument  = word | string | number
//     value     = string | number | word | "$" word | "[" [ value { "," value } [ "," ] ] "]"
//     number    = digits [ "." digits ] [ unit ]
//     end       = line end | ";" | before "}"
//     comment   = "#" up to the line's end
//
// What statements mean is defined by schema.h. Plain values without I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config_language/source.h"

namespace alderspur::config_language {

/// A value or an argument. Comments include their "#".
struct Value {
  enum class Kind { string, word, number, list, constant };

  Kind kind = Kind::word;
  Span span;
  std::string text;  // a string's content, a word, a constant's name, a number without its unit
  double number = 0;
  std::string unit;
  std::vector<Value> items;                   // of a list
  std::vector<std::string> leading_comments;  // on lines of their own before an item of a list
  std::vector<std::string> closing_comments;  // on lines of their own before a list's end
};

/// One entry, with the block that belongs to it.
struct Statement {
  Span span;
  Span key_span;
  std::string key;
  std::vector<Value> arguments;
  std::optional<Value> value;
  bool has_block = false;
  std::vector<Statement> body;
  bool is_incomplete = false;  // a statement of its block did not parse and is left out

  // Layout. In lists of comments, "" stands for an empty line.
  std::vector<std::string> leading_comments;  // on lines of their own before it
  std::vector<std::string> closing_comments;  // on lines of their own before its closing brace
  std::string opening_comment;                // behind its opening brace
  std::string trailing_comment;               // behind it
  bool follows_empty_line = false;
};

/// One file.
struct Tree {
  std::uint32_t file = 0;  // in the Sources
  std::vector<Statement> statements;
  std::vector<std::string> closing_comments;  // at the file's end
  bool is_incomplete = false;                 // a statement did not parse and is left out
};

}  // namespace alderspur::config_language
