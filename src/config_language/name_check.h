// Checks the names of declarations: each name is declared once, each reference names an existing
// declaration, and each declaration is used.
#pragma once

#include <compare>
#include <set>
#include <string>
#include <string_view>

#include "config_language/meaning.h"
#include "config_language/reporter.h"

namespace alderspur::config_language {

/// Keeps references to both constructor arguments, which must outlive it.
class NameCheck {
 public:
  NameCheck(const Meaning& meaning, Reporter& reporter) : meaning_(meaning), reporter_(reporter) {}

  /// Reports duplicate names. A name may be declared again for other locations.
  void check_duplicates();

  /// Records which names are used. Reports unknown names only if the program is complete, since
  /// they may be declared in a part that did not parse.
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
