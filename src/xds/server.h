// Serves endpoint discovery over HTTP to other proxies, which then follow this router's view of its
// endpoints. Proxies poll; a connection without a request for a minute is closed.
//
// Runs on the loop's thread.
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

class Server {
 public:
  /// Listens at once. Throws where the address cannot be bound. Everything passed by reference must
  /// outlive the server. `max_clients`: connections that may be open at the same time.
  Server(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
         upstream::UpstreamPool& upstream_pool, const Settings& settings, std::size_t max_clients);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// To be called at the end of each turn of the loop: answers further requests that have arrived
  /// and destroys closed connections.
  void end_turn();

  /// Accepts no further connections; those that are open are served.
  void stop_listening() { listener_.stop(); }

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
