// One server as a source of endpoints describes it: the board, or a watched file.
//
// Plain values. Ids are the key everywhere: an address may pass from one id to another.
#pragma once

#include <string>
#include <string_view>

#include "alderspur/router.h"
#include "core/parsing.h"

namespace alderspur::endpoints {

/// A server with the texts that its description names it by.
struct Member {
  Server server;
  std::string name;
  std::string address;  // "HOST:PORT"
};

/// The same name gives the same id at every router: their rendezvous hashes must agree.
inline ServerId server_id(std::string_view name) { return {core::stable_hash(name)}; }

}  // namespace alderspur::endpoints
