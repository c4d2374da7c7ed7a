#include "signed_url/http_front.h"

#include <algorithm>
#include <cstdio>

#include "core/parsing.h"
#include "estimators/hash.h"
#include "http/message.h"
#include "net/lingering.h"

namespace alderspur::signed_url {
namespace {

constexpr core::Time kNew =
    150'000;  // what a client that has just come asks may still be on its way
constexpr core::Time kIdleTimeout = 15'000'000;
constexpr core::Time kHeadTimeout = 10'000'000;
constexpr core::Time kWriteTimeout = 30'000'000;
constexpr std::size_t kMaxInputBytes =
    64 << 10;  // pipelined requests that wait their turn; more end the client

// Why a token was turned away is told to the client in one word and never with any part of the
// token.
int status_of(Check check) {
  return check == Check::good ? 200 : check == Check::missing ? 401 : 403;
}

}  // namespace

struct HttpFront::Client {
  std::unique_ptr<net::Connection> connection;
  core::RequestHandle ticket =
      0;                 // one request at a time: answers go out in the order of the requests
  core::Time since = 0;  // accepted
  bool head = false, keep_alive = true;
  bool dead = false, ending = false;
  bool orderly = false;  // dead, and its connection is closed in order
  core::Deadlines::Key timeout{};
  std::size_t place = 0;       // in clients_
  std::unique_ptr<Hold> hold;  // of the request that is open
  bool touched = false;
};

HttpFront::HttpFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                     const config::Config& config, const Settings& settings,
                     std::function<core::Time()> clock, RouteSelector* guide)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      settings_(settings),
      clock_(std::move(clock)),
      guide_(guide),
      checker_(settings.keys, settings.clock_skew_seconds),
      random_(config.seed ^ 0x7369676e6564ULL),
      most_clients_(static_cast<std::size_t>(config.max_descriptors) / 8),
      listener_(
          loop, deadlines, net::parse_address(settings.listen).value_or(sockaddr_in{}),
          [this] {
            const bool may = loop_.lingering().make_room(clients_.size(), most_clients_);
            if (!may) ++engine_.counters().deferred_accepts;
            return may;
          },
          [this](net::Fd fd) { accept(std::move(fd)); }) {}
HttpFront::~HttpFront() {
  for (auto& c : clients_) drop(*c, false);
}

void HttpFront::accept(net::Fd fd) {
  auto client = std::make_unique<Client>();
  Client* raw = client.get();
  net::Connection::Handler handler;
  handler.on_data = [this, raw](std::string_view bytes) { return take(*raw, bytes); };
  handler.on_written = [this, raw] { touch(*raw); };
  // A client that closes has left. Its end of input is no different from a close, as with other
  // proxies.
  handler.on_close = [this, raw](net::CloseReason) { drop(*raw, false); };
  raw->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  raw->place = clients_.size();
  raw->since = engine_.now();
  clients_.push_back(std::move(client));
  wait(*raw, kHeadTimeout);
}

void HttpFront::wait(Client& client, core::Time time) {
  deadlines_.cancel(client.timeout);
  client.timeout = deadlines_.set(engine_.now() + time, [this, &client] { drop(client, true); });
}

// As at the platform's front: the turn's end costs nothing for connections that nothing happened
// on.
void HttpFront::touch(Client& client) {
  if (std::exchange(client.touched, true)) return;
  touched_.push_back(&client);
}

std::ptrdiff_t HttpFront::take(Client& client, std::string_view bytes) {
  touch(client);
  if (client.ending) return static_cast<std::ptrdiff_t>(bytes.size());
  if (client.dead || client.ticket) {
    // Reading does not pause: a client that leaves would go unnoticed.
    if (bytes.size() > kMaxInputBytes) drop(client, true);
    return 0;
  }
  const auto before = bytes.size();
  http::Request request;
  if (!http::next_request(bytes, request)) return 0;
  client.head = request.method == http::Method::head;
  client.keep_alive = request.keep_alive && !request.error && !leaving_;
  if (request.error) {
    ++engine_.counters().invalid_requests;
    respond(client, request.error);
    return static_cast<std::ptrdiff_t>(before);
  }
  if (!client.head && request.method != http::Method::get) {
    respond(client, 405);
  } else {
    ask(client, request);
  }
  return static_cast<std::ptrdiff_t>(before - bytes.size());
}

// "/asset/7f3a9c21e0b4d655/0": the class by its prefix, the object, the part.
std::optional<Found> HttpFront::find(const http::Request& request, std::string_view path,
                                     std::string_view query) {
  if (guide_) return guide_->find(request, path, query);
  const Route* route = nullptr;
  for (const auto& r : settings_.routes) {
    if (path.starts_with(r.prefix)) route = &r;
  }
  const auto rest = route ? path.substr(route->prefix.size()) : std::string_view();
  const auto slash = rest.find('/');
  if (!route || slash == std::string_view::npos) return {};
  return Found{route->class_id, rest.substr(0, slash), rest.substr(slash + 1), route->time_limit,
               nullptr};
}

// Checked once, when the request comes: whatever expires later, it runs to its one answer. `token`
// holds a decoded token, to which `claims` may refer.
Check HttpFront::check_access(const http::Request& request, std::string& token, Claims& claims) {
  const auto path = request.target.substr(0, request.target.find('?'));
  const auto query = request.target.substr(std::min(request.target.size(), path.size() + 1));
  std::string_view text;
  const auto prefix = query.starts_with("pfx=") ? 0 : query.find("&pfx=");
  if (prefix != std::string_view::npos) {
    text = query.substr(prefix ? prefix + 1 : 0);
  } else if (query.find("&sig=") != std::string_view::npos) {
    text = request.target;
  }
  Check check = Check::missing;
  if (text.empty()) {
    auto given = request.authorization;
    const bool is_bearer =
        given.size() > 7 && (given[0] | 32) == 'b' && given.substr(1, 6) == "earer ";
    given = is_bearer ? given.substr(7) : http::cookie_value(request.cookie, settings_.cookie);
    if (!given.empty()) {
      check = Check::malformed;
      if (auto decoded = from_base64url(given)) {
        token = std::move(*decoded);
        text = token;
      }
    }
  }
  if (!text.empty()) check = checker_.check(path, text, clock_() / 1'000'000, claims);
  return check;
}

void HttpFront::ask(Client& client, const http::Request& request) {
  const auto path = request.target.substr(0, request.target.find('?'));
  const auto query = request.target.substr(std::min(request.target.size(), path.size() + 1));
  core::RequestView d;
  auto found = find(request, path, query);
  if (!found || found->object.size() != 16) return respond(client, 404);
  const auto object = core::parse_number<std::uint64_t>(found->object, 16);
  const auto part = core::parse_number<std::uint32_t>(found->part);
  if (!object || !part) return respond(client, 404);
  d.object = *object;
  d.part = *part;
  d.object_text = found->object;
  d.class_id = found->cls;

  std::string token;  // what `claims` may refer to
  Claims claims;
  const Check check = check_access(request, token, claims);
  // A whole link in a header would open its own path only; tokens there name a prefix.
  if (check != Check::good) {
    ++engine_.counters().invalid_tokens;
    return respond(client, status_of(check));
  }
  const auto group = core::parse_number<std::uint32_t>(claims.set);
  const auto size_kb = core::parse_number<double>(claims.ram);
  if ((!claims.set.empty() && !group) || (!claims.ram.empty() && !size_kb)) {
    return respond(client, 400);
  }
  d.group = group.value_or(0);
  d.size_kb = size_kb.value_or(0);

  if (guide_) {
    if (const core::Time later = guide_->admit(*found, engine_.now()); later > 0) {
      ++engine_.counters().over_limit;
      core::Response refused;
      refused.status = core::FinalStatus::rejected;
      refused.retry_after = later;
      return respond(client, 503, refused);
    }
  }
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(
                    estimators::finalize_bits(random_ += estimators::kSplitMixIncrement)));
  d.id = std::string_view(id, 16);
  d.client_copy_tag = http::bare_tag(request.if_none_match);
  d.time_limit = found->limit;
  client.hold = std::move(found->hold);
  client.ticket = engine_.admit(*this, d);
  asked_[client.ticket] = &client;
  deadlines_.cancel(client.timeout);
}

void HttpFront::respond(core::RequestHandle ticket, const core::Response& answer) {
  const auto it = asked_.find(ticket);
  if (it == asked_.end()) return;
  Client& client = *it->second;
  asked_.erase(it);
  client.ticket = 0;
  let_go(client);
  using core::FinalStatus;
  const int status = answer.status == FinalStatus::served     ? (answer.not_modified ? 304 : 200)
                     : answer.timed_out                       ? 504
                     : answer.status == FinalStatus::rejected ? 503
                                                              : 502;
  respond(client, status, answer);
}

void HttpFront::respond(Client& client, int status, const core::Response& answer) {
  if (client.dead) return;
  http::Answer a;
  a.status = status;
  a.retry_after = answer.retry_after;
  a.length = answer.body.size();
  a.etag = answer.status == core::FinalStatus::served ? answer.tag : std::string_view();
  a.keep_alive = client.keep_alive = client.keep_alive && !leaving_;
  client.connection->write(http::response_head(a), client.head ? std::string_view() : answer.body);
  touch(client);
  client.ending = !a.keep_alive;
  wait(client, client.connection->unwritten() ? kWriteTimeout : kIdleTimeout);
}

void HttpFront::let_go(Client& client) {
  if (const auto hold = std::move(client.hold)) hold->end(engine_.now());
}

void HttpFront::drop(Client& client, bool orderly) {
  if (client.dead) return;
  client.dead = true;
  client.orderly = orderly;
  let_go(client);
  touch(client);
  deadlines_.cancel(client.timeout);
  if (!orderly) client.connection->close();
  if (!client.ticket) return;
  asked_.erase(client.ticket);
  engine_.cancel_request(client.ticket);
}

void HttpFront::settle(Client& c) {
  if (c.dead) return;
  c.connection->end_turn();
  while (!c.dead && !c.ticket && !c.ending && c.connection->reoffer_unread()) {
    c.connection->end_turn();
  }
  if (!c.dead && c.ending && c.connection->unwritten() == 0) drop(c, true);
}

void HttpFront::end_turn() {
  // By index: settle() may touch further clients.
  // NOLINTNEXTLINE(modernize-loop-convert): the vector grows during the walk.
  for (std::size_t i = 0; i < touched_.size(); ++i) settle(*touched_[i]);
  const auto touched = std::exchange(touched_, {});
  for (Client* c : touched) {
    c->touched = false;
    if (!c->dead) continue;
    if (c->orderly) loop_.lingering().add(std::move(c->connection));
    const std::size_t place = c->place;
    std::swap(clients_[place], clients_.back());
    clients_[place]->place = place;
    clients_.pop_back();
  }
}

void HttpFront::leave() {
  leaving_ = true;
  listener_.accept_rest_and_stop(net::Listener::AcceptRest::all);
  for (auto& c : clients_) {
    if (rests(*c)) drop(*c, true);
  }
}

bool HttpFront::rests(const Client& c) const {
  return !c.ticket && c.connection->unwritten() == 0 && c.connection->unread() == 0 &&
         !c.connection->has_input_waiting() && engine_.now() > c.since + kNew;
}

bool HttpFront::idle() const {
  return asked_.empty() && std::all_of(clients_.begin(), clients_.end(), [&](auto& c) {
           return c->dead || rests(*c) || (!c->ticket && c->connection->unread() > 0);
         });
}

}  // namespace alderspur::signed_url
