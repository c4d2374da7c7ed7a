// One running router: assembles the loop, the engine, the upstream pool, the discovery client and
// the platform's front. The program edge_router is no more than this; `alderspur run` adds further
// fronts, and the cluster between discovery client and engine.
//
// All functions are for the thread that calls run(). Times are microseconds.
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

/// Serves clients from its construction until run() returns.
class EdgeRouter {
 public:
  /// Makes the receiver of endpoint updates, while the router is being constructed.
  using MakeEndpointSink = std::function<std::unique_ptr<discovery::EndpointSink>(EdgeRouter&)>;
  /// Receives each log event with its text.
  using LogSink = std::function<void(const std::string& event, const std::string& text)>;
  /// A further part of this router that takes part in its turns. Each function may be empty.
  struct Component {
    std::function<void()> end_turn;
    std::function<void()> stop_accepting;  // called some time after SIGTERM
    std::function<bool()> is_idle;         // whether all responses have been sent
  };

  /// Without `make_sink`, endpoint updates go straight to the pool and the engine. Throws
  /// std::runtime_error if an address cannot be bound, and config::Error if one is malformed.
  EdgeRouter(config::Config config, LogSink log, const MakeEndpointSink& make_sink = {});
  void add(Component component) { components_.push_back(std::move(component)); }
  /// Replaces the logging of the counters, on SIGUSR1 and at the end.
  void set_counters_report(std::function<void()> report) { counters_report_ = std::move(report); }
  /// Sets the view of the cluster that operators get, as JSON. No effect without an operators'
  /// address, as with the next two.
  void set_cluster_view(std::function<std::string()> view);
  /// Sets the handler of operators' calls about configuration versions.
  void set_versions_handler(admin::RouterAdminHandler::VersionsHandler handler,
                            std::size_t max_body_bytes);
  /// This router reports itself as not ready until `may_be_ready` returns true.
  void set_readiness_condition(std::function<bool()> may_be_ready);
  /// Sets what tells whether a ban that is in effect here is known to the other routers too.
  void set_ban_replication_check(std::function<bool(const std::string& server)> is_replicated);
  /// Called after SIGHUP.
  void on_reload(std::function<void()> callback) { reload_callback_ = std::move(callback); }
  /// Called for each ban by an operator, or the end of one, whichever process it came to.
  void on_ban(std::function<void(const hot_restart::BanChange&)> callback) {
    ban_callback_ = std::move(callback);
  }
  /// Sets this router's share of the budgets of all routers and of those of its location, 0 to 1;
  /// 0: as the settings state.
  void set_cluster_share(double of_all, double of_location);
  /// Applies a ban that another router has got; the server need not be listed.
  void ban(const hot_restart::BanChange& change);
  /// The servers with a ban that is on the disk.
  std::vector<std::string> bans() const;
  /// Sets the file from which SIGHUP reloads the configuration.
  void set_config_path(std::string path) { config_path_ = std::move(path); }

  /// Runs the loop until a graceful shutdown is complete.
  void run();
  /// After run(): false if the shared directory does not respond, so that the process can only be
  /// ended by _exit().
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
  // Declared before hot_restart_, which calls update_peers() and apply_ban() while the members
  // below it are not constructed yet.
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
  core::Time drain_from_ = 0;  // 0: no shutdown has begun
  bool is_drain_time_over_ = false;
};

}  // namespace alderspur::edge_router
