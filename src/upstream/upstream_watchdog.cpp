// Implements the watchdog of UpstreamPool, which closes connections that are open but have stopped
// responding. A response that is truncated or never arrives also blocks the other requests on its
// connection, although the server may be healthy.
#include "upstream/cache_protocol.h"
#include "upstream/upstream_connection.h"
#include "upstream/upstream_pool.h"

namespace alderspur::upstream {
namespace {

constexpr core::Time kWatchdogInterval = 50'000;
/// A liveness query is sent on a connection with pending attempts that has been silent for longer
/// than this, and for longer than the usual interval before a response.
constexpr core::Time kMinSilenceThreshold = 250'000;
/// The usual interval ends this many mean deviations above the mean interval.
constexpr double kSilenceDeviations = 4;
/// A connection is closed if the reply to a liveness query does not arrive within this time.
constexpr core::Time kLivenessReplyTimeout = 300'000;
/// A connection is closed if a response is incomplete for longer than this time plus twice the
/// longest transfer time of the pending attempts, and arrives at less than kMinBytesPerSecond.
constexpr core::Time kPartialResponseTimeout = 1'500'000;
constexpr core::Time kMinBytesPerSecond = 32'768;
constexpr core::Time kMicrosecondsPerSecond = 1'000'000;

}  // namespace

// Checks all established connections, and schedules the next check. Iterates over copies of the
// lists of connections, since closing a connection sends its health checks again, which may open
// another connection and thereby change the list.
void UpstreamPool::check_all_connections() {
  deadlines_.set(engine_.now() + kWatchdogInterval, [this] { check_all_connections(); });
  for (auto& [id, endpoint] : connected_endpoints_) {
    for (UpstreamConnection* connection : endpoint->current_connections()) {
      if (!connection->is_closed && !connection->socket->connecting()) {
        check_connection(*connection);
      }
    }
  }
}

// Closes a connection that is unresponsive, or sends a liveness query on one that is unusually
// silent.
void UpstreamPool::check_connection(UpstreamConnection& connection) {
  const core::Time now = engine_.now();
  if (is_response_too_slow(connection, now)) return close_unresponsive(connection);
  const core::Time last_read_at = connection.socket->last_read_at();
  if (connection.liveness_query_at &&
      (connection.liveness_tag.empty() || last_read_at >= connection.liveness_query_at)) {
    connection.liveness_query_at = 0;
  }
  const core::Time expected_at =
      connection.earliest_of_attempts(&PendingResponse::expected_at, now);
  const core::Time silence = now - std::max(expected_at, last_read_at);
  if (silence <= silence_threshold()) return;
  // No reply can arrive behind an incomplete response.
  const bool is_partial = connection.socket->unread() > 0;
  const bool is_liveness_reply_overdue =
      connection.liveness_query_at && now > connection.liveness_query_at + kLivenessReplyTimeout;
  if (is_partial || is_liveness_reply_overdue) return close_unresponsive(connection);
  if (connection.liveness_query_at || !config_.settings.health_checks_allowed) return;
  send_liveness_query(connection, now);
}

// Returns the duration of silence, in microseconds, after which a liveness query is sent.
core::Time UpstreamPool::silence_threshold() const {
  const double max_usual_silence =
      response_interval_.value + kSilenceDeviations * response_interval_.deviation;
  return std::max(kMinSilenceThreshold, static_cast<core::Time>(max_usual_silence));
}

void UpstreamPool::close_unresponsive(UpstreamConnection& connection) {
  ++engine_.counters().silent_upstream_connections;
  on_closed(connection, net::CloseReason::unreadable);
}

void UpstreamPool::send_liveness_query(UpstreamConnection& connection, core::Time now) {
  connection.liveness_query_at = now;
  connection.liveness_tag = liveness_tag(++last_tag_);
  ++engine_.counters().health_checks;
  connection.socket->write(encode_liveness_query(connection.liveness_tag));
}

// Returns whether an incomplete response arrives too slowly. A response that trickles in delays all
// responses behind it, but its connection never counts as silent.
bool UpstreamPool::is_response_too_slow(UpstreamConnection& connection, core::Time now) {
  const auto unread = static_cast<core::Time>(connection.socket->unread());
  if (unread == 0) {
    connection.partial_since = 0;
    return false;
  }
  if (!connection.partial_since) connection.partial_since = now;
  core::Time transfer_time = 0;
  for (const auto& [id, pending] : connection.pending) {
    if (pending.is_health_check()) continue;
    transfer_time = std::max(transfer_time, pending.expected_at - pending.sent_at);
  }
  const core::Time elapsed = now - connection.partial_since;
  const core::Time time_at_min_rate = unread * kMicrosecondsPerSecond / kMinBytesPerSecond;
  return elapsed > kPartialResponseTimeout + 2 * transfer_time && time_at_min_rate < elapsed;
}

}  // namespace alderspur::upstream
