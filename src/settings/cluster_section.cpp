#include <algorithm>
#include <set>

#include "net/connection.h"
#include "settings/sections.h"

namespace alderspur::settings {
namespace {

constexpr const char* kExampleAddress = "127.0.0.1:7480";
constexpr int kMinForgetSuspicions = 5;

bool is_printable_word(const std::string& word) {
  if (word.empty() || word.size() > cluster::kMaxNameLength) return false;
  return std::all_of(word.begin(), word.end(),
                     [](char c) { return c > ' ' && c <= '~' && c != '"'; });
}

/// Reads a name; empty if the key is absent.
std::string read_name(toml::Table& table, const char* key, bool is_required,
                      diagnostics::Findings& findings) {
  const auto name = table.text(key, is_required);
  if (!name) return {};
  if (!is_printable_word(*name)) {
    findings.error(
        "S002", table.location(key),
        std::string(key) +
            " must consist of 1 to 64 printable characters other than spaces and quotes");
  }
  return *name;
}

void read_addresses(toml::Table& table, Cluster& cluster, diagnostics::Findings& findings) {
  if (const auto address = table.text("listen", true)) {
    cluster.listen = *address;
    check_listen_address(table, "listen", *address, "127.0.0.1:8480", findings);
  }
  if (const auto address = table.text("advertise")) {
    cluster.advertise = *address;
    if (!net::parse_address(*address)) {
      findings.error("S002", table.location("advertise"),
                     "'" + *address + "' is not a valid address");
    }
  }
}

void read_seeds(toml::Table& table, Cluster& cluster, diagnostics::Findings& findings) {
  cluster.seeds = table.text_list("seeds");
  for (const auto& seed : cluster.seeds) {
    if (net::parse_address(seed)) continue;
    findings.error("S002", table.location("seeds"),
                   "'" + seed + "' is not a valid address of a seed",
                   std::string("use a numeric address and a port, such as ") + kExampleAddress);
  }
}

/// Sets the probe interval and scales the other times of the protocol in proportion.
void scale_times(cluster::MembershipSettings& settings, core::Time probe_interval) {
  const double factor =
      static_cast<double>(probe_interval) / static_cast<double>(settings.probe_interval);
  for (auto* time : {&settings.probe_timeout, &settings.gossip_interval,
                     &settings.reconnect_interval, &settings.refresh_interval,
                     &settings.min_suspicion_timeout, &settings.max_suspicion_timeout}) {
    *time = static_cast<core::Time>(static_cast<double>(*time) * factor);
  }
  settings.probe_interval = probe_interval;
}

void read_agreement(toml::Table table, Cluster& cluster, diagnostics::Findings& findings) {
  cluster.agrees_on_versions = table.flag("enabled").value_or(true);
  cluster.voters = table.text_list("voters");
  const std::size_t count = cluster.voters.size();
  const std::set<std::string> names(cluster.voters.begin(), cluster.voters.end());
  if (count % 2 == 0 || count > kMaxVoters || names.size() != count) {
    findings.error("S002", table.location("voters"),
                   "voters must be 1, 3, 5 or 7 different members",
                   "list the same voters in the settings of every router");
  }
  if (cluster.agrees_on_versions && cluster.state_directory.empty()) {
    findings.error("S002", table.location("voters"),
                   "agreement requires a state directory of its own on a disk",
                   "set `state` in [cluster]");
  }
  table.finish();
}

}  // namespace

std::optional<Cluster> read_cluster(toml::Table table, const std::string& folder,
                                    diagnostics::Findings& findings) {
  Cluster cluster;
  const bool is_enabled = table.flag("enabled").value_or(true);
  cluster.name = read_name(table, "name", true, findings);
  cluster.member_name = read_name(table, "member", false, findings);
  cluster.location = read_name(table, "point", false, findings);
  read_addresses(table, cluster, findings);
  if (const auto path = table.text("secret", true)) {
    cluster.secret_file = resolve_path(folder, *path);
  }
  if (const auto path = table.text("state")) cluster.state_directory = resolve_path(folder, *path);
  if (const auto share = table.real("share", 0, 1)) cluster.share = *share;
  cluster.replicates_bans = table.flag("replicate").value_or(true);
  read_seeds(table, cluster, findings);
  auto& membership = cluster.membership;
  if (const auto interval = table.duration("period", 50 * kMillisecond, 60 * kSecond)) {
    scale_times(membership, *interval);
  }
  if (const auto time = table.duration("forget", 10 * kSecond, 24 * kHour)) {
    membership.forget_after = *time;
  }
  if (table.has("agreement")) read_agreement(table.table("agreement"), cluster, findings);
  if (membership.forget_after < kMinForgetSuspicions * membership.max_suspicion_timeout) {
    findings.error("S002", table.location("forget"),
                   "forget is shorter than five suspicion timeouts",
                   "obsolete membership updates could arrive after that time");
  }
  table.finish();
  if (!is_enabled) return std::nullopt;
  return cluster;
}

}  // namespace alderspur::settings
