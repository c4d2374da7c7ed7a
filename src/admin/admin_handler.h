// What the admin server needs from the router behind it.
//
// All calls come from the event loop's thread and must not block.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace alderspur::admin {

/// The reply to an operator's call.
struct HttpReply {
  int status = 0;
  std::string body;
  std::string_view allowed_methods = {};  // for status 405; must outlive the reply
};

/// Answers operators' calls.
class AdminHandler {
 public:
  /// Called exactly once, perhaps after the call that it was given to has returned.
  using ReplyCallback = std::function<void(const HttpReply& reply)>;

  AdminHandler() = default;
  AdminHandler(const AdminHandler&) = delete;
  AdminHandler& operator=(const AdminHandler&) = delete;
  virtual ~AdminHandler() = default;

  /// Whether this process is ready to accept clients.
  virtual bool is_ready() = 0;
  /// The metrics in the Prometheus text format.
  virtual std::string render_metrics() = 0;
  /// The view of the cluster as JSON; nothing if this router is in no cluster.
  virtual std::optional<std::string> render_cluster_view() { return {}; }
  /// Reads or proposes versions of the shared configuration. `path`: what follows the common
  /// prefix; `body`: of a PUT, otherwise empty. Returns nothing if this router takes part in no
  /// consensus.
  virtual std::optional<HttpReply> handle_versions_call(std::string_view /*path*/,
                                                        std::string_view /*query*/,
                                                        const std::string& /*body*/) {
    return {};
  }
  /// The largest body that handle_versions_call() accepts, in bytes; 0: none.
  virtual std::size_t max_body_bytes() { return 0; }
  /// Bans a server manually, or lifts its ban.
  virtual void change_ban(std::string_view server, bool is_banned, ReplyCallback done) = 0;
};

}  // namespace alderspur::admin
