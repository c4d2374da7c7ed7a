#include "core/engine.h"

#include <algorithm>
#include <limits>

namespace alderspur::core {
namespace {

using module::AttemptResult;

/// The response must reach the client before it gives up: this is for the way and both clocks.
constexpr Time kResponseMargin = 20'000;
/// The margin is at most a tenth of the request's time limit.
constexpr Time kMarginDivisor = 10;
/// A request of which nothing has reached a server must move on, or be answered, in this part of
/// its time.
constexpr Time kUnsentPercent = 45;
/// How long an abort may be on its way to a server: the platform's slack on all its time limits.
constexpr Time kAbortTravelTime = 50'000;
/// On the ages of copies: for the way and rounding.
constexpr Time kAgeSlack = 50'000;
constexpr Time kPurgeMargin = 2'000;
constexpr double kMaxTransferSeconds = 60;

}  // namespace

struct Engine::OpenRequest {
  Front* front = nullptr;
  std::string id;
  std::string idempotency_key;
  std::string client_copy_tag;
  std::string body;
  std::string object_text;
  module::Request request;
  std::vector<AttemptId> attempts;  // by their numbers
  int attempts_in_flight = 0;
  bool is_open = true;  // a final answer is still owed
  Time deadline = 0;
  Time unsent_until = 0;
  bool was_written = false;                                  // an attempt of it, whole
  Time no_attempts_from = std::numeric_limits<Time>::max();  // none begins from then on
};

struct Engine::Attempt {
  RequestHandle request = 0;
  module::AttemptNo number;
  UpstreamRequest upstream_request;
  Time sent_at = 0;
  Time written_at = 0;
  Deadlines::Key timeout;
  Deadlines::Key unsent_timeout;
  bool has_ended = false;  // its one outcome is on its way to the router
};

Engine::Engine(const module::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
               std::function<Time()> clock)
    : settings_(settings),
      router_(settings, seed),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      class_counters_(settings.classes.size()) {}
Engine::~Engine() = default;

Time Engine::now() {
  now_ = std::max(now_, clock_());
  return now_;
}

Engine::OpenRequest* Engine::find_request(RequestHandle request) {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

Engine::Attempt* Engine::find_attempt(AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? nullptr : &found->second;
}

// ---- From fronts ----

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
  const Time margin = std::min(kResponseMargin, view.time_limit / kMarginDivisor);
  open.deadline = now() + std::max<Time>(0, view.time_limit - margin);
  open.unsent_until = now_ + view.time_limit / 100 * kUnsentPercent;
  module::Request& request = open.request;
  request.id = {handle};
  request.object = {view.object};
  request.group = {view.group};
  request.class_id = {view.class_id};
  request.part = view.part;
  request.size_kb = view.size_kb;
  request.is_write =
      view.class_id < settings_.classes.size() && settings_.classes[view.class_id].never_cached;
  request.time_budget = open.deadline - now_;
  ++open_request_count_;
  open_request_bytes_ += open.body.size();
  ++counters_.admitted;
  waiting_events_.push_back({request, handle, 0, {}});
  return handle;
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

void Engine::cancel_request(RequestHandle request) {
  waiting_events_.push_back({module::ClientGone{{request}}, request, 0, {}});
}

void Engine::finish_now(RequestHandle request) {
  waiting_events_.push_back({module::ClientGone{{request}, true}, request, 0, {}});
}

void Engine::finish_all_now() {
  for (const auto& [handle, open] : requests_) {
    if (open.is_open) finish_now(handle);
  }
}

// What the client asked for in its last moment may still begin: the platform allows 0.1 s.
void Engine::stop_retrying(RequestHandle request) {
  OpenRequest* open = find_request(request);
  if (!open || !open->is_open) return;
  open->no_attempts_from = std::min(open->no_attempts_from, now() + kAbortTravelTime);
  deadlines_.set(open->no_attempts_from, [this, request] {
    const OpenRequest* stopped = find_request(request);
    if (!stopped) return;
    for (const AttemptId attempt : stopped->attempts) {
      if (!was_written(attempt)) abandon_attempt(attempt, AttemptResult::already_finished);
    }
  });
}

// ---- From the upstream client ----

const UpstreamRequest* Engine::upstream_request(AttemptId attempt) const {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end() || found->second.has_ended) return nullptr;
  return &found->second.upstream_request;
}

void Engine::mark_written(AttemptId id) {
  Attempt* attempt = find_attempt(id);
  if (!attempt || attempt->written_at) return;
  attempt->written_at = now();
  deadlines_.cancel(attempt->unsent_timeout);
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

// Exactly one outcome for each attempt: whatever comes after the first is dropped here.
void Engine::on_upstream_response(AttemptId id, const UpstreamResponse& response) {
  Attempt* attempt = find_attempt(id);
  if (!attempt || attempt->has_ended) {
    ++counters_.late_responses;
    return;
  }
  attempt->has_ended = true;
  deadlines_.cancel(attempt->timeout);
  deadlines_.cancel(attempt->unsent_timeout);
  // An abort, or the end of a connection, takes its time to the server, and so may the command
  // before it. The next attempt, by a shorter way or another connection to the same server, would
  // be in flight beside the first: it must not leave before the abort has arrived.
  const bool was_abandoned =
      response.result == AttemptResult::cancelled || response.result == AttemptResult::reset;
  if (!was_abandoned || !attempt->written_at) {
    waiting_events_.push_back({module::AttemptOutcome{}, attempt->request, id, response});
    return;
  }
  UpstreamResponse bare;
  bare.result = response.result;
  deadlines_.set(now() + kAbortTravelTime, [this, id, request = attempt->request, bare] {
    waiting_events_.push_back({module::AttemptOutcome{}, request, id, bare});
  });
}

void Engine::on_health_check_result(const module::HealthCheckResult& result) {
  waiting_events_.push_back({result, 0, 0, {}});
}

// ---- From operators, service discovery and other processes of this router ----

void Engine::set_ban(module::ServerId server, bool is_banned) {
  urgent_events_.push_back({module::Ban{server, is_banned}, 0, 0, {}});
}

void Engine::set_budget_share(const module::BudgetShare& share) {
  urgent_events_.push_back({share, 0, 0, {}});
}

void Engine::update_endpoints(module::EndpointUpdate update) {
  ++counters_.endpoint_updates;
  urgent_events_.push_back({std::move(update), 0, 0, {}});
}

void Engine::purge(const PurgeNotice& notice) {
  ++counters_.purges;
  module::Purge purge;
  if (notice.object) purge.object = module::ObjectId{*notice.object};
  purge.group = {notice.group};
  purge.age = std::max<Time>(0, now() - notice.unix_time);
  urgent_events_.push_back({purge, 0, 0, {}});
  if (purge_listener_) purge_listener_(notice);
}

// ---- Turns and views ----

std::vector<module::EndpointStatus> Engine::endpoint_statuses() {
  auto statuses = router_.endpoint_statuses(now());
  std::erase_if(statuses, [&](const module::EndpointStatus& status) {
    return status.server.location != settings_.location;
  });
  return statuses;
}

Engine::EndpointCounts Engine::count_endpoints() {
  const auto statuses = router_.endpoint_statuses(now());
  const auto unavailable = std::count_if(statuses.begin(), statuses.end(),
                                         [](const auto& status) { return !status.is_usable; });
  return {statuses.size(), static_cast<std::size_t>(unavailable)};
}

void Engine::run() {
  now();
  while (!urgent_events_.empty() || !waiting_events_.empty()) {
    std::vector<Event> batch;
    batch.swap(urgent_events_);
    std::move(waiting_events_.begin(), waiting_events_.end(), std::back_inserter(batch));
    waiting_events_.clear();
    for (const Event& event : batch) process_event(event);
    // An action may fail at once (a refused connect): that is the next batch of the same turn.
    std::vector<Effect> effects;
    effects.swap(effects_);
    for (const Effect& effect : effects) apply_effect(effect);
    forget_finished_requests();
  }
}

void Engine::process_event(const Event& event) {
  if (event.attempt) return process_outcome(event);
  const auto* gone = std::get_if<module::ClientGone>(&event.event);
  if (gone && !gone->response_owed) return process_cancel(event);
  if (const auto* purge = std::get_if<module::Purge>(&event.event)) tighten_max_age(*purge);
  consult_router(event.event);
}

void Engine::process_cancel(const Event& event) {
  OpenRequest* open = find_request(event.request);
  if (!open || !open->is_open) return;  // answered already: the two crossed
  ++counters_.cancelled;
  finish_request(*open);
  consult_router(event.event);
}

void Engine::process_outcome(const Event& event) {
  const Attempt* attempt = find_attempt(event.attempt);
  OpenRequest* open = find_request(event.request);
  if (!attempt || !open) return;
  const UpstreamResponse& response = event.response;
  module::AttemptOutcome outcome;
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
  count_attempt(outcome.result);
  attempts_.erase(event.attempt);
  --open->attempts_in_flight;
  if (outcome.result == AttemptResult::ok && open->is_open) {
    ++counters_.served;
    ++class_counters_[open->request.class_id.value].served;
    if (response.not_modified) ++counters_.not_modified;
    const Response served{FinalStatus::served, response.not_modified, 0,
                          response.body,       response.tag,          false};
    effects_.emplace_back(Respond{event.request, open->front, served});
    finish_request(*open);
  }
  outcome.response_delivered = !open->is_open;
  consult_router(outcome);
  if (outcome.response_delivered) finished_requests_.push_back(event.request);
}

// Within one batch the router may end a request for which a response stands later in the batch:
// final answers are settled as the decisions come in, though they are carried out after the batch.
void Engine::consult_router(const module::Event& event) {
  actions_.clear();
  router_.handle(now_, event, actions_);
  for (const auto& action : actions_) {
    if (const auto* reject = std::get_if<module::Reject>(&action)) {
      answer_without_response(reject->id.value, FinalStatus::rejected, reject->retry_after);
    } else if (const auto* fail = std::get_if<module::Fail>(&action)) {
      answer_without_response(fail->id.value, FinalStatus::failed, 0);
    } else {
      effects_.emplace_back(action);
    }
  }
}

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

void Engine::apply_effect(const Effect& effect) {
  if (const auto* respond = std::get_if<Respond>(&effect)) {
    respond->front->respond(respond->request, respond->response);
    return;
  }
  const auto& action = std::get<module::Action>(effect);
  if (const auto* order = std::get_if<module::Send>(&action)) return send(*order);
  if (const auto* order = std::get_if<module::Cancel>(&action)) return cancel(*order);
  if (const auto* check = std::get_if<module::HealthCheck>(&action)) {
    ++counters_.health_checks;
    upstream_client_->send_health_check(check->server);
  } else if (const auto* set = std::get_if<module::SetTimer>(&action)) {
    deadlines_.set(set->at, [this, timer = set->timer] {
      waiting_events_.push_back({module::TimerExpired{timer}, 0, 0, {}});
    });
  }
}

void Engine::send(const module::Send& order) {
  const RequestHandle handle = order.id.value;
  OpenRequest* open = find_request(handle);
  if (!open) return;
  const AttemptId id = ++last_attempt_;
  Attempt& attempt = attempts_[id];
  attempt.request = handle;
  attempt.number = {static_cast<std::uint32_t>(open->attempts.size())};
  attempt.sent_at = now_;
  attempt.upstream_request = {
      open->id,          open->idempotency_key,        open->client_copy_tag,       open->body,
      open->object_text, open->request.class_id.value, open->request.part,          order.server,
      order.fill,        now_ + order.timeout,         transfer_time(open->request)};
  open->attempts.push_back(id);
  ++open->attempts_in_flight;
  // The client may have left in this very batch, after the router decided to send.
  if (!open->is_open || now_ >= open->no_attempts_from) {
    return end_attempt(id, AttemptResult::already_finished);
  }
  attempt.timeout = deadlines_.set(attempt.upstream_request.deadline,
                                   [this, id] { abandon_attempt(id, AttemptResult::timeout); });
  if (!open->was_written && now_ < open->unsent_until) {
    attempt.unsent_timeout = deadlines_.set(
        open->unsent_until, [this, id] { abandon_attempt(id, AttemptResult::connect_failed); });
  }
  upstream_client_->send(id, order.server);
}

Time Engine::transfer_time(const module::Request& request) const {
  const double pace = settings_.stream_kb_per_second;
  if (request.size_kb <= 0 || pace <= 0) return 0;
  constexpr double kMicroseconds = 1e6;
  return static_cast<Time>(std::min(request.size_kb / pace, kMaxTransferSeconds) * kMicroseconds);
}

void Engine::cancel(const module::Cancel& order) {
  const OpenRequest* open = find_request(order.id.value);
  if (!open || order.attempt.value >= open->attempts.size()) return;
  abandon_attempt(open->attempts[order.attempt.value], AttemptResult::cancelled);
}

void Engine::abandon_attempt(AttemptId id, AttemptResult result) {
  const Attempt* attempt = find_attempt(id);
  if (!attempt || attempt->has_ended) return;
  upstream_client_->abort(id);
  end_attempt(id, result);
}

void Engine::finish_request(OpenRequest& open) {
  if (!open.is_open) return;
  open.is_open = false;
  --open_request_count_;
  finished_requests_.push_back(open.request.id.value);
}

// A request is kept until all its attempts have ended: the router is owed an outcome for each.
void Engine::forget_finished_requests() {
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

// What was decided before the purge and is not yet written must not be answered from an older copy.
void Engine::tighten_max_age(const module::Purge& purge) {
  const Time age = std::max<Time>(1, purge.age - kPurgeMargin);
  for (auto& [id, attempt] : attempts_) {
    if (attempt.written_at) continue;
    const module::Request& request = requests_.at(attempt.request).request;
    if (purge.object ? *purge.object != request.object : purge.group != request.group) continue;
    UpstreamRequest& upstream = attempt.upstream_request;
    if (!upstream.fill) upstream.fill = module::Fill{upstream.server};
    module::Fill& fill = *upstream.fill;
    const Time fresh_time = settings_.classes[upstream.class_id].fresh_time;
    const Time before = fill.max_age > 0 ? fill.max_age : fresh_time;
    fill.max_age = before > 0 ? std::min(before, age) : age;
    fill.may_join = false;
    fill.refresh_in_background = false;
  }
}

bool Engine::is_too_old(const Attempt& attempt, const UpstreamResponse& response) const {
  if (response.created_at <= 0 || !attempt.written_at) return false;
  const UpstreamRequest& upstream = attempt.upstream_request;
  Time max_age = settings_.classes[upstream.class_id].fresh_time;
  if (upstream.fill && upstream.fill->max_age > 0) max_age = upstream.fill->max_age;
  return max_age > 0 && response.created_at < attempt.written_at - max_age - kAgeSlack;
}

// ---- Counters ----

void Engine::count_unserved(std::uint32_t class_id, FinalStatus status) {
  const bool rejected = status == FinalStatus::rejected;
  ++(rejected ? counters_.rejected : counters_.failed);
  if (class_id >= class_counters_.size()) return;
  ClassCounters& counters = class_counters_[class_id];
  ++(rejected ? counters.rejected : counters.failed);
}

void Engine::count_attempt(AttemptResult result) {
  switch (result) {
    case AttemptResult::ok:
      ++counters_.attempts_ok;
      return;
    case AttemptResult::miss:
      ++counters_.attempts_miss;
      return;
    case AttemptResult::overloaded:
      ++counters_.attempts_overloaded;
      return;
    case AttemptResult::timeout:
      ++counters_.attempts_timeout;
      return;
    case AttemptResult::connect_failed:
    case AttemptResult::not_sent:
      ++counters_.attempts_connect_failed;
      return;
    case AttemptResult::reset:
      ++counters_.attempts_reset;
      return;
    case AttemptResult::error:
      ++counters_.attempts_error;
      return;
    case AttemptResult::cancelled:
    case AttemptResult::already_finished:
      ++counters_.attempts_cancelled;
      return;
  }
}

}  // namespace alderspur::core
