// Implements how UpstreamPool sends and aborts attempts and handles their responses.
#include "upstream/cache_protocol.h"
#include "upstream/upstream_connection.h"
#include "upstream/upstream_pool.h"

namespace alderspur::upstream {

using alderspur::AttemptResult;
using alderspur::ServerId;
using core::AttemptId;

namespace {

/// A connection that is silent for longer than this while an attempt is pending may be dead, and is
/// retired when the attempt is aborted.
constexpr core::Time kMaxSilenceOnAbort = 300'000;
/// A connection with more unusable ids is retired, which limits the size of the set.
constexpr std::size_t kMaxUnusableIds = 512;

}  // namespace

// ---- Sending ----

void UpstreamPool::send(AttemptId attempt, ServerId server) {
  const auto found = endpoints_.find(server);
  const core::UpstreamRequest* request = engine_.upstream_request(attempt);
  UpstreamConnection* connection = found != endpoints_.end() && request
                                       ? choose_connection(*found->second, request->id)
                                       : nullptr;
  if (!connection) return fail_attempt(attempt, AttemptResult::connect_failed);
  connections_by_attempt_[attempt] = connection;
  connection->waiting.push_back(attempt);
  write_waiting(*connection);
}

void UpstreamPool::fail_attempt(AttemptId attempt, AttemptResult result) {
  connections_by_attempt_.erase(attempt);
  core::UpstreamResponse response;
  response.result = result;
  engine_.on_upstream_response(attempt, response);
}

// Writes the commands of waiting attempts until the connection accepts no more.
void UpstreamPool::write_waiting(UpstreamConnection& connection) {
  while (!connection.is_closed && !connection.waiting.empty() && connection.takes_commands()) {
    const AttemptId attempt = connection.waiting.front();
    connection.waiting.pop_front();
    write_command(connection, attempt);
  }
}

// Encodes the command of an attempt and writes it, or returns the attempt to the engine if it is no
// longer allowed.
void UpstreamPool::write_command(UpstreamConnection& connection, AttemptId attempt) {
  const core::UpstreamRequest* request = engine_.upstream_request(attempt);
  if (!request) return;
  if (!engine_.may_still_send(attempt)) {
    connections_by_attempt_.erase(attempt);
    return engine_.return_unsent(attempt);
  }
  const std::string id(request->id);
  // Two requests may have the same id, because clients choose the ids. Responses are matched by id,
  // so the second request is sent on another connection.
  if (connection.pending.contains(id)) return send(attempt, request->server);
  std::string source_name;
  if (request->fill && request->fill->source != request->server) {
    const auto source = endpoints_.find(request->fill->source);
    if (source != endpoints_.end()) source_name = source->second->member.name;
  }
  const auto command =
      encode_fetch(*request, config_.names.classes[request->class_id], source_name, engine_.now());
  PendingResponse& pending = connection.pending[id];
  pending.attempt = attempt;
  pending.sent_at = engine_.now();
  pending.expected_at = pending.sent_at + request->transfer_time;
  connection.last_used_at = pending.sent_at;
  connection.socket->write(command, request->body, kFetchEnd);
  connection.unwritten.push_back({connection.socket->queued_total(), attempt});
  mark_written(connection);
}

// Reports to the engine the attempts whose commands have left the write queue completely.
void UpstreamPool::mark_written(UpstreamConnection& connection) {
  const auto written = connection.socket->written_total();
  auto& unwritten = connection.unwritten;
  while (!unwritten.empty() && unwritten.front().end <= written) {
    engine_.mark_written(unwritten.front().attempt);
    unwritten.pop_front();
  }
}

bool UpstreamPool::abort(AttemptId attempt) {
  const auto found = connections_by_attempt_.find(attempt);
  if (found == connections_by_attempt_.end()) return false;
  UpstreamConnection& connection = *found->second;
  connections_by_attempt_.erase(found);
  if (std::erase(connection.waiting, attempt)) return true;
  abort_written(connection, attempt);
  return false;
}

// Aborts an attempt whose command was passed to a connection.
void UpstreamPool::abort_written(UpstreamConnection& connection, AttemptId attempt) {
  const core::UpstreamRequest* request = engine_.upstream_request(attempt);
  if (!request) return;
  const std::string id(request->id);
  const auto pending = connection.pending.find(id);
  if (pending == connection.pending.end() || pending->second.attempt != attempt) return;
  const core::Time sent_at = pending->second.sent_at;
  connection.pending.erase(pending);
  // In a blocked write queue, the abort would be sent only after the request's next attempt on
  // another connection. The connection is closed instead.
  if (connection.socket->unwritten() > 0) return on_closed(connection, net::CloseReason::reset);
  connection.socket->write(encode_abort(id));
  connection.unusable_ids.insert(id);
  // Connections to a machine that has crashed and restarted stay silent.
  const core::Time now = engine_.now();
  const bool is_silent =
      connection.socket->last_read_at() < sent_at && now - sent_at > kMaxSilenceOnAbort;
  if (is_silent || connection.unusable_ids.size() > kMaxUnusableIds) retire(connection);
}

// ---- Responses ----

std::ptrdiff_t UpstreamPool::on_data(UpstreamConnection& connection, std::string_view bytes) {
  mark_changed(*connection.endpoint);
  const auto size_before = bytes.size();
  CacheResponse response;
  auto parsed = next_response(bytes, response);
  while (parsed == core::ParseStatus::complete) {
    connection.partial_since = 0;
    if (!on_response(connection, response)) {
      parsed = core::ParseStatus::invalid;
      break;
    }
    if (connection.is_closed) break;
    parsed = next_response(bytes, response);
  }
  if (parsed == core::ParseStatus::invalid) {
    ++engine_.counters().invalid_responses;
    engine_.log_invalid_input(core::InvalidInput::response, connection.endpoint->member.name);
    return -1;
  }
  return static_cast<std::ptrdiff_t>(size_before - bytes.size());
}

// Handles one response. Returns false if the status is unknown, if the attempt was not written
// completely, or if the response is not plausible for the request. The caller then closes the
// connection, since no later data on it can be trusted either.
bool UpstreamPool::on_response(UpstreamConnection& connection, const CacheResponse& response) {
  if (!connection.liveness_tag.empty() && response.id == connection.liveness_tag) {
    connection.liveness_tag.clear();
    return true;
  }
  const std::string id(response.id);
  const auto pending = connection.pending.find(id);
  if (pending == connection.pending.end()) {
    ++engine_.counters().late_responses;
    return true;
  }
  if (pending->second.is_health_check()) {
    on_health_check_response(connection, id, response);
    return true;
  }
  record_response_interval(connection);
  const AttemptId attempt = pending->second.attempt;
  const auto result = attempt_result(response.status);
  if (!result || !engine_.was_written(attempt) || !is_plausible(response, attempt)) return false;
  if (*result != AttemptResult::ok) connection.unusable_ids.insert(id);
  connection.pending.erase(pending);
  connections_by_attempt_.erase(attempt);
  connection.last_used_at = engine_.now();
  const bool is_not_modified = response.status == ResponseStatus::not_modified;
  engine_.on_upstream_response(attempt, {*result, is_not_modified, response.body, response.tag,
                                         response.created_at, parse_load_report(response.report)});
  if (connection.unusable_ids.size() > kMaxUnusableIds) connection.is_retired = true;
  if (connection.is_retired && connection.load() == 0) close(connection);
  return true;
}

// Returns whether a response is plausible for its request, since a corrupted line may still parse.
// A cached object must have a tag and a time, the response of a class that is never cached must
// have a body, and "not modified" must refer to the copy whose tag the client has sent.
bool UpstreamPool::is_plausible(const CacheResponse& response, AttemptId attempt) const {
  const core::UpstreamRequest* request = engine_.upstream_request(attempt);
  if (!request) return true;  // the attempt has ended; its response is discarded
  if (response.status == ResponseStatus::not_modified) {
    return response.body.empty() && !request->client_copy_tag.empty() &&
           response.tag == request->client_copy_tag;
  }
  if (response.status != ResponseStatus::served) return true;
  if (config_.settings.classes[request->class_id].never_cached) return !response.body.empty();
  return !response.tag.empty() && response.created_at > 0;
}

// Updates the average interval between responses to attempts. A router with little traffic has long
// intervals. Without the average, the watchdog would send a liveness query for every second request
// there. Responses to health checks and liveness queries are not counted.
void UpstreamPool::record_response_interval(UpstreamConnection& connection) {
  const core::Time now = engine_.now();
  const core::Time oldest = connection.earliest_of_attempts(&PendingResponse::sent_at, now);
  if (oldest < now) {
    const core::Time interval = now - std::max(oldest, connection.last_response_at);
    response_interval_.add_sample(static_cast<double>(interval));
  }
  connection.last_response_at = now;
}

}  // namespace alderspur::upstream
