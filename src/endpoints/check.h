// Checks a list that is well formed: by itself, and as the successor of the active list. No I/O.
//
// Codes of findings: L020 the generation goes back, L021 a generation is reused with other content,
// L022 a point or a role has no server in service, L023 too many servers leave service at once,
// L024 a point or hub is unknown to this router.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "endpoints/snapshot.h"

namespace alderspur::endpoints {

/// How much a change of the list may take out of service.
struct ChangeLimits {
  // Of a point's caches in service, or of all parents: a larger part may leave service in one
  // change only if the list says `confirm = GENERATION`.
  double max_lost_fraction = 0.5;
};

/// Checks that every point has a cache in service, and every role that is listed has a server in
/// service.
void check_alone(const Snapshot& list, diagnostics::Findings& findings);
/// Checks the change from the active list; null: there is none.
void check_change(const Snapshot* in_force, const Snapshot& next, const ChangeLimits& limits,
                  diagnostics::Findings& findings);

/// The zones of a list's points and hubs, by their indexes in the list.
struct LocationZones {
  std::vector<std::uint32_t> points;
  std::vector<std::uint32_t> hubs;
};
/// Looks up the points and hubs among the zones of the settings; finding L024 for each unknown one.
LocationZones resolve_zones(const Snapshot& list, const std::vector<std::string>& zones,
                            diagnostics::Findings& findings);

/// The server as it is used, in the zone of its point or hub.
Member to_member(const ListedServer& server, const LocationZones& zones);
/// All servers of a list; none if a point or hub is unknown.
std::vector<Member> to_members(const Snapshot& list, const std::vector<std::string>& zones,
                               diagnostics::Findings& findings);

}  // namespace alderspur::endpoints
