// Validates a well-formed server list, both by itself and as the successor of the active list, and
// resolves its points and hubs to the zones of this router. No I/O.
//
// Codes of findings:
//     L020  The generation is lower than the active one.
//     L021  A generation is reused with different content.
//     L022  A point or a role has no server in service.
//     L023  Too many servers leave service in one change.
//     L024  A point or hub is not in this router's configuration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "endpoints/snapshot.h"

namespace alderspur::endpoints {

/// Limits how many servers one change of the list may remove from service.
struct ChangeLimits {
  // The largest fraction of a point's caches in service, or of all parents in service, that may
  // leave service in one change. A larger fraction requires `confirm = GENERATION` in the list.
  double max_lost_fraction = 0.5;
};

/// Checks the list by itself: every point must have a cache in service, and every listed role must
/// have a server in service. Reports L022 otherwise.
void check_alone(const Snapshot& list, diagnostics::Findings& findings);
/// Checks the change from the active list to `next`. Does nothing if `active` is null, which means
/// that no list is active yet. Reports L020 to L023.
void check_change(const Snapshot* active, const Snapshot& next, const ChangeLimits& limits,
                  diagnostics::Findings& findings);

/// The zone indexes of a list's points and hubs, in the order of Snapshot::points and
/// Snapshot::hubs.
struct LocationZones {
  std::vector<std::uint32_t> points;
  std::vector<std::uint32_t> hubs;
};
/// Looks up the list's points and hubs among the configured zones. Reports L024 for each one that
/// is unknown and uses zone 0 in its place.
LocationZones resolve_zones(const Snapshot& list, const std::vector<std::string>& zones,
                            diagnostics::Findings& findings);

/// Converts a listed server to a Member in the zone of its point (caches) or hub (other roles).
/// `zones` must be those of the list that contains the server.
Member to_member(const ListedServer& server, const LocationZones& zones);
/// Converts all servers of a list. Returns an empty vector, with findings, if a point or hub is
/// unknown.
std::vector<Member> to_members(const Snapshot& list, const std::vector<std::string>& zones,
                               diagnostics::Findings& findings);

}  // namespace alderspur::endpoints
