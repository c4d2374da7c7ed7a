#include "control/routes.h"

#include <algorithm>
#include <utility>

#include "config_language/checked_program.h"
#include "core/parsing.h"

namespace alderspur::control {
namespace {

constexpr const char* kLogModule = "routes";
constexpr std::size_t kMaxReportedErrors = 5;
/// The time limit of requests whose class sets none, in microseconds.
constexpr core::Time kDefaultTimeLimit = 2'500'000;
/// The part that is requested if the path has no {part} capture.
constexpr const char* kDefaultPart = "0";

limits::Rule to_rule(const routing::Limits& limits) {
  return {limits.max_in_flight, limits.max_rate, limits.burst};
}

bool has_capture(const routing::Route& route, const char* name) {
  return std::any_of(route.path.begin(), route.path.end(), [name](const auto& segment) {
    return segment.kind == config_language::Segment::Kind::capture && segment.text == name;
  });
}

/// Returns the class id of the route. Adds an error if signed links cannot use the class or the
/// path.
std::uint32_t resolve_class(const routing::Route& route, const config::Config& config,
                            diagnostics::Findings& findings) {
  const auto& names = config.names.classes;
  const auto found = std::find(names.begin(), names.end(), route.class_name);
  const auto class_id = static_cast<std::uint32_t>(found - names.begin());
  if (found == names.end()) {
    findings.error("S002", route.declared_at,
                   "the router's configuration has no class " + route.class_name);
  } else if (config.settings.classes[class_id].never_cached) {
    findings.error(
        "S002", route.declared_at,
        "class " + route.class_name + " runs at the origin and cannot be fetched by signed links");
  }
  if (!has_capture(route, "object")) {
    findings.error(
        "S002", route.declared_at, "the path of route " + route.name + " has no {object} capture",
        "the signed-URL front reads object and part from the captures {object} and {part}");
  }
  return class_id;
}

std::vector<std::string> limit_names(const routing::Table& table) {
  std::vector<std::string> names;
  for (const auto& route : table.routes()) names.push_back("route " + route.name);
  for (const auto& pool : table.pools()) names.push_back("pool " + pool.name);
  for (const auto& policy : table.policies()) names.push_back("policy " + policy.name);
  return names;
}

/// Returns the time limit of a request in microseconds. A policy can shorten the time limit of the
/// class, but not extend it.
core::Time time_limit(const CompiledRoutes& routes, std::uint32_t class_id,
                      const routing::Destination& destination) {
  const core::Time class_limit = routes.request_timeouts[class_id];
  const core::Time limit = class_limit > 0 ? class_limit : kDefaultTimeLimit;
  if (!destination.policy) return limit;
  const auto policy_limit = routes.table->policies()[*destination.policy].deadline;
  return policy_limit ? std::min(limit, *policy_limit) : limit;
}

}  // namespace

CompileResult compile_routes(const std::string& file, const config::Config& config) {
  CompileResult result;
  diagnostics::Findings& findings = result.findings;
  const auto checked = config_language::load_and_check(file, findings);
  if (!findings.is_ok()) return result;
  auto routes = std::make_shared<CompiledRoutes>();
  routes->table = std::make_unique<routing::Table>(checked.meaning, checked.program.sources);
  routes->request_timeouts = config.names.request_timeouts;
  for (const auto& route : routes->table->routes()) {
    routes->class_ids.push_back(resolve_class(route, config, findings));
  }
  if (findings.is_ok()) result.routes = std::move(routes);
  return result;
}

std::vector<std::string> first_errors(const diagnostics::Findings& findings) {
  std::vector<std::string> errors;
  for (const auto& finding : findings.list()) {
    if (errors.size() >= kMaxReportedErrors) break;
    if (finding.severity != diagnostics::Severity::error) continue;
    errors.push_back(diagnostics::to_string(finding));
  }
  return errors;
}

/// The data that a request keeps until it ends: the table that was active when it began, its match
/// in that table, and its reservation within the limits.
class Routes::Reservation : public signed_url::LimitReservation {
 public:
  Reservation(CompiledRoutesPtr routes, const routing::Match& match)
      : routes_(std::move(routes)), route_(*match.route), destination_(match.destination) {}

  void release(core::Time now) override { reservation_.release(now); }

  signed_url::Admission admit(limits::Limits& limits, core::Time now) {
    auto admission = limits.acquire(limit_claims(), now);
    if (!admission.is_admitted) return {false, std::max<core::Time>(1, admission.retry_after)};
    reservation_ = std::move(admission.reservation);
    return {};
  }

 private:
  std::vector<limits::Claim> limit_claims() const {
    const auto& table = *routes_->table;
    std::vector<limits::Claim> claims{{"route " + route_.name, to_rule(route_.limits)}};
    if (destination_.pool) {
      const auto& pool = table.pools()[*destination_.pool];
      claims.push_back({"pool " + pool.name, to_rule(pool.limits)});
    }
    if (destination_.policy) {
      const auto& policy = table.policies()[*destination_.policy];
      claims.push_back({"policy " + policy.name, to_rule(policy.limits)});
    }
    return claims;
  }

  CompiledRoutesPtr routes_;
  const routing::Route& route_;  // in routes_
  routing::Destination destination_;
  limits::Reservation reservation_;
};

Routes::Routes(edge_router::EdgeRouter& router, std::string file, log::Log& log)
    : router_(router), file_(std::move(file)), log_(log), wakeup_(router.loop()) {
  auto result = compile_routes(file_, router.config());
  if (!result.routes) {
    const auto errors = first_errors(result.findings);
    throw config::Error("the program of routes has errors: " +
                        (errors.empty() ? file_ : errors[0]));
  }
  active_ = std::move(result.routes);
  log_.record(kLogModule, log::Level::info, "table_taken",
              {{"routes", active_->table->routes().size()}});
}

Routes::~Routes() = default;

// ---- Reload ----

void Routes::reload() {
  if (is_compiling_) {
    must_compile_again_ = true;
    return;
  }
  is_compiling_ = true;
  const bool is_submitted = worker_.submit([this, &config = router_.config()] {
    wakeup_.post([this, result = compile_routes(file_, config)] { finish_reload(result); });
  });
  if (!is_submitted) is_compiling_ = false;
}

void Routes::finish_reload(const CompileResult& result) {
  is_compiling_ = false;
  if (result.routes) {
    activate(result.routes);
  } else {
    for (const auto& error : first_errors(result.findings)) {
      log_.record(kLogModule, log::Level::error, "table_refused", {{"reason", error}});
    }
  }
  if (std::exchange(must_compile_again_, false)) reload();
}

void Routes::activate(CompiledRoutesPtr routes) {
  const auto before = std::exchange(active_, std::move(routes));
  limits_.retain(limit_names(*active_->table));
  log_.record(
      kLogModule, log::Level::info, "table_taken",
      {{"routes", active_->table->routes().size()}, {"before", before->table->routes().size()}});
}

// ---- Requests ----

std::optional<routing::Match> Routes::find_route(const http::Request& request,
                                                 std::string_view path,
                                                 std::string_view query) const {
  routing::RequestAttributes attributes;
  attributes.host = request.host;
  attributes.path = path;
  attributes.method = request.method == http::Method::head ? "HEAD" : "GET";
  const auto& zones = router_.config().names.zones;
  const auto own_zone = router_.config().settings.location.value;
  if (own_zone < zones.size()) attributes.location = zones[own_zone];
  attributes.header = [&request](std::string_view name) { return request.field(name); };
  attributes.query = [query](std::string_view name) { return http::parameter(query, name); };
  attributes.hash = core::stable_hash(path);
  return active_->table->match(attributes);
}

std::optional<signed_url::RouteMatch> Routes::match(const http::Request& request,
                                                    std::string_view path, std::string_view query) {
  const auto found = find_route(request, path, query);
  if (!found) return std::nullopt;
  const auto route_index = static_cast<std::size_t>(found->route - active_->table->routes().data());
  signed_url::RouteMatch match;
  match.class_id = active_->class_ids[route_index];
  match.part = kDefaultPart;
  for (const auto& [name, value] : found->captures) {
    if (name == "object") match.object = value;
    if (name == "part") match.part = value;
  }
  match.time_limit = time_limit(*active_, match.class_id, found->destination);
  match.reservation = std::make_unique<Reservation>(active_, *found);
  return match;
}

signed_url::Admission Routes::admit(signed_url::RouteMatch& match, core::Time now) {
  // match() creates every reservation that reaches this function.
  return static_cast<Reservation&>(*match.reservation).admit(limits_, now);
}

}  // namespace alderspur::control
