// An immutable table of routes, which determines the route, pool and policy of a request.
//
// Precedence: Exact hosts come first, then "*.suffix" (longest suffix first), then routes for any
// host. Within a host, paths are compared segment by segment from the left: literals come before
// {capture}, which comes before *. Among routes with equal paths, the one with more conditions
// comes first, and then the earlier one. A route whose method, location or conditions do not match
// is skipped. Paths are compared byte by byte, as received in the request; hosts are compared
// without regard to case. The cost of a match does not depend on the number of routes.
//
// Matching does no I/O and takes no locks, and any thread may call any method. A request uses the
// table that was active when it began, also after a newer table has replaced it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config_language/check.h"
#include "routing/path_tree.h"
#include "routing/route.h"

namespace alderspur::routing {

/// The attributes of a request that routes are matched against. The views and functions are used
/// only during match(), except that a Match refers to `path`.
struct RequestAttributes {
  /// Returns the value of a header or query parameter, or nothing if it is absent.
  using Lookup = std::function<std::optional<std::string_view>(std::string_view name)>;

  std::string_view host;
  std::string_view path;
  std::string_view method;
  std::string_view location;  // the location of the router
  // Each of these may be empty; then no condition on a header or query parameter is met.
  Lookup header;
  Lookup query;
  std::uint64_t hash = 0;  // selects a split; see select_split
};

/// A part of the request's path that a capture has matched. The name "*" stands for the rest of the
/// path.
struct Capture {
  std::string_view name;
  std::string_view value;

  bool operator==(const Capture&) const = default;
};

/// The result for one request. Valid as long as the table and the request's path exist.
struct Match {
  const Route* route = nullptr;
  Destination destination;
  std::vector<Capture> captures;
};

/// A table of routes; see the head of this file.
class Table {
 public:
  /// Builds the table from a program, which must have been checked without an error.
  Table(const config_language::Meaning& meaning, const config_language::Sources& sources);

  /// Returns the route for a request, or nothing if no route accepts it.
  std::optional<Match> match(const RequestAttributes& request) const;

  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<Pool>& pools() const { return pools_; }
  const std::vector<Policy>& policies() const { return policies_; }

 private:
  using TreeByHost = std::unordered_map<std::string, PathTree>;

  void index_route(RouteIndex index);
  /// Returns the accepted route that is first in the order of precedence.
  std::optional<RouteIndex> find_route(std::string_view host,
                                       const std::vector<std::string_view>& segments,
                                       const PathTree::RoutePredicate& accepts) const;

  std::vector<Route> routes_;
  std::vector<Pool> pools_;
  std::vector<Policy> policies_;
  TreeByHost exact_hosts_;    // by host in lower case
  TreeByHost host_suffixes_;  // by suffix with its leading dot, in lower case
  PathTree any_host_;
};

}  // namespace alderspur::routing
