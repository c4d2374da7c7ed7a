// Checks the names of declarations: each is declared once, exists where it is referred to, and is
// used.
#pragma once

#include <compare>
#include <set>
#include <string>
#include <string_view>

#include "config_language/meaning.h"
#include "config_language/reporter.h"

namespace alderspur::config_language {

/// Holds references to both of its parameters.
class NameCheck {
 public:
  NameCheck(const Meaning& meaning, Reporter& reporter) : meaning_(meaning), reporter_(reporter) {}

  /// A name may be declared again for other locations.
  void check_duplicates();

  /// Reports unknown names, but only if the program is complete: else they may have been declared
  /// in what did not parse.
  void check_references(bool is_complete);

  /// Reports declarations to which check_references() has found no reference.
  void check_unused();

 private:
  struct Name {
    std::string_view kind;
    std::string name;

    auto operator<=>(const Name&) const = default;
  };

  void check_settings(const DeclarationKind& kind, const Settings& settings, bool is_complete);
  void report_unknown(const Field& field, const std::string& name, const Span& span);
  void check_fallback(const Declaration& pool);

  const Meaning& meaning_;
  Reporter& reporter_;
  std::set<Name> used_;
};

}  // namespace alderspur::config_language
