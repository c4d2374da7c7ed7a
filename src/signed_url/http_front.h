// The signed-URL front serves HTTP clients whose requests carry a signed link, a cookie or a bearer
// token. It passes the requests to the same engine as all other fronts.
//
// Each connection has at most one open request. Further requests are queued in its read buffer
// until the response has been passed to the kernel, and the connection is not read while many are
// queued. Requests are rejected while the responses at all fronts exceed their share of the memory.
// A request is verified once, on arrival, and is served even if its token expires before the
// response. Clients may use an eighth of the process's file descriptors. Timeouts limit how long a
// client may take to send the head of a request, to send the next request, and to read a response.
// The front runs on the thread of the event loop. Times are in microseconds.
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
#include "core/response_size.h"
#include "http/message.h"
#include "net/connection.h"
#include "net/listener.h"
#include "signed_url/credential.h"
#include "signed_url/route_selector.h"
#include "signed_url/settings.h"
#include "signed_url/token.h"

namespace alderspur::signed_url {

/// An HTTP server that verifies the credential of each request and forwards the request to the
/// engine. Not thread-safe.
class HttpFront : public core::Front {
 public:
  /// Starts to listen. Throws if the address cannot be bound. Everything passed by reference or
  /// pointer must outlive the front. `unix_clock` returns the Unix time in microseconds, against
  /// which tokens are verified. A `route_selector` replaces the routes of the settings, which apply
  /// if it is null.
  HttpFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
            const config::Config& config, const Settings& settings,
            std::function<core::Time()> unix_clock, RouteSelector* route_selector = nullptr);
  ~HttpFront() override;
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  /// Sends the engine's response to the client of this request. Does nothing if the client has
  /// disconnected.
  void respond(core::RequestHandle request, const core::Response& response) override;

  /// Handles requests that are queued in read buffers and destroys closed connections. The caller
  /// calls it at the end of each turn of the loop.
  void end_turn();

  /// Begins a graceful shutdown. The front accepts only the connections that the kernel has already
  /// established, closes idle connections, and closes every other connection after its next
  /// response.
  void drain();

  /// Reports whether no response is pending and no client has connected so recently that its first
  /// request may still be in transit.
  bool is_drained() const;

  /// Returns the address on which the front listens.
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
  bool has_capacity(std::size_t expected_bytes) const;
  bool has_memory_for(const core::Response& response) const;
  void expect_response(Client& client, std::size_t bytes);
  void update_queued_bytes(Client& client);
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
  std::size_t memory_limit_;  // of the process
  core::ResponseSizeEstimator response_sizes_;
  core::ResponseMemory response_memory_;          // this front's share of the engine's account
  std::vector<std::unique_ptr<Client>> clients_;  // unordered; each stores its index
  std::vector<Client*> active_clients_;           // to be visited by end_turn(), each once
  std::unordered_map<core::RequestHandle, Client*> clients_by_request_;
  net::Listener listener_;
};

}  // namespace alderspur::signed_url
