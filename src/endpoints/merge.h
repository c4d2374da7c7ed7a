// Merges what the two sources of endpoints, the board and the watched files, say of one server.
// Pure: the same input gives the same result.
//
// With authority `both`, the more cautious source wins in each field: gone before draining before
// ready, the smaller weight, the later start. In role, location, cell and address they must agree:
// a server on which they differ gets no traffic until they agree. While one of the two has no list
// yet, the other decides alone. Commutative, except for `name`.
#pragma once

#include <cstdint>
#include <optional>

#include "endpoints/member.h"

namespace alderspur::endpoints {

/// Which sources decide.
enum class Authority : std::uint8_t { board, files, both };
const char* to_string(Authority authority);

/// Why a server has its status, from the least to the most cautious.
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
/// A text for logs and operators.
const char* to_string(Reason reason);

/// A server as all sources together describe it.
struct Merged {
  Member member;  // with status gone, it must not be used
  Reason reason = Reason::as_listed;
};

/// What each source says of one server; null: it does not list the server.
struct EndpointSources {
  const Member* board = nullptr;
  const Member* files = nullptr;
  bool has_board_list = false;  // the board has sent a list
  bool has_file_list = false;   // a list from files is active
};

/// Returns nothing if no deciding source lists the server.
std::optional<Merged> merge(Authority authority, const EndpointSources& sources);

}  // namespace alderspur::endpoints
