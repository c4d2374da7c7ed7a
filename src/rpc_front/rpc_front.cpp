// RpcFront: connections, calls and responses.
#include "rpc_front/rpc_front.h"

#include <algorithm>

#include "net/lingering.h"
#include "rpc_front/rpc_client.h"
#include "rpc_front/rpc_codec.h"

namespace alderspur::rpc_front {
namespace {

/// The retry-after time in the rejection of a call that exceeds a limit of this process.
constexpr core::Time kRetryAfter = 500'000;
/// The time in which a whole message must arrive if its class has no time limit.
constexpr core::Time kDefaultMessageTimeout = 5'000'000;
/// A client that waited longer than this to be accepted, and has closed its sending side, is
/// treated as disconnected.
constexpr core::Time kMaxAcceptDelay = 100'000;
/// The time that a request and the end of its response may take on their way.
constexpr core::Time kTransmissionMargin = 100'000;

}  // namespace

RpcFront::RpcFront(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                   const sockaddr_in& listen_address, const config::Config& config)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      config_(config),
      response_sizes_(config),
      max_clients_(static_cast<std::size_t>(config.max_descriptors) / 2),
      memory_limit_(config.memory_mb << 20),
      message_timeout_(kSilenceTimeout) {
  for (std::size_t i = 0; i < config.names.classes.size(); ++i) {
    const auto& settings = config.settings.classes[i];
    RequestRules rules;
    rules.requires_idempotency_key =
        settings.idempotency == alderspur::Idempotency::idempotent_with_key;
    rules.is_write = settings.never_cached;
    rules.may_repeat_anywhere = settings.may_repeat_anywhere();
    rules.max_time_limit = config.names.request_timeouts[i];
    const core::Time timeout =
        rules.max_time_limit > 0 ? rules.max_time_limit : kDefaultMessageTimeout;
    message_timeout_ = std::max(message_timeout_, timeout);
    classes_[config.names.classes[i]] = {static_cast<std::uint32_t>(i), rules};
  }
  check_all_clients();
  listen(listen_address);
}
RpcFront::~RpcFront() = default;

// ---- Connections ----

void RpcFront::listen(const sockaddr_in& address) {
  listener_ = std::make_unique<net::Listener>(
      loop_, deadlines_, address, [this] { return may_accept(); },
      [this](net::Fd fd) { accept(std::move(fd)); }, true);
  address_ = listener_->address();
}

void RpcFront::accept(net::Fd fd) {
  auto owned = std::make_unique<Client>();
  Client* client = owned.get();
  client->accepted_at = engine_.now();
  client->idle_since = client->accepted_at;
  client->may_have_disconnected = listener_ && listener_->accept_delay() > kMaxAcceptDelay;
  net::Connection::Handler handler;
  handler.allows_half_close = true;
  handler.on_data = [this, client](std::string_view bytes) { return on_data(*client, bytes); };
  handler.on_written = [this, client] { mark_changed(*client); };
  handler.on_close = [this, client](net::CloseReason reason) { on_closed(*client, reason); };
  client->connection =
      std::make_unique<net::Connection>(loop_, std::move(fd), false, std::move(handler));
  client->index = clients_.size();
  clients_.push_back(std::move(owned));
  ++client_count_;
}

// Only clients that were read from, written to or closed need work when the turn ends. If
// end_turn() visited all clients, the cost of a turn would grow with the number of idle
// connections.
void RpcFront::mark_changed(Client& client) {
  if (std::exchange(client.is_marked_changed, true)) return;
  changed_clients_.push_back(&client);
}

void RpcFront::remove(Client& client) {
  const std::size_t index = client.index;
  std::swap(clients_[index], clients_.back());
  clients_[index]->index = index;
  clients_.pop_back();
}

// A client that closes its sending side has either disconnected or still waits for responses. So
// the attempts in flight may complete and their responses are sent, but no further attempt starts.
// After input that cannot be parsed, no further call can be read, but those before it are answered.
// After a reset no response can be delivered.
void RpcFront::on_closed(Client& client, net::CloseReason reason) {
  mark_changed(client);
  client.is_ending = true;
  if (reason == net::CloseReason::unreadable) return;
  if (reason != net::CloseReason::by_peer) return close(client, CloseMode::immediate);
  for (const auto& [call_id, request] : client.open_calls) engine_.stop_retrying(request);
}

// Every client's connection is closed by this function, whatever the reason. A client that awaits
// responses loses them, so it is closed only if they cannot be delivered or nobody waits for them
// any more; see the bounds in docs/architecture.md.
void RpcFront::close(Client& client, CloseMode mode) {
  if (client.is_closed) return;
  client.is_closed = true;
  client.lingers = mode == CloseMode::lingering;
  mark_changed(client);
  --client_count_;
  if (!client.lingers) client.connection->close();
  update_byte_counts(client);
  for (const auto& [call_id, request] : client.open_calls) {
    end_call(request);
    engine_.cancel_request(request);
  }
  client.open_calls.clear();
}

void RpcFront::end_turn() {
  for (Client* client : changed_clients_) {
    if (client->is_closed) continue;
    client->connection->end_turn();
    update_byte_counts(*client);
    if (has_ended(*client) || (client->has_sent_message && may_close_now(*client))) {
      close(*client, CloseMode::lingering);
    }
  }
  discard_oldest_partial_messages();
  for (Client* client : std::exchange(changed_clients_, {})) {
    client->is_marked_changed = false;
    if (!client->is_closed) continue;
    if (client->lingers) loop_.lingering().add(std::move(client->connection));
    remove(*client);
  }
}

// A client that reads slowly may need seconds for the responses that the kernel holds. It may send
// further requests meanwhile, and once the connection is closed, those would reset it.
bool RpcFront::has_received_most(const Client& client) const {
  return !client.awaits_responses() && client.connection->unacknowledged() <= kMaxUndeliveredBytes;
}

bool RpcFront::has_ended(const Client& client) const {
  return client.is_ending && has_received_most(client);
}

bool RpcFront::is_idle() const {
  return open_calls_.empty() &&
         std::all_of(clients_.begin(), clients_.end(), [](const auto& client) {
           return client->is_closed || client->connection->unwritten() == 0;
         });
}

// ---- Calls ----

std::ptrdiff_t RpcFront::on_data(Client& client, std::string_view bytes) {
  mark_changed(client);
  if (std::exchange(client.may_have_disconnected, false) && client.connection->peer_ended()) {
    client.has_disconnected = true;
    client.is_ending = true;
  }
  const auto size_before = bytes.size();
  bool has_read_message = false;
  while (!client.is_closed) {
    Call call;
    std::string_view rest = bytes;
    const auto parsed = next_call(rest, call);
    if (parsed == core::ParseStatus::partial) break;
    if (parsed == core::ParseStatus::invalid || !on_call(client, call)) {
      ++engine_.counters().invalid_frames;
      engine_.log_invalid_input(core::InvalidInput::frame);
      return -1;
    }
    bytes = rest;
    has_read_message = true;
    client.has_sent_message = true;
  }
  if (bytes.empty()) {
    client.partial_since = 0;
  } else if (has_read_message || !client.partial_since) {
    client.partial_since = engine_.now();
  }
  return static_cast<std::ptrdiff_t>(size_before - bytes.size());
}

// Returns false if a call with the same id is still open, since a response with that id would be
// ambiguous.
bool RpcFront::on_call(Client& client, const Call& call) {
  switch (call.kind) {
    case CallKind::ignored:
      return true;
    case CallKind::cancellation:
      on_cancellation(client, call.id);
      return true;
    case CallKind::liveness_query:
      if (client.open_calls.contains(call.id)) return false;
      client.connection->write(encode_liveness_response(call.id));
      return true;
    case CallKind::request:
      if (client.open_calls.contains(call.id)) return false;
      on_request(client, call);
      return true;
  }
  return true;
}

void RpcFront::on_cancellation(Client& client, std::uint64_t call_id) {
  const auto found = client.open_calls.find(call_id);
  if (found == client.open_calls.end()) return;  // the response has already been sent
  engine_.cancel_request(found->second);
  end_call(found->second);
  client.open_calls.erase(found);
  client.idle_since = engine_.now();
}

// A client that waited long to be accepted and has closed its sending side has most likely
// disconnected. Its requests are read only now, and forwarding them would be of no use. They are
// rejected, in case the client still reads, but not counted.
void RpcFront::reject_disconnected(Client& client, const Call& call, bool may_retry) {
  core::Response response;
  response.status = may_retry ? core::FinalStatus::rejected : core::FinalStatus::failed;
  reply(client, call.id, response);
}

// A try of the same request may be open, or it may have been executed at a server before this try
// arrived. The client must not be told then that a retry is harmless, unless the class allows it.
bool RpcFront::may_client_retry(const RequestClass& request_class,
                                const core::RequestView& view) const {
  return request_class.rules.may_repeat_anywhere ||
         !(engine_.is_open(view.id) || engine_.may_have_run(view));
}

void RpcFront::expect_response(Client& client, core::Time time_limit) {
  client.waits_until =
      std::max(client.waits_until, engine_.now() + time_limit + kTransmissionMargin);
}

void RpcFront::on_request(Client& client, const Call& call) {
  const auto found = classes_.find(std::string(call.class_name));
  if (found == classes_.end()) return reject_invalid(client, call, core::kNoClass);
  const RequestClass& request_class = found->second;
  auto view = to_request_view(call, request_class.rules);
  if (view) view->class_id = request_class.id;
  if (client.has_disconnected) {
    return reject_disconnected(client, call, !view || may_client_retry(request_class, *view));
  }
  if (view) expect_response(client, view->time_limit);
  if (!view || engine_.conflicts_with_open_request(*view)) {
    return reject_invalid(client, call, request_class.id);
  }
  // A request with this id is still open or being aborted. An attempt of it may be in flight or may
  // already have been executed. A retry would run beside it or after it, so the client is told to
  // retry only if the class allows repeated execution.
  if (engine_.is_open(view->id)) {
    return reject(client, call.id, request_class.id, request_class.rules.may_repeat_anywhere);
  }
  const std::size_t expected_bytes = response_sizes_.estimate(*view);
  if (!has_capacity_for_call(client, expected_bytes)) {
    return reject(client, call.id, request_class.id, may_client_retry(request_class, *view));
  }
  const core::RequestHandle request = engine_.admit(*this, *view);
  client.open_calls[call.id] = request;
  client.has_sent_request = true;
  open_calls_[request] = {&client, call.id, request_class.id, expected_bytes};
  expected_bytes_ += expected_bytes;
  engine_.response_memory().expected += expected_bytes;
}

void RpcFront::reject_invalid(Client& client, const Call& call, std::uint32_t class_id) {
  expect_response(client, message_timeout_);
  ++engine_.counters().invalid_requests;
  engine_.log_invalid_input(core::InvalidInput::request);
  engine_.count_rejected(class_id, core::FinalStatus::failed);
  reply(client, call.id, {});
}

// A client may retry a rejected request. A request that may have been executed must not be retried,
// so it gets the status `failed` instead.
void RpcFront::reject(Client& client, std::uint64_t call_id, std::uint32_t class_id,
                      bool may_retry) {
  core::Response response;
  response.status = may_retry ? core::FinalStatus::rejected : core::FinalStatus::failed;
  if (may_retry && config_.settings.sends_retry_after) {
    response.retry_after = std::min(kRetryAfter, config_.settings.max_retry_after);
  }
  ++engine_.counters().over_limit;
  engine_.count_rejected(class_id, response.status);
  reply(client, call_id, response);
}

// ---- Responses ----

RpcFront::OpenCall RpcFront::end_call(core::RequestHandle request) {
  const auto node = open_calls_.extract(request);
  if (node.empty()) return {};
  expected_bytes_ -= node.mapped().expected_bytes;
  engine_.response_memory().expected -= node.mapped().expected_bytes;
  return node.mapped();
}

// A response that is larger than expected may not fit into the memory limit. Its request fails
// then, which costs the client this response but not its connection with all others.
void RpcFront::respond(core::RequestHandle request, const core::Response& response) {
  const OpenCall call = end_call(request);
  if (!call.client) return;  // the call was cancelled or the connection closed
  call.client->open_calls.erase(call.call_id);
  call.client->idle_since = engine_.now();
  if (response.status != core::FinalStatus::served) {
    return reply(*call.client, call.call_id, response);
  }
  response_sizes_.record(call.class_id, response.body.size());
  if (has_memory_for_response(response)) return reply(*call.client, call.call_id, response);
  ++engine_.counters().over_limit;
  engine_.count_undelivered(call.class_id);
  reply(*call.client, call.call_id, {});
}

void RpcFront::reply(Client& client, std::uint64_t call_id, const core::Response& response) {
  const auto encoded = encode_response(call_id, response);
  client.connection->write(encoded.head, response.body, encoded.tail);
  mark_changed(client);
  update_byte_counts(client);
  close_slow_readers(client);
}

}  // namespace alderspur::rpc_front
