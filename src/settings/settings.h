// The operator's settings of `alderspur`: one TOML file with a section for each subsystem.
//
// The platform's configuration (RELAY_CONFIG) remains a JSON file, whose path is set in [router].
// Paths are relative to the directory of the settings file. A subsystem whose section is absent is
// disabled. Reading performs no I/O and reports all errors of a file: S001 for invalid TOML, S002
// for a value that is invalid or inconsistent with other sections, and F002 to F004 of
// toml/document.h. docs/settings.md lists the keys. Times are in microseconds.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/membership.h"
#include "config/config.h"
#include "diagnostics/diagnostics.h"
#include "endpoints/check.h"
#include "endpoints/endpoint_set.h"
#include "endpoints/list.h"
#include "log/log.h"
#include "signed_url/settings.h"
#include "xds/settings.h"

namespace alderspur::settings {

/// The maximum number of voters in [cluster.agreement]. The consensus protocol supports as many.
constexpr std::size_t kMaxVoters = 7;

/// The section [membership]: endpoint lists that are read from watched files.
struct Membership {
  endpoints::EndpointSetSettings endpoint_set;
  endpoints::ChangeLimits change_limits;
  endpoints::ListLimits list_limits;
  std::string list;             // path of a file, or of a directory with a manifest
  std::string state_directory;  // empty: no state is kept across restarts
  core::Time max_state_age = 86'400'000'000;
  core::Time unchanged_time = 30'000;  // a changed file is read once it has been stable this long
  core::Time poll_interval = 500'000;
};

/// The section [cluster]: membership of routers, and the subsystems that depend on it.
struct Cluster {
  std::string name;
  std::string member_name;  // name of this router; empty: the name in the platform's JSON
  std::string location;
  std::string listen;
  std::string advertise;  // address announced to other routers; empty: `listen`
  std::string secret_file;
  std::string state_directory;  // empty: the start time is used as the epoch
  std::vector<std::string> seeds;
  double share = 0;  // configured fraction of the traffic, 0 to 1
  cluster::MembershipSettings membership;
  bool replicates_bans = true;      // manual bans and purges apply at all members
  bool agrees_on_versions = false;  // [cluster.agreement]; its state is in state_directory
  std::vector<std::string> voters;  // names of the members that vote initially
};

/// An entry [[signed.route]]. Its class is given by name until resolve().
struct SignedRoute {
  std::string prefix;
  std::string class_name;
  core::Time time_limit = 0;  // 0: the time limit of the class
  diagnostics::Location location;
};

/// The contents of a settings file.
struct Settings {
  std::string config_file;        // path of the platform's JSON
  std::string listen;             // overrides the address in the JSON unless empty
  std::string operators_address;  // overrides the address in the JSON unless empty
  log::Settings log;
  std::optional<Membership> membership;
  std::optional<signed_url::Settings> signed_url;  // without routes until resolve()
  std::vector<SignedRoute> signed_routes;
  std::optional<xds::Settings> xds;
  std::optional<Cluster> cluster;
  /// Path of a program of the configuration language that replaces signed_routes; empty: none.
  std::string routes_file;
};

/// Reads settings from `text`. Findings refer to `file`, and relative paths are resolved against
/// its directory `folder`. The result must not be used if the findings contain errors.
Settings read(std::string_view text, const std::string& file, const std::string& folder,
              diagnostics::Findings& findings);
/// Sets the routes of the signed-URL front, whose class names are resolved with the platform's
/// JSON.
void resolve(Settings& settings, const config::Config& config, diagnostics::Findings& findings);

}  // namespace alderspur::settings
