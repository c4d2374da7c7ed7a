// The syntax tree: one shape for every statement, with its comments and the place of every part.
//
//     statement = word { argument } [ "=" value ] [ "{" { statement } "}" ] end
//     argument  = word | string | number
//     value     = string | number | word | "$" word | "[" [ value { "," value } [ "," ] ] "]"
//     number    = digits [ "." digits ] [ unit ]
//     end       = line end | ";" | before "}"
//     comment   = "#" up to the line's end
//
// What statements mean is the schema's business (lang/schema.h). Plain values without I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config_language/source.h"

namespace alderspur::config_language {

struct Value {
  enum class Kind { string, word, number, list, constant };
  Kind kind = Kind::word;
  Span span;
  std::string text;  // a string's content, a word, a constant's name, a number as written
  double number = 0;
  std::string unit;
  std::vector<Value> items;
  std::vector<std::string> before;  // comments on lines of their own in front of it, in a list
  std::vector<std::string> tail;    // comments before a list's end
};

struct Statement {
  Span span, key_span;
  std::string key;
  std::vector<Value> arguments;
  std::optional<Value> value;
  bool block = false;
  std::vector<Statement> body;
  // Comments on lines of their own, in front of it and before its closing brace; "" is an empty
  // line between.
  std::vector<std::string> before, tail;
  std::string after, opened;  // comment behind it; behind its opening brace
  bool gap = false;           // an empty line stands in front of it
  bool faulty = false;        // a statement of its block did not parse and is left out
};

struct Tree {
  std::uint32_t file = 0;
  std::vector<Statement> statements;
  std::vector<std::string> tail;  // comments at the file's end
  bool faulty = false;            // a statement did not parse and is left out
};

}  // namespace alderspur::config_language
