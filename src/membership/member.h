// One server as whoever lists it tells of it: the board, or a watched file.
//
// A plain value. Ids are the key everywhere: an address may change hands between two ids.
#pragma once

#include <string>
#include <string_view>

#include "alderspur/router.h"

namespace alderspur::membership {

struct Member {
  Server server;
  std::string name, address;
};

// The same id gives the same number at every router: rendezvous hashes must agree. FNV-1a, 64 bits.
inline ServerId server_id(std::string_view name) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return {hash};
}

}  // namespace alderspur::membership
