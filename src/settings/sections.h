// The readers of the sections of a settings file, for settings.cpp only. Each reads all keys of its
// table, adds findings for what is wrong, and reports unknown keys.
#pragma once

#include <string>

#include "diagnostics/diagnostics.h"
#include "settings/settings.h"
#include "toml/document.h"

namespace alderspur::settings {

constexpr core::Time kMillisecond = 1'000;
constexpr core::Time kSecond = 1'000'000;
constexpr core::Time kHour = 3600 * kSecond;

/// The path as it is if absolute, else in that folder.
std::string resolve_path(const std::string& folder, const std::string& path);
/// Reports an address at which no socket can listen. `example` is suggested.
void check_listen_address(const toml::Table& table, const char* key, const std::string& address,
                          const std::string& example, diagnostics::Findings& findings);

log::Settings read_log(toml::Table table, diagnostics::Findings& findings);
Membership read_membership(toml::Table table, const std::string& folder,
                           diagnostics::Findings& findings);
/// Nothing if the section is switched off.
std::optional<Cluster> read_cluster(toml::Table table, const std::string& folder,
                                    diagnostics::Findings& findings);
/// Sets signed_url, unless the section is switched off, and signed_routes. `settings` has the
/// routes file already.
void read_signed_url(toml::Table table, Settings& settings, diagnostics::Findings& findings);
/// Nothing if the section is switched off.
std::optional<xds::Settings> read_xds(toml::Table table, diagnostics::Findings& findings);

}  // namespace alderspur::settings
