#include "settings/settings.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "net/connection.h"
#include "settings/sections.h"

namespace alderspur::settings {
namespace {

/// The time limit of requests whose class has none.
constexpr core::Time kDefaultTimeLimit = 2'500'000;

void read_router(toml::Table table, bool is_present, const std::string& file,
                 const std::string& folder, Settings& settings, diagnostics::Findings& findings) {
  if (const auto path = table.text("config", is_present)) {
    settings.config_file = resolve_path(folder, *path);
  }
  if (const auto address = table.text("listen")) {
    settings.listen = *address;
    check_listen_address(table, "listen", *address, "127.0.0.1:8480", findings);
  }
  if (const auto address = table.text("operator")) {
    settings.operators_address = *address;
    check_listen_address(table, "operator", *address, "127.0.0.1:8470", findings);
  }
  if (!is_present) {
    findings.error("S002", {file, 0, 0}, "the section [router] is missing",
                   "add it, and set `config` to the path of the platform's JSON");
  }
  table.finish();
}

void read_routes(toml::Table table, bool is_present, const std::string& folder,
                 Settings& settings) {
  if (is_present) {
    if (const auto path = table.text("file", true)) {
      settings.routes_file = resolve_path(folder, *path);
    }
  }
  table.finish();
}

void resolve_route(const SignedRoute& route, const config::Config& config,
                   std::vector<signed_url::Route>& resolved, diagnostics::Findings& findings) {
  const auto& classes = config.names.classes;
  const auto found = std::find(classes.begin(), classes.end(), route.class_name);
  if (found == classes.end()) {
    const std::string nearest =
        diagnostics::closest_match(route.class_name, {classes.begin(), classes.end()});
    findings.error("S002", route.location, "the class " + route.class_name + " does not exist",
                   nearest.empty() ? "the classes are defined in the platform's JSON"
                                   : "did you mean " + nearest + "?");
    return;
  }
  const auto class_id = static_cast<std::uint32_t>(found - classes.begin());
  if (config.settings.classes[class_id].never_cached) {
    findings.error("S002", route.location,
                   "class " + route.class_name +
                       " runs at the origin and cannot be requested with signed links",
                   "use a class whose responses are cached");
    return;
  }
  const core::Time class_timeout = config.names.request_timeouts[class_id];
  const core::Time time_limit = route.time_limit > 0 ? route.time_limit : class_timeout;
  resolved.push_back({route.prefix, class_id, time_limit > 0 ? time_limit : kDefaultTimeLimit});
}

}  // namespace

std::string resolve_path(const std::string& folder, const std::string& path) {
  return std::filesystem::path(path).is_absolute()
             ? path
             : (std::filesystem::path(folder) / path).string();
}

void check_listen_address(const toml::Table& table, const char* key, const std::string& address,
                          const std::string& example, diagnostics::Findings& findings) {
  if (net::parse_address(address)) return;
  findings.error("S002", table.location(key),
                 "'" + address + "' is not a valid address to listen on",
                 "use a numeric address and a port, such as " + example);
}

Settings read(std::string_view text, const std::string& file, const std::string& folder,
              diagnostics::Findings& findings) {
  Settings settings;
  toml::Document document(text, file, findings, "S001");
  if (!document.is_valid()) return settings;
  auto root = document.root();
  read_router(root.table("router"), root.has("router"), file, folder, settings, findings);
  settings.log = read_log(root.table("log"), findings);
  read_routes(root.table("routes"), root.has("routes"), folder, settings);
  // Absent sections are read as well. Their names thereby become known keys, which finish()
  // suggests for a misspelt section.
  auto membership = root.table("membership");
  auto signed_url = root.table("signed");
  auto xds = root.table("xds");
  if (root.has("membership")) {
    settings.membership = read_membership(std::move(membership), folder, findings);
  }
  if (root.has("signed")) read_signed_url(std::move(signed_url), settings, findings);
  if (root.has("xds")) settings.xds = read_xds(std::move(xds), findings);
  auto cluster = root.table("cluster");
  if (root.has("cluster")) settings.cluster = read_cluster(std::move(cluster), folder, findings);
  if (!settings.routes_file.empty() && !settings.signed_routes.empty()) {
    findings.error("S002", settings.signed_routes[0].location,
                   "routes are defined both here and in the file of [routes]",
                   "keep only those of the file");
  }
  root.finish();
  return settings;
}

void resolve(Settings& settings, const config::Config& config, diagnostics::Findings& findings) {
  if (!settings.signed_url) return;
  for (const auto& route : settings.signed_routes) {
    resolve_route(route, config, settings.signed_url->routes, findings);
  }
}

}  // namespace alderspur::settings
