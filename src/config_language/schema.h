// What may stand in a program: the kinds of declarations, their fields, and for each field its
// type, its unit, its bounds and what it may name. Tables only; docs/language.md is written from
// the same facts.
//
// A bound is in the field's base unit: microseconds, bytes, per second, parts of one. Bounds are
// what tells a value in s that was meant in ms, so they are as narrow as use allows.
#pragma once

#include <string_view>
#include <vector>

#include "config_language/parser.h"

namespace alderspur::config_language {

struct Field {
  enum class Type { quantity, count, word, string, flag, reference };
  std::string_view key;
  Type type = Type::count;
  Measure measure = Measure::none;
  double least = 0, most = 1e9;
  std::vector<std::string_view> words;  // word: allowed ones; reference: the kind of what is named
  bool required = false, list = false;  // list: one value or a list of them
  bool argument = false;                // header "x-tier" = "gold"
  bool repeats = false;                 // may stand more than once
};
struct DeclarationKind {
  std::string_view name;
  std::vector<Field> fields;
};

const std::vector<DeclarationKind>& declaration_kinds();
const DeclarationKind* declaration_kind(std::string_view name);
const Field* field(const DeclarationKind& kind, std::string_view key);

}  // namespace alderspur::config_language
