// One running router: loop, core, connections to servers, board and the platform's front, wired
// together.
//
// Both programs are built round it: edge_router as it is, `alderspur run` with further fronts and
// with membership between board and core. One thread; run() returns when a planned leave is over.
// Throws std::runtime_error from its constructor where an address is not to be had.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "admin/router_admin_handler.h"
#include "config/config.h"
#include "core/engine.h"
#include "hot_restart/coordinator.h"
#include "net/loop.h"
#include "platform/discovery_client.h"
#include "platform/rpc_front.h"
#include "platform/upstream_pool.h"

namespace alderspur::platform {

class EdgeRouter {
 public:
  using MakeEndpointSink = std::function<std::unique_ptr<EndpointSink>(EdgeRouter&)>;
  using LogSink = std::function<void(const std::string& event, const std::string& text)>;
  // What else takes part in the turns of this node.
  struct Component {
    std::function<void()> end_turn;
    std::function<void()> leave;  // some time after SIGTERM: accept nothing new
    std::function<bool()> idle;   // nothing is owed
  };

  EdgeRouter(config::Config config, LogSink say, const MakeEndpointSink& make_sink = {});
  void add(Component part) { parts_.push_back(std::move(part)); }
  // In place of saying the counters in one line, on SIGUSR1 and at the end.
  void on_counters(std::function<void()> then) { counted_ = std::move(then); }
  // What operators are told of the cluster; nothing where they cannot call.
  void on_cluster(std::function<std::string()> view) {
    if (desk_) desk_->set_cluster_view(std::move(view));
  }
  // This router's part of what all routers, and those of its location, may do together; 0: by told
  // numbers.
  void cluster_share(double all, double here);
  // What operators are told of versions, and what they propose.
  void on_versions(admin::RouterAdminHandler::VersionsHandler versions, std::size_t body_most) {
    if (desk_) desk_->set_versions_handler(std::move(versions), body_most);
  }
  // Of bans by hand, whoever makes them; and one that others made. Unlisted servers as well.
  void on_ban(std::function<void(const hot_restart::BanChange&)> then) {
    banned_ = std::move(then);
  }
  void ban(const hot_restart::BanChange& change);
  std::vector<std::string> bans() const;
  // The yes to `ready` waits for it.
  void on_ready(std::function<bool()> may) {
    if (desk_) desk_->set_readiness_condition(std::move(may));
  }
  void on_reload(std::function<void()> then) { reloaded_ = std::move(then); }
  void run();
  // After run(): false where the shared folder hangs, and the process can only be ended by _exit().
  bool settle() { return !hot_restart_ || hot_restart_->stop_worker(); }
  void turn();  // of the loop, for whoever drives it by hand

  const config::Config& config() const { return config_; }
  core::Deadlines& deadlines() { return deadlines_; }
  net::Loop& loop() { return loop_; }
  core::Engine& engine() { return engine_; }
  UpstreamPool& upstream_pool() { return upstream_pool_; }
  const RpcFront& front() const { return front_; }

  // Where the configuration came from, for SIGHUP; empty: it cannot be read anew.
  std::string config_path;

 private:
  void reload();
  void say_counters();
  void begin_operation();
  void leave();
  void end_when_idle();
  core::Time killed_after() const;
  void others(const hot_restart::PeerSummary& others, double share);

  const config::Config config_;
  LogSink say_;
  core::Deadlines deadlines_;
  net::Loop loop_;
  core::Engine engine_;
  UpstreamPool upstream_pool_;
  std::unique_ptr<EndpointSink> sink_;
  DiscoveryClient discovery_client_;
  // Before what tells us of others: its first word comes while the members below are not there yet.
  bool complete_ = false;
  double all_ = 0, here_ = 0;  // see cluster_share
  std::function<void(const hot_restart::BanChange&)> banned_;
  std::unique_ptr<hot_restart::HotRestartCoordinator>
      hot_restart_;  // where operators call, as are the next two
  RpcFront front_;
  std::unique_ptr<admin::RouterAdminHandler> desk_;
  std::unique_ptr<admin::AdminServer> operators_;
  std::vector<Component> parts_;
  std::function<void()> reloaded_, counted_;
  core::Time leave_at_ = 0;
  bool over_ = false;  // our time is, whoever still stays
};

}  // namespace alderspur::platform
