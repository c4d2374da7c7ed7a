// Implements the part of RpcFront that enforces limits on connections, open calls and memory, and
// the timeouts of silent, idle and slow clients.
#include <algorithm>
#include <tuple>

#include "net/lingering.h"
#include "rpc_front/rpc_client.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {
namespace {

/// Limits on the unsent response bytes of one client. Above the first limit, its new calls are
/// rejected. Above the second limit, its connection is closed. A client that keeps to the protocol
/// cannot reach it, since 32 responses of 240,000 bytes fit. Backpressure by not reading from the
/// client is no alternative: its cancellations and the end of its connection would then go
/// unnoticed.
constexpr std::size_t kMaxQueueBytesForNewCalls = 2 << 20;
constexpr std::size_t kMaxQueueBytes = 12 << 20;
/// The divisors that give fractions of the memory limit. Calls are admitted while the bodies of the
/// open requests and all responses, expected and unsent ones, fit into the first. The second is the
/// margin for responses that are larger than expected, and once more for replies without a body,
/// which only clients that never read can add up to so much. The last is for incomplete messages.
constexpr std::size_t kAdmissionMemoryDivisor = 4;
constexpr std::size_t kMarginMemoryDivisor = 32;
constexpr std::size_t kUnreadMemoryDivisor = 16;
constexpr core::Time kCheckInterval = 200'000;
/// Longer than the 4 s of idle time after which the platform's own clients close a connection.
constexpr core::Time kIdleTimeout = 5'000'000;
/// A client that has read nothing for this time is closed once it no longer waits for any response.
constexpr core::Time kSlowReaderTimeout = 5'000'000;
/// A client that keeps sending requests but has read nothing for this time, added to the longest
/// time limit of a request, is closed in any case.
constexpr core::Time kStuckReaderTimeout = 10'000'000;
/// An idle client is not closed to make room for a new one until this time has passed, because its
/// next request may be in transit.
constexpr core::Time kServedClientGrace = 250'000;
/// The descriptors that one process needs for purposes other than clients and servers.
constexpr std::size_t kOwnDescriptors = 28;
constexpr std::size_t kMinDescriptors = 16;
/// While draining, this many connections above the limit are accepted, so that their calls can be
/// rejected.
constexpr std::size_t kExtraClientsWhileDraining = 8;

}  // namespace

std::size_t RpcFront::admission_limit() const { return memory_limit_ / kAdmissionMemoryDivisor; }
// What was admitted before the limit was lowered may still be sent.
std::size_t RpcFront::response_limit() const {
  return std::max(admission_limit(), granted_bytes_) + memory_limit_ / kMarginMemoryDivisor;
}
std::size_t RpcFront::queued_bytes_limit() const {
  return response_limit() + memory_limit_ / kMarginMemoryDivisor;
}
std::size_t RpcFront::unread_bytes_limit() const { return memory_limit_ / kUnreadMemoryDivisor; }

std::size_t RpcFront::limited_bytes() const {
  return engine_.open_request_bytes() + queued_bytes_ + expected_bytes_ + unread_bytes_;
}

// ---- Connections ----

// Lingering connections use descriptors as well, and they are closed before active ones.
bool RpcFront::may_accept() {
  const std::size_t limit = max_clients_ + (is_draining_ ? kExtraClientsWhileDraining : 0);
  return loop_.lingering().make_room(client_count_, limit) || close_idlest_client();
}

// Closes one idle connection so that a new client can be accepted; returns false if there is none.
// Connections that only sent liveness queries or invalid requests are closed first and without a
// grace time, then connections that never sent a message, then the one that has been idle longest.
bool RpcFront::close_idlest_client() {
  const auto grace = [](const Client& client) {
    if (client.has_sent_request) return kServedClientGrace;
    return client.has_sent_message ? core::Time{0} : kNewClientGrace;
  };
  const auto rank = [](const Client& client) {
    return std::tuple(client.has_sent_request, !client.has_sent_message, client.idle_since);
  };
  const core::Time now = engine_.now();
  Client* best = nullptr;
  for (auto& client : clients_) {
    if (client->is_closed || client->awaits_responses()) continue;
    if (now < client->idle_since + grace(*client)) continue;
    if (client->partial_since && !is_silent(*client, now)) continue;
    const bool is_better = !best || rank(*client) < rank(*best);
    if (is_better && !client->connection->has_input_waiting()) best = client.get();
  }
  if (!best) {
    ++engine_.counters().deferred_accepts;
    engine_.log_invalid_input(core::InvalidInput::connections);
    return false;
  }
  ++engine_.counters().idle_clients;
  // An immediate close frees the descriptor now. It does not reset the connection, since no input
  // is unread.
  close(*best, CloseMode::immediate);
  return true;
}

void RpcFront::set_process_count(std::uint32_t processes) {
  const auto descriptors = static_cast<std::size_t>(config_.max_descriptors);
  const std::size_t share = descriptors / processes;
  const std::size_t usable = std::max(kMinDescriptors, share - std::min(share, kOwnDescriptors));
  max_clients_ = processes > 1 ? usable / 2 : descriptors / 2;
  memory_limit_ = (config_.memory_mb << 20) / processes;
  granted_bytes_ = std::max(granted_bytes_, queued_bytes_ + expected_bytes_);
  while (client_count_ > max_clients_ && close_idlest_client()) {
  }
  loop_.lingering().make_room(client_count_, max_clients_);
  if (processes == 1 && listener_) listener_->stop_steering();
}

// ---- Calls and memory ----

// These limits belong to this process, not to the service behind it. A call that exceeds them has
// not been executed, so a retry is safe. While draining, a new call could not be completed in time.
bool RpcFront::has_capacity_for_call(const Client& client, std::size_t expected_bytes) const {
  if (is_draining_ || client.is_ending) return false;
  if (client.queued_bytes > kMaxQueueBytesForNewCalls) return false;
  if (client.open_calls.size() >= kMaxOpenCalls) return false;
  return engine_.open_request_bytes() + engine_.response_memory().total() + expected_bytes <=
         admission_limit();
}

bool RpcFront::has_memory_for_response(const core::Response& response) const {
  return response.body.empty() || queued_bytes_ + response.body.size() <= response_limit();
}

void RpcFront::update_byte_counts(Client& client) {
  const std::size_t queued = client.is_closed ? 0 : client.connection->unwritten();
  const std::size_t unread = client.is_closed ? 0 : client.connection->unread();
  if (queued == 0 && client.queued_bytes > 0) client.idle_since = engine_.now();
  const std::size_t previously_queued = std::exchange(client.queued_bytes, queued);
  queued_bytes_ += queued - previously_queued;
  engine_.response_memory().queued += queued - previously_queued;
  unread_bytes_ += unread - std::exchange(client.unread_bytes, unread);
}

// Closes the client with the most unsent bytes if a limit on unsent bytes is exceeded. Responses to
// admitted calls stay below the limits, but clients that send calls without end and never read
// would use up the memory with replies that reject these calls.
void RpcFront::close_slow_readers(const Client& last_written) {
  if (last_written.queued_bytes <= kMaxQueueBytes && queued_bytes_ <= queued_bytes_limit()) return;
  const auto slowest = std::max_element(
      clients_.begin(), clients_.end(),
      [](const auto& a, const auto& b) { return a->queued_bytes < b->queued_bytes; });
  ++engine_.counters().slow_readers;
  close(**slowest, CloseMode::immediate);
}

// Discards the oldest incomplete messages until all incomplete messages together fit into their
// memory limit, first those of clients that await no response. The clients are closed, once they
// have all their responses.
void RpcFront::discard_oldest_partial_messages() {
  const auto rank = [](const auto& client) {
    return std::tuple(client->unread_bytes == 0, client->awaits_responses(), client->partial_since);
  };
  while (unread_bytes_ > unread_bytes_limit()) {
    const auto oldest =
        std::min_element(clients_.begin(), clients_.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    Client& client = **oldest;
    ++engine_.counters().silent_clients;
    if (!client.awaits_responses()) {
      close(client, CloseMode::lingering);
      continue;
    }
    client.is_ending = true;
    client.partial_since = 0;
    client.connection->stop_parsing();
    client.connection->end_turn();
    update_byte_counts(client);
  }
}

// ---- Timeouts ----

void RpcFront::check_all_clients() {
  const core::Time now = engine_.now();
  deadlines_.set(now + kCheckInterval, [this] { check_all_clients(); });
  if (queued_bytes_ + expected_bytes_ <= admission_limit()) granted_bytes_ = 0;
  for (auto& client : clients_) {
    if (!client->is_closed) check_client(*client, now);
  }
}

// Bytes count as delivered once the client's side has acknowledged them, since the kernel may hold
// many of them for a client that reads slowly.
void RpcFront::record_delivery(Client& client, core::Time now) {
  const net::Connection& connection = *client.connection;
  if (client.delivered_bytes == connection.queued_total()) {
    client.last_delivery_at = now;
    return;
  }
  const std::uint64_t delivered = connection.written_total() - connection.unacknowledged();
  if (delivered != client.delivered_bytes) client.last_delivery_at = now;
  client.delivered_bytes = delivered;
  client.idle_since = now;
}

// A message may be long, and the network may be slow or fall quiet. A message may take up to
// message_timeout_, the longest time limit of any request class, since its client waits for so
// long.
bool RpcFront::is_overdue(const Client& client, core::Time now) const {
  if (client.partial_since) return now > client.partial_since + message_timeout_;
  return !client.has_sent_message && now > client.accepted_at + kSilenceTimeout;
}

// Clients that have fallen quiet within a message are closed earlier than overdue ones only if
// their connections are needed for new clients.
bool RpcFront::is_silent(const Client& client, core::Time now) const {
  const core::Time last_active_at = std::max(client.idle_since, client.connection->last_read_at());
  return now > last_active_at + kSilenceTimeout || is_overdue(client, now);
}

// Only a client that awaits no response is closed for being silent or idle. While it awaits
// responses, it may be quiet for as long as its requests take.
void RpcFront::check_client(Client& client, core::Time now) {
  record_delivery(client, now);
  const core::Time stalled_for = now - client.last_delivery_at;
  const bool is_slow_reader = (stalled_for > kSlowReaderTimeout && now > client.waits_until) ||
                              stalled_for > kStuckReaderTimeout + message_timeout_;
  const bool may_close = !client.awaits_responses();
  const bool is_idle = !client.partial_since && now > client.idle_since + kIdleTimeout;
  auto& counters = engine_.counters();
  if (has_ended(client)) {
    close(client, CloseMode::lingering);
  } else if (is_slow_reader) {
    ++counters.slow_readers;
    close(client, CloseMode::immediate);
  } else if (may_close && is_overdue(client, now)) {
    ++counters.silent_clients;
    close(client, CloseMode::lingering);
  } else if (may_close && is_idle) {
    ++counters.idle_clients;
    close(client, CloseMode::lingering);
  }
}

}  // namespace alderspur::rpc_front
