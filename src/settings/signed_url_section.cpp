#include <algorithm>
#include <utility>

#include "settings/sections.h"

namespace alderspur::settings {
namespace {

constexpr std::size_t kMinSecretLength = 16;
constexpr std::int64_t kMaxUnixSeconds = std::int64_t{1} << 40;
constexpr const char* kExampleAddress = "127.0.0.1:8480";

void read_key(toml::Table& table, std::vector<signed_url::Key>& keys,
              diagnostics::Findings& findings) {
  const auto id = table.text("id", true);
  const auto secret = table.text("secret", true);
  const auto until = table.integer("until", 0, kMaxUnixSeconds);
  table.finish();
  if (!id || !secret) return;
  if (secret->size() < kMinSecretLength) {
    findings.error("S002", table.location("secret"),
                   "the secret of key " + *id + " has fewer than 16 characters",
                   "use 32 random characters");
  }
  for (const auto& other : keys) {
    if (other.id == *id) {
      findings.error("S002", table.location("id"), "the key id " + *id + " is used twice",
                     "rename one of the keys");
    }
  }
  keys.push_back({*id, *secret, until.value_or(0)});
}

void read_route(toml::Table& table, std::vector<SignedRoute>& routes,
                diagnostics::Findings& findings) {
  const auto prefix = table.text("prefix", true);
  const auto class_name = table.text("class", true);
  const auto time_limit = table.duration("limit", kMillisecond, 600 * kSecond);
  table.finish();
  if (!prefix || !class_name) return;
  if (!prefix->starts_with('/') || !prefix->ends_with('/')) {
    findings.error("S002", table.location("prefix"), "a prefix must begin and end with a slash",
                   "'/" + *prefix + "/'");
  }
  routes.push_back({*prefix, *class_name, time_limit.value_or(0), table.location("class")});
}

}  // namespace

void read_signed_url(toml::Table table, Settings& settings, diagnostics::Findings& findings) {
  signed_url::Settings front;
  front.enabled = table.flag("enabled").value_or(true);
  if (const auto address = table.text("listen", true)) {
    front.listen = *address;
    check_listen_address(table, "listen", *address, kExampleAddress, findings);
  }
  if (const auto cookie = table.text("cookie")) front.cookie = *cookie;
  if (const auto skew = table.duration("skew", 0, 300 * kSecond)) {
    front.clock_skew_seconds = *skew / kSecond;
  }
  for (auto& key : table.tables("key")) read_key(key, front.keys, findings);
  for (auto& route : table.tables("route")) read_route(route, settings.signed_routes, findings);
  table.finish();
  if (!front.enabled) return;
  if (front.keys.empty()) {
    findings.error("S002", table.location(),
                   "the signed-URL front is enabled but has no [[signed.key]]");
  }
  if (settings.signed_routes.empty() && settings.routes_file.empty()) {
    findings.error("S002", table.location(),
                   "the signed-URL front is enabled but has no [[signed.route]]");
  }
  settings.signed_url = std::move(front);
}

std::optional<xds::Settings> read_xds(toml::Table table, diagnostics::Findings& findings) {
  xds::Settings server;
  server.enabled = table.flag("enabled").value_or(true);
  if (const auto address = table.text("listen", true)) {
    server.listen = *address;
    check_listen_address(table, "listen", *address, kExampleAddress, findings);
  }
  if (const auto cluster = table.text("cluster", true)) server.cluster = *cluster;
  table.finish();
  if (!server.enabled) return std::nullopt;
  return server;
}

}  // namespace alderspur::settings
