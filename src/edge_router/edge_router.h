// One running router. EdgeRouter assembles the event loop, the engine, the upstream pool, the
// discovery client and the front for the platform's clients. The program edge_router consists of an
// EdgeRouter only. `alderspur run` adds further fronts, and inserts the cluster between the
// discovery client and the engine.
//
// Call all functions on the thread that calls run(). Times are in microseconds.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "admin/router_admin_handler.h"
#include "config/config.h"
#include "core/engine.h"
#include "discovery/discovery_client.h"
#include "hot_restart/coordinator.h"
#include "net/loop.h"
#include "rpc_front/rpc_front.h"
#include "upstream/upstream_pool.h"

namespace alderspur::edge_router {

/// Serves clients from its construction until run() returns. Not thread-safe.
class EdgeRouter {
 public:
  /// Creates the receiver of endpoint updates. Called while the router is being constructed.
  using MakeEndpointSink = std::function<std::unique_ptr<discovery::EndpointSink>(EdgeRouter&)>;
  /// Receives each log event with its text.
  using LogSink = std::function<void(const std::string& event, const std::string& text)>;
  /// An additional component of this router, such as another front. Each function may be empty.
  struct Component {
    std::function<void()> end_turn;        // called at the end of each turn of the event loop
    std::function<void()> stop_accepting;  // called at the end of the lame-duck time
    std::function<bool()> is_idle;         // returns whether all responses have been sent
  };

  /// Without `make_sink`, endpoint updates go directly to the upstream pool and the engine. Throws
  /// std::runtime_error if an address cannot be bound, and config::Error if an address is
  /// malformed.
  EdgeRouter(config::Config config, LogSink log, const MakeEndpointSink& make_sink = {});
  /// Adds a component. Call this before run().
  void add(Component component) { components_.push_back(std::move(component)); }
  /// Sets the function that is called instead of logging the counters, on SIGUSR1 and when run()
  /// ends.
  void set_counters_report(std::function<void()> report) { counters_report_ = std::move(report); }
  /// Sets the function that returns the operators' view of the cluster as JSON. Has no effect
  /// without an operators' address; the same holds for the next three functions.
  void set_cluster_view(std::function<std::string()> view);
  /// Sets the handler of operators' calls about configuration versions, and the size limit of the
  /// body of such a call.
  void set_versions_handler(admin::RouterAdminHandler::VersionsHandler handler,
                            std::size_t max_body_bytes);
  /// Sets a condition for readiness: the router reports itself as not ready while `may_be_ready`
  /// returns false.
  void set_readiness_condition(std::function<bool()> may_be_ready);
  /// Sets the function that reports where a change of the bans of a server holds.
  void set_ban_replication(
      std::function<admin::BanReplication(const std::string& server)> replication);
  /// Sets the function that is called after a reload on SIGHUP.
  void on_reload(std::function<void()> callback) { reload_callback_ = std::move(callback); }
  /// Sets the function that is called when an operator bans a server or lifts a ban, whichever
  /// process of the router received the call.
  void on_ban(std::function<void(const hot_restart::BanChange&)> callback) {
    ban_callback_ = std::move(callback);
  }
  /// Sets this router's share of the budgets of all routers and of the budgets of its location,
  /// each from 0 to 1. With 0, the share in the settings applies.
  void set_cluster_share(double of_all, double of_location);
  /// Applies a ban, or the end of a ban, that was replicated from another router. The server need
  /// not be in the endpoint list.
  void ban(const hot_restart::BanChange& change);
  /// Returns the names of the servers whose ban is stored on the disk.
  std::vector<std::string> bans() const;
  /// Sets the file from which SIGHUP reloads the configuration.
  void set_config_path(std::string path) { config_path_ = std::move(path); }

  /// Runs the loop until a graceful shutdown is complete.
  void run();
  /// Stops the worker threads. Call this after run(). Returns false if the shared directory does
  /// not respond, so that the process can be ended only by _exit().
  bool stop_workers() { return !hot_restart_ || hot_restart_->stop_worker(); }
  /// Performs one turn of the loop, for tests that drive it step by step.
  void turn();

  const config::Config& config() const { return config_; }
  core::Deadlines& deadlines() { return deadlines_; }
  net::Loop& loop() { return loop_; }
  core::Engine& engine() { return engine_; }
  upstream::UpstreamPool& upstream_pool() { return upstream_pool_; }
  const rpc_front::RpcFront& front() const { return front_; }

 private:
  std::unique_ptr<hot_restart::HotRestartCoordinator> make_hot_restart();
  core::Engine& start_engine();
  void start_admin();
  void reload();
  void report_counters();
  void report_memory();
  void apply_ban(const hot_restart::BanChange& change);
  void update_peers(const hot_restart::PeerSummary& peers, double share);
  void start_shutdown();
  void stop_when_drained();
  core::Time drain_time() const;

  const config::Config config_;
  LogSink log_;
  core::Deadlines deadlines_;
  net::Loop loop_;
  core::Engine engine_;
  upstream::UpstreamPool upstream_pool_;
  std::unique_ptr<discovery::EndpointSink> sink_;
  discovery::DiscoveryClient discovery_client_;
  // These members are declared before hot_restart_, because it calls update_peers() and apply_ban()
  // while the members below it are not constructed yet.
  bool is_constructed_ = false;
  double share_of_all_ = 0;
  double share_of_location_ = 0;
  std::function<void(const hot_restart::BanChange&)> ban_callback_;
  // Null without an operators' address, as are admin_handler_ and admin_server_.
  std::unique_ptr<hot_restart::HotRestartCoordinator> hot_restart_;
  rpc_front::RpcFront front_;
  std::unique_ptr<admin::RouterAdminHandler> admin_handler_;
  std::unique_ptr<admin::AdminServer> admin_server_;
  std::vector<Component> components_;
  std::function<void()> reload_callback_;
  std::function<void()> counters_report_;
  std::string config_path_;
  core::Time drain_starts_at_ = 0;  // 0 until a shutdown begins
  bool is_drain_time_over_ = false;
};

}  // namespace alderspur::edge_router
