// Reads the fields of declarations: their values are checked against the schema and converted to
// base units.
#pragma once

#include <optional>
#include <string>

#include "config_language/constants.h"
#include "config_language/meaning.h"
#include "config_language/reporter.h"
#include "config_language/schema.h"
#include "config_language/syntax.h"

namespace alderspur::config_language {

class FieldReader {
 public:
  FieldReader(Reporter& reporter, Constants& constants)
      : reporter_(reporter), constants_(constants) {}

  /// Adds the field of a statement to the settings, unless an error was reported.
  void read(const Statement& statement, const DeclarationKind& kind, Settings& settings);

 private:
  /// Reports an error if it is false.
  bool check_form(const Statement& statement, const Field& field);
  std::optional<Setting> read_setting(const Statement& statement, const Field& field);

  // These report an error if they return false or nothing.
  bool read_item(const Field& field, const Value& value, Setting& setting);
  bool check_keyword(const Field& field, const Value& value);
  std::optional<double> read_number(const Field& field, const Value& value);
  /// What the number is multiplied by to get the base unit.
  std::optional<double> unit_factor(const Field& field, const Value& value);

  Reporter& reporter_;
  Constants& constants_;
};

}  // namespace alderspur::config_language
