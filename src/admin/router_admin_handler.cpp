#include "admin/router_admin_handler.h"

#include <memory>
#include <utility>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "core/parsing.h"

namespace alderspur::admin {
namespace {

// The maximum time for which a new process is not ready because the shared directory does not show
// yet to the other processes that this process serves clients.
constexpr core::Time kPublishTimeout = 500'000;

/// The reply to a ban that is sent to other routers waits for this time, in which a router that
/// rejects the ban can say so.
constexpr core::Time kRejectionWait = 100'000;

/// A reply that is given exactly once: after the write to disk or after the timeout, whichever is
/// first.
struct PendingReply {
  AdminHandler::ReplyCallback done;
  core::Deadlines::Key timeout{};
};

}  // namespace

RouterAdminHandler::RouterAdminHandler(core::Deadlines& deadlines, core::Engine& engine,
                                       hot_restart::HotRestartCoordinator& hot_restart,
                                       const std::vector<std::string>& class_names,
                                       RouterState router)
    : deadlines_(deadlines),
      engine_(engine),
      hot_restart_(hot_restart),
      class_names_(class_names),
      router_(std::move(router)),
      started_at_(engine.now()) {}

bool RouterAdminHandler::is_ready() {
  if (readiness_condition_ && !readiness_condition_()) return false;
  if (router_.is_draining()) return false;
  return hot_restart_.is_published() || engine_.now() > started_at_ + kPublishTimeout;
}

std::string RouterAdminHandler::render_metrics() {
  return admin::render_metrics(engine_, class_names_);
}

std::optional<std::string> RouterAdminHandler::render_cluster_view() {
  if (!cluster_view_) return {};
  auto view = cluster_view_();
  if (view.empty()) return {};
  return view;
}

std::optional<HttpReply> RouterAdminHandler::handle_versions_call(std::string_view path,
                                                                  std::string_view query,
                                                                  const std::string& body) {
  if (!versions_handler_) return {};
  return versions_handler_(path, query, body);
}

// Also a change that is in effect already as far as this process knows is confirmed only from the
// disk, since another process of this router may have changed the ban meanwhile.
void RouterAdminHandler::change_ban(std::string_view server, bool is_banned, ReplyCallback done) {
  const std::string name(server);
  const bool is_valid_name = core::is_plain_word(server);
  const bool was_banned = is_valid_name && hot_restart_.is_banned(name);
  if (!was_banned && (!is_valid_name || !router_.is_listed(server))) {
    done({404, "no cache with this name is listed\n"});
    return;
  }
  if (!hot_restart_.has_room_for({name, is_banned})) {
    done({503, "too many ban changes are waiting for the disk; retry later\n"});
    return;
  }
  save_ban({name, is_banned}, std::move(done));
}

// Returns the reply to a change that is on the disk.
HttpReply RouterAdminHandler::ban_reply(const hot_restart::BanChange& change) const {
  const auto replication =
      ban_replication_ ? ban_replication_(change.server) : BanReplication::replicated;
  if (replication == BanReplication::not_started) {
    return {503,
            "the change is in effect on this router only: the stored bans are still being read\n"};
  }
  if (!change.is_banned) return {200, change.server + " is not banned\n"};
  if (replication == BanReplication::replicated) return {200, change.server + " is banned\n"};
  if (replication == BanReplication::rejected) {
    return {503,
            "the ban is in effect on this router, but others reject it: their clocks differ from "
            "this router's by more than the bound\n"};
  }
  return {503,
          "the ban is in effect on this router only: the limit of replicated bans is reached\n"};
}

void RouterAdminHandler::save_ban(const hot_restart::BanChange& change, ReplyCallback done) {
  auto pending = std::make_shared<PendingReply>(PendingReply{std::move(done), {}});
  const auto finish = [this, pending,
                       change](const std::optional<hot_restart::SharedDirectoryError>& error) {
    if (!pending->done) return;
    deadlines_.cancel(pending->timeout);
    const auto reply = std::exchange(pending->done, {});
    if (error) {
      reply({503, "the change is in effect in this process but is not on the disk: " +
                      to_string(*error) + "\n"});
    } else if (change.is_banned && ban_replication_) {
      deadlines_.set(engine_.now() + kRejectionWait,
                     [this, reply, change] { reply(ban_reply(change)); });
    } else {
      reply(ban_reply(change));
    }
  };
  pending->timeout = deadlines_.set(engine_.now() + kDiskTimeout,
                                    [finish] { finish(hot_restart::NotResponding{}); });
  hot_restart_.change_ban(change, finish);
}

}  // namespace alderspur::admin
