// Implements the health checks of UpstreamPool: the connections that they use, their responses and
// their timeouts.
#include "upstream/cache_protocol.h"
#include "upstream/upstream_connection.h"
#include "upstream/upstream_pool.h"

namespace alderspur::upstream {

using alderspur::ServerId;

namespace {

constexpr core::Time kHealthCheckTimeout = 250'000;
/// A health check that times out is reported as failed, but its response is still accepted during
/// this time, since a late response shows that the server is alive but has a queue of requests.
constexpr core::Time kLateResponseTimeout = 3'000'000;
constexpr int kMaxHealthCheckAttempts = 3;
/// Maximum number of unconfirmed connections to an endpoint, that is, connections that are still
/// being opened or are unresponsive. Further health checks share the last of them.
constexpr std::size_t kMaxUnconfirmedConnections = 2;
/// A connection with pending responses that has been silent for this time is not used for a health
/// check.
constexpr core::Time kMaxSilence = 250'000;

}  // namespace

void UpstreamPool::send_health_check(ServerId server) {
  send_health_check(server, engine_.now(), 1);
}

// Sends a health check that was started at `since`, for the `attempts`th time.
void UpstreamPool::send_health_check(ServerId server, core::Time since, int attempts) {
  const auto found = endpoints_.find(server);
  const std::string tag = health_check_tag(++last_tag_);
  UpstreamConnection* connection = found != endpoints_.end()
                                       ? connection_for_health_check(*found->second, attempts > 1)
                                       : nullptr;
  if (!connection) {
    return engine_.on_health_check_result({server, false, engine_.now() - since, {}});
  }
  PendingResponse& pending = connection->pending[tag];
  connection->last_used_at = engine_.now();
  pending.sent_at = since;
  pending.attempts = attempts;
  pending.timeout = deadlines_.set(since + kHealthCheckTimeout, [this, connection, tag] {
    on_health_check_timeout(*connection, tag);
  });
  if (connection->socket->connecting()) {
    connection->unsent_checks.push_back(tag);
  } else {
    connection->socket->write(encode_health_check(tag));
  }
}

// Chooses the connection for a health check, or opens one. A connection that is blocked by a
// corrupted response is no evidence about the server, so a health check uses a responsive
// connection and a retry uses a new one. The number of new connections is limited because
// connection attempts from all routers would put additional load on an unresponsive server.
UpstreamPool::UpstreamConnection* UpstreamPool::connection_for_health_check(Endpoint& endpoint,
                                                                            bool is_retry) {
  UpstreamConnection* best = nullptr;
  UpstreamConnection* unconfirmed = nullptr;
  std::size_t unconfirmed_count = 0;
  for (auto& connection : endpoint.connections) {
    if (connection->is_closed || connection->is_retired) continue;
    if (!connection->is_responsive() || connection->socket->connecting()) {
      ++unconfirmed_count;
      unconfirmed = connection.get();
      continue;
    }
    const bool is_silent = !connection->pending.empty() &&
                           connection->socket->last_read_at() <= engine_.now() - kMaxSilence;
    if (!is_retry && !connection->liveness_query_at && !is_silent) best = connection.get();
  }
  if (best) return best;
  return unconfirmed_count < kMaxUnconfirmedConnections ? dial(endpoint) : unconfirmed;
}

// Reports a health check as failed, but keeps it pending in case its response arrives late.
void UpstreamPool::on_health_check_timeout(UpstreamConnection& connection, const std::string& tag) {
  const auto found = connection.pending.find(tag);
  if (found == connection.pending.end()) return;
  PendingResponse& check = found->second;
  const core::Time now = engine_.now();
  check.has_timed_out = true;
  check.timeout = deadlines_.set(now + kLateResponseTimeout, [this, &connection, tag] {
    remove_health_check(connection, tag);
  });
  if (connection.socket->last_read_at() <= check.sent_at) connection.unresponsive_since = now;
  engine_.on_health_check_result({connection.endpoint->id(), false, now - check.sent_at, {}});
}

// Removes a health check whose response is no longer expected, and retires its connection if it is
// unresponsive.
void UpstreamPool::remove_health_check(UpstreamConnection& connection, const std::string& tag) {
  std::erase(connection.unsent_checks, tag);
  connection.pending.erase(tag);
  if (!connection.is_responsive()) retire(connection);
}

void UpstreamPool::on_health_check_response(UpstreamConnection& connection, const std::string& tag,
                                            const CacheResponse& response) {
  const auto found = connection.pending.find(tag);
  if (found == connection.pending.end()) return;
  const PendingResponse check = found->second;
  deadlines_.cancel(check.timeout);
  std::erase(connection.unsent_checks, tag);
  connection.pending.erase(found);
  const core::Time now = engine_.now();
  const core::Time connected_for = connection.connected_at ? now - connection.connected_at : 0;
  engine_.on_health_check_result(
      {connection.endpoint->id(), response.status == ResponseStatus::healthy, now - check.sent_at,
       parse_load_report(response.report), connected_for, true, check.has_timed_out});
}

// Handles the loss of a connection with a pending health check. A connection may also be reset
// while the server is healthy, so the health check is sent again. It fails only if the connect
// failed or if the connection was lost kMaxHealthCheckAttempts times.
void UpstreamPool::on_health_check_lost(const Endpoint& endpoint, const PendingResponse& check,
                                        net::CloseReason reason) {
  deadlines_.cancel(check.timeout);
  if (check.has_timed_out) return;
  const ServerId server = endpoint.id();
  if (reason != net::CloseReason::refused && check.attempts < kMaxHealthCheckAttempts) {
    send_health_check(server, check.sent_at, check.attempts + 1);
  } else {
    engine_.on_health_check_result({server, false, engine_.now() - check.sent_at, {}});
  }
}

}  // namespace alderspur::upstream
