#include "control/routes.h"

#include <algorithm>
#include <utility>

#include "config_language/checked_program.h"
#include "core/parsing.h"

namespace alderspur::control {
namespace {

constexpr const char* kLogModule = "routes";
constexpr std::size_t kMaxReportedFindings = 5;
/// Of requests whose class sets none, in microseconds.
constexpr core::Time kDefaultTimeLimit = 2'500'000;
/// The part of requests whose path names none.
constexpr const char* kDefaultPart = "0";

limits::Rule to_rule(const routing::Limits& limits) {
  return {limits.max_in_flight, limits.max_rate, limits.burst};
}

bool has_capture(const routing::Route& route, const char* name) {
  return std::any_of(route.path.begin(), route.path.end(), [name](const auto& segment) {
    return segment.kind == config_language::Segment::Kind::capture && segment.text == name;
  });
}

/// The number of the route's class, with a finding where links cannot use the class or the path.
std::uint32_t resolve_class(const routing::Route& route, const config::Config& config,
                            diagnostics::Findings& findings) {
  const auto& names = config.names.classes;
  const auto found = std::find(names.begin(), names.end(), route.class_name);
  const auto number = static_cast<std::uint32_t>(found - names.begin());
  if (found == names.end()) {
    findings.error("S002", route.declared_at,
                   "the router's configuration has no class " + route.class_name);
  } else if (config.settings.classes[number].never_cached) {
    findings.error(
        "S002", route.declared_at,
        "class " + route.class_name + " runs at the origin and cannot be fetched by links");
  }
  if (!has_capture(route, "object")) {
    findings.error("S002", route.declared_at,
                   "the path of route " + route.name + " has no {object}",
                   "the signed front takes object and part from {object} and {part}");
  }
  return number;
}

void report_errors(const diagnostics::Findings& findings, std::vector<std::string>& reported) {
  for (const auto& finding : findings.list()) {
    if (finding.severity != diagnostics::Severity::error) continue;
    if (reported.size() >= kMaxReportedFindings) return;
    reported.push_back(diagnostics::to_string(finding));
  }
}

std::vector<std::string> limit_names(const routing::Table& table) {
  std::vector<std::string> names;
  for (const auto& route : table.routes()) names.push_back("route " + route.name);
  for (const auto& pool : table.pools()) names.push_back("pool " + pool.name);
  for (const auto& policy : table.policies()) names.push_back("policy " + policy.name);
  return names;
}

/// A policy may only shorten the time limit of the class.
core::Time time_limit(const TableInForce& table, std::uint32_t class_id,
                      const routing::Destination& target) {
  const core::Time of_class = table.deadlines[class_id];
  const core::Time limit = of_class > 0 ? of_class : kDefaultTimeLimit;
  if (!target.policy) return limit;
  const auto of_policy = table.table->policies()[*target.policy].deadline;
  return of_policy ? std::min(limit, *of_policy) : limit;
}

}  // namespace

TablePtr compile(const std::string& file, const config::Config& config,
                 std::vector<std::string>& findings) {
  diagnostics::Findings found;
  const auto checked = config_language::load_and_check(file, found);
  auto compiled = std::make_shared<TableInForce>();
  if (found.is_ok()) {
    compiled->table = std::make_unique<routing::Table>(checked.meaning, checked.program.sources);
    compiled->deadlines = config.names.request_timeouts;
    for (const auto& route : compiled->table->routes()) {
      compiled->classes.push_back(resolve_class(route, config, found));
    }
  }
  report_errors(found, findings);
  return found.is_ok() ? compiled : nullptr;
}

/// What a request keeps until its end: the table under which it began, its match, and its
/// reservation.
class Routes::Held : public signed_url::Hold {
 public:
  void end(core::Time now) override { reservation.release(now); }
  TablePtr table;
  const routing::Route* route = nullptr;
  routing::Destination destination;
  limits::Reservation reservation;
};

Routes::Routes(edge_router::EdgeRouter& node, std::string file, log::Log& log)
    : node_(node), file_(std::move(file)), log_(log), wakeup_(node.loop()) {
  std::vector<std::string> findings;
  table_ = compile(file_, node.config(), findings);
  if (!table_) {
    throw config::Error("the routes do not check: " + (findings.empty() ? file_ : findings[0]));
  }
  log_.record(kLogModule, log::Level::info, "table_taken",
              {{"routes", table_->table->routes().size()}});
}

Routes::~Routes() = default;

void Routes::reload() {
  if (is_compiling_) {
    must_compile_again_ = true;
    return;
  }
  is_compiling_ = true;
  const bool is_submitted = worker_.submit([this, &config = node_.config()] {
    std::vector<std::string> findings;
    auto table = compile(file_, config, findings);
    wakeup_.post([this, table = std::move(table), findings = std::move(findings)] {
      finish_reload(table, findings);
    });
  });
  if (!is_submitted) is_compiling_ = false;
}

void Routes::finish_reload(TablePtr table, const std::vector<std::string>& findings) {
  is_compiling_ = false;
  if (table) {
    replace_table(std::move(table));
  } else {
    for (const auto& finding : findings) {
      log_.record(kLogModule, log::Level::error, "table_refused", {{"reason", finding}});
    }
  }
  if (std::exchange(must_compile_again_, false)) reload();
}

void Routes::replace_table(TablePtr table) {
  const auto before = std::exchange(table_, std::move(table));
  limits_.retain(limit_names(*table_->table));
  log_.record(
      kLogModule, log::Level::info, "table_taken",
      {{"routes", table_->table->routes().size()}, {"before", before->table->routes().size()}});
}

std::optional<routing::Match> Routes::match(const http::Request& request, std::string_view path,
                                            std::string_view query) const {
  routing::RequestAttributes attributes;
  attributes.host = request.host;
  attributes.path = path;
  attributes.method = request.method == http::Method::head ? "HEAD" : "GET";
  const auto& zones = node_.config().names.zones;
  const auto own_zone = node_.config().settings.location.value;
  if (own_zone < zones.size()) attributes.location = zones[own_zone];
  attributes.header = [&request](std::string_view name) { return request.field(name); };
  attributes.query = [query](std::string_view name) { return http::parameter(query, name); };
  attributes.hash = core::stable_hash(path);
  return table_->table->match(attributes);
}

std::optional<signed_url::Found> Routes::find(const http::Request& request, std::string_view path,
                                              std::string_view query) {
  const auto matched = match(request, path, query);
  if (!matched) return std::nullopt;
  signed_url::Found found;
  const auto route_index =
      static_cast<std::size_t>(matched->route - table_->table->routes().data());
  found.cls = table_->classes[route_index];
  found.part = kDefaultPart;
  for (const auto& [name, value] : matched->captures) {
    if (name == "object") found.object = value;
    if (name == "part") found.part = value;
  }
  found.limit = time_limit(*table_, found.cls, matched->destination);
  auto held = std::make_unique<Held>();
  held->table = table_;
  held->route = matched->route;
  held->destination = matched->destination;
  found.hold = std::move(held);
  return found;
}

core::Time Routes::admit(signed_url::Found& found, core::Time now) {
  auto& held = static_cast<Held&>(*found.hold);
  const auto& table = *held.table->table;
  std::vector<limits::Claim> claims{{"route " + held.route->name, to_rule(held.route->limits)}};
  if (held.destination.pool) {
    const auto& pool = table.pools()[*held.destination.pool];
    claims.push_back({"pool " + pool.name, to_rule(pool.limits)});
  }
  if (held.destination.policy) {
    const auto& policy = table.policies()[*held.destination.policy];
    claims.push_back({"policy " + policy.name, to_rule(policy.limits)});
  }
  auto admission = limits_.acquire(claims, now);
  if (!admission.is_admitted) return std::max<core::Time>(1, admission.retry_after);
  held.reservation = std::move(admission.reservation);
  return 0;
}

}  // namespace alderspur::control
