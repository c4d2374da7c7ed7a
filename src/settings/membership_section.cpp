#include <string_view>

#include "settings/sections.h"

namespace alderspur::settings {
namespace {

constexpr std::int64_t kMaxListBytes = 16 << 20;
constexpr std::int64_t kMaxServers = 100'000;

/// An authority and the word that selects it in the settings.
struct AuthorityWord {
  std::string_view word;
  endpoints::Authority authority;
};
constexpr AuthorityWord kAuthorities[] = {
    {"board", endpoints::Authority::board},
    {"files", endpoints::Authority::files},
    {"both", endpoints::Authority::both},
};

void read_authority(toml::Table& table, endpoints::EndpointSetSettings& settings) {
  const auto word = table.keyword("authority", {"board", "files", "both"}, true);
  if (!word) return;
  for (const auto& entry : kAuthorities) {
    if (entry.word == *word) settings.authority = entry.authority;
  }
}

void read_files(toml::Table& table, const std::string& folder, Membership& membership) {
  const bool needs_list = membership.endpoint_set.authority != endpoints::Authority::board;
  if (const auto path = table.text("list", needs_list)) {
    membership.list = resolve_path(folder, *path);
  }
  if (const auto path = table.text("state")) {
    membership.state_directory = resolve_path(folder, *path);
  }
  constexpr core::Time kYear = core::Time{365} * 24 * kHour;
  if (const auto age = table.duration("oldest", kSecond, kYear)) membership.max_state_age = *age;
  if (const auto time = table.duration("settle", kMillisecond, 400 * kMillisecond)) {
    membership.unchanged_time = *time;
  }
  if (const auto interval = table.duration("poll", 20 * kMillisecond, kHour)) {
    membership.poll_interval = *interval;
  }
}

void read_change_limits(toml::Table& table, Membership& membership) {
  if (const auto fraction = table.real("most_out", 0, 1)) {
    membership.change_limits.max_lost_fraction = *fraction;
  }
  if (const auto factor = table.real("weight_step", 1.01, 100)) {
    membership.endpoint_set.max_weight_factor = *factor;
  }
  if (const auto interval = table.duration("weight_every", 10 * kMillisecond, kHour)) {
    membership.endpoint_set.weight_interval = *interval;
  }
}

void read_list_limits(toml::Table& table, endpoints::ListLimits& limits) {
  if (const auto bytes = table.size("most_bytes", 1024, kMaxListBytes)) {
    limits.max_bytes = static_cast<std::size_t>(*bytes);
  }
  if (const auto count = table.integer("most_servers", 1, kMaxServers)) {
    limits.max_servers = static_cast<std::size_t>(*count);
  }
  if (const auto weight = table.real("weight_least", 1e-6, 1e6)) limits.min_weight = *weight;
  if (const auto weight = table.real("weight_most", 1e-6, 1e9)) limits.max_weight = *weight;
}

void read_damping(toml::Table table, endpoints::DampingSettings& damping,
                  diagnostics::Findings& findings) {
  if (const auto is_enabled = table.flag("on")) damping.is_enabled = *is_enabled;
  if (const auto penalty = table.real("departure", 1, 1e6)) damping.departure_penalty = *penalty;
  if (const auto threshold = table.real("suppress", 1, 1e6)) {
    damping.suppress_threshold = *threshold;
  }
  if (const auto threshold = table.real("reuse", 1, 1e6)) damping.reuse_threshold = *threshold;
  if (const auto time = table.duration("half_life", 100 * kMillisecond, 24 * kHour)) {
    damping.half_life = *time;
  }
  if (const auto time = table.duration("longest", 100 * kMillisecond, 24 * kHour)) {
    damping.max_suppress_time = *time;
  }
  if (damping.reuse_threshold >= damping.suppress_threshold) {
    findings.error("S002", table.location("reuse"), "reuse must be lower than suppress",
                   "otherwise a server suppressed at " +
                       std::to_string(damping.suppress_threshold) + " would be reinstated at once");
  }
  if (damping.max_suppress_time < damping.half_life) {
    findings.error("S002", table.location("longest"), "longest is shorter than half_life",
                   "otherwise no penalty could reach `suppress`");
  }
  table.finish();
}

}  // namespace

Membership read_membership(toml::Table table, const std::string& folder,
                           diagnostics::Findings& findings) {
  Membership membership;
  read_authority(table, membership.endpoint_set);
  read_files(table, folder, membership);
  read_change_limits(table, membership);
  read_list_limits(table, membership.list_limits);
  read_damping(table.table("damping"), membership.endpoint_set.damping, findings);
  table.finish();
  return membership;
}

}  // namespace alderspur::settings
