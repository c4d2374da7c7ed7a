// The routes of the signed-URL front: compiles a program in the configuration language to a route
// table, selects the route of each request, and enforces the limits of the routes.
//
// Threads: the event loop's thread owns the table and the limits. A worker compiles a reloaded
// program, and the new table replaces the active one between turns of the loop. Limits whose names
// are in both tables keep their state.
// Errors: if the program has errors, the active table stays in use and the first errors are logged.
// A request keeps the table that was active when it began until it ends.
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

/// A route table whose classes are resolved against the router's configuration. Immutable.
struct CompiledRoutes {
  std::unique_ptr<const routing::Table> table;
  std::vector<std::uint32_t> class_ids;      // class in the configuration, by route
  std::vector<core::Time> request_timeouts;  // in microseconds, by class; 0 if not set
};
using CompiledRoutesPtr = std::shared_ptr<const CompiledRoutes>;

/// The result of compiling a program of routes.
struct CompileResult {
  CompiledRoutesPtr routes;        // null if there are errors
  diagnostics::Findings findings;  // errors and warnings
};

/// Reads, checks and compiles the program of routes in `file` and the files that it includes. A
/// route is also an error if its class is missing in `config` or cannot be used with signed links.
/// Thread-safe.
CompileResult compile_routes(const std::string& file, const config::Config& config);

/// Returns the first errors among the findings, one line for each. Returns at most five, because
/// one error often causes many others.
std::vector<std::string> first_errors(const diagnostics::Findings& findings);

/// Selects routes and enforces their limits for the signed-URL front of one router.
class Routes : public signed_url::RouteSelector {
 public:
  /// Compiles `file` on the calling thread. Throws config::Error if it has errors. `router` and
  /// `log` must outlive this object.
  Routes(edge_router::EdgeRouter& router, std::string file, log::Log& log);
  ~Routes() override;

  /// Compiles the file again on the worker. If a compilation is running, compiles once more when it
  /// has finished.
  void reload();

  std::optional<signed_url::RouteMatch> match(const http::Request& request, std::string_view path,
                                              std::string_view query) override;
  signed_url::Admission admit(signed_url::RouteMatch& match, core::Time now) override;

  const limits::Limits& limits() const { return limits_; }

  /// Returns the table that is used for new requests.
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
  // Declared last, so that they are destroyed first: their jobs use the members above.
  net::Wakeup wakeup_;
  file_watch::Worker worker_;
};

}  // namespace alderspur::control
