// Routes, and the pools and policies that they lead to: plain values, compiled from a program of
// the configuration language. Durations in microseconds.
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

/// Limits on the requests of a route, pool or policy. Absent: no limit.
struct Limits {
  std::optional<std::uint32_t> max_in_flight;
  std::optional<std::uint32_t> burst;
  std::optional<double> max_rate;  // requests a second
  std::optional<std::int64_t> queue_time;
};

/// Servers, selected from the endpoint list. An empty selector takes all servers of the role.
struct Pool {
  std::string name;
  Role role = Role::cache;
  std::vector<std::string> locations;
  std::vector<std::string> hubs;
  std::vector<std::uint32_t> cells;
  double min_weight = 0;
  std::vector<std::uint32_t> fallback;  // indices in Table::pools, in the order of preference
  Limits limits;
  diagnostics::Location declared_at;
};

/// How requests are sent.
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
  double retry_budget = 0;  // retries for each first attempt
  double hedge_budget = 0;  // hedged requests for each first attempt
  bool renews_stale_copies = true;
  bool joins_fetches = true;
  bool purges_strictly = true;
  std::vector<std::string> fill;  // in the order of preference
  Limits limits;
};

/// A header or query parameter that must have a value.
struct Condition {
  enum class Kind { header, query };
  Kind kind = Kind::header;
  std::string name;
  std::string value;
};

/// Where requests go. Absent: as the router's configuration says.
struct Destination {
  std::optional<std::uint32_t> pool;    // index in Table::pools
  std::optional<std::uint32_t> policy;  // index in Table::policies
};

/// A fraction of a route's requests, from 0 to 1, that goes elsewhere.
struct Split {
  double fraction = 0;
  Destination destination;
};

/// Which requests a route takes, and where they go. An empty list takes any.
struct Route {
  std::string name;
  std::string class_name;
  std::vector<std::string> hosts;  // in lower case; "*.example" stands for all below example
  std::vector<std::string> methods;
  std::vector<std::string> locations;  // of the router
  config_language::Path path;
  std::vector<Condition> conditions;
  Destination destination;    // of the requests that no split takes
  std::vector<Split> splits;  // in the order of the program
  Limits limits;
  diagnostics::Location declared_at;
};

/// Whether a host pattern ("a.example", "*.example") takes a host in lower case.
bool host_matches(std::string_view pattern, std::string_view host);

/// The index of the split that takes requests with this hash; nothing if none does. The hash is
/// core::stable_hash of what must always be treated alike, such as the object or the user.
std::optional<std::size_t> select_split(const Route& route, std::uint64_t hash);

}  // namespace alderspur::routing
