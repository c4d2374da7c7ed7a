#include "admin/admin_server.h"

#include <algorithm>

#include "net/lingering.h"

namespace alderspur::admin {
namespace {

constexpr std::size_t kHeadMost = 2 << 10;
constexpr std::string_view kCaches = "/control/caches/", kVersions = "/control/versions",
                           kType = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace

struct AdminServer::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Connection> connection;
  core::Deadlines::Key timeout{};
  bool called = false, answered = false, dead = false;
};

AdminServer::AdminServer(net::Loop& loop, core::Deadlines& deadlines, const sockaddr_in& listen,
                         AdminHandler& desk, std::function<core::Time()> now)
    : loop_(loop),
      deadlines_(deadlines),
      desk_(desk),
      now_(std::move(now)),
      listener_(
          loop, deadlines, listen, [this] { return make_room(); },
          [this](net::Fd fd) { accept(std::move(fd)); }) {
  listener_.keep_spare();
}
AdminServer::~AdminServer() {
  for (auto& c : callers_) drop(*c);
}

// Danger: callers that open a connection and say nothing would keep those out that have something
// to say.
bool AdminServer::make_room() {
  const auto alive =
      std::count_if(callers_.begin(), callers_.end(), [](auto& c) { return !c->dead; });
  if (static_cast<std::size_t>(alive) < kCallersMost) return true;
  for (auto& c : callers_) {  // the longest there first
    if (c->dead || c->called) continue;
    drop(*c);
    return true;
  }
  return false;
}

void AdminServer::accept(net::Fd fd) {
  auto caller = std::make_unique<Caller>();
  Caller* raw = caller.get();
  raw->number = ++last_;
  net::Connection::Handler handler;
  handler.half_close = true;
  handler.on_data = [this, raw](std::string_view bytes) { return take(*raw, bytes); };
  handler.on_close = [this, raw](net::Closed why) {
    // A caller may end its side behind its call and still wait for the answer.
    if (why != net::Closed::by_peer || !raw->called) drop(*raw);
  };
  raw->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  raw->timeout = deadlines_.set(now_() + kCallTime, [this, raw] { drop(*raw); });
  callers_.push_back(std::move(caller));
}

std::ptrdiff_t AdminServer::take(Caller& caller, std::string_view bytes) {
  const auto all = static_cast<std::ptrdiff_t>(bytes.size());
  if (caller.called) return all;  // one call a connection
  http::Request request;
  if (!http::next_request(bytes, request, {kHeadMost, desk_.body_most()})) return 0;
  caller.called = true;
  call(caller, request);
  return all;
}

void AdminServer::call(Caller& caller, const http::Request& request) {
  if (request.error) return respond(caller, request.error, "not a request that can be read\n");
  const auto path = request.target.substr(0, request.target.find('?'));
  const bool ready = path == "/control/ready", counters = path == "/control/counters";
  const bool cluster = path == "/control/cluster";
  if ((ready || counters || cluster) && request.method != http::Method::get)
    return respond(caller, 405, "ask with GET\n", "GET");
  if (ready) {
    const bool yes = desk_.takes_clients();
    return respond(caller, yes ? 200 : 503, yes ? "ready\n" : "not ready\n");
  }
  if (counters) return respond(caller, 200, desk_.figures());
  if (cluster) {
    const auto view = desk_.cluster();
    return respond(caller, view.empty() ? 404 : 200,
                   view.empty() ? "this router is in no cluster\n" : view);
  }
  if (path.starts_with(kVersions)) {
    const auto query = request.target.substr(std::min(path.size() + 1, request.target.size()));
    const bool put = request.method == http::Method::put;
    if (!put && request.method != http::Method::get)
      return respond(caller, 405, "GET or PUT\n", "GET, PUT");
    const auto told =
        desk_.versions(path.substr(kVersions.size()), query, put ? request.body : std::string());
    return respond(caller, told.status ? told.status : 404,
                   told.status ? told.text : "this router agrees on no versions\n");
  }
  const bool out = path.ends_with("/offline"), in = path.ends_with("/online");
  if (!path.starts_with(kCaches) || (!out && !in)) return respond(caller, 404, "no such call\n");
  const auto verb = path.rfind('/');
  if (verb <= kCaches.size()) return respond(caller, 404, "no such call\n");
  if (request.method != http::Method::put) return respond(caller, 405, "ask with PUT\n", "PUT");
  const auto id = path.substr(kCaches.size(), verb - kCaches.size());
  desk_.ban(id, out, [this, number = caller.number](int status, const std::string& text) {
    if (Caller* c = find(number)) respond(*c, status, text);
  });
}

AdminServer::Caller* AdminServer::find(std::uint64_t number) {
  for (auto& c : callers_)
    if (c->number == number && !c->dead) return c.get();
  return nullptr;
}

void AdminServer::respond(Caller& caller, int status, std::string_view text,
                          std::string_view allow) {
  if (caller.dead || caller.answered) return;
  caller.answered = true;
  http::Answer a;
  a.status = status;
  a.length = text.size();
  a.type = kType;
  a.allow = allow;
  a.cacheable = a.keep_alive = false;
  caller.connection->write(http::response_head(a), text);
}

void AdminServer::drop(Caller& caller, bool orderly) {
  if (std::exchange(caller.dead, true)) return;
  deadlines_.cancel(caller.timeout);
  if (orderly)
    loop_.lingering().take(std::move(caller.connection));
  else
    caller.connection->close();
}

void AdminServer::end_turn() {
  for (auto& c : callers_) {
    if (c->dead) continue;
    c->connection->end_turn();
    if (c->answered && c->connection->unwritten() == 0) drop(*c, true);
  }
  std::erase_if(callers_, [](auto& c) { return c->dead; });
  listener_.keep_spare();
}

}  // namespace alderspur::admin
