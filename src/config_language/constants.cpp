#include "config_language/constants.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace alderspur::config_language {

void Constants::declare(const Statement& statement) {
  const auto& arguments = statement.arguments;
  const bool is_well_formed = arguments.size() == 1 && arguments[0].kind == Value::Kind::word &&
                              statement.value && !statement.has_block;
  if (!is_well_formed) {
    reporter_.error("A006", statement.span, "a constant is written: let name = value");
    return;
  }
  const std::string& name = arguments[0].text;
  const auto [it, is_first] = declarations_.emplace(name, &statement);
  if (is_first) return;
  reporter_.error("A020", arguments[0].span,
                  "constant " + name + " is declared twice, first at " +
                      reporter_.describe_location(it->second->span),
                  "rename one");
}

std::optional<Value> Constants::resolve(const Value& value) { return resolve(value, {}); }

std::optional<Value> Constants::resolve(const Value& value,
                                        const std::vector<std::string_view>& enclosing) {
  if (value.kind == Value::Kind::list) return resolve_list(value, enclosing);
  if (value.kind != Value::Kind::constant) return value;
  const auto it = declarations_.find(value.text);
  if (it == declarations_.end()) {
    std::vector<std::string_view> names;
    for (const auto& [name, statement] : declarations_) names.push_back(name);
    reporter_.error("A024", value.span, "no constant is called " + value.text,
                    suggest(value.text, names));
    return std::nullopt;
  }
  used_.insert(value.text);
  if (std::find(enclosing.begin(), enclosing.end(), value.text) != enclosing.end()) {
    reporter_.error("A023", value.span, "constant " + value.text + " is defined by itself",
                    "give it a value of its own");
    return std::nullopt;
  }
  auto enclosing_and_this = enclosing;
  enclosing_and_this.push_back(it->first);
  auto resolved = resolve(*it->second->value, enclosing_and_this);
  if (resolved) resolved->span = value.span;
  return resolved;
}

std::optional<Value> Constants::resolve_list(const Value& list,
                                             const std::vector<std::string_view>& enclosing) {
  Value resolved = list;
  resolved.items.clear();
  for (const auto& item : list.items) {
    auto resolved_item = resolve(item, enclosing);
    if (!resolved_item) return std::nullopt;
    if (resolved_item->kind == Value::Kind::list) {
      auto& items = resolved_item->items;
      std::move(items.begin(), items.end(), std::back_inserter(resolved.items));
    } else {
      resolved.items.push_back(std::move(*resolved_item));
    }
  }
  return resolved;
}

void Constants::check_unused() {
  for (const auto& [name, statement] : declarations_) {
    if (used_.contains(name)) continue;
    reporter_.warn("A022", statement->arguments[0].span, "constant " + name + " is used by nothing",
                   "remove it, or use it");
  }
}

}  // namespace alderspur::config_language
