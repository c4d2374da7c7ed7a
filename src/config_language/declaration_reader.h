// Reads the declarations of a program from its statements, including those in `when` blocks.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config_language/constants.h"
#include "config_language/field_reader.h"
#include "config_language/meaning.h"
#include "config_language/reporter.h"
#include "config_language/syntax.h"

namespace alderspur::config_language {

/// Collects declarations. Keeps references to both constructor arguments, which must outlive it.
class DeclarationReader {
 public:
  DeclarationReader(Reporter& reporter, Constants& constants)
      : reporter_(reporter), fields_(reporter, constants) {}

  /// Reads a top-level statement that is neither an include nor a constant. Reports its errors.
  void read(const Statement& statement);

  /// Moves out all declarations read so far. Must be called only once.
  std::vector<Declaration> take_declarations();

 private:
  void read_at(const Statement& statement, const std::vector<std::string>& locations);
  void read_when(const Statement& statement, const std::vector<std::string>& outer_locations);
  void read_split(const Statement& statement, Declaration& declaration);
  void check_required_fields(const Statement& statement, const Declaration& declaration);

  Reporter& reporter_;
  FieldReader fields_;
  std::vector<Declaration> declarations_;
};

}  // namespace alderspur::config_language
