// Implements the requests of Engine, from their admission to their final answers.
#include <algorithm>
#include <string>

#include "core/engine.h"
#include "core/engine_state.h"
#include "core/request_identity.h"

namespace alderspur::core {
namespace {

/// Subtracted from the client's time limit, so that the response reaches the client before the
/// limit despite transmission time and clock skew. Microseconds.
constexpr Time kResponseMargin = 20'000;
/// The margin is at most a tenth of the request's time limit.
constexpr Time kResponseMarginDivisor = 10;
/// If no attempt has been written completely after this percentage of the request's time limit, the
/// pending attempt fails, so that time remains for another server or for an answer.
constexpr Time kWriteDeadlinePercent = 45;

}  // namespace

// ---- Calls of the fronts ----

RequestHandle Engine::admit(Front& front, const RequestView& view) {
  const RequestHandle handle = ++last_handle_;
  OpenRequest& open = requests_[handle];
  open.front = &front;
  open.id = view.id;
  open.idempotency_key = view.idempotency_key;
  open.client_copy_tag = view.client_copy_tag;
  open.body = view.body;
  open.object_text = view.object_text;
  handles_by_id_.emplace(open.id, handle);
  const Time margin = std::min(kResponseMargin, view.time_limit / kResponseMarginDivisor);
  open.deadline = now() + std::max<Time>(0, view.time_limit - margin);
  open.write_deadline = now_ + view.time_limit / 100 * kWriteDeadlinePercent;
  alderspur::Request& request = open.request;
  request = to_request(view);
  request.id = {handle};
  request.time_budget = open.deadline - now_;
  ++open_request_count_;
  open_request_bytes_ += open.body.size();
  ++counters_.admitted;
  waiting_events_.push_back({request, handle, 0, {}});
  return handle;
}

alderspur::Request Engine::to_request(const RequestView& view) const {
  alderspur::Request request;
  request.object = {view.object};
  request.group = {view.group};
  request.class_id = {view.class_id};
  request.part = view.part;
  request.size_kb = view.size_kb;
  request.is_retry = view.is_retry;
  request.is_group_unknown = view.is_group_unknown;
  if (view.class_id >= settings_.classes.size()) return request;
  const alderspur::ClassSettings& settings = settings_.classes[view.class_id];
  request.is_write = settings.never_cached;
  if (settings.idempotency == alderspur::Idempotency::idempotent) return request;
  request.identity = request_identity(view);
  request.content_hash = content_hash(view);
  return request;
}

bool Engine::may_have_run(const RequestView& view) const {
  return router_.may_have_run(to_request(view));
}

bool Engine::conflicts_with_open_request(const RequestView& view) const {
  const auto [first, last] = handles_by_id_.equal_range(std::string(view.id));
  return std::any_of(first, last, [&](const auto& entry) {
    return requests_.at(entry.second).request.object.value != view.object;
  });
}

void Engine::count_rejected(std::uint32_t class_id, FinalStatus status) {
  ++counters_.admitted;
  count_unserved(class_id, status);
}

void Engine::count_undelivered(std::uint32_t class_id) {
  --counters_.served;
  if (class_id < class_counters_.size()) --class_counters_[class_id].served;
  count_unserved(class_id, FinalStatus::failed);
}

void Engine::cancel_request(RequestHandle request) {
  waiting_events_.push_back({alderspur::ClientGone{{request}}, request, 0, {}});
}

void Engine::finish_now(RequestHandle request) {
  waiting_events_.push_back({alderspur::ClientGone{{request}, true}, request, 0, {}});
}

void Engine::finish_all_now() {
  for (const auto& [handle, open] : requests_) {
    if (open.is_open) finish_now(handle);
  }
}

// Attempts may start for a short time after the client has closed its side, because the client may
// have sent the request immediately before.
void Engine::stop_retrying(RequestHandle request) {
  OpenRequest* open = find_request(request);
  if (!open || !open->is_open) return;
  open->no_attempts_from = std::min(open->no_attempts_from, now() + kAbortPropagationTime);
  deadlines_.set(open->no_attempts_from, [this, request] {
    const OpenRequest* stopped_request = find_request(request);
    if (!stopped_request) return;
    for (const AttemptId attempt : stopped_request->attempts) {
      if (was_written(attempt)) continue;
      abandon_attempt(attempt, alderspur::AttemptResult::already_finished);
    }
  });
}

// ---- Final answers ----

void Engine::process_cancel(const Event& event) {
  OpenRequest* open = find_request(event.request);
  if (!open || !open->is_open) return;  // answered before the cancellation was processed
  ++counters_.cancelled;
  finish_request(*open);
  pass_to_router(event.event);
}

// Rejects or fails an open request.
void Engine::answer_without_response(RequestHandle request, FinalStatus status, Time retry_after) {
  OpenRequest* open = find_request(request);
  if (!open || !open->is_open) return;
  count_unserved(open->request.class_id.value, status);
  Response response;
  response.status = status;
  response.timed_out = now_ >= open->deadline;
  response.retry_after = retry_after;
  effects_.emplace_back(Respond{request, open->front, response});
  finish_request(*open);
}

// Marks a request as finished; remove_finished_requests() removes it later.
void Engine::finish_request(OpenRequest& open) {
  if (!open.is_open) return;
  open.is_open = false;
  --open_request_count_;
  finished_requests_.push_back(open.request.id.value);
}

// A request is kept until all its attempts have ended, because the router needs each outcome.
void Engine::remove_finished_requests() {
  for (const RequestHandle handle : finished_requests_) {
    const OpenRequest* finished = find_request(handle);
    if (!finished || finished->is_open || finished->attempts_in_flight > 0) continue;
    open_request_bytes_ -= finished->body.size();
    for (auto [it, last] = handles_by_id_.equal_range(finished->id); it != last; ++it) {
      if (it->second == handle) {
        handles_by_id_.erase(it);
        break;
      }
    }
    requests_.erase(handle);
  }
  finished_requests_.clear();
}

// Counts a request that was rejected or failed, in total and by class.
void Engine::count_unserved(std::uint32_t class_id, FinalStatus status) {
  const bool is_rejected = status == FinalStatus::rejected;
  ++(is_rejected ? counters_.rejected : counters_.failed);
  if (class_id >= class_counters_.size()) return;
  ClassCounters& counters = class_counters_[class_id];
  ++(is_rejected ? counters.rejected : counters.failed);
}

}  // namespace alderspur::core
