#include "config_language/name_check.h"

#include <algorithm>
#include <map>
#include <vector>

namespace alderspur::config_language {
namespace {

/// Reports whether two declarations have no location in common. A declaration without locations
/// applies everywhere.
bool are_disjoint(const std::vector<std::string>& left, const std::vector<std::string>& right) {
  if (left.empty() || right.empty()) return false;
  return std::find_first_of(left.begin(), left.end(), right.begin(), right.end()) == left.end();
}

}  // namespace

void NameCheck::check_duplicates() {
  std::map<Name, const Declaration*> first_declarations;
  for (const auto& declaration : meaning_.declarations()) {
    const Name name{declaration.kind->name, declaration.name};
    const auto [it, is_first] = first_declarations.emplace(name, &declaration);
    if (is_first) continue;
    const Declaration& first = *it->second;
    if (are_disjoint(declaration.locations, first.locations)) continue;
    reporter_.error("A020", declaration.span,
                    std::string(name.kind) + " " + name.name + " is declared twice, first at " +
                        reporter_.describe_location(first.span),
                    "rename one");
  }
}

void NameCheck::check_references(bool is_complete) {
  for (const auto& declaration : meaning_.declarations()) {
    check_settings(*declaration.kind, declaration.settings, is_complete);
    for (const auto& split : declaration.splits) {
      check_settings(*declaration.kind, split.settings, is_complete);
    }
    if (declaration.kind->name == "pool") check_fallback(declaration);
  }
}

void NameCheck::check_settings(const DeclarationKind& kind, const Settings& settings,
                               bool is_complete) {
  for (const auto& [key, setting] : settings) {
    const Field* field = find_field(kind, key);
    if (!field || field->type != Field::Type::reference) continue;
    for (const auto& name : setting.texts) {
      used_.insert({field->referenced_kind, name});
      const bool is_known = meaning_.find(field->referenced_kind, name) != nullptr;
      if (!is_known && is_complete) report_unknown(*field, name, setting.span);
    }
  }
}

void NameCheck::report_unknown(const Field& field, const std::string& name, const Span& span) {
  std::vector<std::string_view> names;
  for (const auto& declaration : meaning_.declarations()) {
    if (declaration.kind->name == field.referenced_kind) names.push_back(declaration.name);
  }
  reporter_.error("A021", span, "no " + std::string(field.referenced_kind) + " is called " + name,
                  suggest(name, names));
}

void NameCheck::check_fallback(const Declaration& pool) {
  const Setting* fallback = pool.find("fallback");
  if (!fallback) return;
  for (const auto& name : fallback->texts) {
    if (name != pool.name) continue;
    reporter_.error("A021", fallback->span, "pool " + name + " falls back to itself",
                    "name another");
  }
}

void NameCheck::check_unused() {
  for (const auto& declaration : meaning_.declarations()) {
    const std::string_view kind = declaration.kind->name;
    if (kind == "route" || used_.contains({kind, declaration.name})) continue;
    reporter_.warn("A022", declaration.span,
                   std::string(kind) + " " + declaration.name + " is used by nothing",
                   "remove it, or use it");
  }
}

}  // namespace alderspur::config_language
