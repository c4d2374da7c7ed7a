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

struct Engine::Held {
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
  Ticket ticket = 0;
  module::AttemptNo number;
  Order order;
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
      by_class_(settings.classes.size()) {}
Engine::~Engine() = default;

Time Engine::now() { return now_ = std::max(now_, clock_()); }

Ticket Engine::take(Front& front, const Demand& d) {
  const Ticket ticket = ++last_ticket_;
  Held& h = held_[ticket];
  h.front = &front;
  h.id = d.id;
  ids_.emplace(h.id, ticket);
  h.idempotency_key = d.idempotency_key;
  h.held_tag = d.held_tag;
  h.body = d.body;
  h.object_text = d.object_text;
  module::Request& q = h.request;
  q.id = {ticket};
  q.object = {d.object};
  q.group = {d.group};
  q.cls = {d.cls};
  q.part = d.part;
  q.size_kb = d.size_kb;
  q.write = d.cls < settings_.classes.size() && settings_.classes[d.cls].uncached;
  const Time margin = std::min(kAnswerMargin, d.limit / kMarginPart);
  h.deadline = now() + std::max<Time>(0, d.limit - margin);
  q.budget = h.deadline - now_;
  h.unsent_until = now_ + d.limit / 100 * kUnsentPart;
  ++open_;
  held_bytes_ += h.body.size();
  ++counters_.taken;
  waiting_.push_back({q, ticket, 0, {}});
  return ticket;
}

bool Engine::clashes(const Demand& d) const {
  const auto [from, to] = ids_.equal_range(std::string(d.id));
  return std::any_of(from, to,
                     [&](auto& e) { return held_.at(e.second).request.object.value != d.object; });
}

void Engine::turned_away(std::uint32_t cls, Verdict verdict) {
  const bool refused = verdict == Verdict::refused;
  ++counters_.taken;
  ++(refused ? counters_.refused : counters_.failed);
  if (cls < by_class_.size()) ++(refused ? by_class_[cls].refused : by_class_[cls].failed);
}

void Engine::withdraw(Ticket ticket) {
  waiting_.push_back({module::ClientLeft{{ticket}}, ticket, 0, {}});
}

void Engine::hurry(Ticket ticket) {
  waiting_.push_back({module::ClientLeft{{ticket}, true}, ticket, 0, {}});
}

void Engine::hurry_all() {
  for (const auto& [ticket, held] : held_)
    if (held.open) hurry(ticket);
}

// What it asked in its last moment may still begin: the platform allows 0.1 s.
void Engine::begin_no_more(Ticket ticket) {
  const auto it = held_.find(ticket);
  if (it == held_.end() || !it->second.open) return;
  it->second.no_more_from = std::min(it->second.no_more_from, now() + kOnWay);
  deadlines_.set(it->second.no_more_from, [this, ticket] {
    const auto h = held_.find(ticket);
    if (h == held_.end()) return;
    for (const AttemptId id : h->second.attempts)
      if (!was_written(id)) give_up(id, module::Result::moot);
  });
}

const Order* Engine::order(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() || it->second.ended ? nullptr : &it->second.order;
}

void Engine::written(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.written) return;
  it->second.written = now();
  if (it->second.unsent.first) deadlines_.clear(it->second.unsent);
  if (const auto h = held_.find(it->second.ticket); h != held_.end()) h->second.written = true;
  ++counters_.sent;
  ++by_class_[it->second.order.cls].sent;
}

bool Engine::was_written(AttemptId attempt) const {
  const auto it = attempts_.find(attempt);
  return it != attempts_.end() && it->second.written > 0;
}

bool Engine::may_write(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.ended) return false;
  return router_.may_send(now(), {it->second.ticket}, it->second.number);
}

// Exactly one outcome for each attempt: whatever comes after the first is dropped here.
void Engine::reply(AttemptId attempt, const Reply& reply) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.ended) {
    ++counters_.late_answers;
    return;
  }
  Attempt& a = it->second;
  a.ended = true;
  deadlines_.clear(a.timeout);
  if (a.unsent.first) deadlines_.clear(a.unsent);
  // Danger: an abort, or the end of a connection, takes its time to the server, and so may the
  // command before it. The next attempt, by a shorter way or another connection to the same server,
  // would be out beside the first: it must not leave before the abort is there.
  const bool given_up =
      reply.result == module::Result::cancelled || reply.result == module::Result::reset;
  if (!given_up || !a.written)
    return waiting_.push_back({module::Outcome{}, a.ticket, attempt, reply});
  deadlines_.set(now() + kOnWay, [this, ticket = a.ticket, attempt, result = reply.result] {
    waiting_.push_back({module::Outcome{}, ticket, attempt, {result, false, {}, {}, 0, {}}});
  });
}

void Engine::probed(module::ServerId server, bool ok, Time elapsed, const module::Report& report,
                    Time up, bool lives, bool late) {
  waiting_.push_back({module::Probed{server, ok, elapsed, report, up, lives, late}, 0, 0, {}});
}
void Engine::ban(module::ServerId server, bool out) {
  urgent_.push_back({module::Ban{server, out}, 0, 0, {}});
}
void Engine::twins(double share, double door, double all, double here) {
  urgent_.push_back({module::Twins{share, door, all, here}, 0, 0, {}});
}

std::vector<module::Standing> Engine::standings() {
  auto all = router_.standings(now());
  std::erase_if(all, [&](auto& s) { return s.server.location != settings_.location; });
  return all;
}
Engine::Census Engine::census() {
  const auto all = router_.standings(now());
  return {all.size(), static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                                             [](auto& s) { return !s.usable; }))};
}

void Engine::fleet(module::FleetUpdate update) {
  ++counters_.fleet_updates;
  urgent_.push_back({std::move(update), 0, 0, {}});
}
void Engine::purge(std::optional<std::uint64_t> object, std::uint32_t group, Time unix_time) {
  ++counters_.purges;
  module::Purge p;
  if (object) p.object = module::ObjectId{*object};
  p.group = {group};
  p.since = std::max<Time>(0, now() - unix_time);
  urgent_.push_back({p, 0, 0, {}});
  if (purged_) purged_(object, group, unix_time);
}

void Engine::run() {
  now();
  while (!urgent_.empty() || !waiting_.empty()) {
    std::vector<Event> batch;
    batch.swap(urgent_);
    std::move(waiting_.begin(), waiting_.end(), std::back_inserter(batch));
    waiting_.clear();
    for (auto& event : batch) take_in(event);
    // Carrying out may fail at once (a refused connect): that is the next batch of the same turn.
    std::vector<Effect> effects;
    effects.swap(effects_);
    for (const auto& effect : effects) carry_out(effect);
    release();
  }
}

void Engine::take_in(Event& e) {
  if (e.attempt) return outcome(e);
  if (const auto* left = std::get_if<module::ClientLeft>(&e.event); left && !left->owed) {
    const auto it = held_.find(e.ticket);
    if (it == held_.end() || !it->second.open) return;  // answered already: the two crossed
    ++counters_.withdrawn;
    end(it->second);
    return ask(e.event);
  }
  if (const auto* purge = std::get_if<module::Purge>(&e.event)) tighten(*purge);
  ask(e.event);
}

void Engine::outcome(Event& e) {
  const auto a = attempts_.find(e.attempt);
  const auto h = held_.find(e.ticket);
  if (a == attempts_.end() || h == held_.end()) return;
  Held& held = h->second;
  module::Outcome o;
  o.id = {e.ticket};
  o.attempt = a->second.number;
  o.server = a->second.order.server;
  o.result = e.reply.result;
  o.elapsed = now_ - a->second.sent;
  o.report = e.reply.report;
  if (o.result == module::Result::ok && too_old(a->second, e.reply)) {
    ++counters_.stale_answers;
    o.result = module::Result::error;
  }
  count(o.result);
  attempts_.erase(a);
  --held.out;
  if (o.result == module::Result::ok && held.open) {
    ++counters_.served;
    ++by_class_[held.request.cls.value].served;
    if (e.reply.unchanged) ++counters_.unchanged;
    effects_.push_back(
        Serve{e.ticket,
              held.front,
              {Verdict::served, e.reply.unchanged, 0, e.reply.body, e.reply.tag, false}});
    end(held);
  }
  o.finished = !held.open;
  ask(o);
  if (o.finished) ended_.push_back(e.ticket);
}

// Danger: within one batch the module may end a request for which an answer stands later in the
// batch. The ledger is closed as the decisions come in, though they are carried out after the
// batch.
void Engine::ask(const module::Event& event) {
  actions_.clear();
  router_.handle(now_, event, actions_);
  for (auto& action : actions_) {
    const auto* refuse = std::get_if<module::Refuse>(&action);
    const auto* fail = std::get_if<module::Fail>(&action);
    if (!refuse && !fail) {
      effects_.push_back(std::move(action));
      continue;
    }
    const auto it = held_.find(refuse ? refuse->id.value : fail->id.value);
    if (it == held_.end() || !it->second.open) continue;
    Held& held = it->second;
    ++(refuse ? counters_.refused : counters_.failed);
    if (const auto cls = held.request.cls.value; cls < by_class_.size())
      ++(refuse ? by_class_[cls].refused : by_class_[cls].failed);
    Answer answer;
    answer.verdict = refuse ? Verdict::refused : Verdict::failed;
    answer.late = now_ >= held.deadline;
    answer.retry_after = refuse ? refuse->retry_after : 0;
    effects_.push_back(Serve{it->first, held.front, answer});
    end(held);
  }
}

void Engine::carry_out(const Effect& effect) {
  if (const auto* serve = std::get_if<Serve>(&effect)) {
    serve->front->answer(serve->ticket, serve->answer);
    return;
  }
  const auto& action = std::get<module::Action>(effect);
  if (const auto* s = std::get_if<module::Send>(&action)) return send(*s);
  if (const auto* c = std::get_if<module::Cancel>(&action)) return cancel(*c);
  if (const auto* p = std::get_if<module::Probe>(&action)) {
    ++counters_.probes;
    return backend_->probe(p->server);
  }
  if (const auto* t = std::get_if<module::SetTimer>(&action)) {
    const module::TimerId timer = t->timer;
    deadlines_.set(t->at, [this, timer] {
      waiting_.push_back({module::TimerDue{timer}, 0, 0, {}});
    });
  }
}

void Engine::send(const module::Send& s) {
  const auto it = held_.find(s.id.value);
  if (it == held_.end()) return;
  Held& held = it->second;
  const AttemptId id = ++last_attempt_;
  Attempt& a = attempts_[id];
  a.ticket = it->first;
  a.number = {static_cast<std::uint32_t>(held.attempts.size())};
  held.attempts.push_back(id);
  a.sent = now_;
  a.order = {held.id,          held.idempotency_key,   held.held_tag,        held.body,
             held.object_text, held.request.cls.value, held.request.part,    s.server,
             s.fill,           now_ + s.timeout,       sending(held.request)};
  ++held.out;
  // Danger: the client may have left in this very batch, after the module decided to send.
  if (!held.open || now_ >= held.no_more_from)
    return reply(id, {module::Result::moot, false, {}, {}, 0, {}});
  a.timeout =
      deadlines_.set(a.order.deadline, [this, id] { give_up(id, module::Result::timeout); });
  if (!held.written && now_ < held.unsent_until)
    a.unsent = deadlines_.set(held.unsent_until,
                              [this, id] { give_up(id, module::Result::connect_failed); });
  backend_->send(id, s.server);
}

Time Engine::sending(const module::Request& q) const {
  if (q.size_kb <= 0 || settings_.stream_kb_per_s <= 0) return 0;
  return static_cast<Time>(std::min(q.size_kb / settings_.stream_kb_per_s, 60.0) * 1e6);
}

void Engine::cancel(const module::Cancel& c) {
  const auto it = held_.find(c.id.value);
  if (it != held_.end() && c.attempt.value < it->second.attempts.size())
    give_up(it->second.attempts[c.attempt.value], module::Result::cancelled);
}

void Engine::give_up(AttemptId attempt, module::Result result) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.ended) return;
  backend_->abort(attempt);
  reply(attempt, {result, false, {}, {}, 0, {}});
}

void Engine::end(Held& held) {
  if (!held.open) return;
  held.open = false;
  --open_;
  ended_.push_back(held.request.id.value);
}

// A request is kept until all its attempts have ended: the module is owed an outcome for each.
void Engine::release() {
  for (const Ticket ticket : ended_) {
    const auto it = held_.find(ticket);
    if (it == held_.end() || it->second.open || it->second.out > 0) continue;
    held_bytes_ -= it->second.body.size();
    for (auto [i, to] = ids_.equal_range(it->second.id); i != to; ++i)
      if (i->second == ticket) {
        ids_.erase(i);
        break;
      }
    held_.erase(it);
  }
  ended_.clear();
}

// What was decided before the purge and is not yet written must not be answered from an older copy.
void Engine::tighten(const module::Purge& purge) {
  const Time age = std::max<Time>(1, purge.since - kPurgeMargin);
  for (auto& [id, a] : attempts_) {
    if (a.written) continue;
    const auto& q = held_.at(a.ticket).request;
    if (purge.object ? *purge.object != q.object : purge.group != q.group) continue;
    auto& fill = a.order.fill;
    if (!fill) fill = module::Fill{a.order.server};
    const Time fresh = settings_.classes[a.order.cls].fresh;
    const Time before = fill->max_age > 0 ? fill->max_age : fresh;
    fill->max_age = before > 0 ? std::min(before, age) : age;
    fill->join = fill->renew = false;
  }
}

bool Engine::too_old(const Attempt& a, const Reply& reply) const {
  if (reply.born <= 0 || !a.written) return false;
  const auto& c = settings_.classes[a.order.cls];
  const Time asked = a.order.fill && a.order.fill->max_age > 0 ? a.order.fill->max_age : c.fresh;
  return asked > 0 && reply.born < a.written - asked - kAgeSlack;
}

void Engine::count(module::Result result) {
  using R = module::Result;
  ++(result == R::ok                                        ? counters_.attempts_ok
     : result == R::miss                                    ? counters_.attempts_miss
     : result == R::full                                    ? counters_.attempts_full
     : result == R::timeout                                 ? counters_.attempts_timeout
     : result == R::connect_failed || result == R::withheld ? counters_.attempts_unconnected
     : result == R::reset                                   ? counters_.attempts_reset
     : result == R::error                                   ? counters_.attempts_error
                                                            : counters_.attempts_cancelled);
}

}  // namespace alderspur::core
