// Answers the operators' calls for one router: readiness, metrics, manual bans, and what the
// services that run beside the router add (cluster view, versions). Runs on the event loop's
// thread.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/admin_handler.h"
#include "core/deadlines.h"
#include "core/engine.h"
#include "hot_restart/coordinator.h"

namespace alderspur::admin {

/// The handler of one router.
class RouterAdminHandler : public AdminHandler {
 public:
  /// What the handler asks of the router that it belongs to.
  struct RouterState {
    std::function<bool()> is_draining;  // a planned shutdown has begun
    std::function<bool(std::string_view server)> is_listed;
  };
  /// Answers calls about configuration versions; see AdminHandler::handle_versions_call().
  using VersionsHandler = std::function<HttpReply(std::string_view path, std::string_view query,
                                                  const std::string& body)>;

  /// `class_names`: of the request classes, in the order of the settings. What is passed by
  /// reference must outlive the handler.
  RouterAdminHandler(core::Deadlines& deadlines, core::Engine& engine,
                     hot_restart::HotRestartCoordinator& hot_restart,
                     const std::vector<std::string>& class_names, RouterState router);

  bool is_ready() override;
  std::string render_metrics() override;
  std::optional<std::string> render_cluster_view() override;
  std::optional<HttpReply> handle_versions_call(std::string_view path, std::string_view query,
                                                const std::string& body) override;
  std::size_t max_body_bytes() override { return max_body_bytes_; }
  /// An unknown server gets 404; a call that changes nothing gets 200 like the first. The ban takes
  /// effect in this turn of the loop; the 200 follows once it is on the disk. Where that fails or
  /// takes longer than kDiskTimeout: 503, and the ban stays in effect all the same. The same where
  /// the ban cannot be replicated to the other routers.
  void change_ban(std::string_view server, bool is_banned, ReplyCallback done) override;

  /// Sets the view of the cluster, as JSON; without it there is none.
  void set_cluster_view(std::function<std::string()> view) { cluster_view_ = std::move(view); }
  /// The process reports itself as not ready until this returns true.
  void set_readiness_condition(std::function<bool()> condition) {
    readiness_condition_ = std::move(condition);
  }
  /// Sets what tells whether a ban that is in effect here is known to the other routers too.
  void set_ban_replication_check(std::function<bool(const std::string& server)> is_replicated) {
    is_ban_replicated_ = std::move(is_replicated);
  }
  /// Sets the handler of calls about versions with bodies of at most `max_body_bytes`.
  void set_versions_handler(VersionsHandler handler, std::size_t max_body_bytes) {
    versions_handler_ = std::move(handler);
    max_body_bytes_ = max_body_bytes;
  }

 private:
  HttpReply ban_reply(const hot_restart::BanChange& change) const;
  void save_ban(const hot_restart::BanChange& change, ReplyCallback done);

  core::Deadlines& deadlines_;
  core::Engine& engine_;
  hot_restart::HotRestartCoordinator& hot_restart_;
  const std::vector<std::string>& class_names_;
  RouterState router_;
  std::function<std::string()> cluster_view_;
  std::function<bool()> readiness_condition_;
  std::function<bool(const std::string& server)> is_ban_replicated_;
  VersionsHandler versions_handler_;
  std::size_t max_body_bytes_ = 0;
  core::Time started_at_;
};

}  // namespace alderspur::admin
