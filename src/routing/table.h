// An immutable table of routes: which route, pool and policy hold for a request. Made from what a
// program of the configuration language means; matched without I/O, locks or allocation beyond the
// captures.
//
// Precedence: hosts exact, then "*.suffix" (longest first), then any; within a host, segment by
// segment from the left, text before {capture} before *; of equal paths the route with more
// conditions, then the earlier one. A route whose method or conditions do not hold is passed over
// and the next best is tried. Paths are compared as they stand in the request, byte by byte; hosts
// without regard to case. The cost of a match grows with the path's length and with the captures on
// its way, not with the number of routes.
//
// A Table never changes: many threads may match at once, and what is in flight keeps the one it
// began under.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config_language/check.h"
#include "endpoints/snapshot.h"

namespace alderspur::routing {

struct Limits {  // absent: no limit
  std::optional<std::uint32_t> max_in_flight, burst;
  std::optional<double> max_rate;     // a second
  std::optional<std::int64_t> queue;  // microseconds
};
struct Pool {
  std::string name;
  Role role = Role::cache;
  std::vector<std::string> points, hubs;
  std::vector<std::uint32_t> cells;
  double weight_least = 0;
  std::vector<std::uint32_t> fallback;  // places in Table::pools
  Limits limits;
  diagnostics::Location location;
};
struct Policy {
  std::string name;
  std::uint32_t attempts = 1, rank = 0;
  std::optional<std::int64_t> deadline, attempt_deadline, hedge_after, fresh, grace,
      retry_after;                            // microseconds
  double retry_budget = 0, hedge_budget = 0;  // parts of the first tries
  bool renew = true, join = true, strict_purge = true;
  std::vector<std::string> fill;  // in the order of preference
  Limits limits;
};
struct Condition {
  enum class Kind { header, query } kind = Kind::header;
  std::string name, value;
};
struct Target {
  std::optional<std::uint32_t> pool, policy;  // places in the table
};
struct Route {
  std::string name, cls;
  std::vector<std::string> hosts, methods, points;  // empty: any
  std::vector<config_language::Segment> path;
  std::vector<Condition> conditions;
  Target target;
  std::vector<std::pair<double, Target>> splits;  // parts of one, in order; the rest goes to target
  Limits limits;
  diagnostics::Location location;
};

struct Question {
  std::string_view host, path, method, point;
  std::function<std::optional<std::string_view>(std::string_view name)> header, query;
  std::uint64_t hash = 0;  // of what a split must be stable for: the object, a user
};
struct Match {
  const Route* route = nullptr;
  Target target;
  std::vector<std::pair<std::string_view, std::string_view>>
      captures;  // slices of the question's path
};

class Table {
 public:
  // From a program that checks without an error.
  Table(const config_language::Meaning& meaning, const config_language::Sources& sources);
  ~Table();
  Table(const Table&) = delete;
  Table& operator=(const Table&) = delete;

  std::optional<Match> match(const Question& question) const;
  const std::vector<Route>& routes() const { return routes_; }
  const std::vector<Pool>& pools() const { return pools_; }
  const std::vector<Policy>& policies() const { return policies_; }
  // The servers of a pool among those listed, in the list's order. Draining ones are left out.
  std::vector<ServerId> servers(const Pool& pool, const endpoints::Snapshot& list) const;

 private:
  struct Node;
  struct Walk;
  struct Builder;
  void insert(Node& root, std::uint32_t route);
  bool search(const Node& node, Walk& walk, std::size_t depth) const;
  bool holds(const Route& route, const Question& question) const;

  std::vector<Route> routes_;
  std::vector<Pool> pools_;
  std::vector<Policy> policies_;
  std::unordered_map<std::string, std::unique_ptr<Node>> exact_, suffix_;  // by host in lower case
  std::unique_ptr<Node> any_;
};

// Whether a host pattern ("a.example", "*.example") takes a host in lower case.
bool host_fits(std::string_view pattern, std::string_view host);
// Which part of one a core::stable_hash falls into: the place of the split, or nothing for the
// rest.
std::optional<std::size_t> split_of(const Route& route, std::uint64_t hash);

}  // namespace alderspur::routing
