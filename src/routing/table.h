// An immutable table of routes: which route, pool and policy a request gets.
//
// Precedence: exact hosts, then "*.suffix" (the longest first), then any host; within a host,
// segment by segment from the left, literals before {capture} before *; of equal paths the route
// with more conditions, then the earlier one. A route whose method or conditions do not hold is
// passed over for the next. Paths are compared byte by byte as they stand in the request, hosts
// without regard to case. The cost of a match does not grow with the number of routes.
//
// Matching does no I/O and takes no locks; any thread may call any method. A request keeps the
// table under which it began.
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

/// What routes are matched against. Views and functions are used during match() only, but a Match
/// holds views of `path`.
struct RequestAttributes {
  /// The value of a header or query parameter; nothing if it is absent.
  using Lookup = std::function<std::optional<std::string_view>(std::string_view name)>;

  std::string_view host;
  std::string_view path;
  std::string_view method;
  std::string_view location;  // of the router
  Lookup header;              // may be empty, as `query`: no condition on one then holds
  Lookup query;
  std::uint64_t hash = 0;  // selects a split; see select_split
};

/// A part of the request's path that a capture has taken; "*" names the rest of the path.
struct Capture {
  std::string_view name;
  std::string_view value;

  bool operator==(const Capture&) const = default;
};

/// The result for one request. Points into the table and the request's path.
struct Match {
  const Route* route = nullptr;
  Destination destination;
  std::vector<Capture> captures;
};

class Table {
 public:
  /// From a program that was checked without an error.
  Table(const config_language::Meaning& meaning, const config_language::Sources& sources);

  /// Nothing if no route takes the request.
  std::optional<Match> match(const RequestAttributes& request) const;

  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<Pool>& pools() const { return pools_; }
  const std::vector<Policy>& policies() const { return policies_; }

 private:
  using TreeByHost = std::unordered_map<std::string, PathTree>;

  void index_route(RouteIndex index);
  /// In the order of precedence.
  std::optional<RouteIndex> find_route(std::string_view host,
                                       const std::vector<std::string_view>& segments,
                                       const PathTree::Accepts& accepts) const;

  std::vector<Route> routes_;
  std::vector<Pool> pools_;
  std::vector<Policy> policies_;
  TreeByHost exact_hosts_;    // by host in lower case
  TreeByHost host_suffixes_;  // by suffix with its leading dot, in lower case
  PathTree any_host_;
};

}  // namespace alderspur::routing
