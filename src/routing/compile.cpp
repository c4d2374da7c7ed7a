#include "routing/compile.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/parsing.h"
#include "routing/lower_case.h"

namespace alderspur::routing {
namespace {

using config_language::Declaration;
using config_language::Settings;

/// Returns the texts of a field; empty if the field is absent.
std::vector<std::string> read_texts(const Settings& settings, const std::string& key) {
  const auto it = settings.find(key);
  return it == settings.end() ? std::vector<std::string>{} : it->second.texts;
}

/// Returns the first text of a field; empty if the field is absent.
std::string read_first_text(const Settings& settings, const std::string& key) {
  const auto all = read_texts(settings, key);
  return all.empty() ? "" : all[0];
}

/// Returns the number of a field; nothing if the field is absent or is not a number.
template <class Number>
std::optional<Number> read_number(const Settings& settings, const std::string& key) {
  const auto it = settings.find(key);
  if (it == settings.end() || !it->second.number) return std::nullopt;
  return static_cast<Number>(*it->second.number);
}

/// Returns the value of a yes-or-no field.
bool read_flag(const Settings& settings, const std::string& key, bool default_value) {
  const std::string word = read_first_text(settings, key);
  return word.empty() ? default_value : word == "yes";
}

Role read_role(const Settings& settings) {
  const std::string word = read_first_text(settings, "role");
  if (word == "parent") return Role::parent;
  if (word == "origin") return Role::origin;
  return Role::cache;
}

Limits read_limits(const Settings& settings) {
  Limits limits;
  limits.max_in_flight = read_number<std::uint32_t>(settings, "max-in-flight");
  limits.burst = read_number<std::uint32_t>(settings, "burst");
  limits.max_rate = read_number<double>(settings, "max-rate");
  limits.queue_time = read_number<std::int64_t>(settings, "queue");
  return limits;
}

/// Returns the locations in the field `point` and those of the blocks around the declaration.
std::vector<std::string> read_locations(const Declaration& declaration) {
  auto names = read_texts(declaration.settings, "point");
  names.insert(names.end(), declaration.locations.begin(), declaration.locations.end());
  return names;
}

std::vector<std::uint32_t> read_cells(const Settings& settings) {
  std::vector<std::uint32_t> cells;
  for (const auto& text : read_texts(settings, "cell")) {
    if (const auto cell = core::parse_number<std::uint32_t>(text)) cells.push_back(*cell);
  }
  return cells;
}

Pool compile_pool(const Declaration& declaration) {
  const Settings& settings = declaration.settings;
  Pool pool;
  pool.name = declaration.name;
  pool.role = read_role(settings);
  pool.locations = read_locations(declaration);
  pool.hubs = read_texts(settings, "hub");
  pool.cells = read_cells(settings);
  pool.min_weight = read_number<double>(settings, "weight-least").value_or(0);
  pool.limits = read_limits(settings);
  return pool;
}

Policy compile_policy(const Declaration& declaration) {
  const Settings& settings = declaration.settings;
  Policy policy;
  policy.name = declaration.name;
  policy.attempts = read_number<std::uint32_t>(settings, "attempts").value_or(1);
  policy.cache_rank = read_number<std::uint32_t>(settings, "rank").value_or(0);
  policy.deadline = read_number<std::int64_t>(settings, "deadline");
  policy.attempt_deadline = read_number<std::int64_t>(settings, "attempt-deadline");
  policy.hedge_after = read_number<std::int64_t>(settings, "hedge-after");
  policy.fresh_time = read_number<std::int64_t>(settings, "fresh");
  policy.stale_grace_time = read_number<std::int64_t>(settings, "grace");
  policy.retry_after = read_number<std::int64_t>(settings, "retry-after");
  policy.retry_budget = read_number<double>(settings, "retry-budget").value_or(0);
  policy.hedge_budget = read_number<double>(settings, "hedge-budget").value_or(0);
  policy.renews_stale_copies = read_flag(settings, "renew", true);
  policy.joins_fetches = read_flag(settings, "join", true);
  const std::string purge = read_first_text(settings, "purge");
  policy.purges_strictly = purge.empty() || purge == "strict";
  policy.fill = read_texts(settings, "fill");
  policy.limits = read_limits(settings);
  return policy;
}

std::vector<Condition> read_conditions(const Settings& settings) {
  std::vector<Condition> conditions;
  for (const auto& [key, setting] : settings) {
    for (const auto kind : {Condition::Kind::header, Condition::Kind::query}) {
      const std::string_view prefix = kind == Condition::Kind::header ? "header " : "query ";
      if (!key.starts_with(prefix) || setting.texts.empty()) continue;
      conditions.push_back({kind, key.substr(prefix.size()), setting.texts[0]});
    }
  }
  return conditions;
}

/// Compiles one program. To be used once.
class Compiler {
 public:
  explicit Compiler(const config_language::Sources& sources) : sources_(sources) {}

  CompiledProgram compile(const std::vector<Declaration>& declarations) {
    for (const auto& declaration : declarations) {
      if (declaration.kind->name == "pool") add_pool(declaration);
      if (declaration.kind->name == "policy") add_policy(declaration);
    }
    // Pools and policies come first, because they may be declared after the routes and pools that
    // refer to them.
    for (const auto& declaration : declarations) {
      if (declaration.kind->name == "pool") add_fallbacks(declaration);
      if (declaration.kind->name == "route") add_route(declaration);
    }
    return std::move(program_);
  }

 private:
  using IndexByName = std::map<std::string, std::uint32_t>;

  static std::optional<std::uint32_t> find(const IndexByName& indices, const std::string& name) {
    const auto it = indices.find(name);
    if (it == indices.end()) return std::nullopt;
    return it->second;
  }

  void add_pool(const Declaration& declaration) {
    const auto index = static_cast<std::uint32_t>(program_.pools.size());
    const bool is_first = pool_indices_.emplace(declaration.name, index).second;
    if (!is_first) return;
    program_.pools.push_back(compile_pool(declaration));
    program_.pools.back().declared_at = sources_.location(declaration.span);
  }

  void add_policy(const Declaration& declaration) {
    const auto index = static_cast<std::uint32_t>(program_.policies.size());
    const bool is_first = policy_indices_.emplace(declaration.name, index).second;
    if (is_first) program_.policies.push_back(compile_policy(declaration));
  }

  void add_fallbacks(const Declaration& declaration) {
    auto& fallback = program_.pools[pool_indices_.at(declaration.name)].fallback;
    for (const auto& name : read_texts(declaration.settings, "fallback")) {
      if (const auto index = find(pool_indices_, name)) fallback.push_back(*index);
    }
  }

  void add_route(const Declaration& declaration) {
    const Settings& settings = declaration.settings;
    auto path = config_language::parse_path(read_first_text(settings, "path"));
    if (!path.is_valid() || read_texts(settings, "class").empty()) return;  // reported by the check
    Route route;
    route.name = declaration.name;
    route.class_name = read_first_text(settings, "class");
    for (const auto& host : read_texts(settings, "host")) {
      route.hosts.push_back(to_lower_case(host));
    }
    route.methods = read_texts(settings, "method");
    route.locations = read_locations(declaration);
    route.path = std::move(path.path);
    route.conditions = read_conditions(settings);
    route.destination = read_destination(settings);
    for (const auto& split : declaration.splits) {
      route.splits.push_back(compile_split(split, route.destination));
    }
    route.limits = read_limits(settings);
    route.declared_at = sources_.location(declaration.span);
    program_.routes.push_back(std::move(route));
  }

  /// Compiles a split. A pool or policy that it does not name is that of the route.
  Split compile_split(const config_language::Split& split,
                      const Destination& route_destination) const {
    Destination split_destination = read_destination(split.settings);
    if (!split_destination.pool) split_destination.pool = route_destination.pool;
    if (!split_destination.policy) split_destination.policy = route_destination.policy;
    return {split.fraction, split_destination};
  }

  Destination read_destination(const Settings& settings) const {
    return {find(pool_indices_, read_first_text(settings, "pool")),
            find(policy_indices_, read_first_text(settings, "policy"))};
  }

  const config_language::Sources& sources_;
  CompiledProgram program_;
  IndexByName pool_indices_;
  IndexByName policy_indices_;
};

}  // namespace

CompiledProgram compile(const config_language::Meaning& meaning,
                        const config_language::Sources& sources) {
  return Compiler(sources).compile(meaning.declarations());
}

}  // namespace alderspur::routing
