// Routes in service: a program of the configuration language read, checked and compiled off the
// loop, its table swapped whole between turns, and its limits kept over the swap.
//
// A program that does not check leaves the table in force; the refusal is told with its first
// findings. A request keeps the table that it began under until it has its answer.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "file_watch/worker.h"
#include "limits/limits.h"
#include "log/log.h"
#include "net/wakeup.h"
#include "platform/edge_router.h"
#include "routing/table.h"
#include "signed_url/route_selector.h"

namespace alderspur::app {

// A table with what this router's own configuration makes of it.
struct TableInForce {
  std::unique_ptr<const routing::Table> table;
  std::vector<std::uint32_t> classes;  // by route: the class's number in the configuration
  std::vector<core::Time> deadlines;   // by class
};
using TablePtr = std::shared_ptr<const TableInForce>;
// Null with findings (rendered, the first few) where the program does not check or names unknown
// classes.
TablePtr compile(const std::string& file, const config::Config& config,
                 std::vector<std::string>& findings);

class Routes : public signed_url::RouteSelector {
 public:
  // Throws config::Error where the file does not check: there is nothing to go on from.
  Routes(platform::EdgeRouter& node, std::string file, log::Log& log);
  ~Routes() override;
  void reload();  // SIGHUP

  std::optional<signed_url::Found> find(const http::Request& request, std::string_view path,
                                        std::string_view query) override;
  core::Time admit(signed_url::Found& found, core::Time now) override;
  const limits::Limits& limits() const { return limits_; }
  const TablePtr& in_force() const { return table_; }

 private:
  class Held;
  void take(TablePtr table, const std::vector<std::string>& findings);

  platform::EdgeRouter& node_;
  const std::string file_;
  log::Log& log_;
  limits::Limits limits_;
  TablePtr table_;
  bool reading_ = false, again_ = false;
  net::Wakeup wakeup_;
  file_watch::Worker worker_;
};

}  // namespace alderspur::app
