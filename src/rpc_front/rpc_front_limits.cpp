// Bounds of the platform's front: connections, open calls, memory, and how long a client may be
// silent, idle or slow.
#include <algorithm>
#include <tuple>

#include "net/lingering.h"
#include "rpc_front/rpc_client.h"
#include "rpc_front/rpc_front.h"

namespace alderspur::rpc_front {
namespace {

/// Bytes that a client has not taken: beyond the first it is refused new calls, beyond the second
/// it is closed (32 open requests of 240,000 bytes fit). To stop reading instead would hide its
/// cancels and its end.
constexpr std::size_t kQueueRefusalBytes = 2 << 20;
constexpr std::size_t kMaxQueueBytes = 12 << 20;
/// Parts of the memory limit: for bodies and responses held for clients, and for half messages. A
/// buffer may be twice as large as what is in it.
constexpr std::size_t kQueuedMemoryDivisor = 4;
constexpr std::size_t kUnreadMemoryDivisor = 16;
constexpr core::Time kCheckInterval = 200'000;
/// The platform's own clients close their connections after 4 s idle.
constexpr core::Time kIdleTimeout = 5'000'000;
constexpr core::Time kSlowReaderTimeout = 5'000'000;
/// An idle client is not closed for another before what it may just be sending can arrive.
constexpr core::Time kUsefulClientGrace = 250'000;
/// Descriptors of one process beside those for clients and servers.
constexpr std::size_t kOwnDescriptors = 28;
constexpr std::size_t kMinDescriptors = 16;
/// While draining, so many connections more are accepted, only to be told so.
constexpr std::size_t kExtraClientsWhileDraining = 8;

}  // namespace

std::size_t RpcFront::queued_bytes_limit() const { return memory_limit_ / kQueuedMemoryDivisor; }
std::size_t RpcFront::unread_bytes_limit() const { return memory_limit_ / kUnreadMemoryDivisor; }

// ---- Connections ----

// Connections that linger hold descriptors as well; they give way first.
bool RpcFront::may_accept() {
  const std::size_t limit = max_clients_ + (is_draining_ ? kExtraClientsWhileDraining : 0);
  return loop_.lingering().fit(client_count_, limit) || close_idlest_client();
}

// Connections that say nothing, or have asked once and stay for good, would keep others waiting to
// be accepted. Those that only asked for the status, or for what cannot be served, go first and at
// once; then those that never asked; then the longest idle.
bool RpcFront::close_idlest_client() {
  const auto grace = [](const Client& client) {
    if (client.has_sent_request) return kUsefulClientGrace;
    return client.has_called ? core::Time{0} : kNewClientGrace;
  };
  const auto rank = [](const Client& client) {
    return std::tuple(client.has_sent_request, !client.has_called, client.idle_since);
  };
  const core::Time now = engine_.now();
  Client* best = nullptr;
  for (auto& client : clients_) {
    if (client->is_closed || !client->open_calls.empty() || client->queued_bytes > 0) continue;
    if (now < client->idle_since + grace(*client)) continue;
    const bool is_better = !best || rank(*client) < rank(*best);
    if (is_better && !client->connection->arrived()) best = client.get();
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
  loop_.lingering().fit(client_count_, max_clients_);
  if (processes == 1 && listener_) listener_->stop_steering();
}

// ---- Calls and memory ----

// These are bounds of this process, not of the service: nothing has run, so a retry is harmless.
// While draining, a new call would come too late to be finished.
bool RpcFront::has_room_for_call(const Client& client) const {
  if (is_draining_ || client.is_ending) return false;
  if (client.queued_bytes > kQueueRefusalBytes) return false;
  if (client.open_calls.size() >= kMaxOpenCalls) return false;
  return engine_.open_request_bytes() + queued_bytes_ <= queued_bytes_limit();
}

void RpcFront::update_byte_counts(Client& client) {
  const std::size_t queued = client.is_closed ? 0 : client.connection->unwritten();
  const std::size_t unread = client.is_closed ? 0 : client.connection->unread();
  queued_bytes_ += queued - std::exchange(client.queued_bytes, queued);
  unread_bytes_ += unread - std::exchange(client.unread_bytes, unread);
}

// Readers that are slow, or many, would take the memory of all others.
void RpcFront::close_slow_readers(const Client& last_written) {
  if (last_written.queued_bytes <= kMaxQueueBytes && queued_bytes_ <= queued_bytes_limit()) return;
  const auto slowest = std::max_element(
      clients_.begin(), clients_.end(),
      [](const auto& a, const auto& b) { return a->queued_bytes < b->queued_bytes; });
  ++engine_.counters().slow_readers;
  close(**slowest, CloseMode::immediate);
}

// Half messages that together take too much memory: those that have been here for longest go.
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

// A message may be long and the network slow: as long as some of it comes, it has the time of a
// request.
void RpcFront::check_client(Client& client, core::Time now) {
  const auto taken_bytes = client.connection->written_total();
  if (client.queued_bytes == 0 || taken_bytes != client.taken_bytes) {
    client.taken_bytes = taken_bytes;
    client.last_taken_at = now;
  }
  const core::Time last_heard_at = std::max(client.accepted_at, client.connection->last_read_at());
  const bool is_message_late =
      client.partial_since &&
      (now > last_heard_at + kSilenceTimeout || now > client.partial_since + message_timeout_);
  const bool never_called =
      !client.has_called && !client.partial_since && now > client.accepted_at + kSilenceTimeout;
  const bool is_silent = is_message_late || never_called;
  const bool is_idle = client.open_calls.empty() && client.queued_bytes == 0 &&
                       now > client.idle_since + kIdleTimeout;
  const bool is_slow_reader = now > client.last_taken_at + kSlowReaderTimeout;
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
