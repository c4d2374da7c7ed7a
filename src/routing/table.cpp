#include "routing/table.h"

#include <algorithm>

#include "core/parsing.h"
#include "estimators/hash.h"

namespace alderspur::routing {
namespace {

constexpr std::size_t kMaxSegments = 64;

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
  }
  return out;
}
std::vector<std::string> texts(const config_language::Settings& s, const std::string& key) {
  const auto it = s.find(key);
  return it == s.end() ? std::vector<std::string>{} : it->second.texts;
}
template <class T>
std::optional<T> number(const config_language::Settings& s, const std::string& key) {
  const auto it = s.find(key);
  if (it == s.end() || !it->second.number) return {};
  return static_cast<T>(*it->second.number);
}
bool flag(const config_language::Settings& s, const std::string& key, bool absent) {
  const auto t = texts(s, key);
  return t.empty() ? absent : t[0] == "yes";
}
Limits limits_of(const config_language::Settings& s) {
  return {number<std::uint32_t>(s, "max-in-flight"), number<std::uint32_t>(s, "burst"),
          number<double>(s, "max-rate"), number<std::int64_t>(s, "queue")};
}

Pool pool_of(const config_language::Declaration& d) {
  Pool p;
  p.name = d.name;
  const auto role = texts(d.settings, "role");
  p.role = role.empty() || role[0] == "cache" ? Role::cache
           : role[0] == "parent"              ? Role::parent
                                              : Role::origin;
  p.points = texts(d.settings, "point");
  p.hubs = texts(d.settings, "hub");
  for (const auto& p_when : d.when) p.points.push_back(p_when);
  for (const auto& c : texts(d.settings, "cell")) {
    if (const auto cell = core::parse_number<std::uint32_t>(c)) p.cells.push_back(*cell);
  }
  p.weight_least = number<double>(d.settings, "weight-least").value_or(0);
  p.limits = limits_of(d.settings);
  return p;
}
Policy policy_of(const config_language::Declaration& d) {
  const auto& s = d.settings;
  Policy p;
  p.name = d.name;
  p.attempts = number<std::uint32_t>(s, "attempts").value_or(1);
  p.rank = number<std::uint32_t>(s, "rank").value_or(0);
  p.deadline = number<std::int64_t>(s, "deadline");
  p.attempt_deadline = number<std::int64_t>(s, "attempt-deadline");
  p.hedge_after = number<std::int64_t>(s, "hedge-after");
  p.fresh = number<std::int64_t>(s, "fresh");
  p.grace = number<std::int64_t>(s, "grace");
  p.retry_after = number<std::int64_t>(s, "retry-after");
  p.retry_budget = number<double>(s, "retry-budget").value_or(0);
  p.hedge_budget = number<double>(s, "hedge-budget").value_or(0);
  p.renew = flag(s, "renew", true);
  p.join = flag(s, "join", true);
  const auto purge = texts(s, "purge");
  p.strict_purge = purge.empty() || purge[0] == "strict";
  p.fill = texts(s, "fill");
  p.limits = limits_of(s);
  return p;
}

}  // namespace

struct Table::Node {
  std::unordered_map<std::string, std::unique_ptr<Node>> literal;
  std::unique_ptr<Node> capture;
  std::vector<std::uint32_t> ends, rests;  // routes, the best first
};
struct Table::Walk {
  const Question& question;
  std::vector<std::string_view> segments;
  const Route* found = nullptr;
};

// Pools, policies and routes refer to each other by name in the program, and by place in the table.
struct Table::Builder {
  Table& table;
  const config_language::Meaning& meaning;
  const config_language::Sources& sources;
  std::map<std::string, std::uint32_t> pools{};
  std::map<std::string, std::uint32_t> policies{};

  void build() {
    for (const auto& declaration : meaning.declarations) add_pool_or_policy(declaration);
    for (const auto& declaration : meaning.declarations) {
      if (declaration.kind->name == "pool") add_fallbacks(declaration);
      if (declaration.kind->name == "route") add_route(declaration);
    }
    for (std::uint32_t route = 0; route < table.routes_.size(); ++route) index_route(route);
  }

 private:
  void add_pool_or_policy(const config_language::Declaration& declaration) {
    const std::string& name = declaration.name;
    const auto next_pool = static_cast<std::uint32_t>(table.pools_.size());
    const auto next_policy = static_cast<std::uint32_t>(table.policies_.size());
    if (declaration.kind->name == "pool" && pools.emplace(name, next_pool).second) {
      table.pools_.push_back(pool_of(declaration));
      table.pools_.back().location = sources.location(declaration.span);
    }
    if (declaration.kind->name == "policy" && policies.emplace(name, next_policy).second) {
      table.policies_.push_back(policy_of(declaration));
    }
  }
  void add_fallbacks(const config_language::Declaration& declaration) {
    auto& fallback = table.pools_[pools.at(declaration.name)].fallback;
    for (const auto& name : texts(declaration.settings, "fallback")) {
      if (pools.contains(name)) fallback.push_back(pools.at(name));
    }
  }
  void add_route(const config_language::Declaration& declaration) {
    const auto& settings = declaration.settings;
    const auto paths = texts(settings, "path");
    std::string error;
    auto path = config_language::segments(paths.empty() ? "" : paths[0], error);
    const auto classes = texts(settings, "class");
    if (!path || classes.empty()) return;  // a program that does not check
    Route route;
    route.name = declaration.name;
    route.cls = classes[0];
    for (const auto& host : texts(settings, "host")) route.hosts.push_back(lower(host));
    route.methods = texts(settings, "method");
    route.points = texts(settings, "point");
    route.points.insert(route.points.end(), declaration.when.begin(), declaration.when.end());
    route.path = std::move(*path);
    route.conditions = conditions_of(settings);
    route.target = target_of(settings);
    for (const auto& split : declaration.splits) {
      Target target = target_of(split.settings);
      if (!target.pool) target.pool = route.target.pool;
      if (!target.policy) target.policy = route.target.policy;
      route.splits.emplace_back(split.part, target);
    }
    route.limits = limits_of(settings);
    route.location = sources.location(declaration.span);
    table.routes_.push_back(std::move(route));
  }
  static std::vector<Condition> conditions_of(const config_language::Settings& settings) {
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
  Target target_of(const config_language::Settings& settings) const {
    Target target;
    const auto pool = texts(settings, "pool");
    const auto policy = texts(settings, "policy");
    if (!pool.empty() && pools.contains(pool[0])) target.pool = pools.at(pool[0]);
    if (!policy.empty() && policies.contains(policy[0])) target.policy = policies.at(policy[0]);
    return target;
  }
  void index_route(std::uint32_t route) {
    const auto& hosts = table.routes_[route].hosts;
    if (hosts.empty()) table.insert(*table.any_, route);
    for (const auto& host : hosts) {
      auto& root = host.starts_with("*.") ? table.suffix_[host.substr(1)] : table.exact_[host];
      if (!root) root = std::make_unique<Node>();
      table.insert(*root, route);
    }
  }
};

Table::Table(const config_language::Meaning& meaning, const config_language::Sources& sources)
    : any_(std::make_unique<Node>()) {
  Builder{*this, meaning, sources}.build();
}
Table::~Table() = default;

void Table::insert(Node& root, std::uint32_t route) {
  Node* node = &root;
  std::vector<std::uint32_t>* end = nullptr;
  for (const auto& s : routes_[route].path) {
    if (s.kind == config_language::Segment::Kind::rest) {
      end = &node->rests;
      break;
    }
    auto& next =
        s.kind == config_language::Segment::Kind::capture ? node->capture : node->literal[s.text];
    if (!next) next = std::make_unique<Node>();
    node = next.get();
  }
  if (!end) end = &node->ends;
  // More conditions first; of equal ones the earlier. A method or a point counts as a condition.
  const auto conditions = [&](std::uint32_t i) {
    const Route& r = routes_[i];
    return r.conditions.size() + (r.methods.empty() ? 0 : 1) + (r.points.empty() ? 0 : 1);
  };
  const auto at = std::find_if(end->begin(), end->end(),
                               [&](std::uint32_t i) { return conditions(i) < conditions(route); });
  end->insert(at, route);
}

bool Table::holds(const Route& r, const Question& q) const {
  const auto among = [](const std::vector<std::string>& all, std::string_view one) {
    return all.empty() || std::find(all.begin(), all.end(), one) != all.end();
  };
  if (!among(r.methods, q.method) || !among(r.points, q.point)) return false;
  return std::all_of(r.conditions.begin(), r.conditions.end(), [&](const Condition& c) {
    const auto& ask = c.kind == Condition::Kind::header ? q.header : q.query;
    const auto value = ask ? ask(c.name) : std::nullopt;
    return value && *value == c.value;
  });
}

// The best by segments from the left: text, capture, rest. Each node is looked at once at most.
bool Table::search(const Node& node, Walk& walk, std::size_t depth) const {
  const auto first = [&](const std::vector<std::uint32_t>& routes) {
    for (const auto i : routes) {
      if (holds(routes_[i], walk.question)) return walk.found = &routes_[i], true;
    }
    return false;
  };
  if (depth == walk.segments.size()) return first(node.ends);
  if (!node.literal.empty()) {
    if (const auto it = node.literal.find(std::string(walk.segments[depth]));
        it != node.literal.end()) {
      if (search(*it->second, walk, depth + 1)) return true;
    }
  }
  // A capture takes no empty segment: "/a/" is not "/a/{x}" with nothing for x.
  if (node.capture && !walk.segments[depth].empty() && search(*node.capture, walk, depth + 1)) {
    return true;
  }
  return first(node.rests);
}

std::optional<Match> Table::match(const Question& q) const {
  if (!q.path.starts_with('/')) return {};
  Walk walk{q, {}, nullptr};
  for (auto rest = q.path.substr(1);;) {
    const auto slash = rest.find('/');
    walk.segments.push_back(rest.substr(0, slash));
    if (slash == std::string_view::npos) break;
    if (walk.segments.size() >= kMaxSegments) {
      return {};  // no route is so deep; the rest of a * may be
    }
    rest.remove_prefix(slash + 1);
  }
  const auto host = lower(q.host.substr(0, q.host.find(':')));
  bool found = false;
  if (const auto it = exact_.find(host); it != exact_.end()) found = search(*it->second, walk, 0);
  for (auto dot = host.find('.'); !found && !suffix_.empty() && dot != std::string::npos;
       dot = host.find('.', dot + 1)) {
    if (const auto it = suffix_.find(host.substr(dot)); it != suffix_.end()) {
      found = search(*it->second, walk, 0);
    }
  }
  if (!found) found = search(*any_, walk, 0);
  if (!found) return {};
  Match m;
  m.route = walk.found;
  const auto split = split_of(*m.route, q.hash);
  m.target = split ? m.route->splits[*split].second : m.route->target;
  for (std::size_t i = 0; i < m.route->path.size(); ++i) {
    const auto& s = m.route->path[i];
    if (s.kind == config_language::Segment::Kind::capture) {
      m.captures.emplace_back(s.text, walk.segments[i]);
    }
    if (s.kind == config_language::Segment::Kind::rest) {
      m.captures.emplace_back(
          "*", q.path.substr(static_cast<std::size_t>(walk.segments[i].data() - q.path.data())));
    }
  }
  return m;
}

std::vector<ServerId> Table::servers(const Pool& p, const endpoints::Snapshot& list) const {
  std::vector<ServerId> out;
  const auto among = [](const auto& all, const auto& one) {
    return all.empty() || std::find(all.begin(), all.end(), one) != all.end();
  };
  for (const auto& s : list.servers) {
    if (s.role != p.role || s.state != endpoints::ServerState::in_service ||
        s.weight < p.weight_least) {
      continue;
    }
    const auto& place = list.location_name(s);
    const auto& hub = s.role == Role::cache ? list.hubs[list.points[s.location_index].hub] : place;
    if (s.role == Role::cache && !among(p.points, place)) continue;
    if (among(p.hubs, hub) && among(p.cells, s.cell)) out.push_back(s.id);
  }
  return out;
}

bool host_fits(std::string_view pattern, std::string_view host) {
  if (!pattern.starts_with("*.")) return pattern == host;
  const auto suffix = pattern.substr(1);
  return host.size() > suffix.size() && host.ends_with(suffix);
}

std::optional<std::size_t> split_of(const Route& r, std::uint64_t hash) {
  if (r.splits.empty()) return {};
  // Mixed with the route's name: splits of two routes must not take the same users.
  const std::uint64_t seed = core::stable_hash(r.name);
  const double at = static_cast<double>(estimators::finalize_bits(hash ^ seed) >> 11) * 0x1.0p-53;
  double sum = 0;
  for (std::size_t i = 0; i < r.splits.size(); ++i) {
    if (at < (sum += r.splits[i].first)) return i;
  }
  return {};
}

}  // namespace alderspur::routing
