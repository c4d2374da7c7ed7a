// Merges the descriptions of one server from the two sources of endpoints: the board (the
// platform's service discovery) and the watched files. The result depends on the input only.
//
// With authority `both`, the more cautious value is used for each field: status gone before
// draining before ready, the smaller weight, the later start time. Role, location, cell and address
// must be equal in both sources; a server for which they differ receives no traffic until they are
// equal. While one source has not delivered a list yet, the other one decides alone. The merge is
// commutative except for `name`.
#pragma once

#include <cstdint>
#include <optional>

#include "endpoints/member.h"

namespace alderspur::endpoints {

/// Selects the sources that decide which servers are used, and how.
enum class Authority : std::uint8_t { board, files, both };
/// Returns the value as it is written in the settings.
const char* to_string(Authority authority);

/// The reason for a server's status, ordered from the least to the most cautious.
enum class Reason : std::uint8_t {
  as_listed,
  weight_lower,  // the sources list different weights
  board_draining,
  files_draining,
  locations_differ,  // the sources list different roles, locations, cells or addresses
  not_on_board,
  not_in_files,
  flapping,  // suppressed by damping
};
/// Returns a description for logs and operators.
const char* to_string(Reason reason);

/// The merged description of a server.
struct MergedMember {
  Member member;  // must not be used if its status is gone
  Reason reason = Reason::as_listed;
};

/// The descriptions of one server by each source. Null means that the source does not list it.
struct EndpointSources {
  const Member* board = nullptr;
  const Member* files = nullptr;
  bool has_board_list = false;  // whether the board has delivered a list
  bool has_file_list = false;   // whether a list from files is active
};

/// Merges the descriptions from the sources that `authority` selects. Returns nothing if none of
/// these sources lists the server.
std::optional<MergedMember> merge(Authority authority, const EndpointSources& sources);

}  // namespace alderspur::endpoints
