#include "admin/admin_server.h"

#include <algorithm>
#include <utility>

#include "net/lingering.h"

namespace alderspur::admin {
namespace {

constexpr std::size_t kMaxHeadBytes = 2 << 10;
constexpr std::string_view kReadyPath = "/control/ready";
constexpr std::string_view kMetricsPath = "/control/counters";
constexpr std::string_view kClusterPath = "/control/cluster";
constexpr std::string_view kVersionsPrefix = "/control/versions";
constexpr std::string_view kCachesPrefix = "/control/caches/";
constexpr std::string_view kBanSuffix = "/offline";
constexpr std::string_view kUnbanSuffix = "/online";
constexpr std::string_view kContentType = "text/plain; version=0.0.4; charset=utf-8";

HttpReply no_such_call() { return {404, "no such call\n"}; }

bool is_read_only_path(std::string_view path) {
  return path == kReadyPath || path == kMetricsPath || path == kClusterPath;
}

HttpReply handle_read_only(std::string_view path, http::Method method, AdminHandler& handler) {
  if (method != http::Method::get) return {405, "ask with GET\n", "GET"};
  if (path == kReadyPath) {
    if (handler.is_ready()) return {200, "ready\n"};
    return {503, "not ready\n"};
  }
  if (path == kMetricsPath) return {200, handler.render_metrics()};
  if (auto view = handler.render_cluster_view()) return {200, std::move(*view)};
  return {404, "this router is in no cluster\n"};
}

}  // namespace

/// One operator's connection.
struct AdminServer::Caller {
  std::uint64_t number = 0;
  std::unique_ptr<net::Connection> connection;
  core::Deadlines::Key timeout{};
  bool has_request = false;  // the request is complete
  bool is_answered = false;
  bool is_closed = false;
};

AdminServer::AdminServer(net::Loop& loop, core::Deadlines& deadlines, const sockaddr_in& listen,
                         AdminHandler& handler, std::function<core::Time()> now)
    : loop_(loop),
      deadlines_(deadlines),
      handler_(handler),
      now_(std::move(now)),
      listener_(
          loop, deadlines, listen, [this] { return make_room(); },
          [this](net::Fd fd) { accept(std::move(fd)); }) {
  listener_.reserve_descriptor();
}

AdminServer::~AdminServer() {
  for (auto& caller : callers_) close(*caller);
}

// Closes the oldest connection without a complete request if all are in use: otherwise callers that
// connect and send nothing would block all others.
bool AdminServer::make_room() {
  const auto open_count = std::count_if(callers_.begin(), callers_.end(),
                                        [](const auto& caller) { return !caller->is_closed; });
  if (static_cast<std::size_t>(open_count) < kMaxConnections) return true;
  for (auto& caller : callers_) {  // oldest first
    if (caller->is_closed || caller->has_request) continue;
    close(*caller);
    return true;
  }
  return false;
}

void AdminServer::accept(net::Fd fd) {
  auto caller = std::make_unique<Caller>();
  Caller* raw = caller.get();
  raw->number = ++last_number_;
  net::Connection::Handler handler;
  handler.allows_half_close = true;
  handler.on_data = [this, raw](std::string_view bytes) { return on_data(*raw, bytes); };
  handler.on_close = [this, raw](net::CloseReason reason) {
    // A caller may shut down its sending side after the request and still wait for the reply.
    if (reason != net::CloseReason::by_peer || !raw->has_request) close(*raw);
  };
  raw->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  raw->timeout = deadlines_.set(now_() + kCallTimeout, [this, raw] { close(*raw); });
  callers_.push_back(std::move(caller));
}

// Returns how many bytes are consumed; what follows the first request is discarded.
std::ptrdiff_t AdminServer::on_data(Caller& caller, std::string_view bytes) {
  const auto all = static_cast<std::ptrdiff_t>(bytes.size());
  if (caller.has_request) return all;
  const auto request = http::next_request(bytes, {kMaxHeadBytes, handler_.max_body_bytes()});
  if (!request) return 0;
  caller.has_request = true;
  handle(caller, *request);
  return all;
}

void AdminServer::handle(Caller& caller, const http::Request& request) {
  if (request.error_status) {
    respond(caller, {request.error_status, "not a request that can be read\n"});
    return;
  }
  const auto path = request.target.substr(0, request.target.find('?'));
  if (is_read_only_path(path)) {
    respond(caller, handle_read_only(path, request.method, handler_));
  } else if (path.starts_with(kVersionsPrefix)) {
    respond(caller, handle_versions(path, request));
  } else {
    handle_ban(caller, path, request);
  }
}

HttpReply AdminServer::handle_versions(std::string_view path, const http::Request& request) {
  const bool is_put = request.method == http::Method::put;
  if (!is_put && request.method != http::Method::get) return {405, "GET or PUT\n", "GET, PUT"};
  const auto query = request.target.substr(std::min(path.size() + 1, request.target.size()));
  auto reply = handler_.handle_versions_call(path.substr(kVersionsPrefix.size()), query,
                                             is_put ? request.body : std::string());
  if (reply) return std::move(*reply);
  return {404, "this router agrees on no versions\n"};
}

// PUT /control/caches/SERVER/offline or /online
void AdminServer::handle_ban(Caller& caller, std::string_view path, const http::Request& request) {
  const bool is_ban = path.ends_with(kBanSuffix);
  const bool is_unban = path.ends_with(kUnbanSuffix);
  if (!path.starts_with(kCachesPrefix) || (!is_ban && !is_unban)) {
    respond(caller, no_such_call());
    return;
  }
  const auto last_slash = path.rfind('/');
  if (last_slash <= kCachesPrefix.size()) {  // no name between prefix and suffix
    respond(caller, no_such_call());
    return;
  }
  if (request.method != http::Method::put) {
    respond(caller, {405, "ask with PUT\n", "PUT"});
    return;
  }
  const auto server = path.substr(kCachesPrefix.size(), last_slash - kCachesPrefix.size());
  // By number, since the connection may have been closed before the reply comes.
  handler_.change_ban(server, is_ban, [this, number = caller.number](const HttpReply& reply) {
    if (Caller* waiting = find(number)) respond(*waiting, reply);
  });
}

AdminServer::Caller* AdminServer::find(std::uint64_t number) {
  for (auto& caller : callers_) {
    if (caller->number == number && !caller->is_closed) return caller.get();
  }
  return nullptr;
}

void AdminServer::respond(Caller& caller, const HttpReply& reply) {
  if (caller.is_closed || caller.is_answered) return;
  caller.is_answered = true;
  http::ResponseHead head;
  head.status = reply.status;
  head.content_length = reply.body.size();
  head.content_type = kContentType;
  head.allow = reply.allowed_methods;
  head.is_cacheable = false;
  head.keep_alive = false;
  caller.connection->write(http::encode_response_head(head), reply.body);
}

// Marks the caller as closed; false if it was already. It is destroyed at the end of the turn.
bool AdminServer::mark_closed(Caller& caller) {
  if (std::exchange(caller.is_closed, true)) return false;
  deadlines_.cancel(caller.timeout);
  return true;
}

void AdminServer::close(Caller& caller) {
  if (mark_closed(caller)) caller.connection->close();
}

// For answered callers: a lingering close, so that unread input does not cut off the reply.
void AdminServer::close_with_linger(Caller& caller) {
  if (mark_closed(caller)) loop_.lingering().add(std::move(caller.connection));
}

void AdminServer::end_turn() {
  for (auto& caller : callers_) {
    if (caller->is_closed) continue;
    caller->connection->end_turn();
    if (caller->is_answered && caller->connection->unwritten() == 0) close_with_linger(*caller);
  }
  std::erase_if(callers_, [](const auto& caller) { return caller->is_closed; });
  listener_.reserve_descriptor();
}

}  // namespace alderspur::admin
