// The routing policy alone: a Router with settings, servers and a clock of the test, without
// sockets.
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

/// Classes of requests in test_settings(), by index.
constexpr std::uint32_t kPartClass = 0;   // idempotent
constexpr std::uint32_t kPageClass = 1;   // idempotent, with stale copies allowed
constexpr std::uint32_t kKeyedClass = 2;  // idempotent with a key, within a cell
constexpr std::uint32_t kNonIdempotentClass = 3;

/// One of two routers of location 3, with fills and reports and without health checks.
inline Settings test_settings() {
  ClassSettings part_class;
  part_class.latency_objective = 500 * kMillisecond;
  part_class.latency_objective_stretch = 2;
  ClassSettings page_class = part_class;
  page_class.fresh_time = 8 * kSecond;
  page_class.stale_grace_time = 30 * kSecond;
  ClassSettings keyed_class = part_class;
  keyed_class.idempotency = Idempotency::idempotent_with_key;
  keyed_class.dedup_scope = DedupScope::cell;
  keyed_class.dedup_window = 5 * kSecond;
  ClassSettings non_idempotent_class = part_class;
  non_idempotent_class.idempotency = Idempotency::not_idempotent;

  Settings settings;
  settings.location = {3};
  settings.router_count = 2;
  settings.router_count_by_location = {0, 0, 0, 1, 1};
  settings.classes = {part_class, page_class, keyed_class, non_idempotent_class};
  settings.max_attempts = 6;
  settings.can_cancel_attempts = true;
  settings.sends_retry_after = true;
  settings.max_retry_after = 2 * kSecond;
  settings.cache_slow_start_fraction = 0.2;
  settings.cache_slow_start_time = 20 * kSecond;
  settings.overload_window = 1500 * kMillisecond;
  settings.parent_slow_start_fraction = 0.1;
  settings.parent_slow_start_time = 20 * kSecond;
  settings.purge_propagation_time = 6 * kSecond;
  settings.stream_kb_per_second = 1000;
  settings.weights = WeightKind::nominal;
  settings.can_join_fills = true;
  settings.has_fills = true;
  return settings;
}

inline Settings test_settings_with_health_checks() {
  Settings settings = test_settings();
  settings.health_checks_allowed = true;
  return settings;
}

/// A cache of location 3, in cell 0 or 1 by its id.
inline Server make_cache(std::uint64_t id, ServerStatus status = ServerStatus::ready,
                         Time started_at = 0) {
  return {{id}, Role::cache, {3}, {static_cast<std::uint32_t>(id % 2)}, status, 4, started_at};
}

/// A parent or an origin.
inline Server make_upstream(std::uint64_t id, Role role, Time started_at = 0) {
  return {{id}, role,      {static_cast<std::uint32_t>(id % 3)}, {0}, ServerStatus::ready,
          10,   started_at};
}

/// Caches 1 to 4, parents 20 and 21, origin 30.
inline std::vector<Server> test_endpoints() {
  return {make_cache(1),
          make_cache(2),
          make_cache(3),
          make_cache(4),
          make_upstream(20, Role::parent),
          make_upstream(21, Role::parent),
          make_upstream(30, Role::origin)};
}

/// A router, its clock and timers, and a record of all that it has asked for. Knows nothing of how
/// the router decides.
class RouterFixture {
 public:
  explicit RouterFixture(const Settings& settings = test_settings(),
                         std::vector<Server> servers = test_endpoints(), std::uint64_t seed = 7)
      : router(settings, seed) {
    handle(EndpointUpdate{true, false, std::move(servers)});
  }

  /// Passes an event to the router and records its actions.
  std::vector<Action> handle(const Event& event) {
    std::vector<Action> actions;
    router.handle(now, event, actions);
    for (const auto& action : actions) record(action);
    return actions;
  }

  /// Moves the clock, and fires the timers that become due on the way.
  void advance(Time duration) {
    const Time end = now + duration;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto [at, id] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      handle(TimerExpired{id});
    }
    now = end;
  }

  /// A request with 5 s to its deadline.
  RequestId send_request(std::uint64_t object, std::uint32_t class_id = kPartClass,
                         double size_kb = 100, std::uint32_t part = 0, std::uint32_t group = 5) {
    const RequestId id{next_request_id++};
    handle(Request{id, {object}, {group}, {class_id}, part, size_kb, 5 * kSecond, false});
    return id;
  }

  /// The outcome of one of the request's attempts, which the test may change.
  AttemptOutcome outcome(RequestId id, AttemptResult result,
                         FillOutcome fill_outcome = FillOutcome::none, std::uint32_t attempt = 0,
                         Time elapsed = 100 * kMillisecond) {
    AttemptOutcome outcome;
    outcome.id = id;
    outcome.attempt = {attempt};
    outcome.server = sends[id].at(attempt).server;
    outcome.result = result;
    outcome.fill_outcome = fill_outcome;
    outcome.response_delivered = result == AttemptResult::ok;
    outcome.elapsed = elapsed;
    return outcome;
  }

  std::vector<Action> finish_attempt(RequestId id, AttemptResult result,
                                     FillOutcome fill_outcome = FillOutcome::none,
                                     std::uint32_t attempt = 0, Time elapsed = 100 * kMillisecond) {
    return handle(outcome(id, result, fill_outcome, attempt, elapsed));
  }

  /// Sends a request and has it answered from a copy; the server's id, or 0 if nothing was sent.
  std::uint64_t serve_request(std::uint64_t object, double size_kb = 100, std::uint32_t part = 0) {
    const auto id = send_request(object, kPartClass, size_kb, part);
    if (sends[id].empty()) return 0;
    const auto server = sends[id][0].server.value;
    finish_attempt(id, AttemptResult::ok, FillOutcome::hit);
    return server;
  }

  Router router;
  Time now = kStart;
  std::map<RequestId, std::vector<Send>> sends;  // in the order of the attempts
  std::map<RequestId, int> final_responses;      // rejects and failures; one at most is right
  std::map<ServerId, int> health_checks;
  std::uint64_t next_request_id = 1;

 private:
  void record(const Action& action) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.emplace(timer->at, timer->timer);
    } else if (const auto* send = std::get_if<Send>(&action)) {
      sends[send->id].push_back(*send);
    } else if (const auto* check = std::get_if<HealthCheck>(&action)) {
      ++health_checks[check->server];
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
      ++final_responses[reject->id];
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      ++final_responses[fail->id];
    }
  }

  std::multimap<Time, TimerId> timers_;
};

}  // namespace router_fixture
