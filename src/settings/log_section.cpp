#include <algorithm>
#include <string_view>
#include <vector>

#include "settings/sections.h"

namespace alderspur::settings {
namespace {

/// A level and the word that selects it in the settings.
struct LevelWord {
  std::string_view word;
  log::Level level;
};
constexpr LevelWord kLevels[] = {
    {"debug", log::Level::debug},
    {"info", log::Level::info},
    {"warning", log::Level::warning},
    {"error", log::Level::error},
};
constexpr log::Level kDefaultLevel = log::Level::info;
constexpr std::int64_t kMaxRecordsPerSecond = 10'000;

const std::vector<std::string_view>& subsystems() {
  static const std::vector<std::string_view> names = {"router", "membership", "signed",
                                                      "xds",    "routes",     "cluster"};
  return names;
}

std::vector<std::string_view> level_words() {
  std::vector<std::string_view> words;
  for (const auto& entry : kLevels) words.push_back(entry.word);
  return words;
}

std::optional<log::Level> parse_level(std::string_view word) {
  for (const auto& entry : kLevels) {
    if (entry.word == word) return entry.level;
  }
  return std::nullopt;
}

void read_level_of(const toml::Table& table, const std::string& subsystem, const std::string& word,
                   log::Settings& settings, diagnostics::Findings& findings) {
  const auto level = parse_level(word);
  if (!level) {
    findings.error("F003", table.location(subsystem),
                   subsystem + ": '" + std::string(word).append("' is not a valid level"));
  }
  const auto& known = subsystems();
  if (std::find(known.begin(), known.end(), subsystem) == known.end()) {
    const std::string nearest = diagnostics::closest_match(subsystem, known);
    findings.error("F004", table.location(subsystem),
                   "the subsystem " + subsystem + " does not exist",
                   nearest.empty() ? "router, membership, signed, xds, routes, cluster"
                                   : "did you mean " + nearest + "?");
  }
  settings.levels[subsystem] = level.value_or(kDefaultLevel);
}

}  // namespace

log::Settings read_log(toml::Table table, diagnostics::Findings& findings) {
  log::Settings settings;
  if (const auto form = table.keyword("form", {"logfmt", "json"})) {
    settings.format = *form == "json" ? log::Format::json : log::Format::logfmt;
  }
  if (const auto level = table.keyword("level", level_words())) {
    settings.level = parse_level(*level).value_or(kDefaultLevel);
  }
  if (const auto count = table.integer("per_second", 1, kMaxRecordsPerSecond)) {
    settings.per_second = static_cast<int>(*count);
  }
  auto by_subsystem = table.table("levels");
  for (const auto& [subsystem, level] : by_subsystem.text_entries()) {
    read_level_of(by_subsystem, subsystem, level, settings, findings);
  }
  table.finish();
  return settings;
}

}  // namespace alderspur::settings
