// The signed-URL front: serves HTTP clients whose requests carry a signed link, a cookie or a
// bearer token, through the same engine as all other fronts.
//
// One request of a connection is open at a time; further ones wait in its read buffer. A request is
// verified once, when it arrives: it runs to its response even if its token expires meanwhile.
// Bounds: an eighth of the process's descriptors for clients, timeouts for the request's head, an
// idle connection and a slow reader. Runs on the loop's thread; times are microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "http/message.h"
#include "net/connection.h"
#include "net/listener.h"
#include "signed_url/credential.h"
#include "signed_url/route_selector.h"
#include "signed_url/settings.h"
#include "signed_url/token.h"

namespace alderspur::signed_url {

class HttpFront : public core::Front {
 public:
  /// Listens at once. Throws where the address cannot be bound. Everything passed by reference must
  /// outlive the front. `unix_clock` is the time against which tokens are verified. With a
  /// `route_selector` the routes of the settings are not used; null: they are.
  HttpFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
            const config::Config& config, const Settings& settings,
            std::function<core::Time()> unix_clock, RouteSelector* route_selector = nullptr);
  ~HttpFront() override;
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  void respond(core::RequestHandle request, const core::Response& response) override;

  /// To be called at the end of each turn of the loop: answers further requests that have arrived
  /// and destroys closed connections.
  void end_turn();

  /// Begins a graceful shutdown: accepts only the connections that the kernel has completed, closes
  /// idle ones, and the others with their next response.
  void drain();

  /// No response is owed, and no client has just connected.
  bool is_drained() const;

  sockaddr_in address() const { return listener_.address(); }

 private:
  struct Client;
  enum class CloseMode { at_once, lingering };

  bool may_accept();
  void accept(net::Fd fd);
  std::ptrdiff_t on_data(Client& client, std::string_view bytes);
  void dispatch(Client& client, const http::Request& request);
  void handle_get(Client& client, const http::Request& request);
  Verification verify(const std::optional<Credential>& credential, std::string_view path) const;
  std::optional<RouteMatch> match_route(const http::Request& request, const RequestTarget& target);
  std::optional<RouteMatch> match_settings_route(std::string_view path) const;
  std::string make_request_id();
  void admit(Client& client, const core::RequestView& view,
             std::unique_ptr<LimitReservation> reservation);
  void respond(Client& client, int status, const core::Response& response = {});
  void release_reservation(Client& client);
  void close(Client& client, CloseMode mode);
  void mark_active(Client& client);
  void flush(Client& client);
  void remove(Client& client);
  bool is_idle(const Client& client) const;
  void restart_timeout(Client& client, core::Time duration);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const Settings& settings_;
  std::function<core::Time()> unix_clock_;
  RouteSelector* route_selector_;
  TokenVerifier verifier_;
  std::uint64_t random_state_;
  bool is_draining_ = false;
  std::size_t max_clients_;
  std::vector<std::unique_ptr<Client>> clients_;  // in no order; each knows its index
  std::vector<Client*> active_clients_;           // of this turn, each once
  std::unordered_map<core::RequestHandle, Client*> clients_by_request_;
  net::Listener listener_;
};

}  // namespace alderspur::signed_url
