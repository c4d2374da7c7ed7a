// Health checks that the engine orders: which connection they use, their replies and timeouts.
#include "upstream/cache_protocol.h"
#include "upstream/upstream_connection.h"
#include "upstream/upstream_pool.h"

namespace alderspur::upstream {

using alderspur::ServerId;

namespace {

constexpr core::Time kHealthCheckTimeout = 250'000;
/// After its timeout a health check is reported as failed, but its reply is awaited for so much
/// longer: a late one shows that the server is alive behind a queue.
constexpr core::Time kLateReplyTimeout = 3'000'000;
constexpr int kMaxTries = 3;
/// So many connections to an endpoint may be dialing or unresponsive; further checks share the
/// last.
constexpr std::size_t kMaxDoubtfulConnections = 2;
/// A connection with pending responses that has been silent for so long is not used for a check.
constexpr core::Time kQuietTime = 250'000;

}  // namespace

void UpstreamPool::send_health_check(ServerId server) {
  send_health_check(server, engine_.now(), 1);
}

void UpstreamPool::send_health_check(ServerId server, core::Time since, int tries) {
  const auto found = endpoints_.find(server);
  const std::string tag = health_check_tag(++last_tag_);
  UpstreamConnection* connection =
      found != endpoints_.end() ? connection_for_health_check(*found->second, tries > 1) : nullptr;
  if (!connection) {
    return engine_.on_health_check_result({server, false, engine_.now() - since, {}});
  }
  PendingResponse& pending = connection->pending[tag];
  connection->last_used_at = engine_.now();
  pending.sent_at = since;
  pending.tries = tries;
  pending.timeout = deadlines_.set(since + kHealthCheckTimeout, [this, connection, tag] {
    on_health_check_timeout(*connection, tag);
  });
  if (connection->socket->connecting()) {
    connection->unsent_checks.push_back(tag);
  } else {
    connection->socket->write(encode_health_check(tag));
  }
}

// On a connection that a corrupted response has silenced, a check would report the machine as
// silent: it takes one that responds, and a retry takes a new one. A dial for each check of a
// silent endpoint, from every router, would be a load of its own: dials are bounded.
UpstreamPool::UpstreamConnection* UpstreamPool::connection_for_health_check(Endpoint& endpoint,
                                                                            bool is_retry) {
  UpstreamConnection* best = nullptr;
  UpstreamConnection* doubtful = nullptr;
  std::size_t doubtful_count = 0;
  for (auto& connection : endpoint.connections) {
    if (connection->is_closed || connection->is_retired) continue;
    if (!connection->is_responsive() || connection->socket->connecting()) {
      ++doubtful_count;
      doubtful = connection.get();
      continue;
    }
    const bool is_quiet = !connection->pending.empty() &&
                          connection->socket->last_read_at() <= engine_.now() - kQuietTime;
    if (!is_retry && !connection->liveness_asked_at && !is_quiet) best = connection.get();
  }
  if (best) return best;
  return doubtful_count < kMaxDoubtfulConnections ? dial(endpoint) : doubtful;
}

void UpstreamPool::on_health_check_timeout(UpstreamConnection& connection, const std::string& tag) {
  const auto found = connection.pending.find(tag);
  if (found == connection.pending.end()) return;
  PendingResponse& check = found->second;
  const core::Time now = engine_.now();
  check.has_timed_out = true;
  check.timeout = deadlines_.set(
      now + kLateReplyTimeout, [this, &connection, tag] { forget_health_check(connection, tag); });
  if (connection.socket->last_read_at() <= check.sent_at) connection.unresponsive_since = now;
  engine_.on_health_check_result({connection.endpoint->id(), false, now - check.sent_at, {}});
}

void UpstreamPool::forget_health_check(UpstreamConnection& connection, const std::string& tag) {
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

// Connections are also reset while the machine is well: only a refused dial, or further losses, say
// that the check has failed.
void UpstreamPool::on_health_check_lost(const Endpoint& endpoint, const PendingResponse& check,
                                        net::Closed reason) {
  deadlines_.cancel(check.timeout);
  if (check.has_timed_out) return;
  const ServerId server = endpoint.id();
  if (reason != net::Closed::refused && check.tries < kMaxTries) {
    send_health_check(server, check.sent_at, check.tries + 1);
  } else {
    engine_.on_health_check_result({server, false, engine_.now() - check.sent_at, {}});
  }
}

}  // namespace alderspur::upstream
