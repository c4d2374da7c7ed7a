// What a list that reads well must still keep, alone and against the list in force. No I/O.
//
// Codes: L020 generation going back, L021 a generation reused with other content, L022 a point or a
// role without a server in service, L023 too much of a point taken out at once, L024 unknown to
// this router.
#pragma once

#include <string>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "endpoints/snapshot.h"

namespace alderspur::endpoints {

struct ChangeLimits {
  // Of a point's caches in service (and of all parents): a larger part may leave service in one
  // change only if the list says `confirm = GENERATION`.
  double max_lost_fraction = 0.5;
};

// The list by itself: every point has a cache in service, every role that is listed has one.
void check_alone(const Snapshot& list, diagnostics::Findings& findings);
// Against the one in force; null: there is none.
void check_change(const Snapshot* in_force, const Snapshot& next, const ChangeLimits& bounds,
                  diagnostics::Findings& findings);

// Members by the numbers that the router's settings give places. A place that they do not name is
// an error.
std::vector<Member> to_members(const Snapshot& list, const std::vector<std::string>& zones,
                               diagnostics::Findings& findings);
Member to_member(const Snapshot& list, const ListedServer& server,
                 const std::vector<std::uint32_t>& point_zones,
                 const std::vector<std::uint32_t>& hub_zones);
// Zones by point and by hub of the list; findings L024 where the settings have none of that name.
void resolve_zones(const Snapshot& list, const std::vector<std::string>& zones,
                   std::vector<std::uint32_t>& points, std::vector<std::uint32_t>& hubs,
                   diagnostics::Findings& findings);

}  // namespace alderspur::endpoints
