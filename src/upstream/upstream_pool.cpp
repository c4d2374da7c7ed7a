// Implements the endpoints of UpstreamPool, and how their connections are chosen, opened and
// closed.
#include "upstream/upstream_pool.h"

#include <tuple>

#include "upstream/cache_protocol.h"
#include "upstream/upstream_connection.h"

namespace alderspur::upstream {

using alderspur::AttemptResult;
using alderspur::ServerId;
using alderspur::ServerStatus;
using core::AttemptId;

namespace {

/// Interval between two checks for expired connections.
constexpr core::Time kExpiryInterval = 1'000'000;
/// From this load on, another connection is opened, because a reset or corrupted connection fails
/// all attempts on it.
constexpr std::size_t kMinLoadForNewConnection = 3;
constexpr std::size_t kMaxConnectionsPerEndpoint = 6;
/// Lower bound of the limit on connections that follows from the memory of all processes.
constexpr std::size_t kMinConnectionLimit = 24;

}  // namespace

UpstreamPool::UpstreamPool(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
                           const config::Config& config)
    : loop_(loop),
      deadlines_(deadlines),
      engine_(engine),
      config_(config),
      connection_limit_(connection_limit(1)) {
  close_expired();
  check_all_connections();
}
UpstreamPool::~UpstreamPool() = default;

// ---- Endpoints ----

bool UpstreamPool::update_endpoint(const config::Member& member) {
  auto& entry = endpoints_[member.server.id];
  const bool already_exists = entry != nullptr;
  if (!already_exists) entry = std::make_unique<Endpoint>();
  Endpoint& endpoint = *entry;
  const auto address = net::parse_address(member.address);
  const bool has_moved = already_exists && address && member.address != endpoint.member.address;
  const bool has_restarted =
      already_exists && member.server.started_at > endpoint.member.server.started_at;
  const std::string last_valid_address = std::exchange(endpoint.member, member).address;
  if (address) {
    endpoint.address = *address;
  } else {
    endpoint.member.address = last_valid_address;
  }
  if (!address && member.server.status != ServerStatus::gone) {
    engine_.log_invalid_input(core::InvalidInput::address, member.name + ' ' + member.address);
  }
  // A restarted process has no record of the requests that the previous one received.
  if (has_moved || has_restarted) {
    return_unsent(member.server.id);  // before closing, which would fail the waiting attempts
    for (UpstreamConnection* connection : endpoint.current_connections()) {
      on_closed(*connection, net::CloseReason::reset);
    }
  }
  if (member.server.status != ServerStatus::ready) take_out_of_service(endpoint);
  return member.server.status == ServerStatus::gone || endpoint.address.sin_port != 0;
}

// Stops sending to an endpoint that is draining or removed. Waiting attempts are returned to the
// engine immediately, because another server may have the address by the time the connect
// completes.
void UpstreamPool::take_out_of_service(Endpoint& endpoint) {
  return_unsent(endpoint.id());
  if (endpoint.member.server.status != ServerStatus::gone) return;
  mark_changed(endpoint);
  for (auto& connection : endpoint.connections) retire(*connection);
}

// Records the endpoint for end_turn(), which would otherwise have to visit the whole endpoint list
// in every turn.
void UpstreamPool::mark_changed(Endpoint& endpoint) {
  if (std::exchange(endpoint.is_marked_changed, true)) return;
  changed_endpoints_.push_back(&endpoint);
}

void UpstreamPool::remove_unlisted(const std::vector<config::Member>& members) {
  std::unordered_set<std::uint64_t> listed;
  for (const auto& member : members) listed.insert(member.server.id.value);
  for (auto& [id, endpoint] : endpoints_) {
    if (listed.contains(id.value)) continue;
    endpoint->member.server.status = ServerStatus::gone;
    take_out_of_service(*endpoint);
  }
}

std::string UpstreamPool::address(ServerId server) const {
  const auto found = endpoints_.find(server);
  return found == endpoints_.end() ? std::string() : found->second->member.address;
}

bool UpstreamPool::is_listed(ServerId server) const {
  const auto found = endpoints_.find(server);
  return found != endpoints_.end() && found->second->member.server.status != ServerStatus::gone;
}

void UpstreamPool::return_unsent(ServerId server) {
  const auto found = connected_endpoints_.find(server);
  if (found == connected_endpoints_.end()) return;
  for (auto& connection : found->second->connections) {
    for (const AttemptId attempt : std::exchange(connection->waiting, {})) {
      connections_by_attempt_.erase(attempt);
      engine_.return_unsent(attempt);
    }
  }
}

// ---- Choosing and opening connections ----

// Returns the connection on which to send a request, or null if none can be opened. If the chosen
// connection is loaded, also opens another one for later requests.
UpstreamPool::UpstreamConnection* UpstreamPool::choose_connection(Endpoint& endpoint,
                                                                  std::string_view request_id) {
  UpstreamConnection* best = best_connection(endpoint, request_id);
  if (!best) return dial(endpoint);
  const auto& connections = endpoint.connections;
  const auto is_dialing = [](const auto& connection) {
    return !connection->is_closed && connection->socket->connecting();
  };
  if (best->load() >= kMinLoadForNewConnection && connections.size() < kMaxConnectionsPerEndpoint &&
      std::none_of(connections.begin(), connections.end(), is_dialing)) {
    dial(endpoint);
  }
  return best;
}

// Returns the least loaded of the connections that can be written to immediately, or of the other
// connections if there are none. Returns null if no connection is suitable for this request.
UpstreamPool::UpstreamConnection* UpstreamPool::best_connection(Endpoint& endpoint,
                                                                std::string_view request_id) {
  const auto rank = [](const UpstreamConnection& connection) {
    return std::tuple(!connection.takes_commands(), connection.load());
  };
  const std::string id(request_id);
  UpstreamConnection* best = nullptr;
  for (auto& connection : endpoint.connections) {
    if (connection->is_closed || connection->is_retired) continue;
    if (connection->load() >= config_.max_requests_per_connection) continue;
    if (connection->unusable_ids.contains(id) || connection->pending.contains(id)) continue;
    if (connection->liveness_query_at || !connection->is_responsive()) continue;
    if (is_expired(*connection)) {
      close(*connection);
      continue;
    }
    if (!best || rank(*connection) < rank(*best)) best = connection.get();
  }
  return best;
}

// Opens a connection. Returns null if the connection limit is reached, if the endpoint has no valid
// address, or if the socket cannot be created.
UpstreamPool::UpstreamConnection* UpstreamPool::dial(Endpoint& endpoint) {
  if (connection_count_ >= connection_limit_ || !endpoint.address.sin_port) return nullptr;
  auto owned = std::make_unique<UpstreamConnection>();
  UpstreamConnection* connection = owned.get();
  connection->endpoint = &endpoint;
  connection->last_used_at = engine_.now();
  net::Connection::Handler handler;
  handler.on_data = [this, connection](std::string_view bytes) {
    return on_data(*connection, bytes);
  };
  handler.on_written = [this, connection] {
    on_connected(*connection);
    mark_written(*connection);
    write_waiting(*connection);
  };
  handler.on_close = [this, connection](net::CloseReason reason) {
    on_closed(*connection, reason);
  };
  connection->socket = net::connect(loop_, endpoint.address, std::move(handler));
  if (!connection->socket) return nullptr;
  ++connection_count_;
  connection->dial_timeout =
      deadlines_.set(engine_.now() + config_.connect_timeout, [this, connection] {
        if (connection->socket->connecting()) on_closed(*connection, net::CloseReason::refused);
      });
  endpoint.connections.push_back(std::move(owned));
  connected_endpoints_[endpoint.id()] = &endpoint;
  return connection;
}

// Records that the connection is open and writes the health checks that waited for it.
void UpstreamPool::on_connected(UpstreamConnection& connection) {
  if (!connection.dial_timeout.is_set() || connection.socket->connecting()) return;
  deadlines_.cancel(connection.dial_timeout);
  connection.dial_timeout = {};
  connection.connected_at = engine_.now();
  for (const auto& tag : std::exchange(connection.unsent_checks, {})) {
    if (connection.pending.contains(tag)) connection.socket->write(encode_health_check(tag));
  }
}

// ---- Closing ----

// Ends all attempts and health checks on a connection that has failed or must be given up.
// Attempts whose command was not written completely, for instance because the connect failed,
// cannot have run at the server and are reported as connect_failed.
void UpstreamPool::on_closed(UpstreamConnection& connection, net::CloseReason reason) {
  if (connection.is_closed) return;
  const auto pending = std::exchange(connection.pending, {});
  const auto waiting = std::exchange(connection.waiting, {});
  close(connection);
  for (const auto& [id, response] : pending) {
    if (response.is_health_check()) {
      on_health_check_lost(*connection.endpoint, response, reason);
      continue;
    }
    const bool may_have_run = engine_.was_written(response.attempt);
    fail_attempt(response.attempt,
                 may_have_run ? AttemptResult::reset : AttemptResult::connect_failed);
  }
  for (const AttemptId attempt : waiting) fail_attempt(attempt, AttemptResult::connect_failed);
}

void UpstreamPool::close(UpstreamConnection& connection) {
  if (connection.is_closed) return;
  connection.is_closed = true;
  mark_changed(*connection.endpoint);
  if (connection.dial_timeout.is_set()) deadlines_.cancel(connection.dial_timeout);
  connection.socket->close();
  --connection_count_;
}

// Stops using a connection for anything new, and closes it once nothing is pending on it.
void UpstreamPool::retire(UpstreamConnection& connection) {
  connection.is_retired = true;
  if (!connection.is_closed && connection.load() == 0) close(connection);
}

// An idle connection is closed before the server would close it. If a command crossed the server's
// close on the wire, it would be unknown whether the command has run.
bool UpstreamPool::is_expired(const UpstreamConnection& connection) const {
  return connection.load() == 0 &&
         engine_.now() > connection.last_used_at + config_.idle_timeout * 4 / 5;
}

// Closes all expired connections, and schedules the next check.
void UpstreamPool::close_expired() {
  deadlines_.set(engine_.now() + kExpiryInterval, [this] { close_expired(); });
  for (auto& [id, endpoint] : connected_endpoints_) {
    for (auto& connection : endpoint->connections) {
      if (!connection->is_closed && is_expired(*connection)) close(*connection);
    }
  }
}

// Returns the limit on connections for each of `processes` processes. It depends on memory as well
// as on descriptors, since each connection may hold an incomplete response of 240,000 bytes in a
// buffer of twice that size.
std::size_t UpstreamPool::connection_limit(std::uint32_t processes) const {
  const auto sockets = static_cast<std::size_t>(config_.max_descriptors) / processes;
  const auto by_sockets = processes > 1 ? sockets / 4 : sockets * 2 / 5;
  const auto by_memory = std::max<std::size_t>(kMinConnectionLimit, config_.memory_mb) / processes;
  return std::min(by_sockets, by_memory);
}

void UpstreamPool::set_process_count(std::uint32_t processes) {
  connection_limit_ = connection_limit(processes);
  for (auto& [id, endpoint] : connected_endpoints_) {
    for (auto& connection : endpoint->connections) {
      if (connection_count_ <= connection_limit_) return;
      if (!connection->is_closed && connection->load() == 0) close(*connection);
    }
  }
}

void UpstreamPool::end_turn() {
  for (Endpoint* endpoint : std::exchange(changed_endpoints_, {})) {
    endpoint->is_marked_changed = false;
    for (auto& connection : endpoint->connections) {
      if (!connection->is_closed) connection->socket->end_turn();
    }
    std::erase_if(endpoint->connections,
                  [](const auto& connection) { return connection->is_closed; });
    if (!endpoint->connections.empty()) continue;
    const ServerId id = endpoint->id();
    connected_endpoints_.erase(id);
    if (endpoint->member.server.status == ServerStatus::gone) endpoints_.erase(id);
  }
}

}  // namespace alderspur::upstream
