// What may stand in a program: the kinds of declarations, their fields, and for each field its
// type, its unit, its bounds and what it may name. docs/language.md lists the same.
//
// Bounds are as narrow as use allows, since they are how a value in seconds is found that was meant
// in milliseconds.
#pragma once

#include <string_view>
#include <vector>

#include "config_language/units.h"

namespace alderspur::config_language {

struct Field {
  enum class Type {
    quantity,   // a number with a unit
    count,      // a plain number
    keyword,    // one of `keywords`
    string,     // a text in quotes
    flag,       // yes or no
    reference,  // the name of a declaration of the kind `referenced_kind`
  };

  std::string_view key;
  Type type = Type::count;
  Measure measure = Measure::none;
  double min = 0;  // of numbers, inclusive, in the base unit of the measure
  double max = 0;
  std::vector<std::string_view> keywords;
  std::string_view referenced_kind;
  bool is_required = false;
  bool accepts_fractions = false;  // of a count
  bool accepts_list = false;       // one value or a list of them
  bool has_argument = false;       // header "x-tier" = "gold"
};

struct DeclarationKind {
  std::string_view name;
  std::vector<Field> fields;
};

const std::vector<DeclarationKind>& declaration_kinds();

/// Null if there is no such kind.
const DeclarationKind* find_declaration_kind(std::string_view name);

/// Null if there is no such field.
const Field* find_field(const DeclarationKind& kind, std::string_view key);

}  // namespace alderspur::config_language
