// Collects and resolves the constants of a program, which are written `let name = value`.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config_language/reporter.h"
#include "config_language/syntax.h"

namespace alderspur::config_language {

/// The constants of one program. Keeps pointers to the declaring statements, which must outlive it.
class Constants {
 public:
  explicit Constants(Reporter& reporter) : reporter_(reporter) {}

  /// Adds a constant. Reports a malformed statement and a duplicate name.
  void declare(const Statement& statement);

  /// Returns the value with constants replaced and nested lists flattened. Reports an error and
  /// returns nullopt if a constant is unknown or its definition refers to itself.
  std::optional<Value> resolve(const Value& value);

  /// Reports constants that no call of resolve() has used.
  void check_unused();

 private:
  /// `enclosing` lists the constants whose values contain this value, to detect cycles.
  std::optional<Value> resolve(const Value& value, const std::vector<std::string_view>& enclosing);
  std::optional<Value> resolve_list(const Value& list,
                                    const std::vector<std::string_view>& enclosing);

  Reporter& reporter_;
  std::map<std::string, const Statement*> declarations_;
  std::set<std::string> used_;
};

}  // namespace alderspur::config_language
