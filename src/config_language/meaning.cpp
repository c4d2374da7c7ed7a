#include "config_language/meaning.h"

#include <utility>

namespace alderspur::config_language {

const Setting* Declaration::find(const std::string& key) const {
  const auto it = settings.find(key);
  return it == settings.end() ? nullptr : &it->second;
}

double Declaration::number(const std::string& key, double default_value) const {
  const Setting* setting = find(key);
  return setting && setting->number ? *setting->number : default_value;
}

Meaning::Meaning(std::vector<Declaration> declarations) : declarations_(std::move(declarations)) {
  for (std::size_t i = 0; i < declarations_.size(); ++i) {
    const Declaration& declaration = declarations_[i];
    index_.emplace(Key{std::string(declaration.kind->name), declaration.name}, i);
  }
}

const Declaration* Meaning::find(std::string_view kind, std::string_view name) const {
  const auto it = index_.find({std::string(kind), std::string(name)});
  return it == index_.end() ? nullptr : &declarations_[it->second];
}

}  // namespace alderspur::config_language
