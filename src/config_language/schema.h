// Defines what a program may contain: the kinds of declarations, their fields, and for each field
// its type, unit, bounds and the declarations it may refer to. docs/language.md lists the same.
//
// Bounds are as narrow as practical use allows, so that they catch mistakes such as a value in
// seconds that was meant in milliseconds.
#pragma once

#include <string_view>
#include <vector>

#include "config_language/units.h"

namespace alderspur::config_language {

/// A field that a declaration may have.
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
  double min = 0;  // bounds of a number, inclusive, in the base unit of the measure
  double max = 0;
  std::vector<std::string_view> keywords;
  std::string_view referenced_kind;
  bool is_required = false;
  bool accepts_fractions = false;  // for a count
  bool accepts_list = false;       // one value or a list of them
  bool has_argument = false;       // header "x-tier" = "gold"
};

/// A kind of declaration and its fields.
struct DeclarationKind {
  std::string_view name;
  std::vector<Field> fields;
};

/// Returns all kinds of declarations.
const std::vector<DeclarationKind>& declaration_kinds();

/// Returns the kind with this name, or null if there is none.
const DeclarationKind* find_declaration_kind(std::string_view name);

/// Returns the field with this key, or null if there is none.
const Field* find_field(const DeclarationKind& kind, std::string_view key);

}  // namespace alderspur::config_language
