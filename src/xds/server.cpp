#include "xds/server.h"

#include "net/lingering.h"

namespace alderspur::xds {
namespace {

constexpr std::size_t kMaxHeadBytes = 8 << 10;
constexpr std::size_t kMaxBodyBytes = 64 << 10;
/// A connection with more bytes of queued requests is not read until they have been handled.
constexpr std::size_t kMaxQueuedRequestBytes = 16 << 10;
/// In microseconds. It is several times the interval at which proxies poll.
constexpr core::Time kIdleTimeout = 60'000'000;
constexpr std::string_view kEndpointsPath = "/v3/discovery:endpoints";

}  // namespace

/// The connection of one client.
struct Server::Client {
  enum class State {
    open,
    closing,  // the last response is being written; further input is discarded
    closed,   // the client is destroyed at the end of the turn
  };

  bool is_closed() const { return state == State::closed; }
  /// Reports whether the next request in the read buffer may be handled. A client that reads
  /// nothing must not make responses pile up.
  bool accepts_request() const { return state == State::open && connection->unwritten() == 0; }

  std::unique_ptr<net::Connection> connection;  // null once handed over for a lingering close
  core::Deadlines::Key timeout{};
  State state = State::open;
};

Server::Server(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
               upstream::UpstreamPool& upstream_pool, const Settings& settings,
               std::size_t max_clients)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      upstream_pool_(upstream_pool),
      settings_(settings),
      listener_(
          loop, deadlines, net::parse_address(settings.listen).value_or(sockaddr_in{}),
          [this, max_clients] { return clients_.size() < max_clients; },
          [this](net::Fd fd) { accept(std::move(fd)); }) {}

Server::~Server() {
  for (auto& client : clients_) close(*client);
}

void Server::accept(net::Fd fd) {
  auto client = std::make_unique<Client>();
  Client* raw = client.get();
  net::Connection::Handler handler;
  handler.on_data = [this, raw](std::string_view bytes) { return on_data(*raw, bytes); };
  handler.on_close = [this, raw](net::CloseReason) { close(*raw); };
  raw->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  restart_idle_timeout(*raw);
  clients_.push_back(std::move(client));
}

std::ptrdiff_t Server::on_data(Client& client, std::string_view bytes) {
  const auto size = bytes.size();
  if (client.state == Client::State::closing) return static_cast<std::ptrdiff_t>(size);
  if (!client.accepts_request()) return 0;
  const auto request = http::next_request(bytes, {kMaxHeadBytes, kMaxBodyBytes});
  if (!request) return 0;
  const bool keep_alive = !request->error_status && request->keep_alive;
  respond(client, handle(*request), keep_alive);
  return static_cast<std::ptrdiff_t>(keep_alive ? size - bytes.size() : size);
}

DiscoveryReply Server::handle(const http::Request& request) {
  if (request.error_status) return {request.error_status, {}};
  if (request.target != kEndpointsPath) return {404, {}};
  if (request.method != http::Method::post) return {405, {}};
  return answer_discovery_request(
      request.body, settings_.cluster, engine_.endpoint_statuses(),
      [this](ServerId server) { return upstream_pool_.address(server); });
}

void Server::respond(Client& client, const DiscoveryReply& reply, bool keep_alive) {
  http::ResponseHead head;
  head.status = reply.status;
  head.content_length = reply.body.size();
  head.content_type = "application/json";
  head.allow = "POST";
  head.is_cacheable = false;
  head.keep_alive = keep_alive;
  client.connection->write(http::encode_response_head(head), reply.body);
  if (!keep_alive) client.state = Client::State::closing;
  restart_idle_timeout(client);
}

void Server::restart_idle_timeout(Client& client) {
  deadlines_.cancel(client.timeout);
  client.timeout = deadlines_.set(engine_.now() + kIdleTimeout, [this, &client] { close(client); });
}

void Server::close(Client& client) {
  if (client.is_closed()) return;
  client.state = Client::State::closed;
  deadlines_.cancel(client.timeout);
  client.connection->close();
}

// An immediate close while the peer is still sending would reset the connection, and the peer could
// lose the response.
void Server::close_lingering(Client& client) {
  client.state = Client::State::closed;
  deadlines_.cancel(client.timeout);
  loop_.lingering().add(std::move(client.connection));
}

void Server::flush(Client& client) {
  if (client.is_closed()) return;
  client.connection->end_turn();
  while (client.accepts_request() && client.connection->reoffer_unread()) {
    client.connection->end_turn();
  }
  client.connection->pause_reading(!client.accepts_request() &&
                                   client.connection->unread() >= kMaxQueuedRequestBytes);
  const bool is_written = !client.is_closed() && client.connection->unwritten() == 0;
  if (client.state == Client::State::closing && is_written) close_lingering(client);
}

void Server::end_turn() {
  for (auto& client : clients_) flush(*client);
  std::erase_if(clients_, [](const auto& client) { return client->is_closed(); });
}

}  // namespace alderspur::xds
