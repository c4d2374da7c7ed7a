// The operators' HTTP/1.1 server, which listens on an address of its own and handles one call per
// connection. It parses each call and passes it to the matching function of the AdminHandler.
//
// Limits: at most kMaxConnections connections. A request head has at most 2 KB, a body is accepted
// only if the handler accepts one, and a call must end within kCallTimeout. When all connections
// are in use, the oldest one without a complete request is closed.
//
// Calls are answered in the turn of the event loop in which they arrive, except that the reply to a
// ban waits until the ban is on the disk, for at most kDiskTimeout. Used on the event loop's thread
// only. Times are in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "admin/admin_handler.h"
#include "core/deadlines.h"
#include "http/message.h"
#include "net/connection.h"
#include "net/listener.h"

namespace alderspur::admin {

/// The maximum number of open connections.
constexpr std::size_t kMaxConnections = 16;
/// A connection is closed this long after it was accepted, answered or not.
constexpr core::Time kCallTimeout = 3'000'000;
/// The maximum wait for a ban to be on the disk. Operators' tools wait 1 s for a reply.
constexpr core::Time kDiskTimeout = 700'000;

/// Accepts operators' connections and replies to their calls; see the top of this file.
class AdminServer {
 public:
  /// Starts to listen. Throws std::runtime_error if the address cannot be bound. `now` returns the
  /// Unix time. All arguments passed by reference must outlive the server.
  AdminServer(net::Loop& loop, core::Deadlines& deadlines, const sockaddr_in& listen,
              AdminHandler& handler, std::function<core::Time()> now);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Closes the connections whose replies are written, and destroys closed ones. Must be called at
  /// the end of each turn of the event loop.
  void end_turn();
  /// Returns the listening address.
  sockaddr_in address() const { return listener_.address(); }

 private:
  struct Caller;
  void accept(net::Fd fd);
  bool make_room();
  std::ptrdiff_t on_data(Caller& caller, std::string_view bytes);
  void handle(Caller& caller, const http::Request& request);
  HttpReply handle_versions(std::string_view path, const http::Request& request);
  void handle_ban(Caller& caller, std::string_view path, const http::Request& request);
  static void respond(Caller& caller, const HttpReply& reply);
  void close(Caller& caller);
  void close_with_linger(Caller& caller);
  bool mark_closed(Caller& caller);
  Caller* find(std::uint64_t id);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  AdminHandler& handler_;
  std::function<core::Time()> now_;
  std::uint64_t last_caller_id_ = 0;
  // At most kMaxConnections open ones, and those that were closed in this turn. Oldest first.
  std::vector<std::unique_ptr<Caller>> callers_;
  net::Listener listener_;
};

}  // namespace alderspur::admin
