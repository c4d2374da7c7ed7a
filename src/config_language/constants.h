// The constants of a program: let name = value.
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

/// Holds references to the statements that declare constants.
class Constants {
 public:
  explicit Constants(Reporter& reporter) : reporter_(reporter) {}

  /// Reports a statement of another form, and a second constant with the same name.
  void declare(const Statement& statement);

  /// The value with constants replaced; a list within a list is flattened. Nothing if a constant
  /// is unknown or defined by itself, which is reported.
  std::optional<Value> resolve(const Value& value);

  /// Reports constants that resolve() has never met.
  void check_unused();

 private:
  /// `enclosing` are the constants whose values contain this one.
  std::optional<Value> resolve(const Value& value, const std::vector<std::string_view>& enclosing);
  std::optional<Value> resolve_list(const Value& list,
                                    const std::vector<std::string_view>& enclosing);

  Reporter& reporter_;
  std::map<std::string, const Statement*> declarations_;
  std::set<std::string> used_;
};

}  // namespace alderspur::config_language
