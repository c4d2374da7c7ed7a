// Serves endpoint discovery over HTTP, so that other proxies can use this router's view of the
// health and weights of its endpoints. Proxies poll the server. A connection that sends no request
// for a minute is closed.
//
// The server runs on the thread of the event loop.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "core/engine.h"
#include "http/message.h"
#include "net/connection.h"
#include "net/listener.h"
#include "upstream/upstream_pool.h"
#include "xds/eds.h"
#include "xds/settings.h"

namespace alderspur::xds {

/// An HTTP/1.1 server for discovery requests. Not thread-safe.
class Server {
 public:
  /// Starts to listen. Throws if the address cannot be bound. Everything passed by reference must
  /// outlive the server. `max_clients` limits the number of connections that are open at the same
  /// time.
  Server(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
         upstream::UpstreamPool& upstream_pool, const Settings& settings, std::size_t max_clients);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Answers requests that are queued in read buffers and destroys closed connections. The caller
  /// calls it at the end of each turn of the loop.
  void end_turn();

  /// Stops accepting connections. Open connections are still served.
  void stop_listening() { listener_.stop(); }

  /// Returns the address on which the server listens.
  sockaddr_in address() const { return listener_.address(); }

 private:
  struct Client;

  void accept(net::Fd fd);
  std::ptrdiff_t on_data(Client& client, std::string_view bytes);
  DiscoveryReply handle(const http::Request& request);
  void respond(Client& client, const DiscoveryReply& reply, bool keep_alive);
  void restart_idle_timeout(Client& client);
  void flush(Client& client);
  void close(Client& client);
  void close_lingering(Client& client);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  upstream::UpstreamPool& upstream_pool_;
  const Settings& settings_;
  std::vector<std::unique_ptr<Client>> clients_;
  net::Listener listener_;
};

}  // namespace alderspur::xds
