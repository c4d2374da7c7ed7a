#include "routing/table.h"

#include <algorithm>
#include <utility>

#include "routing/compile.h"
#include "routing/lower_case.h"

namespace alderspur::routing {
namespace {

constexpr std::size_t kMaxSegments = 64;  // a path with more segments matches no route

/// Reports whether the list contains the value. An empty list accepts any value.
bool accepts_value(const std::vector<std::string>& accepted, std::string_view value) {
  return accepted.empty() || std::find(accepted.begin(), accepted.end(), value) != accepted.end();
}

/// Reports whether the request meets a condition on a header or query parameter.
bool is_met(const Condition& condition, const RequestAttributes& request) {
  const auto& lookup = condition.kind == Condition::Kind::header ? request.header : request.query;
  const auto value = lookup ? lookup(condition.name) : std::nullopt;
  return value && *value == condition.value;
}

/// Reports whether a route whose host and path match also accepts the method, the location and the
/// other attributes of the request.
bool accepts_request(const Route& route, const RequestAttributes& request) {
  if (!accepts_value(route.methods, request.method)) return false;
  if (!accepts_value(route.locations, request.location)) return false;
  return std::all_of(route.conditions.begin(), route.conditions.end(),
                     [&request](const auto& condition) { return is_met(condition, request); });
}

/// Returns the number of a route's conditions. A list of methods counts as one condition, and so
/// does a list of locations.
std::size_t count_conditions(const Route& route) {
  return route.conditions.size() + (route.methods.empty() ? 0 : 1) +
         (route.locations.empty() ? 0 : 1);
}

/// Splits a path into its segments. Returns an empty vector if the path does not begin with a slash
/// or has more than kMaxSegments segments.
std::vector<std::string_view> split_path(std::string_view path) {
  if (!path.starts_with('/')) return {};
  std::vector<std::string_view> segments;
  for (;;) {
    path.remove_prefix(1);
    const std::size_t slash = path.find('/');
    segments.push_back(path.substr(0, slash));
    if (slash == std::string_view::npos) return segments;
    if (segments.size() >= kMaxSegments) return {};
    path.remove_prefix(slash);
  }
}

/// Returns the values of the route's captures in a path that matches it.
std::vector<Capture> extract_captures(const Route& route, std::string_view path,
                                      const std::vector<std::string_view>& segments) {
  using Kind = config_language::Segment::Kind;
  std::vector<Capture> captures;
  for (std::size_t i = 0; i < route.path.size(); ++i) {
    const auto& segment = route.path[i];
    if (segment.kind == Kind::capture) captures.push_back({segment.text, segments[i]});
    if (segment.kind == Kind::rest) {
      const auto begin = static_cast<std::size_t>(segments[i].data() - path.data());
      captures.push_back({"*", path.substr(begin)});
    }
  }
  return captures;
}

}  // namespace

Table::Table(const config_language::Meaning& meaning, const config_language::Sources& sources) {
  CompiledProgram program = compile(meaning, sources);
  routes_ = std::move(program.routes);
  pools_ = std::move(program.pools);
  policies_ = std::move(program.policies);
  for (RouteIndex index = 0; index < routes_.size(); ++index) index_route(index);
}

void Table::index_route(RouteIndex index) {
  const Route& route = routes_[index];
  const std::size_t priority = count_conditions(route);
  if (route.hosts.empty()) any_host_.insert(route.path, index, priority);
  for (const auto& host : route.hosts) {
    const bool is_suffix = host.starts_with("*.");
    auto& tree = is_suffix ? host_suffixes_[host.substr(1)] : exact_hosts_[host];
    tree.insert(route.path, index, priority);
  }
}

std::optional<RouteIndex> Table::find_route(std::string_view host,
                                            const std::vector<std::string_view>& segments,
                                            const PathTree::RoutePredicate& accepts) const {
  const std::string name = to_lower_case(host);
  if (const auto it = exact_hosts_.find(name); it != exact_hosts_.end()) {
    if (const auto route = it->second.find(segments, accepts)) return route;
  }
  if (!host_suffixes_.empty()) {
    for (auto dot = name.find('.'); dot != std::string::npos; dot = name.find('.', dot + 1)) {
      const auto it = host_suffixes_.find(name.substr(dot));
      if (it == host_suffixes_.end()) continue;
      if (const auto route = it->second.find(segments, accepts)) return route;
    }
  }
  return any_host_.find(segments, accepts);
}

std::optional<Match> Table::match(const RequestAttributes& request) const {
  const auto segments = split_path(request.path);
  if (segments.empty()) return std::nullopt;
  const std::string_view host = request.host.substr(0, request.host.find(':'));
  const auto accepts = [this, &request](RouteIndex index) {
    return accepts_request(routes_[index], request);
  };
  const auto index = find_route(host, segments, accepts);
  if (!index) return std::nullopt;
  const Route& route = routes_[*index];
  Match match;
  match.route = &route;
  const auto split = select_split(route, request.hash);
  match.destination = split ? route.splits[*split].destination : route.destination;
  match.captures = extract_captures(route, request.path, segments);
  return match;
}

}  // namespace alderspur::routing
