// Implements the attempts of Engine, from sending to their outcomes.
#include <algorithm>

#include "core/engine.h"
#include "core/engine_state.h"

namespace alderspur::core {

using alderspur::AttemptResult;

namespace {

/// Tolerance on the age of a copy, which covers its transfer and rounding. Microseconds.
constexpr Time kAgeTolerance = 50'000;
/// Upper limit of the estimated transfer time of a response.
constexpr double kMaxTransferSeconds = 60;
constexpr double kMicrosecondsPerSecond = 1e6;

/// Returns the counter of the attempts with this result.
std::uint64_t Counters::*attempt_counter(AttemptResult result) {
  switch (result) {
    case AttemptResult::ok:
      return &Counters::attempts_ok;
    case AttemptResult::miss:
      return &Counters::attempts_miss;
    case AttemptResult::overloaded:
      return &Counters::attempts_overloaded;
    case AttemptResult::timeout:
      return &Counters::attempts_timeout;
    case AttemptResult::connect_failed:
    case AttemptResult::not_sent:
      return &Counters::attempts_connect_failed;
    case AttemptResult::reset:
      return &Counters::attempts_reset;
    case AttemptResult::error:
      return &Counters::attempts_error;
    case AttemptResult::cancelled:
    case AttemptResult::already_finished:
      break;
  }
  return &Counters::attempts_cancelled;
}

}  // namespace

// ---- Sending ----

UpstreamRequest Engine::to_upstream_request(const OpenRequest& open,
                                            const alderspur::Send& action) const {
  UpstreamRequest upstream;
  upstream.id = open.id;
  upstream.idempotency_key = open.idempotency_key;
  upstream.client_copy_tag = open.client_copy_tag;
  upstream.body = open.body;
  upstream.object_text = open.object_text;
  upstream.class_id = open.request.class_id.value;
  upstream.part = open.request.part;
  upstream.server = action.server;
  upstream.fill = action.fill;
  upstream.deadline = now_ + action.timeout;
  upstream.transfer_time = transfer_time(open.request);
  return upstream;
}

void Engine::send(const alderspur::Send& action) {
  const RequestHandle handle = action.id.value;
  OpenRequest* open = find_request(handle);
  if (!open) return;
  const AttemptId id = ++last_attempt_;
  Attempt& attempt = attempts_[id];
  attempt.request = handle;
  attempt.number = {static_cast<std::uint32_t>(open->attempts.size())};
  attempt.sent_at = now_;
  attempt.upstream_request = to_upstream_request(*open, action);
  open->attempts.push_back(id);
  ++open->attempts_in_flight;
  // The client may have disconnected in the same batch, after the router had decided to send.
  if (!open->is_open || now_ >= open->no_attempts_from) {
    return end_attempt(id, AttemptResult::already_finished);
  }
  attempt.timeout = deadlines_.set(attempt.upstream_request.deadline,
                                   [this, id] { abandon_attempt(id, AttemptResult::timeout); });
  if (!open->was_written && now_ < open->write_deadline) {
    attempt.write_timeout = deadlines_.set(
        open->write_deadline, [this, id] { abandon_attempt(id, AttemptResult::connect_failed); });
  }
  upstream_client_->send(id, action.server);
}

// Estimates how long the response takes at the maximum transfer rate; 0 if that is unknown.
Time Engine::transfer_time(const alderspur::Request& request) const {
  const double kb_per_second = settings_.stream_kb_per_second;
  if (request.size_kb <= 0 || kb_per_second <= 0) return 0;
  return static_cast<Time>(std::min(request.size_kb / kb_per_second, kMaxTransferSeconds) *
                           kMicrosecondsPerSecond);
}

void Engine::cancel(const alderspur::Cancel& action) {
  const OpenRequest* open = find_request(action.id.value);
  if (!open || action.attempt.value >= open->attempts.size()) return;
  abandon_attempt(open->attempts[action.attempt.value], AttemptResult::cancelled);
}

// Aborts an attempt at the upstream client and ends it with `result`.
void Engine::abandon_attempt(AttemptId id, AttemptResult result) {
  const Attempt* attempt = find_attempt(id);
  if (!attempt || attempt->has_ended) return;
  const bool never_ran = upstream_client_->abort(id);
  const bool was_cancelled = result == AttemptResult::cancelled;
  end_attempt(id, never_ran && was_cancelled ? AttemptResult::not_sent : result);
}

// ---- Calls of the upstream client ----

const UpstreamRequest* Engine::upstream_request(AttemptId attempt) const {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.has_ended) return nullptr;
  return &found->second.upstream_request;
}

void Engine::mark_written(AttemptId id) {
  Attempt* attempt = find_attempt(id);
  if (!attempt || attempt->written_at) return;
  attempt->written_at = now();
  deadlines_.cancel(attempt->write_timeout);
  if (OpenRequest* open = find_request(attempt->request)) open->was_written = true;
  ++counters_.forwarded;
  ++class_counters_[attempt->upstream_request.class_id].forwarded;
}

bool Engine::was_written(AttemptId attempt) const {
  const auto found = attempts_.find(attempt);
  return found != attempts_.end() && found->second.written_at > 0;
}

bool Engine::may_still_send(AttemptId id) {
  const Attempt* attempt = find_attempt(id);
  if (!attempt || attempt->has_ended) return false;
  return router_.may_send(now(), {attempt->request}, attempt->number);
}

void Engine::end_attempt(AttemptId attempt, AttemptResult result) {
  UpstreamResponse response;
  response.result = result;
  on_upstream_response(attempt, response);
}

// Each attempt has exactly one outcome; later responses are only counted.
void Engine::on_upstream_response(AttemptId id, const UpstreamResponse& response) {
  Attempt* attempt = find_attempt(id);
  if (!attempt || attempt->has_ended) {
    ++counters_.late_responses;
    return;
  }
  attempt->has_ended = true;
  deadlines_.cancel(attempt->timeout);
  deadlines_.cancel(attempt->write_timeout);
  // An abort or the close of a connection takes time to reach the server, and so may the command
  // before it. The next attempt could overtake the abort on another connection and run concurrently
  // with the aborted attempt. The outcome is therefore passed to the router, which may then send
  // the next attempt, only after the abort has arrived.
  const bool was_abandoned =
      response.result == AttemptResult::cancelled || response.result == AttemptResult::reset;
  if (!was_abandoned || !attempt->written_at) {
    waiting_events_.push_back({alderspur::AttemptOutcome{}, attempt->request, id, response});
    return;
  }
  // The response's string views are not valid after this turn, so only the result is kept.
  UpstreamResponse result_only;
  result_only.result = response.result;
  deadlines_.set(
      now() + kAbortPropagationTime, [this, id, request = attempt->request, result_only] {
        waiting_events_.push_back({alderspur::AttemptOutcome{}, request, id, result_only});
      });
}

// ---- Outcomes ----

// Passes the outcome of an attempt to the router. If the attempt has succeeded and the request is
// still open, its response becomes the final answer.
void Engine::process_outcome(const Event& event) {
  const Attempt* attempt = find_attempt(event.attempt);
  OpenRequest* open = find_request(event.request);
  if (!attempt || !open) return;
  const UpstreamResponse& response = event.response;
  alderspur::AttemptOutcome outcome;
  outcome.id = {event.request};
  outcome.attempt = attempt->number;
  outcome.server = attempt->upstream_request.server;
  outcome.result = response.result;
  outcome.elapsed = now_ - attempt->sent_at;
  outcome.report = response.report;
  if (outcome.result == AttemptResult::ok && is_too_old(*attempt, response)) {
    ++counters_.stale_responses;
    outcome.result = AttemptResult::error;
  }
  ++(counters_.*attempt_counter(outcome.result));
  attempts_.erase(event.attempt);
  --open->attempts_in_flight;
  if (outcome.result == AttemptResult::ok && open->is_open) {
    ++counters_.served;
    ++class_counters_[open->request.class_id.value].served;
    if (response.not_modified) ++counters_.not_modified;
    Response served;
    served.status = FinalStatus::served;
    served.not_modified = response.not_modified;
    served.body = response.body;
    served.tag = response.tag;
    effects_.emplace_back(Respond{event.request, open->front, served});
    finish_request(*open);
  }
  outcome.response_delivered = !open->is_open;
  pass_to_router(outcome);
  if (outcome.response_delivered) finished_requests_.push_back(event.request);
}

// Returns whether a response carries a copy older than the attempt allows.
bool Engine::is_too_old(const Attempt& attempt, const UpstreamResponse& response) const {
  if (response.created_at <= 0 || !attempt.written_at) return false;
  const UpstreamRequest& upstream = attempt.upstream_request;
  Time max_age = settings_.classes[upstream.class_id].fresh_time;
  if (upstream.fill && upstream.fill->max_age > 0) max_age = upstream.fill->max_age;
  return max_age > 0 && response.created_at < attempt.written_at - max_age - kAgeTolerance;
}

}  // namespace alderspur::core
