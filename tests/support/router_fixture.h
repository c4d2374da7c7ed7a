// A fixture for tests of the routing policy: it drives a Router with the test's own settings,
// servers and clock, and without sockets.
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
/// The start time of the clock.
constexpr Time kStart = 100 * kSecond;

/// The request classes of test_settings(), by index.
constexpr std::uint32_t kPartClass = 0;   // idempotent
constexpr std::uint32_t kPageClass = 1;   // idempotent; stale copies are allowed
constexpr std::uint32_t kKeyedClass = 2;  // idempotent with a key, deduplicated within a cell
constexpr std::uint32_t kNonIdempotentClass = 3;

/// Returns the settings of a router in location 3, which is one of two routers in different
/// locations. Fills, joined fills and cancellation are supported; health checks are not.
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

/// The same settings with health checks.
inline Settings test_settings_with_health_checks() {
  Settings settings = test_settings();
  settings.health_checks_allowed = true;
  return settings;
}

/// Returns a cache of location 3. Its cell is 0 if the id is even, otherwise 1.
inline Server make_cache(std::uint64_t id, ServerStatus status = ServerStatus::ready,
                         Time started_at = 0) {
  return {{id}, Role::cache, {3}, {static_cast<std::uint32_t>(id % 2)}, status, 4, started_at};
}

/// Returns a parent or an origin.
inline Server make_upstream(std::uint64_t id, Role role, Time started_at = 0) {
  return {{id}, role,      {static_cast<std::uint32_t>(id % 3)}, {0}, ServerStatus::ready,
          10,   started_at};
}

/// Returns caches 1 to 4, parents 20 and 21, and origin 30.
inline std::vector<Server> test_endpoints() {
  return {make_cache(1),
          make_cache(2),
          make_cache(3),
          make_cache(4),
          make_upstream(20, Role::parent),
          make_upstream(21, Role::parent),
          make_upstream(30, Role::origin)};
}

/// A router with a simulated clock and timers, and a record of its actions. It does not depend on
/// how the router makes its decisions.
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

  /// Advances the clock, and passes the timers that expire meanwhile to the router.
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

  /// Passes a request to the router whose deadline is in 5 s. Returns its id.
  RequestId send_request(std::uint64_t object, std::uint32_t class_id = kPartClass,
                         double size_kb = 100, std::uint32_t part = 0, std::uint32_t group = 5) {
    const RequestId id{next_request_id++};
    handle(Request{id, {object}, {group}, {class_id}, part, size_kb, 5 * kSecond, false});
    return id;
  }

  /// Returns an outcome for an attempt of a request, which the test may change before it passes it
  /// to the router.
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

  /// Ends an attempt of a request with that outcome. Returns the resulting actions.
  std::vector<Action> finish_attempt(RequestId id, AttemptResult result,
                                     FillOutcome fill_outcome = FillOutcome::none,
                                     std::uint32_t attempt = 0, Time elapsed = 100 * kMillisecond) {
    return handle(outcome(id, result, fill_outcome, attempt, elapsed));
  }

  /// Sends a request and ends its first attempt as a cache hit. Returns the id of the server, or 0
  /// if nothing was sent.
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
  std::map<RequestId, int> final_responses;      // number of Rejects and Fails; must not exceed 1
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
