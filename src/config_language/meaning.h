// The meaning of a program: its declarations, with constants replaced and each value in its base
// unit. The differ and routing use this form.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config_language/schema.h"
#include "config_language/source.h"

namespace alderspur::config_language {

/// The value of a field.
struct Setting {
  Span span;
  Measure measure = Measure::none;
  std::optional<double> number;    // a single number, in the base unit of the measure
  std::vector<std::string> texts;  // for other values: the items of a list, or one item
  std::string written;             // as in the program, with constants replaced
};

/// Settings by field name, followed by the field's argument if it has one: "header x-tier".
using Settings = std::map<std::string, Setting>;

/// A fraction (0 to 1) of a route's requests that has its own settings.
struct Split {
  Span span;
  double fraction = 0;
  Settings settings;
};

/// One declaration of a program.
struct Declaration {
  const DeclarationKind* kind = nullptr;
  std::string name;
  Span span;
  std::vector<std::string> locations;  // where it applies; empty means everywhere
  Settings settings;
  std::vector<Split> splits;

  /// Returns the setting of a field, or null if the field is absent.
  const Setting* find(const std::string& key) const;
  /// Returns the number of a field, or `default_value` if there is none.
  double number(const std::string& key, double default_value) const;
};

/// The declarations of a program.
class Meaning {
 public:
  Meaning() = default;
  explicit Meaning(std::vector<Declaration> declarations);

  /// Returns the declarations in the order of the program.
  const std::vector<Declaration>& declarations() const { return declarations_; }

  /// Returns the first declaration with this kind and name, or null if there is none.
  const Declaration* find(std::string_view kind, std::string_view name) const;

 private:
  struct Key {
    std::string kind;
    std::string name;

    auto operator<=>(const Key&) const = default;
  };

  std::vector<Declaration> declarations_;
  std::map<Key, std::size_t> index_;
};

}  // namespace alderspur::config_language
