#include "routing/table.h"

#include <algorithm>

#include "core/parsing.h"

namespace alderspur::routing {
namespace {

constexpr std::size_t kSegmentsMost = 64;

std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
  }
  return out;
}
std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
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
    if (std::uint32_t cell = 0; core::parse_number(c, cell)) p.cells.push_back(cell);
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

Table::Table(const config_language::Meaning& meaning, const config_language::Sources& sources)
    : any_(std::make_unique<Node>()) {
  std::map<std::string, std::uint32_t> pools, policies;
  for (const auto& d : meaning.declarations) {
    if (d.kind->name == "pool" && pools.emplace(d.name, pools_.size()).second) {
      pools_.push_back(pool_of(d));
      pools_.back().place = sources.place(d.span);
    }
    if (d.kind->name == "policy" && policies.emplace(d.name, policies_.size()).second) {
      policies_.push_back(policy_of(d));
    }
  }
  const auto target = [&](const config_language::Settings& s) {
    Target t;
    if (const auto p = texts(s, "pool"); !p.empty() && pools.contains(p[0])) {
      t.pool = pools.at(p[0]);
    }
    if (const auto p = texts(s, "policy"); !p.empty() && policies.contains(p[0])) {
      t.policy = policies.at(p[0]);
    }
    return t;
  };
  for (const auto& d : meaning.declarations) {
    if (d.kind->name == "pool") {
      for (const auto& name : texts(d.settings, "fallback")) {
        if (pools.contains(name)) pools_[pools.at(d.name)].fallback.push_back(pools.at(name));
      }
    }
    if (d.kind->name != "route") continue;
    std::string error;
    auto path = config_language::segments(
        texts(d.settings, "path").empty() ? "" : texts(d.settings, "path")[0], error);
    const auto cls = texts(d.settings, "class");
    if (!path || cls.empty()) continue;  // a program that does not check
    Route r;
    r.name = d.name;
    r.cls = cls[0];
    for (const auto& h : texts(d.settings, "host")) r.hosts.push_back(lower(h));
    r.methods = texts(d.settings, "method");
    r.points = texts(d.settings, "point");
    r.points.insert(r.points.end(), d.when.begin(), d.when.end());
    r.path = std::move(*path);
    for (const auto& [key, s] : d.settings) {
      for (const auto kind : {Condition::Kind::header, Condition::Kind::query}) {
        const std::string_view prefix = kind == Condition::Kind::header ? "header " : "query ";
        if (key.starts_with(prefix) && !s.texts.empty()) {
          r.conditions.push_back({kind, key.substr(prefix.size()), s.texts[0]});
        }
      }
    }
    r.target = target(d.settings);
    for (const auto& split : d.splits) {
      Target t = target(split.settings);
      if (!t.pool) t.pool = r.target.pool;
      if (!t.policy) t.policy = r.target.policy;
      r.splits.emplace_back(split.part, t);
    }
    r.limits = limits_of(d.settings);
    r.place = sources.place(d.span);
    routes_.push_back(std::move(r));
  }
  for (std::uint32_t i = 0; i < routes_.size(); ++i) {
    if (routes_[i].hosts.empty()) insert(*any_, i);
    for (const auto& h : routes_[i].hosts) {
      auto& node = h.starts_with("*.") ? suffix_[h.substr(1)] : exact_[h];
      if (!node) node = std::make_unique<Node>();
      insert(*node, i);
    }
  }
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
    if (walk.segments.size() >= kSegmentsMost) {
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
  const double at = static_cast<double>(mix(hash ^ seed) >> 11) * 0x1.0p-53;
  double sum = 0;
  for (std::size_t i = 0; i < r.splits.size(); ++i) {
    if (at < (sum += r.splits[i].first)) return i;
  }
  return {};
}

}  // namespace alderspur::routing
