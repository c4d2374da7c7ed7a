#include "xds/server.h"

#include <http_parser.h>

#include <algorithm>

#include "xds/eds.h"

namespace xds {
namespace {

constexpr std::size_t kRequestMost = 64 << 10;
constexpr core::Time kIdle = 60'000'000;  // proxies poll every some seconds

struct Parsed {
  std::string url, body;
  bool done = false;
};
int on_url(http_parser* p, const char* at, std::size_t n) {
  static_cast<Parsed*>(p->data)->url.append(at, n);
  return 0;
}
int on_body(http_parser* p, const char* at, std::size_t n) {
  static_cast<Parsed*>(p->data)->body.append(at, n);
  return 0;
}
int on_whole(http_parser* p) {
  static_cast<Parsed*>(p->data)->done = true;
  http_parser_pause(p, 1);
  return 0;
}
const char* reason(int status) {
  return status == 200   ? "OK"
         : status == 304 ? "Not Modified"
         : status == 404 ? "Not Found"
         : status == 405 ? "Method Not Allowed"
                         : "Bad Request";
}

}  // namespace

struct Server::Client {
  std::unique_ptr<net::Connection> connection;
  core::Deadlines::Key timeout{};
  bool dead = false, ending = false;
};

Server::Server(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine, platform::Caches& caches,
               const config::Xds& settings, std::size_t most_clients)
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
  handler.on_close = [this, raw](net::Closed) { drop(*raw); };
  raw->connection = std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  raw->timeout = deadlines_.set(engine_.now() + kIdle, [this, raw] { drop(*raw); });
  clients_.push_back(std::move(client));
}

std::ptrdiff_t Server::take(Client& client, std::string_view bytes) {
  if (client.ending) return static_cast<std::ptrdiff_t>(bytes.size());
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  Parsed parsed;
  parser.data = &parsed;
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_url = on_url;
  callbacks.on_body = on_body;
  callbacks.on_message_complete = on_whole;
  const auto used = http_parser_execute(&parser, &callbacks, bytes.data(), bytes.size());
  const auto error = HTTP_PARSER_ERRNO(&parser);
  if (error == HPE_OK && !parsed.done && bytes.size() < kRequestMost) return 0;
  Reply reply{400, {}};
  if (parsed.done && error == HPE_PAUSED)
    reply = parsed.url != "/v3/discovery:endpoints" ? Reply{404, {}}
            : parser.method != HTTP_POST            ? Reply{405, {}}
                                         : discover(parsed.body, settings_.cluster, engine_.standings(),
                                                    [this](auto id) { return caches_.address(id); });
  const bool keep = parsed.done && error == HPE_PAUSED && http_should_keep_alive(&parser);
  std::string head = "HTTP/1.1 " + std::to_string(reply.status) + ' ' + reason(reply.status) + "\r\n";
  if (reply.status != 304) head += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n";
  if (reply.status == 200) head += "Content-Type: application/json\r\n";
  if (reply.status == 405) head += "Allow: POST\r\n";
  head += keep ? "\r\n" : "Connection: close\r\n\r\n";
  client.connection->write(head, reply.body);
  client.ending = !keep;
  deadlines_.clear(client.timeout);
  client.timeout = deadlines_.set(engine_.now() + kIdle, [this, &client] { drop(client); });
  return static_cast<std::ptrdiff_t>(keep ? used : bytes.size());
}

void Server::drop(Client& client) {
  if (client.dead) return;
  client.dead = true;
  deadlines_.clear(client.timeout);
  client.connection->close();
}

void Server::end_turn() {
  for (auto& c : clients_) {
    if (c->dead) continue;
    c->connection->end_turn();
    while (!c->dead && !c->ending && c->connection->feed_again()) c->connection->end_turn();
    if (!c->dead && c->ending && c->connection->unwritten() == 0) c->connection->finish();
  }
  std::erase_if(clients_, [](auto& c) { return c->dead; });
}

}  // namespace xds
