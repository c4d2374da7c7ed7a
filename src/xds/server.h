// Serves discovery over HTTP to other proxies that follow this router's decisions.
#pragma once

#include <memory>
#include <vector>

#include "core/engine.h"
#include "net/connection.h"
#include "net/listener.h"
#include "upstream/upstream_pool.h"
#include "xds/settings.h"

namespace alderspur::xds {

class Server {
 public:
  Server(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
         upstream::UpstreamPool& caches, const Settings& settings, std::size_t most_clients);
  ~Server();
  void end_turn();
  void stop_listening() { listener_.stop(); }
  sockaddr_in address() const { return listener_.address(); }

 private:
  struct Client;
  void accept(net::Fd fd);
  std::ptrdiff_t take(Client& client, std::string_view bytes);
  void drop(Client& client, bool orderly = false);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  upstream::UpstreamPool& caches_;
  const Settings& settings_;
  std::vector<std::unique_ptr<Client>> clients_;
  net::Listener listener_;
};

}  // namespace alderspur::xds
