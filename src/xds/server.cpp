#include "xds/server.h"

#include <algorithm>

#include "http/message.h"
#include "net/lingering.h"
#include "xds/eds.h"

namespace alderspur::xds {
namespace {

constexpr std::size_t kMaxHeadBytes = 8 << 10;
constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr core::Time kIdle = 60'000'000;  // proxies poll every some seconds

}  // namespace

struct Server::Client {
  std::unique_ptr<net::Connection> connection;
  core::Deadlines::Key timeout{};
  bool dead = false, ending = false;
};

Server::Server(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
               upstream::UpstreamPool& caches, const Settings& settings, std::size_t most_clients)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      caches_(caches),
      settings_(settings),
      listener_(
          loop, deadlines, net::parse_address(settings.listen).value_or(sockaddr_in{}),
          [this, most_clients] { return clients_.size() < most_clients; },
          [this](net::Fd fd) { accept(std::move(fd)); }) {}
Server::~Server() {
  for (auto& c : clients_) drop(*c);
}

void Server::accept(net::Fd fd) {
  auto client = std::make_unique<Client>();
  Client* raw = client.get();
  net::Connection::Handler handler;
  handler.on_data = [this, raw](std::string_view bytes) { return take(*raw, bytes); };
  handler.on_close = [this, raw](net::CloseReason) { drop(*raw); };
  raw->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  raw->timeout = deadlines_.set(engine_.now() + kIdle, [this, raw] { drop(*raw); });
  clients_.push_back(std::move(client));
}

std::ptrdiff_t Server::take(Client& client, std::string_view bytes) {
  if (client.ending) return static_cast<std::ptrdiff_t>(bytes.size());
  const auto before = bytes.size();
  http::Request request;
  if (!http::next_request(bytes, request, {kMaxHeadBytes, kMaxBodyBytes})) return 0;
  Reply reply{request.error, {}};
  if (!request.error) {
    reply = request.target != "/v3/discovery:endpoints" ? Reply{404, {}}
            : request.method != http::Method::post
                ? Reply{405, {}}
                : discover(request.body, settings_.cluster, engine_.endpoint_statuses(),
                           [this](auto id) { return caches_.address(id); });
  }
  const bool keep = !request.error && request.keep_alive;
  http::Answer answer;
  answer.status = reply.status;
  answer.length = reply.body.size();
  answer.type = "application/json";
  answer.allow = "POST";
  answer.cacheable = false;
  answer.keep_alive = keep;
  client.connection->write(http::response_head(answer), reply.body);
  client.ending = !keep;
  deadlines_.cancel(client.timeout);
  client.timeout = deadlines_.set(engine_.now() + kIdle, [this, &client] { drop(client); });
  return static_cast<std::ptrdiff_t>(keep ? before - bytes.size() : before);
}

void Server::drop(Client& client, bool orderly) {
  if (client.dead) return;
  client.dead = true;
  deadlines_.cancel(client.timeout);
  if (orderly) {
    loop_.lingering().add(std::move(client.connection));
  } else {
    client.connection->close();
  }
}

void Server::end_turn() {
  for (auto& c : clients_) {
    if (c->dead) continue;
    c->connection->end_turn();
    while (!c->dead && !c->ending && c->connection->reoffer_unread()) c->connection->end_turn();
    if (!c->dead && c->ending && c->connection->unwritten() == 0) drop(*c, true);
  }
  std::erase_if(clients_, [](auto& c) { return c->dead; });
}

}  // namespace alderspur::xds
