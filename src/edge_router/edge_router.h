// One running router: loop, engine, upstream pool, discovery client and the platform's front, wired
// together. The program edge_router is this; `alderspur run` adds further fronts, and the cluster
// between discovery client and engine.
//
// One thread. run() returns when a graceful shutdown is over. The constructor throws
// std::runtime_error if an address is not to be had. Times are microseconds.
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

class EdgeRouter {
 public:
  using MakeEndpointSink = std::function<std::unique_ptr<discovery::EndpointSink>(EdgeRouter&)>;
  using LogSink = std::function<void(const std::string& event, const std::string& text)>;
  /// What else takes part in the turns of this router. Each function may be empty.
  struct Component {
    std::function<void()> end_turn;
    std::function<void()> leave;  // some time after SIGTERM: accept nothing new
    std::function<bool()> idle;   // no response is owed
  };

  EdgeRouter(config::Config config, LogSink log, const MakeEndpointSink& make_sink = {});
  void add(Component component) { components_.push_back(std::move(component)); }
  /// Runs in place of logging the counters, on SIGUSR1 and at the end.
  void on_counters(std::function<void()> report) { counters_report_ = std::move(report); }
  /// What operators are told of the cluster. No effect where operators cannot call, as with the
  /// next two.
  void on_cluster(std::function<std::string()> view) {
    if (admin_handler_) admin_handler_->set_cluster_view(std::move(view));
  }
  /// What operators are told of configuration versions, and what they propose.
  void on_versions(admin::RouterAdminHandler::VersionsHandler versions,
                   std::size_t max_body_bytes) {
    if (admin_handler_) admin_handler_->set_versions_handler(std::move(versions), max_body_bytes);
  }
  /// Operators are told that this router is ready only once `may_be_ready` holds.
  void on_ready(std::function<bool()> may_be_ready) {
    if (admin_handler_) admin_handler_->set_readiness_condition(std::move(may_be_ready));
  }
  /// Called after SIGHUP.
  void on_reload(std::function<void()> callback) { reload_callback_ = std::move(callback); }
  /// Called of each ban or unban by hand, whoever made it.
  void on_ban(std::function<void(const hot_restart::BanChange&)> callback) {
    ban_callback_ = std::move(callback);
  }
  /// This router's part of what all routers, and those of its location, may do together; 0: as the
  /// settings say.
  void set_cluster_share(double of_all, double of_location);
  /// A ban made elsewhere; the server need not be listed.
  void ban(const hot_restart::BanChange& change);
  std::vector<std::string> bans() const;
  /// Where SIGHUP reads the configuration anew; empty: it cannot be.
  void set_config_path(std::string path) { config_path_ = std::move(path); }

  void run();
  /// After run(): false if the shared folder hangs, and the process can only be ended by _exit().
  bool stop_workers() { return !hot_restart_ || hot_restart_->stop_worker(); }
  /// One turn of the loop, for tests that drive it by hand.
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
  // These stand before hot_restart_, which calls update_peers() and apply_ban() while the members
  // below it are not constructed yet.
  bool is_constructed_ = false;
  double share_of_all_ = 0;
  double share_of_location_ = 0;
  std::function<void(const hot_restart::BanChange&)> ban_callback_;
  // Null where operators cannot call, as are admin_handler_ and admin_server_.
  std::unique_ptr<hot_restart::HotRestartCoordinator> hot_restart_;
  rpc_front::RpcFront front_;
  std::unique_ptr<admin::RouterAdminHandler> admin_handler_;
  std::unique_ptr<admin::AdminServer> admin_server_;
  std::vector<Component> components_;
  std::function<void()> reload_callback_;
  std::function<void()> counters_report_;
  std::string config_path_;
  core::Time drain_from_ = 0;  // 0: no shutdown is under way
  bool is_drain_time_over_ = false;
};

}  // namespace alderspur::edge_router
