// A routing policy alone: its settings, servers and clock, without sockets.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "alderspur/router.h"

namespace router_fixture {

using namespace alderspur;

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr Time kStart = 100 * kSecond;

inline Settings site() {
  Settings s;
  s.location = {3};
  s.router_count = 2;
  s.router_count_by_location = {0, 0, 0, 1, 1};
  ClassSettings parts;
  ClassSettings pages;
  ClassSettings keyed;
  ClassSettings once;
  parts.latency_objective = 500 * kMillisecond;
  parts.latency_objective_stretch = 2;
  pages = parts;
  pages.fresh_time = 8 * kSecond;
  pages.stale_grace_time = 30 * kSecond;
  keyed = parts;
  keyed.idempotency = Idempotency::idempotent_with_key;
  keyed.dedup_scope = DedupScope::cell;
  keyed.dedup_window = 5 * kSecond;
  once = parts;
  once.idempotency = Idempotency::not_idempotent;
  s.classes = {parts, pages, keyed, once};
  s.max_attempts = 6;
  s.can_cancel_attempts = s.sends_retry_after = true;
  s.max_retry_after = 2 * kSecond;
  s.cache_slow_start_fraction = 0.2;
  s.cache_slow_start_time = 20 * kSecond;
  s.overload_window = 1500 * kMillisecond;
  s.parent_slow_start_fraction = 0.1;
  s.parent_slow_start_time = 20 * kSecond;
  s.purge_propagation_time = 6 * kSecond;
  s.stream_kb_per_second = 1000;
  s.weights = WeightKind::nominal;
  s.can_join_fills = s.has_fills = true;
  return s;
}

inline Settings probing_site() {
  auto s = site();
  s.health_checks_allowed = true;
  return s;
}

inline Server cache(std::uint64_t id, ServerStatus status = ServerStatus::ready, Time born = 0) {
  return {{id}, Role::cache, {3}, {static_cast<std::uint32_t>(id % 2)}, status, 4, born};
}
inline Server upstream(std::uint64_t id, Role role, Time born = 0) {
  return {{id}, role, {static_cast<std::uint32_t>(id % 3)}, {0}, ServerStatus::ready, 10, born};
}
inline std::vector<Server> fleet() {
  return {cache(1),
          cache(2),
          cache(3),
          cache(4),
          upstream(20, Role::parent),
          upstream(21, Role::parent),
          upstream(30, Role::origin)};
}

// A router, a clock and what it has asked for; knows nothing of how it decides.
struct Bed {
  Bed(Bed&&) = default;
  explicit Bed(const Settings& settings = site(), std::vector<Server> servers = fleet(),
               std::uint64_t seed = 7)
      : router(settings, seed) {
    tell(EndpointUpdate{true, false, std::move(servers)});
  }
  std::vector<Action> tell(const Event& e) {
    std::vector<Action> actions;
    router.handle(now, e, actions);
    for (const auto& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) timers.emplace(t->at, t->timer);
      if (const auto* s = std::get_if<Send>(&a)) sends[s->id].push_back(*s);
      if (const auto* p = std::get_if<HealthCheck>(&a)) ++probes[p->server];
      if (const auto* r = std::get_if<Reject>(&a)) ++answers[r->id];
      if (const auto* f = std::get_if<Fail>(&a)) ++answers[f->id];
    }
    return actions;
  }
  void advance(Time by) {
    const Time end = now + by;
    while (!timers.empty() && timers.begin()->first <= end) {
      const auto [at, id] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, at);
      tell(TimerExpired{id});
    }
    now = end;
  }
  RequestId ask(std::uint64_t object, std::uint32_t cls = 0, double size = 100,
                std::uint32_t part = 0, std::uint32_t group = 5) {
    const RequestId id{next++};
    tell(Request{id, {object}, {group}, {cls}, part, size, 5 * kSecond, false});
    return id;
  }
  AttemptOutcome outcome(RequestId id, AttemptResult result, FillOutcome note = FillOutcome::none,
                         std::uint32_t attempt = 0, Time elapsed = 100 * kMillisecond) {
    AttemptOutcome o;
    o.id = id;
    o.attempt = {attempt};
    o.server = sends[id].at(attempt).server;
    o.result = result;
    o.fill_outcome = note;
    o.response_delivered = result == AttemptResult::ok;
    o.elapsed = elapsed;
    return o;
  }
  std::vector<Action> end(RequestId id, AttemptResult result, FillOutcome note = FillOutcome::none,
                          std::uint32_t attempt = 0, Time elapsed = 100 * kMillisecond) {
    return tell(outcome(id, result, note, attempt, elapsed));
  }
  std::uint64_t serve(std::uint64_t object, double size = 100, std::uint32_t part = 0) {
    const auto id = ask(object, 0, size, part);
    if (sends[id].empty()) return 0;
    const auto server = sends[id][0].server.value;
    end(id, AttemptResult::ok, FillOutcome::hit);
    return server;
  }
  int open_answers(RequestId id) { return answers[id]; }

  Router router;
  Time now = kStart;
  std::multimap<Time, TimerId> timers;
  std::map<RequestId, std::vector<Send>> sends;
  std::map<RequestId, int> answers;
  std::map<ServerId, int> probes;
  std::uint64_t next = 1;
};

}  // namespace router_fixture
