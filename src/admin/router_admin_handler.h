// Handles the operators' calls for one router: readiness, metrics and bans, and the calls that
// other services of the process add (cluster view, configuration versions). Used on the event
// loop's thread only.
#pragma once

#include <cstddef>
#include <cstdint>
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

/// Where a change of the bans that is in effect here holds.
enum class BanReplication : std::uint8_t {
  replicated,     // it is sent to the other routers
  limit_reached,  // a limit on replicated bans keeps it at this router
  not_started,    // it is sent once the stored bans have been read
  rejected,       // other routers reject it, since their clocks and this router's differ
};

/// The AdminHandler of one router.
class RouterAdminHandler : public AdminHandler {
 public:
  /// Functions that return the state of the router.
  struct RouterState {
    std::function<bool()> is_draining;                       // a graceful shutdown has started
    std::function<bool(std::string_view server)> is_listed;  // is in the endpoint list
  };
  /// Handles calls about configuration versions; see AdminHandler::handle_versions_call().
  using VersionsHandler = std::function<HttpReply(std::string_view path, std::string_view query,
                                                  const std::string& body)>;

  /// `class_names` contains the names of the request classes, in the order of the settings. All
  /// arguments passed by reference must outlive the handler.
  RouterAdminHandler(core::Deadlines& deadlines, core::Engine& engine,
                     hot_restart::HotRestartCoordinator& hot_restart,
                     const std::vector<std::string>& class_names, RouterState router);

  bool is_ready() override;
  std::string render_metrics() override;
  std::optional<std::string> render_cluster_view() override;
  std::optional<HttpReply> handle_versions_call(std::string_view path, std::string_view query,
                                                const std::string& body) override;
  std::size_t max_body_bytes() override { return max_body_bytes_; }
  /// Bans a server or lifts its ban. The change takes effect in this turn of the loop. The reply
  /// has status 200 and is given once the change is on the disk. A call that changes nothing gets
  /// 200 as well, and an unknown server gets 404. The status is 503 if the change cannot be written
  /// to the disk within kDiskTimeout, or if it is not replicated to the other routers; the change
  /// stays in effect nevertheless.
  void change_ban(std::string_view server, bool is_banned, ReplyCallback done) override;

  /// Sets the function that returns the view of the cluster as JSON. Until it is set, or if it
  /// returns an empty string, there is no view.
  void set_cluster_view(std::function<std::string()> view) { cluster_view_ = std::move(view); }
  /// Sets a condition for readiness: is_ready() returns false while `condition` returns false.
  void set_readiness_condition(std::function<bool()> condition) {
    readiness_condition_ = std::move(condition);
  }
  /// Sets the function that returns where a change of the bans of a server holds. Until it is set,
  /// this router has no others.
  void set_ban_replication(std::function<BanReplication(const std::string& server)> replication) {
    ban_replication_ = std::move(replication);
  }
  /// Sets the handler of calls about configuration versions. Their bodies may have at most
  /// `max_body_bytes`.
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
  std::function<BanReplication(const std::string& server)> ban_replication_;
  VersionsHandler versions_handler_;
  std::size_t max_body_bytes_ = 0;
  core::Time started_at_;
};

}  // namespace alderspur::admin
