// Functions that read the sections of a settings file; used only within src/settings. Each function
// reads all keys of its table and reports invalid values and unknown keys as findings.
#pragma once

#include <string>

#include "diagnostics/diagnostics.h"
#include "settings/settings.h"
#include "toml/document.h"

namespace alderspur::settings {

constexpr core::Time kMillisecond = 1'000;
constexpr core::Time kSecond = 1'000'000;
constexpr core::Time kHour = 3600 * kSecond;

/// Returns an absolute path unchanged and resolves a relative path against `folder`.
std::string resolve_path(const std::string& folder, const std::string& path);
/// Reports `address` if it is not a valid address to listen on, and suggests `example`.
void check_listen_address(const toml::Table& table, const char* key, const std::string& address,
                          const std::string& example, diagnostics::Findings& findings);

/// Reads [log].
log::Settings read_log(toml::Table table, diagnostics::Findings& findings);
/// Reads [membership].
Membership read_membership(toml::Table table, const std::string& folder,
                           diagnostics::Findings& findings);
/// Reads [cluster]; returns nullopt if the section is disabled.
std::optional<Cluster> read_cluster(toml::Table table, const std::string& folder,
                                    diagnostics::Findings& findings);
/// Reads [signed]. Sets signed_routes and, unless the section is disabled, signed_url. The routes
/// file must already be set in `settings`.
void read_signed_url(toml::Table table, Settings& settings, diagnostics::Findings& findings);
/// Reads [xds]; returns nullopt if the section is disabled.
std::optional<xds::Settings> read_xds(toml::Table table, diagnostics::Findings& findings);

}  // namespace alderspur::settings
