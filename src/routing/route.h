// Routes, and the pools and policies to which they refer. These are plain values, compiled from a
// program in the configuration language (compile.h). Durations are in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "config_language/path.h"
#include "diagnostics/diagnostics.h"

namespace alderspur::routing {

/// Limits on the requests of a route, pool or policy. An absent value means no limit.
struct Limits {
  std::optional<std::uint32_t> max_in_flight;
  std::optional<std::uint32_t> burst;  // requests that may exceed the rate for a short time
  std::optional<double> max_rate;      // requests per second
  std::optional<std::int64_t> queue_time;
};

/// Selects servers from the endpoint list. An empty selector matches all servers of the role.
struct Pool {
  std::string name;
  Role role = Role::cache;
  std::vector<std::string> locations;
  std::vector<std::string> hubs;
  std::vector<std::uint32_t> cells;
  double min_weight = 0;
  std::vector<std::uint32_t> fallback;  // indexes in Table::pools, in order of preference
  Limits limits;
  diagnostics::Location declared_at;
};

/// Parameters for sending a request: attempts, deadlines, hedging, freshness, fills and limits.
struct Policy {
  std::string name;
  std::uint32_t attempts = 1;
  std::uint32_t cache_rank = 0;
  std::optional<std::int64_t> deadline;
  std::optional<std::int64_t> attempt_deadline;
  std::optional<std::int64_t> hedge_after;
  std::optional<std::int64_t> fresh_time;
  std::optional<std::int64_t> stale_grace_time;
  std::optional<std::int64_t> retry_after;
  double retry_budget = 0;  // retries per first attempt
  double hedge_budget = 0;  // hedged requests per first attempt
  bool renews_stale_copies = true;
  bool joins_fetches = true;
  bool purges_strictly = true;
  std::vector<std::string> fill;  // in order of preference
  Limits limits;
};

/// Requires that a header or query parameter has this value.
struct Condition {
  enum class Kind { header, query };
  Kind kind = Kind::header;
  std::string name;
  std::string value;
};

/// The pool and policy for requests. If one is absent, the router's configuration applies.
struct Destination {
  std::optional<std::uint32_t> pool;    // index in Table::pools
  std::optional<std::uint32_t> policy;  // index in Table::policies
};

/// Sends a fraction of a route's requests, from 0 to 1, to another destination.
struct Split {
  double fraction = 0;
  Destination destination;
};

/// The conditions for the requests that a route accepts, and their destination. An empty list
/// accepts any value.
struct Route {
  std::string name;
  std::string class_name;
  std::vector<std::string> hosts;  // in lower case; "*.example" matches all subdomains of example
  std::vector<std::string> methods;
  std::vector<std::string> locations;  // the locations of routers to which the route applies
  config_language::Path path;
  std::vector<Condition> conditions;
  Destination destination;    // for requests that no split selects
  std::vector<Split> splits;  // in program order
  Limits limits;
  diagnostics::Location declared_at;
};

/// Reports whether a host pattern ("a.example", "*.example") matches a host, which must be in lower
/// case.
bool host_matches(std::string_view pattern, std::string_view host);

/// Returns the index of the split that selects requests with this hash, or nothing if none does.
/// The hash is core::stable_hash of the key whose requests must always get the same destination,
/// such as the object or the user.
std::optional<std::size_t> select_split(const Route& route, std::uint64_t hash);

}  // namespace alderspur::routing
