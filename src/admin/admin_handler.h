// The interface by which the admin server reads the state of its router and changes it. The server
// calls all functions on the event loop's thread, so they must not block.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace alderspur::admin {

/// The HTTP reply to an operator's call.
struct HttpReply {
  int status = 0;
  std::string body;
  std::string_view allowed_methods = {};  // the Allow header of status 405; must outlive the reply
};

/// Handles the calls that the admin server has parsed.
class AdminHandler {
 public:
  /// Receives the reply to a call. Must be called exactly once, either before or after the function
  /// that it was passed to returns.
  using ReplyCallback = std::function<void(const HttpReply& reply)>;

  AdminHandler() = default;
  AdminHandler(const AdminHandler&) = delete;
  AdminHandler& operator=(const AdminHandler&) = delete;
  virtual ~AdminHandler() = default;

  /// Returns whether this process is ready to accept clients.
  virtual bool is_ready() = 0;
  /// Returns the metrics in the Prometheus text format.
  virtual std::string render_metrics() = 0;
  /// Returns this router's view of the cluster as JSON, or nullopt if it is not in a cluster.
  virtual std::optional<std::string> render_cluster_view() { return {}; }
  /// Reads or proposes versions of the shared configuration. `path` is the part of the path after
  /// "/control/versions". `body` is the body of a PUT and otherwise empty. Returns nullopt if this
  /// router does not take part in consensus.
  virtual std::optional<HttpReply> handle_versions_call(std::string_view /*path*/,
                                                        std::string_view /*query*/,
                                                        const std::string& /*body*/) {
    return {};
  }
  /// Returns the maximum body size that handle_versions_call() accepts, in bytes. 0 means that it
  /// accepts no body.
  virtual std::size_t max_body_bytes() { return 0; }
  /// Bans a server if `is_banned` is true, otherwise lifts its ban. Passes the reply to `done`.
  virtual void change_ban(std::string_view server, bool is_banned, ReplyCallback done) = 0;
};

}  // namespace alderspur::admin
