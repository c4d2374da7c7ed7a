// One server as whoever lists it tells of it: the board, or a watched file.
//
// A plain value. Ids are the key everywhere: an address may change hands between two ids.
#pragma once

#include <string>
#include <string_view>

#include "alderspur/router.h"
#include "core/parsing.h"

namespace alderspur::endpoints {

struct Member {
  Server server;
  std::string name, address;
};

// The same id gives the same number at every router: rendezvous hashes must agree.
inline ServerId server_id(std::string_view name) { return {core::stable_hash(name)}; }

}  // namespace alderspur::endpoints
