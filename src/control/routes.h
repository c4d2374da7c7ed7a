// The routes of the signed-URL front: reads, checks and compiles a program of the configuration
// language, selects the route of each request, and admits requests within the routes' limits.
//
// Threads: the loop's thread owns the table and the limits; a worker compiles. A new table replaces
// the old one whole, between turns of the loop; limits with the same names keep their state.
// Errors: a program with errors leaves the table in force, and its first findings are logged. A
// request keeps the table under which it began until its end.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge_router/edge_router.h"
#include "file_watch/worker.h"
#include "limits/limits.h"
#include "log/log.h"
#include "net/wakeup.h"
#include "routing/table.h"
#include "signed_url/route_selector.h"

namespace alderspur::control {

/// A table of routes, resolved against the router's configuration.
struct TableInForce {
  std::unique_ptr<const routing::Table> table;
  std::vector<std::uint32_t> classes;  // by route: the class's number in the configuration
  std::vector<core::Time> deadlines;   // by class, in microseconds; 0: none
};
using TablePtr = std::shared_ptr<const TableInForce>;

/// Null where the program has errors or names unknown classes; the first errors are then added to
/// `findings`, as text.
TablePtr compile(const std::string& file, const config::Config& config,
                 std::vector<std::string>& findings);

class Routes : public signed_url::RouteSelector {
 public:
  /// Compiles the file on this thread. Throws config::Error where it has errors.
  Routes(edge_router::EdgeRouter& node, std::string file, log::Log& log);
  ~Routes() override;

  /// Compiles the file again on the worker, and once more if called meanwhile.
  void reload();

  std::optional<signed_url::Found> find(const http::Request& request, std::string_view path,
                                        std::string_view query) override;
  core::Time admit(signed_url::Found& found, core::Time now) override;
  const limits::Limits& limits() const { return limits_; }
  const TablePtr& in_force() const { return table_; }

 private:
  class Held;

  void finish_reload(TablePtr table, const std::vector<std::string>& findings);
  void replace_table(TablePtr table);
  std::optional<routing::Match> match(const http::Request& request, std::string_view path,
                                      std::string_view query) const;

  edge_router::EdgeRouter& node_;
  const std::string file_;
  log::Log& log_;
  limits::Limits limits_;
  TablePtr table_;
  bool is_compiling_ = false;
  bool must_compile_again_ = false;
  // Last, so that they are destroyed first: their jobs use the members above.
  net::Wakeup wakeup_;
  file_watch::Worker worker_;
};

}  // namespace alderspur::control
