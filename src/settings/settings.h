// The operator's settings of `alderspur`: one TOML file, a section a subsystem, checked as a whole.
//
// What the platform gives (RELAY_CONFIG) stays JSON and is named by [router]. Paths are taken from
// the settings file's own folder. A section that is absent leaves its subsystem off. Reading does
// no I/O and reports every mistake of a file in one go: S001 no TOML, S002 a section that does not
// fit the others, and F002 to F004 of form/document.h. docs/settings.md lists the keys.
#pragma once

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

namespace alderspur::settings {

struct Membership {
  endpoints::EndpointSetSettings fleet;
  endpoints::ChangeLimits bounds;
  endpoints::ListLimits limits;
  std::string list;                    // a file, or a directory with a manifest
  std::string state;                   // a directory; empty: nothing is kept through a restart
  core::Time oldest = 86'400'000'000;  // a kept list older than this is not started from
  core::Time settle = 30'000, poll = 500'000;
};
struct Cluster {
  std::string name, member, point;  // member: as the platform's JSON is named, where empty
  std::string listen, advertise;    // advertise: where others find us, if not there
  std::string secret;               // a file
  std::string state;                // a folder for the epoch; empty: the clock's alone
  std::vector<std::string> seeds;
  double share = 0;
  cluster::MembershipSettings membership;
  bool replicate = true;  // bans by hand and purges are kept alike
  // [cluster.agreement]: versions that routers agree on; its state stands in `state`.
  bool agreement = false;
  std::vector<std::string> voters;  // the first ones, by member's name
};
struct SignedRoute {
  std::string prefix, cls;
  core::Time limit = 0;  // 0: as the class has it
  diagnostics::Place place;
};
struct Settings {
  std::string config, listen;  // the platform's JSON; an address in place of its `listen`
  std::string operators;       // one in place of its `operator`
  log::Settings log;
  std::optional<Membership> membership;
  std::optional<config::Signed> links;  // without its routes, which need the classes
  std::vector<SignedRoute> routes;
  std::optional<config::Xds> xds;
  std::optional<Cluster> cluster;
  std::string routes_file;  // a program of the configuration language; the signed front then has no
                            // routes here
};

// `folder` is that of the file, for the paths in it.
Settings read(std::string_view text, const std::string& file, const std::string& folder,
              diagnostics::Findings& findings);
// The signed front's routes by the classes that the platform's JSON has.
void resolve(Settings& settings, const config::Config& config, diagnostics::Findings& findings);

}  // namespace alderspur::settings
