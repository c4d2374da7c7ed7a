#include "config_language/declaration_reader.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace alderspur::config_language {
namespace {

using Kind = Value::Kind;

constexpr double kPercent = 100;

/// Returns the locations that a `when` statement names, or nullopt if the statement is malformed.
std::optional<std::vector<std::string>> when_locations(const Statement& statement) {
  const auto& arguments = statement.arguments;
  const bool is_well_formed = arguments.size() > 1 && arguments[0].kind == Kind::word &&
                              arguments[0].text == "point" && !statement.value &&
                              statement.has_block;
  if (!is_well_formed) return std::nullopt;
  std::vector<std::string> locations;
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    if (arguments[i].kind != Kind::string) return std::nullopt;
    locations.push_back(arguments[i].text);
  }
  return locations;
}

}  // namespace

void DeclarationReader::read(const Statement& statement) { read_at(statement, {}); }

std::vector<Declaration> DeclarationReader::take_declarations() { return std::move(declarations_); }

void DeclarationReader::read_at(const Statement& statement,
                                const std::vector<std::string>& locations) {
  const std::string& key = statement.key;
  if (key == "when") {
    read_when(statement, locations);
    return;
  }
  const DeclarationKind* kind = find_declaration_kind(key);
  if (!kind) {
    std::vector<std::string_view> keys = {"include", "let", "when"};
    for (const auto& known : declaration_kinds()) keys.push_back(known.name);
    reporter_.error("A016", statement.key_span, "'" + key + "' declares nothing",
                    suggest(key, keys));
    return;
  }
  const auto& arguments = statement.arguments;
  const bool is_well_formed = arguments.size() == 1 && arguments[0].kind == Kind::word &&
                              !statement.value && statement.has_block;
  if (!is_well_formed) {
    reporter_.error("A006", statement.key_span,
                    "a " + key + " is written: " + key + " name { ... }");
    return;
  }
  Declaration declaration;
  declaration.kind = kind;
  declaration.name = arguments[0].text;
  declaration.span = arguments[0].span;
  declaration.locations = locations;
  for (const auto& entry : statement.body) {
    if (entry.key == "split" && kind->name == "route") {
      read_split(entry, declaration);
    } else {
      fields_.read(entry, *kind, declaration.settings);
    }
  }
  check_required_fields(statement, declaration);
  declarations_.push_back(std::move(declaration));
}

void DeclarationReader::check_required_fields(const Statement& statement,
                                              const Declaration& declaration) {
  // The missing field may be in a part of the block that did not parse.
  if (statement.is_incomplete) return;
  for (const auto& field : declaration.kind->fields) {
    if (!field.is_required) continue;
    // A field that is present with an invalid value has been reported already.
    const bool is_given =
        std::any_of(statement.body.begin(), statement.body.end(),
                    [&field](const auto& entry) { return entry.key == field.key; });
    if (is_given) continue;
    reporter_.error("A018", declaration.span,
                    statement.key + " " + declaration.name + " has no " + std::string(field.key),
                    "add it");
  }
}

void DeclarationReader::read_when(const Statement& statement,
                                  const std::vector<std::string>& outer_locations) {
  const auto locations = when_locations(statement);
  if (!locations || !outer_locations.empty()) {
    reporter_.error("A006", statement.key_span,
                    "when is written: when point \"NAME\" ... { declarations }");
    return;
  }
  for (const auto& inner : statement.body) {
    if (inner.key == "let" || inner.key == "include") {
      reporter_.error("A006", inner.key_span, inner.key + " stands outside of when", "move it out");
    } else {
      read_at(inner, *locations);
    }
  }
}

void DeclarationReader::read_split(const Statement& statement, Declaration& declaration) {
  const auto& arguments = statement.arguments;
  const bool is_well_formed =
      arguments.size() == 1 && arguments[0].unit == "%" && !statement.value && statement.has_block;
  if (!is_well_formed) {
    reporter_.error("A006", statement.key_span,
                    "a split is written: split 20% { pool = ...  policy = ... }");
    return;
  }
  Split split{statement.span, arguments[0].number / kPercent, {}};
  for (const auto& entry : statement.body) {
    if (entry.key == "pool" || entry.key == "policy") {
      fields_.read(entry, *declaration.kind, split.settings);
    } else {
      reporter_.error("A015", entry.key_span, "a split holds pool and policy, not " + entry.key);
    }
  }
  declaration.splits.push_back(std::move(split));
}

}  // namespace alderspur::config_language
