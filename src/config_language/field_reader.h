// Reads the fields of declarations: checks their values against the schema and converts them to
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

/// Keeps references to both constructor arguments, which must outlive it.
class FieldReader {
 public:
  FieldReader(Reporter& reporter, Constants& constants)
      : reporter_(reporter), constants_(constants) {}

  /// Reads the field of a statement and adds it to `settings`, or reports an error.
  void read(const Statement& statement, const DeclarationKind& kind, Settings& settings);

 private:
  /// Returns whether the statement has the form that the field requires; reports an error if not.
  bool check_form(const Statement& statement, const Field& field);
  std::optional<Setting> read_setting(const Statement& statement, const Field& field);

  // The following functions report an error if they return false or nullopt.
  bool read_item(const Field& field, const Value& value, Setting& setting);
  bool check_keyword(const Field& field, const Value& value);
  std::optional<double> read_number(const Field& field, const Value& value);
  /// Returns the factor that converts the number to the base unit.
  std::optional<double> unit_factor(const Field& field, const Value& value);

  Reporter& reporter_;
  Constants& constants_;
};

}  // namespace alderspur::config_language
