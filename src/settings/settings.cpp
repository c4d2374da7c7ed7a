#include "settings/settings.h"

#include <algorithm>
#include <filesystem>
#include <set>

#include "consensus/applied_state.h"
#include "net/connection.h"
#include "toml/document.h"

namespace alderspur::settings {
namespace {

constexpr core::Time kMillisecond = 1'000;
constexpr core::Time kSecond = 1'000'000;
constexpr core::Time kHour = 3600 * kSecond;

std::string path_in(const std::string& folder, const std::string& path) {
  return std::filesystem::path(path).is_absolute()
             ? path
             : (std::filesystem::path(folder) / path).string();
}
log::Level level_of(const std::string& word) {
  return word == "debug"     ? log::Level::debug
         : word == "warning" ? log::Level::warning
         : word == "error"   ? log::Level::error
                             : log::Level::info;
}
void listens(toml::Table& t, const std::string& address, diagnostics::Findings& findings) {
  if (!net::parse_address(address)) {
    findings.error("S002", t.place("listen"), "'" + address + "' is no address to listen on",
                   "write numbers and a port, such as 127.0.0.1:8480");
  }
}

void read_log(toml::Table t, log::Settings& out, diagnostics::Findings& findings) {
  const std::vector<std::string_view> levels = {"debug", "info", "warning", "error"};
  if (const auto form = t.word("form", {"logfmt", "json"})) {
    out.form = *form == "json" ? log::Form::json : log::Form::logfmt;
  }
  if (const auto level = t.word("level", levels)) out.level = level_of(*level);
  if (const auto n = t.integer("per_second", 1, 10'000)) out.per_second = static_cast<int>(*n);
  auto by_subsystem = t.table("levels");
  const std::vector<std::string_view> known = {"router", "membership", "signed",
                                               "xds",    "routes",     "cluster"};
  for (const auto& [name, level] : by_subsystem.texts()) {
    if (std::find(levels.begin(), levels.end(), level) == levels.end()) {
      findings.error("F003", by_subsystem.place(name),
                     name + ": '" + std::string(level).append("' is no level"));
    }
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      const auto near = diagnostics::nearest(name, known);
      findings.error("F004", by_subsystem.place(name), "no subsystem is called " + name,
                     near.empty() ? "router, membership, signed, xds, routes, cluster"
                                  : "did you mean " + near + "?");
    }
    out.levels[name] = level_of(level);
  }
  t.finish();
}

void read_damping(toml::Table t, endpoints::DampingSettings& d, diagnostics::Findings& findings) {
  if (const auto v = t.flag("on")) d.is_enabled = *v;
  if (const auto v = t.real("departure", 1, 1e6)) d.departure_penalty = *v;
  if (const auto v = t.real("suppress", 1, 1e6)) d.suppress_threshold = *v;
  if (const auto v = t.real("reuse", 1, 1e6)) d.reuse_threshold = *v;
  if (const auto v = t.duration("half_life", 100 * kMillisecond, 24 * kHour)) d.half_life = *v;
  if (const auto v = t.duration("longest", 100 * kMillisecond, 24 * kHour))
    d.max_suppress_time = *v;
  if (d.reuse_threshold >= d.suppress_threshold) {
    findings.error("S002", t.place("reuse"), "reuse must be lower than suppress",
                   "a server held out at " + std::to_string(d.suppress_threshold) +
                       " would be let back at once");
  }
  if (d.max_suppress_time < d.half_life) {
    findings.error("S002", t.place("longest"), "longest is shorter than half_life",
                   "no penalty could reach suppress");
  }
  t.finish();
}

Membership read_membership(toml::Table t, const std::string& folder,
                           diagnostics::Findings& findings) {
  Membership m;
  const auto authority = t.word("authority", {"board", "files", "both"}, true);
  if (authority) {
    m.fleet.authority = *authority == "board"   ? endpoints::Authority::board
                        : *authority == "files" ? endpoints::Authority::files
                                                : endpoints::Authority::both;
  }
  const bool files = m.fleet.authority != endpoints::Authority::board;
  if (const auto v = t.text("list", files)) m.list = path_in(folder, *v);
  if (const auto v = t.text("state")) m.state = path_in(folder, *v);
  if (const auto v = t.duration("oldest", kSecond, std::int64_t{365} * 24 * kHour)) m.oldest = *v;
  if (const auto v = t.duration("settle", kMillisecond, 400 * kMillisecond)) m.settle = *v;
  if (const auto v = t.duration("poll", 20 * kMillisecond, 3600 * kSecond)) m.poll = *v;
  if (const auto v = t.real("most_out", 0, 1)) m.bounds.max_lost_fraction = *v;
  if (const auto v = t.real("weight_step", 1.01, 100)) m.fleet.max_weight_factor = *v;
  if (const auto v = t.duration("weight_every", 10 * kMillisecond, kHour))
    m.fleet.weight_interval = *v;
  if (const auto v = t.size("most_bytes", 1024, 16 << 20)) {
    m.limits.max_bytes = static_cast<std::size_t>(*v);
  }
  if (const auto v = t.integer("most_servers", 1, 100'000)) {
    m.limits.max_servers = static_cast<std::size_t>(*v);
  }
  if (const auto v = t.real("weight_least", 1e-6, 1e6)) m.limits.min_weight = *v;
  if (const auto v = t.real("weight_most", 1e-6, 1e9)) m.limits.max_weight = *v;
  read_damping(t.table("damping"), m.fleet.damping, findings);
  t.finish();
  return m;
}

void read_agreement(toml::Table t, Cluster& c, diagnostics::Findings& findings) {
  c.agreement = t.flag("enabled").value_or(true);
  c.voters = t.words("voters");
  const std::set<std::string> names(c.voters.begin(), c.voters.end());
  if (c.voters.size() % 2 == 0 || c.voters.size() > consensus::kMaxVoters ||
      names.size() != c.voters.size()) {
    findings.error("S002", t.place("voters"), "voters are 1, 3, 5 or 7 different members",
                   "name the same ones in the settings of every router");
  }
  if (c.agreement && c.state.empty()) {
    findings.error("S002", t.place("voters"), "agreement needs a folder of its own on a disk",
                   "set `state` in [cluster]");
  }
  t.finish();
}

Cluster read_cluster(toml::Table t, const std::string& folder, diagnostics::Findings& findings,
                     bool& enabled) {
  Cluster c;
  auto& m = c.membership;
  enabled = t.flag("enabled").value_or(true);
  const auto short_word = [&](const char* key, std::string& into, bool required) {
    const auto v = t.text(key, required);
    if (!v) return;
    into = *v;
    const bool plain =
        std::all_of(v->begin(), v->end(), [](char x) { return x > ' ' && x <= '~' && x != '"'; });
    if (v->empty() || v->size() > cluster::kMaxNameLength || !plain) {
      findings.error("S002", t.place(key),
                     std::string(key) + " is not a word of 1 to 64 printing characters");
    }
  };
  short_word("name", c.name, true);
  short_word("member", c.member, false);
  short_word("point", c.point, false);
  if (const auto v = t.text("listen", true)) c.listen = *v, listens(t, *v, findings);
  if (const auto v = t.text("advertise")) {
    c.advertise = *v;
    if (!net::parse_address(*v)) {
      findings.error("S002", t.place("advertise"), "'" + *v + "' is no address");
    }
  }
  if (const auto v = t.text("secret", true)) c.secret = path_in(folder, *v);
  if (const auto v = t.text("state")) c.state = path_in(folder, *v);
  if (const auto v = t.real("share", 0, 1)) c.share = *v;
  c.replicate = t.flag("replicate").value_or(true);
  for (const auto& seed : t.words("seeds")) {
    if (!net::parse_address(seed)) {
      findings.error("S002", t.place("seeds"), "'" + seed + "' is no address of a seed",
                     "write numbers and a port, such as 127.0.0.1:7480");
    }
    c.seeds.push_back(seed);
  }
  if (const auto v = t.duration("period", 50 * kMillisecond, 60 * kSecond)) {
    // All times of the rules keep their proportions.
    const double by = static_cast<double>(*v) / static_cast<double>(m.probe_interval);
    for (auto* x : {&m.probe_timeout, &m.gossip_interval, &m.reconnect_interval,
                    &m.refresh_interval, &m.min_suspicion_timeout, &m.max_suspicion_timeout}) {
      *x = static_cast<core::Time>(static_cast<double>(*x) * by);
    }
    m.probe_interval = *v;
  }
  if (const auto v = t.duration("forget", 10 * kSecond, 24 * kHour)) m.forget_after = *v;
  if (t.has("agreement")) read_agreement(t.table("agreement"), c, findings);
  if (m.forget_after < 5 * m.max_suspicion_timeout) {
    findings.error("S002", t.place("forget"), "forget is shorter than five suspicions",
                   "old news could outlive it");
  }
  t.finish();
  return c;
}

void read_signed(toml::Table t, Settings& out, diagnostics::Findings& findings) {
  config::Signed s;
  s.enabled = t.flag("enabled").value_or(true);
  if (const auto v = t.text("listen", true)) s.listen = *v, listens(t, *v, findings);
  if (const auto v = t.text("cookie")) s.cookie = *v;
  if (const auto v = t.duration("skew", 0, 300 * kSecond)) s.skew_s = *v / kSecond;
  for (auto& k : t.tables("key")) {
    const auto id = k.text("id", true), secret = k.text("secret", true);
    const auto until = k.integer("until", 0, 1LL << 40);
    k.finish();
    if (!id || !secret) continue;
    if (secret->size() < 16) {
      findings.error("S002", k.place("secret"),
                     "the secret of key " + *id + " has under 16 characters", "use 32 random ones");
    }
    for (const auto& other : s.keys) {
      if (other.id == *id) {
        findings.error("S002", k.place("id"), "two keys are called " + *id, "rename one");
      }
    }
    s.keys.push_back({*id, *secret, until.value_or(0)});
  }
  for (auto& r : t.tables("route")) {
    SignedRoute route;
    const auto prefix = r.text("prefix", true), cls = r.text("class", true);
    if (const auto v = r.duration("limit", kMillisecond, 600 * kSecond)) route.limit = *v;
    r.finish();
    if (!prefix || !cls) continue;
    route.place = r.place("class");
    route.prefix = *prefix, route.cls = *cls;
    if (!prefix->starts_with('/') || !prefix->ends_with('/')) {
      findings.error("S002", r.place("prefix"), "a prefix begins and ends with a slash",
                     "'/" + *prefix + "/'");
    }
    out.routes.push_back(std::move(route));
  }
  t.finish();
  if (s.enabled && s.keys.empty()) {
    findings.error("S002", t.place(), "the signed front is on but has no [[signed.key]]");
  }
  if (s.enabled && out.routes.empty() && out.routes_file.empty()) {
    findings.error("S002", t.place(), "the signed front is on but has no [[signed.route]]");
  }
  if (s.enabled) out.links = std::move(s);
}

}  // namespace

Settings read(std::string_view text, const std::string& file, const std::string& folder,
              diagnostics::Findings& findings) {
  Settings out;
  toml::Document document(text, file, findings, "S001");
  if (!document.read()) return out;
  auto root = document.root();
  auto router = root.table("router");
  if (const auto v = router.text("config", root.has("router"))) out.config = path_in(folder, *v);
  if (const auto v = router.text("listen")) out.listen = *v, listens(router, *v, findings);
  if (const auto v = router.text("operator")) {
    out.operators = *v;
    if (!net::parse_address(*v)) {
      findings.error("S002", router.place("operator"), "'" + *v + "' is no address to listen on",
                     "write numbers and a port, such as 127.0.0.1:8470");
    }
  }
  if (!root.has("router")) {
    findings.error("S002", {file, 0, 0}, "there is no [router] section",
                   "name the platform's JSON in its config");
  }
  router.finish();
  read_log(root.table("log"), out.log, findings);
  // Asked for also where absent: a misspelt section then finds its nearest name.
  auto routes = root.table("routes");
  if (root.has("routes")) {
    if (const auto v = routes.text("file", true)) out.routes_file = path_in(folder, *v);
  }
  routes.finish();
  auto membership = root.table("membership"), links = root.table("signed"), t = root.table("xds");
  if (root.has("membership")) {
    out.membership = read_membership(std::move(membership), folder, findings);
  }
  if (root.has("signed")) read_signed(std::move(links), out, findings);
  if (root.has("xds")) {
    config::Xds x;
    x.enabled = t.flag("enabled").value_or(true);
    if (const auto v = t.text("listen", true)) x.listen = *v, listens(t, *v, findings);
    if (const auto v = t.text("cluster", true)) x.cluster = *v;
    t.finish();
    if (x.enabled) out.xds = x;
  }
  auto cluster = root.table("cluster");
  if (root.has("cluster")) {
    bool enabled = true;
    auto read = read_cluster(std::move(cluster), folder, findings, enabled);
    if (enabled) out.cluster = std::move(read);
  }
  if (!out.routes_file.empty() && !out.routes.empty()) {
    findings.error("S002", out.routes[0].place, "routes stand here and in [routes] file",
                   "keep those of the file");
  }
  root.finish();
  return out;
}

void resolve(Settings& s, const config::Config& config, diagnostics::Findings& findings) {
  if (!s.links) return;
  const auto& classes = config.names.classes;
  const std::vector<std::string_view> known(classes.begin(), classes.end());
  for (const auto& r : s.routes) {
    const auto it = std::find(classes.begin(), classes.end(), r.cls);
    if (it == classes.end()) {
      const auto near = diagnostics::nearest(r.cls, known);
      findings.error(
          "S002", r.place, "no class is called " + r.cls,
          near.empty() ? "the platform's JSON names the classes" : "did you mean " + near + "?");
      continue;
    }
    const auto cls = static_cast<std::uint32_t>(it - classes.begin());
    if (config.settings.classes[cls].never_cached) {
      findings.error("S002", r.place,
                     "class " + r.cls + " runs at the origin and cannot be fetched by links",
                     "name a class of kept objects");
      continue;
    }
    core::Time limit = r.limit > 0 ? r.limit : config.names.give_up[cls];
    s.links->routes.push_back({r.prefix, cls, limit > 0 ? limit : 2'500'000});
  }
}

}  // namespace alderspur::settings
