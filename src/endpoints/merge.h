// Two that tell of one server: the board and the watched files. Pure; one answer for the same two
// inputs.
//
// With authority `both` the more careful of the two holds, field by field: gone before draining
// before ready, the smaller weight, the later start. What they must agree on (role, place, cell,
// address) they must agree on: a server of which they tell different things takes no traffic until
// they agree. Where one of the two has not spoken at all yet, the other holds alone. Commutative:
// merge(a, b) == merge(b, a) but for `name`.
#pragma once

#include <optional>

#include "endpoints/member.h"

namespace alderspur::endpoints {

enum class Authority { board, files, both };
const char* to_string(Authority authority);

// Why a server stands as it does; the order is that of care.
enum class Reason {
  as_listed,
  weight_lower,    // the two tell different weights
  board_draining,  // one of the two says draining
  files_draining,
  locations_differ,  // they tell different roles, places, cells or addresses
  not_on_board,
  not_in_files,
  flapping,  // held out by damping
};
const char* to_string(Reason reason);

struct Merged {
  Member member;  // status gone: not to be used at all
  Reason reason = Reason::as_listed;
};

struct EndpointSources {
  const Member* board = nullptr;  // null: it does not list the server
  const Member* files = nullptr;
  bool has_board_list = false, has_file_list = false;  // a list of it is in force
};
// Nothing if neither that counts lists it.
std::optional<Merged> merge(Authority authority, const EndpointSources& voices);

}  // namespace alderspur::endpoints
