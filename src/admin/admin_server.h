// The operators' HTTP/1.1 server, on an address of its own; one call per connection. It parses
// calls and finds the function of the AdminHandler that answers each.
//
// Bounded: at most kMaxConnections connections, each with a request head of 2 KB, a body only where
// the handler accepts one, and kCallTimeout to complete its request; when all connections are in
// use, the oldest one without a complete request is closed. Calls are answered in the turn of the
// event loop in which they arrive; only a ban waits until it is on the disk, for kDiskTimeout at
// most. Runs on the event loop's thread. Times are microseconds.
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

constexpr std::size_t kMaxConnections = 16;
constexpr core::Time kCallTimeout = 3'000'000;
constexpr core::Time kDiskTimeout = 700'000;  // operators' tools wait 1 s for a reply

/// Accepts the calls; see the top of this file.
class AdminServer {
 public:
  /// Throws std::runtime_error if the address cannot be bound. `now`: the Unix time.
  AdminServer(net::Loop& loop, core::Deadlines& deadlines, const sockaddr_in& listen,
              AdminHandler& handler, std::function<core::Time()> now);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// To be called at the end of each turn of the event loop: writes replies and closes connections.
  void end_turn();
  /// The address that it listens on.
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
  Caller* find(std::uint64_t number);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  AdminHandler& handler_;
  std::function<core::Time()> now_;
  std::uint64_t last_number_ = 0;
  // At most kMaxConnections, and those closed in this turn.
  std::vector<std::unique_ptr<Caller>> callers_;
  net::Listener listener_;
};

}  // namespace alderspur::admin
