// The operator's settings of `alderspur`: one TOML file with a section for each subsystem, checked
// as a whole.
//
// What the platform gives (RELAY_CONFIG) stays JSON and is named by [router]. Paths are relative to
// the settings file's own directory. A section that is absent leaves its subsystem off. Reading
// does no I/O and reports all errors of a file: S001 not TOML, S002 a section that does not fit the
// others, and F002 to F004 of toml/document.h. docs/settings.md lists the keys. Times are
// microseconds.
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

/// Voters of [cluster.agreement]; the consensus takes as many.
constexpr std::size_t kMaxVoters = 7;

/// [membership]: endpoint lists from watched files.
struct Membership {
  endpoints::EndpointSetSettings endpoint_set;
  endpoints::ChangeLimits change_limits;
  endpoints::ListLimits list_limits;
  std::string list;             // a file, or a directory with a manifest
  std::string state_directory;  // empty: nothing is kept through a restart
  core::Time max_state_age = 86'400'000'000;
  core::Time unchanged_time = 30'000;  // for which a file must be the same before it is read
  core::Time poll_interval = 500'000;
};

/// [cluster]: membership of routers, and what builds on it.
struct Cluster {
  std::string name;
  std::string member_name;  // of this router; empty: the name in the platform's JSON
  std::string location;
  std::string listen;
  std::string advertise;  // where others find this router; empty: where it listens
  std::string secret_file;
  std::string state_directory;  // empty: the epoch is the time of the start
  std::vector<std::string> seeds;
  double share = 0;  // the configured part of the traffic
  cluster::MembershipSettings membership;
  bool replicates_bans = true;      // manual bans and purges hold at all members
  bool agrees_on_versions = false;  // [cluster.agreement]; its state is in state_directory
  std::vector<std::string> voters;  // the first ones, by member name
};

/// [[signed.route]], with the class by its name.
struct SignedRoute {
  std::string prefix;
  std::string class_name;
  core::Time time_limit = 0;  // 0: the class's
  diagnostics::Location location;
};

struct Settings {
  std::string config_file;        // the platform's JSON
  std::string listen;             // in place of the JSON's; empty: the JSON's
  std::string operators_address;  // likewise
  log::Settings log;
  std::optional<Membership> membership;
  std::optional<signed_url::Settings> signed_url;  // without routes until resolve()
  std::vector<SignedRoute> signed_routes;
  std::optional<xds::Settings> xds;
  std::optional<Cluster> cluster;
  std::string routes_file;  // a program of the configuration language in place of signed_routes;
                            // empty: none
};

/// `file` is named in findings; `folder` is its directory. With errors among the findings the
/// result must not be used.
Settings read(std::string_view text, const std::string& file, const std::string& folder,
              diagnostics::Findings& findings);
/// Fills the routes of the signed-URL front by the classes of the platform's JSON.
void resolve(Settings& settings, const config::Config& config, diagnostics::Findings& findings);

}  // namespace alderspur::settings
