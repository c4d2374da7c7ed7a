#include "config_language/differ.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <string_view>
#include <utility>

namespace alderspur::config_language {
namespace {

/// Fields whose change may send requests to other destinations or repeat requests that are not
/// safe to repeat.
constexpr std::string_view kHighRiskFields[] = {
    "class", "pool", "path", "host", "method", "repeat", "uncached", "role", "dedup-window"};
/// Fields for which too low a value makes the router reject requests.
constexpr std::string_view kLimitFields[] = {"max-in-flight",    "max-rate", "deadline",
                                             "attempt-deadline", "queue",    "burst"};
constexpr std::string_view kLowRiskFields[] = {"worth", "renew", "join"};
/// Lists that are in order of preference. The order of all other lists has no meaning.
constexpr std::string_view kOrderedFields[] = {"fallback", "fill"};
constexpr std::string_view kDestinationFields[] = {"pool", "policy", "class"};

template <std::size_t N>
bool is_one_of(std::string_view field, const std::string_view (&fields)[N]) {
  return std::find(std::begin(fields), std::end(fields), field) != std::end(fields);
}

Risk risk_of_change(std::string_view field, bool falls) {
  if (is_one_of(field, kHighRiskFields)) return Risk::high;
  if (is_one_of(field, kLimitFields)) return falls ? Risk::high : Risk::some;
  return is_one_of(field, kLowRiskFields) ? Risk::low : Risk::some;
}

std::string format_percent(double fraction) {
  char text[32];
  std::snprintf(text, sizeof text, "%g%%", fraction * 100);
  return text;
}

/// Returns ": requests for PATH and pool POOL" for a route, and an empty text for other
/// declarations.
std::string describe_requests(const Declaration& declaration) {
  const Setting* path = declaration.find("path");
  const Setting* pool = declaration.find("pool");
  if (!path) return "";
  return ": requests for " + path->written + (pool ? " and pool " + pool->written : "");
}

std::vector<std::string> comparable_texts(const Setting& setting, const std::string& field) {
  auto texts = setting.texts;
  if (!is_one_of(field, kOrderedFields)) std::sort(texts.begin(), texts.end());
  return texts;
}

/// Identifies the same declaration in both programs.
struct Key {
  std::string kind;
  std::string name;  // includes the locations, since a name may be declared once for each

  auto operator<=>(const Key&) const = default;
};

Key key_of(const Declaration& declaration) {
  auto locations = declaration.locations;
  std::sort(locations.begin(), locations.end());
  std::string name = declaration.name;
  for (const auto& location : locations) name += " at " + location;
  return {std::string(declaration.kind->name), name};
}

using DeclarationsByKey = std::map<Key, const Declaration*>;

DeclarationsByKey by_key(const Meaning& meaning) {
  DeclarationsByKey result;
  for (const auto& declaration : meaning.declarations()) {
    result.emplace(key_of(declaration), &declaration);
  }
  return result;
}

class Differ {
 public:
  std::vector<Change> compare(const Meaning& from, const Meaning& to) {
    const auto before = by_key(from);
    const auto after = by_key(to);
    for (const auto& [key, declaration] : before) {
      if (after.contains(key)) continue;
      add(Risk::high, key, "", "is gone" + describe_requests(*declaration));
    }
    for (const auto& declaration : to.declarations()) {
      const Key key = key_of(declaration);
      const auto it = before.find(key);
      if (it == before.end()) {
        const Risk risk = key.kind == "route" ? Risk::some : Risk::low;
        add(risk, key, "", "is new" + describe_requests(declaration));
      } else {
        compare_settings(key, "", it->second->settings, declaration.settings);
        compare_splits(key, it->second->splits, declaration.splits);
      }
    }
    return std::move(changes_);
  }

 private:
  void add(Risk risk, const Key& key, const std::string& field, const std::string& text) {
    changes_.push_back({risk, key.kind, key.name, field, key.kind + " " + key.name + ": " + text});
  }

  /// `prefix` names the split that the settings belong to. It is empty for the declaration's own.
  void compare_settings(const Key& key, const std::string& prefix, const Settings& before,
                        const Settings& after) {
    for (const auto& [name, old_setting] : before) {
      const auto it = after.find(name);
      const std::string field = prefix + name;
      if (it != after.end()) {
        compare_setting(key, field, name, old_setting, it->second);
      } else {
        add(risk_of_change(name, false), key, field,
            field + " was " + old_setting.written + " and is not given any more");
      }
    }
    for (const auto& [name, setting] : after) {
      if (before.contains(name)) continue;
      const std::string field = prefix + name;
      add(risk_of_change(name, true), key, field, field + " is now given: " + setting.written);
    }
  }

  void compare_setting(const Key& key, const std::string& field, const std::string& name,
                       const Setting& before, const Setting& after) {
    if (before.number && after.number) {
      if (*before.number == *after.number) return;
      const bool falls = *after.number < *before.number;
      add(risk_of_change(name, falls), key, field,
          field + (falls ? " falls from " : " rises from ") + before.written + " to " +
              after.written);
      return;
    }
    if (comparable_texts(before, name) == comparable_texts(after, name)) return;
    const std::string replaced = after.written + " in place of " + before.written;
    if (name == "path") {
      add(Risk::high, key, field, "takes requests for " + replaced);
    } else if (is_one_of(name, kDestinationFields)) {
      add(risk_of_change(name, false), key, field,
          "goes to " + std::string(name).append(" ") + replaced);
    } else {
      add(risk_of_change(name, false), key, field,
          field + " changes from " + before.written + " to " + after.written);
    }
  }

  void compare_splits(const Key& key, const std::vector<Split>& before,
                      const std::vector<Split>& after) {
    for (std::size_t i = 0; i < std::max(before.size(), after.size()); ++i) {
      const std::string field = "split " + std::to_string(i + 1);
      if (i >= before.size()) {
        add(Risk::high, key, field, field + " is new, of " + format_percent(after[i].fraction));
      } else if (i >= after.size()) {
        add(Risk::high, key, field,
            field + " of " + format_percent(before[i].fraction) + " is gone");
      } else {
        compare_split(key, field, before[i], after[i]);
      }
    }
  }

  void compare_split(const Key& key, const std::string& field, const Split& before,
                     const Split& after) {
    if (before.fraction != after.fraction) {
      const bool rises = after.fraction > before.fraction;
      add(Risk::high, key, field,
          field + (rises ? " rises from " : " falls from ") + format_percent(before.fraction) +
              " to " + format_percent(after.fraction));
    }
    compare_settings(key, field + " ", before.settings, after.settings);
  }

  std::vector<Change> changes_;
};

}  // namespace

const char* to_string(Risk risk) {
  switch (risk) {
    case Risk::low:
      return "low";
    case Risk::some:
      return "some";
    case Risk::high:
      break;
  }
  return "high";
}

std::vector<Change> find_changes(const Meaning& from, const Meaning& to) {
  return Differ().compare(from, to);
}

}  // namespace alderspur::config_language
