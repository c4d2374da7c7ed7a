#include "core/engine.h"

#include <algorithm>
#include <limits>

namespace alderspur::core {
namespace {

// The answer must reach the client before it gives up: ways, its clock and ours take their part.
constexpr Time kAnswerMargin = 20'000, kMarginPart = 10;  // at most a tenth of the limit
constexpr Time kAgeSlack = 50'000;  // on the ages of copies: ways and rounding
constexpr Time kPurgeMargin = 2'000;
// A request that nothing of has reached a server must move on or be answered before half of its
// time is over.
constexpr Time kUnsentPart = 45;  // per cent
// How long an abort may be on its way to a server. The platform's slack on all its time limits.
constexpr Time kOnWay = 50'000;

}  // namespace

struct Engine::OpenRequest {
  Front* front = nullptr;
  std::string id, idempotency_key, held_tag, body, object_text;
  module::Request request;
  std::vector<AttemptId> attempts;  // by their numbers
  int out = 0;
  bool open = true;  // a final answer is still owed
  Time deadline = 0, unsent_until = 0;
  bool written = false;                                  // some attempt, whole
  Time no_more_from = std::numeric_limits<Time>::max();  // no attempt begins any more
};
struct Engine::Attempt {
  RequestHandle ticket = 0;
  module::AttemptNo number;
  UpstreamRequest order;
  Time sent = 0, written = 0;
  Deadlines::Key timeout{}, unsent{};
  bool ended = false;  // its one outcome is under way
};

Engine::Engine(const module::Settings& settings, std::uint64_t seed, Deadlines& deadlines,
               std::function<Time()> clock)
    : settings_(settings),
      router_(settings, seed),
      deadlines_(deadlines),
      clock_(std::move(clock)),
      class_counters_(settings.classes.size()) {}
Engine::~Engine() = default;

Time Engine::now() { return now_ = std::max(now_, clock_()); }

RequestHandle Engine::admit(Front& front, const RequestView& d) {
  const RequestHandle ticket = ++last_handle_;
  OpenRequest& h = requests_[ticket];
  h.front = &front;
  h.id = d.id;
  handles_by_id_.emplace(h.id, ticket);
  h.idempotency_key = d.idempotency_key;
  h.held_tag = d.client_copy_tag;
  h.body = d.body;
  h.object_text = d.object_text;
  module::Request& q = h.request;
  q.id = {ticket};
  q.object = {d.object};
  q.group = {d.group};
  q.class_id = {d.class_id};
  q.part = d.part;
  q.size_kb = d.size_kb;
  q.is_write = d.class_id < settings_.classes.size() && settings_.classes[d.class_id].never_cached;
  const Time margin = std::min(kAnswerMargin, d.time_limit / kMarginPart);
  h.deadline = now() + std::max<Time>(0, d.time_limit - margin);
  q.time_budget = h.deadline - now_;
  h.unsent_until = now_ + d.time_limit / 100 * kUnsentPart;
  ++open_request_count_;
  open_request_bytes_ += h.body.size();
  ++counters_.admitted;
  waiting_events_.push_back({q, ticket, 0, {}});
  return ticket;
}

bool Engine::conflicts_with_open_request(const RequestView& d) const {
  const auto [from, to] = handles_by_id_.equal_range(std::string(d.id));
  return std::any_of(
      from, to, [&](auto& e) { return requests_.at(e.second).request.object.value != d.object; });
}

void Engine::count_rejected(std::uint32_t cls, FinalStatus verdict) {
  const bool refused = verdict == FinalStatus::rejected;
  ++counters_.admitted;
  ++(refused ? counters_.rejected : counters_.failed);
  if (cls < class_counters_.size()) {
    ++(refused ? class_counters_[cls].rejected : class_counters_[cls].failed);
  }
}

void Engine::cancel_request(RequestHandle ticket) {
  waiting_events_.push_back({module::ClientGone{{ticket}}, ticket, 0, {}});
}

void Engine::finish_now(RequestHandle ticket) {
  waiting_events_.push_back({module::ClientGone{{ticket}, true}, ticket, 0, {}});
}

void Engine::finish_all_now() {
  for (const auto& [ticket, held] : requests_) {
    if (held.open) finish_now(ticket);
  }
}

// What it asked in its last moment may still begin: the platform allows 0.1 s.
void Engine::stop_retrying(RequestHandle ticket) {
  const auto it = requests_.find(ticket);
  if (it == requests_.end() || !it->second.open) return;
  it->second.no_more_from = std::min(it->second.no_more_from, now() + kOnWay);
  deadlines_.set(it->second.no_more_from, [this, ticket] {
    const auto h = requests_.find(ticket);
    if (h == requests_.end()) return;
    for (const AttemptId id : h->second.attempts) {
      if (!was_written(id)) abandon_attempt(id, module::AttemptResult::already_finished);
    }
  });
}

const UpstreamRequest* Engine::upstream_request(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() || it->second.ended ? nullptr : &it->second.order;
}

void Engine::mark_written(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.written) return;
  it->second.written = now();
  if (it->second.unsent.first) deadlines_.cancel(it->second.unsent);
  if (const auto h = requests_.find(it->second.ticket); h != requests_.end()) {
    h->second.written = true;
  }
  ++counters_.forwarded;
  ++class_counters_[it->second.order.class_id].forwarded;
}

bool Engine::was_written(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it != attempts_.end() && it->second.written > 0;
}

bool Engine::may_still_send(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.ended) return false;
  return router_.may_send(now(), {it->second.ticket}, it->second.number);
}

// Exactly one outcome for each attempt: whatever comes after the first is dropped here.
void Engine::on_upstream_response(AttemptId attempt, const UpstreamResponse& reply) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.ended) {
    ++counters_.late_responses;
    return;
  }
  Attempt& a = it->second;
  a.ended = true;
  deadlines_.cancel(a.timeout);
  if (a.unsent.first) deadlines_.cancel(a.unsent);
  // Danger: an abort, or the end of a connection, takes its time to the server, and so may the
  // command before it. The next attempt, by a shorter way or another connection to the same server,
  // would be out beside the first: it must not leave before the abort is there.
  const bool given_up = reply.result == module::AttemptResult::cancelled ||
                        reply.result == module::AttemptResult::reset;
  if (!given_up || !a.written) {
    return waiting_events_.push_back({module::AttemptOutcome{}, a.ticket, attempt, reply});
  }
  deadlines_.set(now() + kOnWay, [this, ticket = a.ticket, attempt, result = reply.result] {
    waiting_events_.push_back(
        {module::AttemptOutcome{}, ticket, attempt, {result, false, {}, {}, 0, {}}});
  });
}

void Engine::on_health_check_result(module::ServerId server, bool ok, Time elapsed,
                                    const module::LoadReport& report, Time up, bool lives,
                                    bool late) {
  waiting_events_.push_back(
      {module::HealthCheckResult{server, ok, elapsed, report, up, lives, late}, 0, 0, {}});
}
void Engine::set_ban(module::ServerId server, bool out) {
  urgent_events_.push_back({module::Ban{server, out}, 0, 0, {}});
}
void Engine::set_budget_share(double share, double door, double all, double here) {
  urgent_events_.push_back({module::BudgetShare{share, door, all, here}, 0, 0, {}});
}

std::vector<module::EndpointStatus> Engine::endpoint_statuses() {
  auto all = router_.endpoint_statuses(now());
  std::erase_if(all, [&](auto& s) { return s.server.location != settings_.location; });
  return all;
}
Engine::EndpointCounts Engine::count_endpoints() {
  const auto all = router_.endpoint_statuses(now());
  return {all.size(), static_cast<std::size_t>(std::count_if(
                          all.begin(), all.end(), [](auto& s) { return !s.is_usable; }))};
}

void Engine::update_endpoints(module::EndpointUpdate update) {
  ++counters_.endpoint_updates;
  urgent_events_.push_back({std::move(update), 0, 0, {}});
}
void Engine::purge(std::optional<std::uint64_t> object, std::uint32_t group, Time unix_time) {
  ++counters_.purges;
  module::Purge p;
  if (object) p.object = module::ObjectId{*object};
  p.group = {group};
  p.age = std::max<Time>(0, now() - unix_time);
  urgent_events_.push_back({p, 0, 0, {}});
  if (purge_listener_) purge_listener_(object, group, unix_time);
}

void Engine::run() {
  now();
  while (!urgent_events_.empty() || !waiting_events_.empty()) {
    std::vector<Event> batch;
    batch.swap(urgent_events_);
    std::move(waiting_events_.begin(), waiting_events_.end(), std::back_inserter(batch));
    waiting_events_.clear();
    for (auto& event : batch) process_event(event);
    // Carrying out may fail at once (a refused connect): that is the next batch of the same turn.
    std::vector<Effect> effects;
    effects.swap(effects_);
    for (const auto& effect : effects) apply_effect(effect);
    forget_finished_requests();
  }
}

void Engine::process_event(Event& e) {
  if (e.attempt) return process_outcome(e);
  if (const auto* left = std::get_if<module::ClientGone>(&e.event); left && !left->response_owed) {
    const auto it = requests_.find(e.ticket);
    if (it == requests_.end() || !it->second.open) return;  // answered already: the two crossed
    ++counters_.cancelled;
    finish_request(it->second);
    return consult_router(e.event);
  }
  if (const auto* purge = std::get_if<module::Purge>(&e.event)) tighten_max_age(*purge);
  consult_router(e.event);
}

void Engine::process_outcome(Event& e) {
  const auto a = attempts_.find(e.attempt);
  const auto h = requests_.find(e.ticket);
  if (a == attempts_.end() || h == requests_.end()) return;
  OpenRequest& held = h->second;
  module::AttemptOutcome o;
  o.id = {e.ticket};
  o.attempt = a->second.number;
  o.server = a->second.order.server;
  o.result = e.reply.result;
  o.elapsed = now_ - a->second.sent;
  o.report = e.reply.report;
  if (o.result == module::AttemptResult::ok && is_too_old(a->second, e.reply)) {
    ++counters_.stale_responses;
    o.result = module::AttemptResult::error;
  }
  count(o.result);
  attempts_.erase(a);
  --held.out;
  if (o.result == module::AttemptResult::ok && held.open) {
    ++counters_.served;
    ++class_counters_[held.request.class_id.value].served;
    if (e.reply.not_modified) ++counters_.not_modified;
    effects_.emplace_back(
        Respond{e.ticket,
                held.front,
                {FinalStatus::served, e.reply.not_modified, 0, e.reply.body, e.reply.tag, false}});
    finish_request(held);
  }
  o.response_delivered = !held.open;
  consult_router(o);
  if (o.response_delivered) finished_requests_.push_back(e.ticket);
}

// Danger: within one batch the module may end a request for which an answer stands later in the
// batch. The ledger is closed as the decisions come in, though they are carried out after the
// batch.
void Engine::consult_router(const module::Event& event) {
  actions_.clear();
  router_.handle(now_, event, actions_);
  for (auto& action : actions_) {
    const auto* refuse = std::get_if<module::Reject>(&action);
    const auto* fail = std::get_if<module::Fail>(&action);
    if (!refuse && !fail) {
      effects_.emplace_back(action);
      continue;
    }
    const auto it = requests_.find(refuse ? refuse->id.value : fail->id.value);
    if (it == requests_.end() || !it->second.open) continue;
    OpenRequest& held = it->second;
    ++(refuse ? counters_.rejected : counters_.failed);
    if (const auto cls = held.request.class_id.value; cls < class_counters_.size()) {
      ++(refuse ? class_counters_[cls].rejected : class_counters_[cls].failed);
    }
    Response answer;
    answer.status = refuse ? FinalStatus::rejected : FinalStatus::failed;
    answer.timed_out = now_ >= held.deadline;
    answer.retry_after = refuse ? refuse->retry_after : 0;
    effects_.emplace_back(Respond{it->first, held.front, answer});
    finish_request(held);
  }
}

void Engine::apply_effect(const Effect& effect) {
  if (const auto* serve = std::get_if<Respond>(&effect)) {
    serve->front->respond(serve->ticket, serve->response);
    return;
  }
  const auto& action = std::get<module::Action>(effect);
  if (const auto* s = std::get_if<module::Send>(&action)) return send(*s);
  if (const auto* c = std::get_if<module::Cancel>(&action)) return cancel(*c);
  if (const auto* p = std::get_if<module::HealthCheck>(&action)) {
    ++counters_.health_checks;
    return upstream_client_->send_health_check(p->server);
  }
  if (const auto* t = std::get_if<module::SetTimer>(&action)) {
    const module::TimerId timer = t->timer;
    deadlines_.set(t->at, [this, timer] {
      waiting_events_.push_back({module::TimerExpired{timer}, 0, 0, {}});
    });
  }
}

void Engine::send(const module::Send& s) {
  const auto it = requests_.find(s.id.value);
  if (it == requests_.end()) return;
  OpenRequest& held = it->second;
  const AttemptId id = ++last_attempt_;
  Attempt& a = attempts_[id];
  a.ticket = it->first;
  a.number = {static_cast<std::uint32_t>(held.attempts.size())};
  held.attempts.push_back(id);
  a.sent = now_;
  a.order = {held.id,
             held.idempotency_key,
             held.held_tag,
             held.body,
             held.object_text,
             held.request.class_id.value,
             held.request.part,
             s.server,
             s.fill,
             now_ + s.timeout,
             sending(held.request)};
  ++held.out;
  // Danger: the client may have left in this very batch, after the module decided to send.
  if (!held.open || now_ >= held.no_more_from) {
    return on_upstream_response(id,
                                {module::AttemptResult::already_finished, false, {}, {}, 0, {}});
  }
  a.timeout = deadlines_.set(a.order.deadline,
                             [this, id] { abandon_attempt(id, module::AttemptResult::timeout); });
  if (!held.written && now_ < held.unsent_until) {
    a.unsent = deadlines_.set(held.unsent_until, [this, id] {
      abandon_attempt(id, module::AttemptResult::connect_failed);
    });
  }
  upstream_client_->send(id, s.server);
}

Time Engine::sending(const module::Request& q) const {
  if (q.size_kb <= 0 || settings_.stream_kb_per_second <= 0) return 0;
  return static_cast<Time>(std::min(q.size_kb / settings_.stream_kb_per_second, 60.0) * 1e6);
}

void Engine::cancel(const module::Cancel& c) {
  const auto it = requests_.find(c.id.value);
  if (it != requests_.end() && c.attempt.value < it->second.attempts.size()) {
    abandon_attempt(it->second.attempts[c.attempt.value], module::AttemptResult::cancelled);
  }
}

void Engine::abandon_attempt(AttemptId attempt, module::AttemptResult result) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.ended) return;
  upstream_client_->abort(attempt);
  on_upstream_response(attempt, {result, false, {}, {}, 0, {}});
}

void Engine::finish_request(OpenRequest& held) {
  if (!held.open) return;
  held.open = false;
  --open_request_count_;
  finished_requests_.push_back(held.request.id.value);
}

// A request is kept until all its attempts have ended: the module is owed an outcome for each.
void Engine::forget_finished_requests() {
  for (const RequestHandle ticket : finished_requests_) {
    const auto it = requests_.find(ticket);
    if (it == requests_.end() || it->second.open || it->second.out > 0) continue;
    open_request_bytes_ -= it->second.body.size();
    for (auto [i, to] = handles_by_id_.equal_range(it->second.id); i != to; ++i) {
      if (i->second == ticket) {
        handles_by_id_.erase(i);
        break;
      }
    }
    requests_.erase(it);
  }
  finished_requests_.clear();
}

// What was decided before the purge and is not yet written must not be answered from an older copy.
void Engine::tighten_max_age(const module::Purge& purge) {
  const Time age = std::max<Time>(1, purge.age - kPurgeMargin);
  for (auto& [id, a] : attempts_) {
    if (a.written) continue;
    const auto& q = requests_.at(a.ticket).request;
    if (purge.object ? *purge.object != q.object : purge.group != q.group) continue;
    auto& fill = a.order.fill;
    if (!fill) fill = module::Fill{a.order.server};
    const Time fresh = settings_.classes[a.order.class_id].fresh_time;
    const Time before = fill->max_age > 0 ? fill->max_age : fresh;
    fill->max_age = before > 0 ? std::min(before, age) : age;
    fill->may_join = fill->refresh_in_background = false;
  }
}

bool Engine::is_too_old(const Attempt& a, const UpstreamResponse& reply) const {
  if (reply.created_at <= 0 || !a.written) return false;
  const auto& c = settings_.classes[a.order.class_id];
  const Time asked =
      a.order.fill && a.order.fill->max_age > 0 ? a.order.fill->max_age : c.fresh_time;
  return asked > 0 && reply.created_at < a.written - asked - kAgeSlack;
}

void Engine::count(module::AttemptResult result) {
  using R = module::AttemptResult;
  ++(result == R::ok                                        ? counters_.attempts_ok
     : result == R::miss                                    ? counters_.attempts_miss
     : result == R::overloaded                              ? counters_.attempts_overloaded
     : result == R::timeout                                 ? counters_.attempts_timeout
     : result == R::connect_failed || result == R::not_sent ? counters_.attempts_connect_failed
     : result == R::reset                                   ? counters_.attempts_reset
     : result == R::error                                   ? counters_.attempts_error
                                                            : counters_.attempts_cancelled);
}

}  // namespace alderspur::core
