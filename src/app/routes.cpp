#include "app/routes.h"

#include <algorithm>

#include "app/language.h"
#include "core/parsing.h"

namespace alderspur::app {
namespace {

constexpr std::size_t kTold = 5;
constexpr const char* kName = "routes";

limits::Rule rule(const routing::Limits& l) { return {l.max_in_flight, l.max_rate, l.burst}; }

}  // namespace

TablePtr compile(const std::string& file, const config::Config& config,
                 std::vector<std::string>& findings) {
  diagnostics::Findings found;
  const auto checked = check_language(file, found);
  auto out = std::make_shared<TableInForce>();
  if (found.good()) {
    out->table = std::make_unique<routing::Table>(checked.meaning, checked.program.sources);
    const auto& names = config.names.classes;
    out->deadlines = config.names.give_up;
    for (const auto& r : out->table->routes()) {
      const auto it = std::find(names.begin(), names.end(), r.cls);
      out->classes.push_back(static_cast<std::uint32_t>(it - names.begin()));
      if (it == names.end()) {
        found.error("S002", r.place, "the router's configuration has no class " + r.cls);
      } else if (config.settings.classes[out->classes.back()].never_cached) {
        found.error("S002", r.place,
                    "class " + r.cls + " runs at the origin and cannot be fetched by links");
      }
      const auto named = [&](const char* capture) {
        return std::any_of(r.path.begin(), r.path.end(), [&](auto& s) {
          return s.kind == config_language::Segment::Kind::capture && s.text == capture;
        });
      };
      if (!named("object")) {
        found.error("S002", r.place, "the path of route " + r.name + " has no {object}",
                    "the signed front takes object and part from {object} and {part}");
      }
    }
  }
  for (const auto& f : found.list()) {
    if (f.severity == diagnostics::Severity::error && findings.size() < kTold) {
      findings.push_back(diagnostics::to_string(f));
    }
  }
  return found.good() ? out : nullptr;
}

// What a request holds: the table it began under, its match, and later its room.
class Routes::Held : public signed_url::Hold {
 public:
  void end(core::Time now) override { permit.release(now); }
  TablePtr table;
  const routing::Route* route = nullptr;
  routing::Target target;
  limits::Permit permit;
};

Routes::Routes(platform::EdgeRouter& node, std::string file, log::Log& log)
    : node_(node), file_(std::move(file)), log_(log), wakeup_(node.loop()) {
  std::vector<std::string> findings;
  table_ = compile(file_, node.config(), findings);
  if (!table_) {
    throw config::Error("the routes do not check: " + (findings.empty() ? file_ : findings[0]));
  }
  log_.record(kName, log::Level::info, "table_taken", {{"routes", table_->table->routes().size()}});
}
Routes::~Routes() = default;

void Routes::reload() {
  if (std::exchange(reading_, true)) {
    again_ = true;
    return;
  }
  const bool given = worker_.submit([this, &config = node_.config()] {
    std::vector<std::string> findings;
    auto table = compile(file_, config, findings);
    wakeup_.post([this, table = std::move(table), findings = std::move(findings)] {
      take(table, findings);
    });
  });
  if (!given) reading_ = false;
}

void Routes::take(TablePtr table, const std::vector<std::string>& findings) {
  reading_ = false;
  if (!table) {
    for (const auto& f : findings) {
      log_.record(kName, log::Level::error, "table_refused", {{"reason", f}});
    }
  } else {
    const auto before = std::exchange(table_, std::move(table));
    std::vector<std::string> named;
    for (const auto& r : table_->table->routes()) named.push_back("route " + r.name);
    for (const auto& p : table_->table->pools()) named.push_back("pool " + p.name);
    for (const auto& p : table_->table->policies()) named.push_back("policy " + p.name);
    limits_.keep(named);
    log_.record(
        kName, log::Level::info, "table_taken",
        {{"routes", table_->table->routes().size()}, {"before", before->table->routes().size()}});
  }
  if (std::exchange(again_, false)) reload();
}

std::optional<signed_url::Found> Routes::find(const http::Request& request, std::string_view path,
                                              std::string_view query) {
  routing::Question q;
  q.host = request.host;
  q.path = path;
  q.method = request.method == http::Method::head ? "HEAD" : "GET";
  const auto& zones = node_.config().names.zones;
  const auto own = node_.config().settings.location.value;
  if (own < zones.size()) q.point = zones[own];
  q.header = [&](std::string_view name) { return request.field(name); };
  q.query = [&](std::string_view name) { return http::parameter(query, name); };
  q.hash = core::stable_hash(path);
  const auto m = table_->table->match(q);
  if (!m) return {};
  signed_url::Found found;
  const auto at = static_cast<std::size_t>(m->route - table_->table->routes().data());
  found.cls = table_->classes[at];
  found.part = "0";
  for (const auto& [name, value] : m->captures) {
    if (name == "object") found.object = value;
    if (name == "part") found.part = value;
  }
  found.limit = table_->deadlines[found.cls] > 0 ? table_->deadlines[found.cls] : 2'500'000;
  // A policy may only tighten.
  if (m->target.policy) {
    if (const auto d = table_->table->policies()[*m->target.policy].deadline) {
      found.limit = std::min(found.limit, *d);
    }
  }
  auto held = std::make_unique<Held>();
  held->table = table_;
  held->route = m->route;
  held->target = m->target;
  found.hold = std::move(held);
  return found;
}

core::Time Routes::admit(signed_url::Found& found, core::Time now) {
  auto& held = static_cast<Held&>(*found.hold);
  const auto& t = *held.table->table;
  std::vector<limits::Limits::Ask> asked{{"route " + held.route->name, rule(held.route->limits)}};
  if (held.target.pool) {
    const auto& p = t.pools()[*held.target.pool];
    asked.push_back({"pool " + p.name, rule(p.limits)});
  }
  if (held.target.policy) {
    const auto& p = t.policies()[*held.target.policy];
    asked.push_back({"policy " + p.name, rule(p.limits)});
  }
  auto verdict = limits_.ask(asked, now);
  if (!verdict.admitted) return std::max<core::Time>(1, verdict.retry_after);
  held.permit = std::move(verdict.permit);
  return 0;
}

}  // namespace alderspur::app
