// What a program means: its declarations, with constants replaced and every value in its base unit.
// Differences and routing work from this form.
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
  std::optional<double> number;    // of a single number, in the base unit of the measure
  std::vector<std::string> texts;  // otherwise: the items of a list, or one
  std::string written;             // as in the program, with constants replaced
};

/// By field; fields with an argument by both: "header x-tier".
using Settings = std::map<std::string, Setting>;

/// A fraction of a route's requests, from 0 to 1, with settings of its own.
struct Split {
  Span span;
  double fraction = 0;
  Settings settings;
};

struct Declaration {
  const DeclarationKind* kind = nullptr;
  std::string name;
  Span span;
  std::vector<std::string> locations;  // it holds only there; empty: everywhere
  Settings settings;
  std::vector<Split> splits;

  /// Null if the field is absent.
  const Setting* find(const std::string& key) const;
  double number(const std::string& key, double default_value) const;
};

/// The declarations of a program.
class Meaning {
 public:
  Meaning() = default;
  explicit Meaning(std::vector<Declaration> declarations);

  /// In the order of the program.
  const std::vector<Declaration>& declarations() const { return declarations_; }

  /// The first of this kind and name; null if there is none.
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
