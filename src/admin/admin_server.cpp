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

HttpReply unknown_path() { return {404, "unknown admin path\n"}; }

bool is_read_only_path(std::string_view path) {
  return path == kReadyPath || path == kMetricsPath || path == kClusterPath;
}

HttpReply handle_read_only(std::string_view path, http::Method method, AdminHandler& handler) {
  if (method != http::Method::get) return {405, "method not allowed: use GET\n", "GET"};
  if (path == kReadyPath) {
    if (handler.is_ready()) return {200, "ready\n"};
    return {503, "not ready\n"};
  }
  if (path == kMetricsPath) return {200, handler.render_metrics()};
  if (auto view = handler.render_cluster_view()) return {200, std::move(*view)};
  return {404, "this router is not in a cluster\n"};
}

}  // namespace

/// One operator's connection with the state of its call.
struct AdminServer::Caller {
  std::uint64_t id = 0;  // unique in this server
  std::unique_ptr<net::Connection> connection;
  core::Deadlines::Key timeout{};
  bool has_request = false;  // a complete request was received
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

// Returns whether one more connection may be accepted. If all connections are in use, closes the
// oldest one without a complete request. Otherwise callers that connect and send nothing would lock
// out all others.
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
  Caller* added = caller.get();
  added->id = ++last_caller_id_;
  net::Connection::Handler handler;
  handler.allows_half_close = true;
  handler.on_data = [this, added](std::string_view bytes) { return on_data(*added, bytes); };
  handler.on_close = [this, added](net::CloseReason reason) {
    // A caller may close its sending side after the request and still wait for the reply.
    if (reason != net::CloseReason::by_peer || !added->has_request) close(*added);
  };
  added->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  added->timeout = deadlines_.set(now_() + kCallTimeout, [this, added] { close(*added); });
  callers_.push_back(std::move(caller));
}

// Returns the number of bytes consumed. Input after the first request is discarded.
std::ptrdiff_t AdminServer::on_data(Caller& caller, std::string_view bytes) {
  const auto input_size = static_cast<std::ptrdiff_t>(bytes.size());
  if (caller.has_request) return input_size;
  const auto request = http::next_request(bytes, {kMaxHeadBytes, handler_.max_body_bytes()});
  if (!request) return 0;
  caller.has_request = true;
  handle(caller, *request);
  return input_size;
}

void AdminServer::handle(Caller& caller, const http::Request& request) {
  if (request.error_status) {
    respond(caller, {request.error_status, "the request is malformed or exceeds a size limit\n"});
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
  if (!is_put && request.method != http::Method::get) {
    return {405, "method not allowed: use GET or PUT\n", "GET, PUT"};
  }
  const auto query = request.target.substr(std::min(path.size() + 1, request.target.size()));
  auto reply = handler_.handle_versions_call(path.substr(kVersionsPrefix.size()), query,
                                             is_put ? request.body : std::string());
  if (reply) return std::move(*reply);
  return {404, "configuration versions are not enabled on this router\n"};
}

// Handles PUT /control/caches/SERVER/offline, which bans a server, and PUT .../online, which lifts
// its ban.
void AdminServer::handle_ban(Caller& caller, std::string_view path, const http::Request& request) {
  const bool is_ban = path.ends_with(kBanSuffix);
  const bool is_unban = path.ends_with(kUnbanSuffix);
  if (!path.starts_with(kCachesPrefix) || (!is_ban && !is_unban)) {
    respond(caller, unknown_path());
    return;
  }
  const auto last_slash = path.rfind('/');
  if (last_slash <= kCachesPrefix.size()) {  // the name of the server is empty
    respond(caller, unknown_path());
    return;
  }
  if (request.method != http::Method::put) {
    respond(caller, {405, "method not allowed: use PUT\n", "PUT"});
    return;
  }
  const auto server = path.substr(kCachesPrefix.size(), last_slash - kCachesPrefix.size());
  // Captures the id instead of a pointer, because the caller may be destroyed before the reply.
  handler_.change_ban(server, is_ban, [this, id = caller.id](const HttpReply& reply) {
    if (Caller* waiting = find(id)) respond(*waiting, reply);
  });
}

AdminServer::Caller* AdminServer::find(std::uint64_t id) {
  for (auto& caller : callers_) {
    if (caller->id == id && !caller->is_closed) return caller.get();
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

// Marks the caller as closed, to be destroyed at the end of the turn. Returns false if it was
// closed already.
bool AdminServer::mark_closed(Caller& caller) {
  if (std::exchange(caller.is_closed, true)) return false;
  deadlines_.cancel(caller.timeout);
  return true;
}

void AdminServer::close(Caller& caller) {
  if (mark_closed(caller)) caller.connection->close();
}

// Closes an answered caller by a lingering close, because a reset caused by unread input could
// discard the reply.
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
