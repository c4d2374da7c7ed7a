// RpcFront: limits on connections, open calls and memory, and the timeouts of silent, idle and slow
// clients.
#include <algorithm>
#include <tuple>

#include "net/lingering.h"
#include "rpc_front/rpc_client.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {
namespace {

/// Unsent bytes of one client's responses: above the first limit its new calls are rejected, above
/// the second it is closed (responses to 32 requests of 240,000 bytes fit). To stop reading instead
/// would hide cancellations and the client's end.
constexpr std::size_t kMaxQueueBytesForNewCalls = 2 << 20;
constexpr std::size_t kMaxQueueBytes = 12 << 20;
/// Fractions of the memory limit: for request bodies and responses, and for incomplete messages. A
/// buffer may be twice as large as its content.
constexpr std::size_t kQueuedMemoryDivisor = 4;
constexpr std::size_t kUnreadMemoryDivisor = 16;
constexpr core::Time kCheckInterval = 200'000;
/// The platform's own clients close their connections after 4 s idle.
constexpr core::Time kIdleTimeout = 5'000'000;
constexpr core::Time kSlowReaderTimeout = 5'000'000;
/// An idle client is not closed in favour of another before a request in transit can arrive.
constexpr core::Time kServedClientGrace = 250'000;
/// Descriptors of one process besides those of clients and servers.
constexpr std::size_t kOwnDescriptors = 28;
constexpr std::size_t kMinDescriptors = 16;
/// Connections accepted above the limit while draining, so that their calls can be rejected.
constexpr std::size_t kExtraClientsWhileDraining = 8;

}  // namespace

std::size_t RpcFront::queued_bytes_limit() const { return memory_limit_ / kQueuedMemoryDivisor; }
std::size_t RpcFront::unread_bytes_limit() const { return memory_limit_ / kUnreadMemoryDivisor; }

// ---- Connections ----

// Lingering connections hold descriptors as well; they are closed first.
bool RpcFront::may_accept() {
  const std::size_t limit = max_clients_ + (is_draining_ ? kExtraClientsWhileDraining : 0);
  return loop_.lingering().make_room(client_count_, limit) || close_idlest_client();
}

// Idle connections would keep new clients waiting to be accepted. Those that only sent liveness
// queries or invalid requests are closed first, without a grace time; then those that never sent a
// message; then the one that has been idle for longest.
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
    if (client->is_closed || !client->open_calls.empty() || client->queued_bytes > 0) continue;
    if (now < client->idle_since + grace(*client)) continue;
    const bool is_better = !best || rank(*client) < rank(*best);
    if (is_better && !client->connection->has_input_waiting()) best = client.get();
  }
  if (!best) {
    ++engine_.counters().deferred_accepts;
    engine_.log_invalid_input(core::InvalidInput::connections);
    return false;
  }
  ++engine_.counters().idle_clients;
  // Its descriptor is needed now. With nothing unread, the close does not reset the connection.
  close(*best, CloseMode::immediate);
  return true;
}

void RpcFront::set_process_count(std::uint32_t processes) {
  const auto descriptors = static_cast<std::size_t>(config_.max_descriptors);
  const std::size_t share = descriptors / processes;
  const std::size_t usable = std::max(kMinDescriptors, share - std::min(share, kOwnDescriptors));
  max_clients_ = processes > 1 ? usable / 2 : descriptors / 2;
  memory_limit_ = (config_.memory_mb << 20) / processes;
  while (client_count_ > max_clients_ && close_idlest_client()) {
  }
  loop_.lingering().make_room(client_count_, max_clients_);
  if (processes == 1 && listener_) listener_->stop_steering();
}

// ---- Calls and memory ----

// These limits are of this process, not of the service: nothing has run, so a retry is harmless.
// While draining, a new call could not be completed in time.
bool RpcFront::has_capacity_for_call(const Client& client) const {
  if (is_draining_ || client.is_ending) return false;
  if (client.queued_bytes > kMaxQueueBytesForNewCalls) return false;
  if (client.open_calls.size() >= kMaxOpenCalls) return false;
  return engine_.open_request_bytes() + queued_bytes_ <= queued_bytes_limit();
}

void RpcFront::update_byte_counts(Client& client) {
  const std::size_t queued = client.is_closed ? 0 : client.connection->unwritten();
  const std::size_t unread = client.is_closed ? 0 : client.connection->unread();
  queued_bytes_ += queued - std::exchange(client.queued_bytes, queued);
  unread_bytes_ += unread - std::exchange(client.unread_bytes, unread);
}

// Slow or numerous readers would otherwise use up the memory of all clients.
void RpcFront::close_slow_readers(const Client& last_written) {
  if (last_written.queued_bytes <= kMaxQueueBytes && queued_bytes_ <= queued_bytes_limit()) return;
  const auto slowest = std::max_element(
      clients_.begin(), clients_.end(),
      [](const auto& a, const auto& b) { return a->queued_bytes < b->queued_bytes; });
  ++engine_.counters().slow_readers;
  close(**slowest, CloseMode::immediate);
}

// Where incomplete messages together exceed their memory limit, the oldest are closed.
void RpcFront::close_oldest_partial_messages() {
  const auto rank = [](const auto& client) {
    return std::tuple(client->unread_bytes == 0, client->partial_since);
  };
  while (unread_bytes_ > unread_bytes_limit()) {
    const auto oldest =
        std::min_element(clients_.begin(), clients_.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    ++engine_.counters().silent_clients;
    close(**oldest, CloseMode::lingering);
  }
}

// ---- Timeouts ----

void RpcFront::check_all_clients() {
  const core::Time now = engine_.now();
  deadlines_.set(now + kCheckInterval, [this] { check_all_clients(); });
  for (auto& client : clients_) {
    if (!client->is_closed) check_client(*client, now);
  }
}

// A message may be long and the network slow: while parts of it keep arriving, it may take as long
// as a request's time limit.
void RpcFront::check_client(Client& client, core::Time now) {
  const auto delivered_bytes = client.connection->written_total();
  if (client.queued_bytes == 0 || delivered_bytes != client.delivered_bytes) {
    client.delivered_bytes = delivered_bytes;
    client.last_delivery_at = now;
  }
  const core::Time last_heard_at = std::max(client.accepted_at, client.connection->last_read_at());
  const bool is_message_late =
      client.partial_since &&
      (now > last_heard_at + kSilenceTimeout || now > client.partial_since + message_timeout_);
  const bool is_unused = !client.has_sent_message && !client.partial_since &&
                         now > client.accepted_at + kSilenceTimeout;
  const bool is_silent = is_message_late || is_unused;
  const bool is_idle = client.open_calls.empty() && client.queued_bytes == 0 &&
                       now > client.idle_since + kIdleTimeout;
  const bool is_slow_reader = now > client.last_delivery_at + kSlowReaderTimeout;
  auto& counters = engine_.counters();
  if (is_silent) {
    ++counters.silent_clients;
  } else if (is_idle) {
    ++counters.idle_clients;
  } else if (is_slow_reader) {
    ++counters.slow_readers;
  } else {
    return;
  }
  close(client, is_slow_reader ? CloseMode::immediate : CloseMode::lingering);
}

}  // namespace alderspur::rpc_front
