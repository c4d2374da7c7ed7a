#include "signed_url/http_front.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/parsing.h"
#include "estimators/hash.h"
#include "net/lingering.h"

namespace alderspur::signed_url {
namespace {

/// For this long after a client connects, its connection does not count as idle, because its first
/// request may still be in transit. All durations here are in microseconds.
constexpr core::Time kFirstRequestGrace = 150'000;
constexpr core::Time kIdleTimeout = 15'000'000;
constexpr core::Time kHeadTimeout = 10'000'000;
constexpr core::Time kWriteTimeout = 30'000'000;
/// Limit on the bytes of requests that are queued behind an open one. A connection that exceeds it
/// is closed.
constexpr std::size_t kMaxInputBytes = 64 << 10;
/// A connection with more bytes of queued requests is not read while its client does not read.
constexpr std::size_t kMaxQueuedRequestBytes = 16 << 10;
/// The divisors that give fractions of the memory limit: for the responses at all fronts together,
/// for those at this front, and the margin for responses that are larger than expected.
constexpr std::size_t kAllResponsesDivisor = 4;
constexpr std::size_t kOwnResponsesDivisor = 8;
constexpr std::size_t kMarginDivisor = 32;
/// The retry-after time in the rejection of a request for which there is no memory.
constexpr core::Time kRetryAfter = 1'000'000;
/// One client may be connected per this many file descriptors that the process may open.
constexpr std::size_t kDescriptorsPerClient = 8;
constexpr core::Time kMicrosecondsPerSecond = 1'000'000;
/// Makes the random request ids of this front independent of other uses of the configured seed.
constexpr std::uint64_t kSeedSalt = 0x7369676e6564ULL;
constexpr std::size_t kObjectDigits = 16;
constexpr int kHexadecimal = 16;

/// Returns the HTTP status for the result of a verification. The response does not reveal which
/// check failed, because that would help to forge tokens.
int status_of(TokenStatus status) {
  switch (status) {
    case TokenStatus::accepted:
      return 200;
    case TokenStatus::missing:
      return 401;
    default:
      return 403;
  }
}

/// Returns the HTTP status for a response of the engine.
int status_of(const core::Response& response) {
  if (response.status == core::FinalStatus::served) return response.not_modified ? 304 : 200;
  if (response.timed_out) return 504;
  return response.status == core::FinalStatus::rejected ? 503 : 502;
}

/// The object and the part that the path of a request identifies.
struct ResourceId {
  std::uint64_t object = 0;
  std::uint32_t part = 0;
};

/// Parses 16 hexadecimal digits and a decimal part number. Returns nullopt if either is invalid.
std::optional<ResourceId> parse_resource_id(const RouteMatch& match) {
  if (match.object.size() != kObjectDigits) return std::nullopt;
  const auto object = core::parse_number<std::uint64_t>(match.object, kHexadecimal);
  const auto part = core::parse_number<std::uint32_t>(match.part);
  if (!object || !part) return std::nullopt;
  return ResourceId{*object, *part};
}

/// The claims of a token as numbers.
struct ResourceClaims {
  std::optional<std::uint32_t> group;
  double size_kb = 0;  // 0: the token does not contain it
};

/// Returns nullopt if a claim is present but is not a number.
std::optional<ResourceClaims> parse_claims(const Claims& claims) {
  const auto group = core::parse_number<std::uint32_t>(claims.group);
  const auto size_kb = core::parse_number<double>(claims.size_kb);
  if (!claims.group.empty() && !group) return std::nullopt;
  if (!claims.size_kb.empty() && !size_kb) return std::nullopt;
  return ResourceClaims{group, size_kb.value_or(0)};
}

/// Returns the response to a request that exceeds the limits of its route.
core::Response over_limit(core::Time retry_after) {
  core::Response response;
  response.status = core::FinalStatus::rejected;
  response.retry_after = retry_after;
  return response;
}

}  // namespace

/// A connected client, with its open request if there is one.
struct HttpFront::Client {
  enum class State {
    open,
    closing,    // its last response is being written; further input is discarded
    closed,     // the client is destroyed at the end of the turn
    lingering,  // as closed, but its connection is handed over for a lingering close
  };

  bool is_gone() const { return state == State::closed || state == State::lingering; }
  bool has_open_request() const { return request_handle != 0; }
  /// Reports whether the next request in the read buffer may be handled.
  bool accepts_request() const {
    return state == State::open && !has_open_request() && connection->unwritten() == 0;
  }

  std::unique_ptr<net::Connection> connection;
  State state = State::open;
  /// Handle of the open request; 0 if there is none. Because only one request is open at a time,
  /// responses are sent in the order of the requests.
  core::RequestHandle request_handle = 0;
  std::uint32_t class_id = 0;                     // of the open request
  std::unique_ptr<LimitReservation> reservation;  // held by the open request
  std::size_t expected_bytes = 0;                 // of the response to the open request
  std::size_t queued_bytes = 0;                   // of responses that are not written yet
  bool is_head_request = false;
  bool keep_alive = true;
  core::Time accepted_at = 0;
  core::Deadlines::Key timeout{};
  std::size_t index = 0;   // position in clients_
  bool is_active = false;  // whether active_clients_ lists this client
};

HttpFront::HttpFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                     const config::Config& config, const Settings& settings,
                     std::function<core::Time()> unix_clock, RouteSelector* route_selector)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      settings_(settings),
      unix_clock_(std::move(unix_clock)),
      route_selector_(route_selector),
      verifier_(settings.keys, settings.clock_skew_seconds),
      random_state_(config.seed ^ kSeedSalt),
      max_clients_(static_cast<std::size_t>(config.max_descriptors) / kDescriptorsPerClient),
      memory_limit_(config.memory_mb << 20),
      response_sizes_(config),
      listener_(
          loop, deadlines, net::parse_address(settings.listen).value_or(sockaddr_in{}),
          [this] { return may_accept(); }, [this](net::Fd fd) { accept(std::move(fd)); }) {}

HttpFront::~HttpFront() {
  for (auto& client : clients_) close(*client, CloseMode::at_once);
}

// ---- Connections ----

bool HttpFront::may_accept() {
  const bool has_capacity = loop_.lingering().make_room(clients_.size(), max_clients_);
  if (!has_capacity) ++engine_.counters().deferred_accepts;
  return has_capacity;
}

void HttpFront::accept(net::Fd fd) {
  auto client = std::make_unique<Client>();
  Client* raw = client.get();
  net::Connection::Handler handler;
  handler.on_data = [this, raw](std::string_view bytes) { return on_data(*raw, bytes); };
  handler.on_written = [this, raw] { mark_active(*raw); };
  // As in other proxies, the end of a client's input is treated as a close of the connection.
  handler.on_close = [this, raw](net::CloseReason) { close(*raw, CloseMode::at_once); };
  raw->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  raw->index = clients_.size();
  raw->accepted_at = engine_.now();
  clients_.push_back(std::move(client));
  restart_timeout(*raw, kHeadTimeout);
}

void HttpFront::restart_timeout(Client& client, core::Time duration) {
  deadlines_.cancel(client.timeout);
  client.timeout = deadlines_.set(engine_.now() + duration,
                                  [this, &client] { close(client, CloseMode::lingering); });
}

// end_turn() visits active clients only, so that idle connections cost nothing.
void HttpFront::mark_active(Client& client) {
  if (std::exchange(client.is_active, true)) return;
  active_clients_.push_back(&client);
}

void HttpFront::close(Client& client, CloseMode mode) {
  if (client.is_gone()) return;
  const bool is_lingering = mode == CloseMode::lingering;
  client.state = is_lingering ? Client::State::lingering : Client::State::closed;
  release_reservation(client);
  mark_active(client);
  deadlines_.cancel(client.timeout);
  if (!is_lingering) client.connection->close();
  expect_response(client, 0);
  update_queued_bytes(client);
  if (!client.has_open_request()) return;
  clients_by_request_.erase(client.request_handle);
  engine_.cancel_request(client.request_handle);
}

void HttpFront::flush(Client& client) {
  if (client.is_gone()) return;
  client.connection->end_turn();
  while (client.accepts_request() && client.connection->reoffer_unread()) {
    client.connection->end_turn();
  }
  update_queued_bytes(client);
  client.connection->pause_reading(!client.has_open_request() &&
                                   client.connection->unwritten() > 0 &&
                                   client.connection->unread() >= kMaxQueuedRequestBytes);
  if (client.state == Client::State::closing && client.connection->unwritten() == 0) {
    close(client, CloseMode::lingering);
  }
}

void HttpFront::remove(Client& client) {
  if (client.state == Client::State::lingering) {
    loop_.lingering().add(std::move(client.connection));
  }
  const std::size_t index = client.index;
  std::swap(clients_[index], clients_.back());
  clients_[index]->index = index;
  clients_.pop_back();
}

void HttpFront::end_turn() {
  // The loop uses an index because flush() may append further active clients.
  // NOLINTNEXTLINE(modernize-loop-convert): the vector may grow during the loop.
  for (std::size_t i = 0; i < active_clients_.size(); ++i) flush(*active_clients_[i]);
  for (Client* client : std::exchange(active_clients_, {})) {
    client->is_active = false;
    if (client->is_gone()) remove(*client);
  }
}

// ---- Requests ----

std::ptrdiff_t HttpFront::on_data(Client& client, std::string_view bytes) {
  const auto size = bytes.size();
  mark_active(client);
  if (client.state == Client::State::closing) return static_cast<std::ptrdiff_t>(size);
  if (!client.accepts_request()) {
    // Reading continues while a request is open. Otherwise the front would not detect that the
    // client has disconnected.
    if (client.has_open_request() && size > kMaxInputBytes) close(client, CloseMode::lingering);
    return 0;
  }
  const auto request = http::next_request(bytes);
  if (!request) return 0;
  dispatch(client, *request);
  // After an invalid request the start of the next one is unknown, so the rest is discarded.
  return static_cast<std::ptrdiff_t>(request->error_status ? size : size - bytes.size());
}

void HttpFront::dispatch(Client& client, const http::Request& request) {
  client.is_head_request = request.method == http::Method::head;
  client.keep_alive = request.keep_alive && !request.error_status && !is_draining_;
  if (request.error_status) {
    ++engine_.counters().invalid_requests;
    respond(client, request.error_status);
  } else if (client.is_head_request || request.method == http::Method::get) {
    handle_get(client, request);
  } else {
    respond(client, 405);
  }
}

std::optional<RouteMatch> HttpFront::match_route(const http::Request& request,
                                                 const RequestTarget& target) {
  if (route_selector_) return route_selector_->match(request, target.path, target.query);
  return match_settings_route(target.path);
}

// A path such as "/asset/7f3a9c21e0b4d655/0" consists of the prefix of a route, the object and the
// part. If several prefixes match, the last route in the settings applies.
std::optional<RouteMatch> HttpFront::match_settings_route(std::string_view path) const {
  const auto& routes = settings_.routes;
  const auto route = std::find_if(routes.rbegin(), routes.rend(), [path](const Route& candidate) {
    return path.starts_with(candidate.prefix);
  });
  if (route == routes.rend()) return std::nullopt;
  const auto rest = path.substr(route->prefix.size());
  const auto slash = rest.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  return RouteMatch{route->class_id, rest.substr(0, slash), rest.substr(slash + 1),
                    route->time_limit, nullptr};
}

Verification HttpFront::verify(const std::optional<Credential>& credential,
                               std::string_view path) const {
  if (!credential) return {TokenStatus::missing, {}};
  return verifier_.verify(path, credential->text(), unix_clock_() / kMicrosecondsPerSecond);
}

void HttpFront::handle_get(Client& client, const http::Request& request) {
  const auto target = split_target(request.target);
  auto match = match_route(request, target);
  const auto resource = match ? parse_resource_id(*match) : std::nullopt;
  if (!resource) return respond(client, 404);

  const auto credential = find_credential(request, settings_.cookie);
  const auto verification = verify(credential, target.path);
  if (verification.status != TokenStatus::accepted) {
    ++engine_.counters().invalid_tokens;
    return respond(client, status_of(verification.status));
  }
  const auto claims = parse_claims(verification.claims);
  if (!claims) return respond(client, 400);

  core::RequestView view;
  view.class_id = match->class_id;
  view.size_kb = claims->size_kb;
  const std::size_t expected_bytes = response_sizes_.estimate(view);
  if (!has_capacity(expected_bytes)) {
    ++engine_.counters().over_limit;
    return respond(client, 503, over_limit(kRetryAfter));
  }
  if (route_selector_) {
    const auto admission = route_selector_->admit(*match, engine_.now());
    if (!admission.is_admitted) {
      ++engine_.counters().over_limit;
      return respond(client, 503, over_limit(admission.retry_after));
    }
  }
  const auto id = make_request_id();
  view.id = id;
  view.client_copy_tag = http::bare_tag(request.if_none_match);
  view.object_text = match->object;
  view.object = resource->object;
  view.part = resource->part;
  view.group = claims->group.value_or(0);
  view.is_group_unknown = !claims->group;
  view.time_limit = match->time_limit;
  expect_response(client, expected_bytes);
  admit(client, view, std::move(match->reservation));
}

bool HttpFront::has_capacity(std::size_t expected_bytes) const {
  const std::size_t at_all_fronts =
      engine_.open_request_bytes() + engine_.response_memory().total();
  return response_memory_.total() + expected_bytes <= memory_limit_ / kOwnResponsesDivisor &&
         at_all_fronts + expected_bytes <= memory_limit_ / kAllResponsesDivisor;
}

// A response may be larger than expected.
bool HttpFront::has_memory_for(const core::Response& response) const {
  const std::size_t limit = memory_limit_ / kOwnResponsesDivisor + memory_limit_ / kMarginDivisor;
  return response.body.empty() || response_memory_.queued + response.body.size() <= limit;
}

void HttpFront::expect_response(Client& client, std::size_t bytes) {
  const std::size_t previous = std::exchange(client.expected_bytes, bytes);
  response_memory_.expected += bytes - previous;
  engine_.response_memory().expected += bytes - previous;
}

void HttpFront::update_queued_bytes(Client& client) {
  const std::size_t queued = client.is_gone() ? 0 : client.connection->unwritten();
  const std::size_t previous = std::exchange(client.queued_bytes, queued);
  response_memory_.queued += queued - previous;
  engine_.response_memory().queued += queued - previous;
}

void HttpFront::admit(Client& client, const core::RequestView& view,
                      std::unique_ptr<LimitReservation> reservation) {
  client.reservation = std::move(reservation);
  client.class_id = view.class_id;
  client.request_handle = engine_.admit(*this, view);
  clients_by_request_[client.request_handle] = &client;
  deadlines_.cancel(client.timeout);
}

std::string HttpFront::make_request_id() {
  random_state_ += estimators::kSplitMixIncrement;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(estimators::finalize_bits(random_state_)));
  return id;
}

// ---- Responses ----

void HttpFront::respond(core::RequestHandle request, const core::Response& response) {
  const auto found = clients_by_request_.find(request);
  if (found == clients_by_request_.end()) return;
  Client& client = *found->second;
  clients_by_request_.erase(found);
  client.request_handle = 0;
  release_reservation(client);
  expect_response(client, 0);
  if (response.status == core::FinalStatus::served) {
    response_sizes_.record(client.class_id, response.body.size());
  }
  if (has_memory_for(response)) return respond(client, status_of(response), response);
  ++engine_.counters().over_limit;
  engine_.count_undelivered(client.class_id);
  respond(client, 503, over_limit(kRetryAfter));
}

void HttpFront::respond(Client& client, int status, const core::Response& response) {
  if (client.is_gone()) return;
  client.keep_alive = client.keep_alive && !is_draining_;
  http::ResponseHead head;
  head.status = status;
  head.retry_after = response.retry_after;
  head.content_length = response.body.size();
  if (response.status == core::FinalStatus::served) head.etag = response.tag;
  head.keep_alive = client.keep_alive;
  const auto body = client.is_head_request ? std::string_view() : response.body;
  client.connection->write(http::encode_response_head(head), body);
  update_queued_bytes(client);
  mark_active(client);
  if (!client.keep_alive) client.state = Client::State::closing;
  restart_timeout(client, client.connection->unwritten() ? kWriteTimeout : kIdleTimeout);
}

void HttpFront::release_reservation(Client& client) {
  const auto reservation = std::move(client.reservation);
  if (reservation) reservation->release(engine_.now());
}

// ---- Shutdown ----

void HttpFront::drain() {
  is_draining_ = true;
  listener_.accept_rest_and_stop(net::Listener::AcceptRest::all);
  for (auto& client : clients_) {
    if (is_idle(*client)) close(*client, CloseMode::lingering);
  }
}

bool HttpFront::is_idle(const Client& client) const {
  const auto& connection = *client.connection;
  return !client.has_open_request() && connection.unwritten() == 0 && connection.unread() == 0 &&
         !connection.has_input_waiting() && engine_.now() > client.accepted_at + kFirstRequestGrace;
}

// A request that has been received only in part does not need a response.
bool HttpFront::is_drained() const {
  if (!clients_by_request_.empty()) return false;
  return std::all_of(clients_.begin(), clients_.end(), [this](const auto& client) {
    const bool has_partial_request =
        !client->has_open_request() && client->connection->unread() > 0;
    return client->is_gone() || is_idle(*client) || has_partial_request;
  });
}

}  // namespace alderspur::signed_url
