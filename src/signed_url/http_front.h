// The signed front: HTTP clients with signed links, cookies or bearer tokens, on the same core.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "http/message.h"
#include "net/connection.h"
#include "net/listener.h"
#include "signed_url/route_selector.h"
#include "signed_url/settings.h"
#include "signed_url/token.h"

namespace alderspur::signed_url {

class HttpFront : public core::Front {
 public:
  // `clock` is the wall clock that links and tokens are checked against. With a guide the settings'
  // routes are not looked at.
  HttpFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
            const config::Config& config, const Settings& settings,
            std::function<core::Time()> clock, RouteSelector* guide = nullptr);
  ~HttpFront() override;

  void respond(core::RequestHandle ticket, const core::Response& answer) override;
  void end_turn();
  // Nobody new is taken beside those whose connect the kernel has completed; answers end their
  // connections from now on, and who asks nothing goes by a lingering close.
  void leave();
  bool idle() const;  // nothing is owed, and nobody has just come
  sockaddr_in address() const { return listener_.address(); }

 private:
  struct Client;
  void accept(net::Fd fd);
  std::ptrdiff_t take(Client& client, std::string_view bytes);
  Check check_access(const http::Request& request, std::string& token, Claims& claims);
  void ask(Client& client, const http::Request& request);
  std::optional<Found> find(const http::Request& request, std::string_view path,
                            std::string_view query);
  void let_go(Client& client);
  void respond(Client& client, int status, const core::Response& answer = {});
  void drop(Client& client, bool orderly);
  void touch(Client& client);
  void settle(Client& client);
  bool rests(const Client& client) const;
  void wait(Client& client, core::Time time);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const Settings& settings_;
  std::function<core::Time()> clock_;
  RouteSelector* guide_;
  Checker checker_;
  std::uint64_t random_;
  bool leaving_ = false;
  std::size_t most_clients_;
  std::vector<std::unique_ptr<Client>> clients_;  // in no order; each knows its place
  std::vector<Client*> touched_;                  // of this turn, each once
  std::unordered_map<core::RequestHandle, Client*> asked_;
  net::Listener listener_;
};

}  // namespace alderspur::signed_url
