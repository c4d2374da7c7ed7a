// One server as described by a source of endpoints, which is either the board (the platform's
// service discovery) or a watched file.
//
// Plain values. Servers are identified by id throughout, because an address can be reassigned from
// one id to another.
#pragma once

#include <string>
#include <string_view>

#include "alderspur/router.h"
#include "core/parsing.h"

namespace alderspur::endpoints {

/// A server together with the name and address given in its description.
struct Member {
  Server server;
  std::string name;
  std::string address;  // "HOST:PORT"
};

/// Returns the id for a server name. It is the same on every router, because their rendezvous
/// hashes must agree.
inline ServerId server_id(std::string_view name) { return {core::stable_hash(name)}; }

}  // namespace alderspur::endpoints
