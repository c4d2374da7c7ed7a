// The routes of the signed-URL front: reads, checks and compiles a program of the configuration
// language, selects the route of each request, and admits requests within the routes' limits.
//
// Threads: the loop's thread owns the table and the limits; a worker compiles. A new table replaces
// the active one between turns of the loop; limits with the same names keep their state.
// Errors: where a program has errors the active table stays, and the first errors are logged. A
// request keeps the table under which it began until its end.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "diagnostics/diagnostics.h"
#include "edge_router/edge_router.h"
#include "file_watch/worker.h"
#include "limits/limits.h"
#include "log/log.h"
#include "net/wakeup.h"
#include "routing/table.h"
#include "signed_url/route_selector.h"

namespace alderspur::control {

/// A table of routes, resolved against the router's configuration. Immutable.
struct CompiledRoutes {
  std::unique_ptr<const routing::Table> table;
  std::vector<std::uint32_t> class_ids;      // by route: its class in the configuration
  std::vector<core::Time> request_timeouts;  // by class, in microseconds; 0: none
};
using CompiledRoutesPtr = std::shared_ptr<const CompiledRoutes>;

/// The result of compiling a program of routes.
struct CompileResult {
  CompiledRoutesPtr routes;        // null where there are errors
  diagnostics::Findings findings;  // errors and warnings
};

/// Reads, checks and compiles the program of routes in `file`, with the files that it includes.
/// Errors are also classes that `config` does not have or that links cannot use. Thread-safe.
CompileResult compile_routes(const std::string& file, const config::Config& config);

/// The first errors among the findings, one line each; at most five, since one error often causes
/// many others.
std::vector<std::string> first_errors(const diagnostics::Findings& findings);

class Routes : public signed_url::RouteSelector {
 public:
  /// Compiles the file on this thread. Throws config::Error where it has errors. `router` and `log`
  /// must outlive the routes.
  Routes(edge_router::EdgeRouter& router, std::string file, log::Log& log);
  ~Routes() override;

  /// Compiles the file again on the worker, and once more if called meanwhile.
  void reload();

  std::optional<signed_url::RouteMatch> match(const http::Request& request, std::string_view path,
                                              std::string_view query) override;
  signed_url::Admission admit(signed_url::RouteMatch& match, core::Time now) override;

  const limits::Limits& limits() const { return limits_; }

  /// The table of the requests that begin now.
  const CompiledRoutesPtr& active() const { return active_; }

 private:
  class Reservation;

  void finish_reload(const CompileResult& result);
  void activate(CompiledRoutesPtr routes);
  std::optional<routing::Match> find_route(const http::Request& request, std::string_view path,
                                           std::string_view query) const;

  edge_router::EdgeRouter& router_;
  const std::string file_;
  log::Log& log_;
  limits::Limits limits_;
  CompiledRoutesPtr active_;
  bool is_compiling_ = false;
  bool must_compile_again_ = false;
  // Last, so that they are destroyed first: their jobs use the members above.
  net::Wakeup wakeup_;
  file_watch::Worker worker_;
};

}  // namespace alderspur::control
