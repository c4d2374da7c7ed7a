// Health of servers: when one is ejected, checked, tested again and trusted again.
#pragma once

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/slow_start.h"
#include "policy_state/load_view.h"
#include "policy_state/outcome.h"

namespace alderspur::policy {

using estimators::kMillisecond;
using estimators::kSecond;
using estimators::MovingAverage;

/// How often silent servers are looked for.
constexpr Time kSilenceCheckPeriod = 100 * kMillisecond;

class Health {
 public:
  Health(RoutingContext& context, SlowStart& slow_start)
      : context_(context), slow_start_(slow_start) {}

  /// Not while ejected; then one attempt at a time tests it, behind a health check if allowed.
  bool is_usable(const Upstream& upstream) const {
    if (context_.now < upstream.ejected_until) return false;
    if (!upstream.on_probation) return true;
    const bool waits = needs_health_check(upstream) && !upstream.health_check_passed;
    return upstream.attempts_in_flight == 0 && !waits;
  }
  void eject(Upstream& upstream) {
    constexpr int kMaxDoublings = 5;  // doublings
    constexpr int kMaxCountedEjections = 10;
    const Time ejection = kFirstEjection << std::min(upstream.consecutive_ejections, kMaxDoublings);
    upstream.begin_ejection(context_.now + std::min(kMaxEjectionTime, ejection));
    upstream.consecutive_ejections =
        std::min(upstream.consecutive_ejections + 1, kMaxCountedEjections);
  }
  /// Sends a health check.
  void check(Upstream& upstream) {
    upstream.health_check_pending = true;
    upstream.health_check_sent_at = context_.now;
    context_.emit(HealthCheck{upstream.server.id});
  }
  /// It cannot be reached, or left a request without a word. Two in a row eject it.
  void record_hard_failure(Upstream& upstream, bool is_silent) {
    if (++upstream.consecutive_failures < kHardFailures && !upstream.on_probation) return;
    if (is_silent && !upstream.was_silent) {
      upstream.silent_since = std::max(upstream.last_heard_at, upstream.busy_since);
    }
    upstream.was_silent |= is_silent;
    eject(upstream);
  }
  void record_success(Upstream& upstream) {
    // A server that fell silent and is back may have restarted unseen, and is cold and empty then.
    if (upstream.was_silent && upstream.server.role != Role::origin) {
      slow_start_.begin(upstream, context_.now, false);
    }
    upstream.forget_failures();
  }
  /// Its errors stand out from its peers', or by themselves where little is known of peers.
  bool is_outlier(Upstream& upstream) const {
    const double errors = upstream.errors.value(context_.now);
    const double responses = upstream.responses.value(context_.now);
    if (errors < kMinErrors || errors < kMinErrorRate * responses) return false;
    const auto peers = count_peer_errors(context_, upstream);
    if (peers.responses < kMinErrors) return errors > kErrorRateAlone * responses;
    return errors * peers.responses > kOverPeers * peers.errors * responses;
  }
  /// What the end of an attempt says of the server that it was sent to.
  void judge(Upstream& upstream, const Request& request, const AttemptState& attempt,
             const AttemptOutcome& outcome) {
    const AttemptResult result = outcome.result;
    if (is_response(result)) note_response(upstream);
    if (result == AttemptResult::ok || result == AttemptResult::miss || fill_failed(outcome)) {
      return record_success(upstream);
    }
    if (result == AttemptResult::error) {
      upstream.errors.add(context_.now, 1);
      if (upstream.on_probation || is_outlier(upstream)) eject(upstream);
    } else if (result == AttemptResult::reset && needs_health_check(upstream) &&
               !upstream.on_probation) {
      judge_reset(upstream);
    } else if (result == AttemptResult::connect_failed || result == AttemptResult::reset) {
      record_hard_failure(upstream, result == AttemptResult::connect_failed);
    } else if (result == AttemptResult::timeout && is_silent_since(upstream, attempt) &&
               outcome.elapsed >= late_after(request)) {
      record_hard_failure(upstream, true);
    }
  }
  /// True: the server has just been found silent, and its requests are to be moved.
  bool judge_health_check(const HealthCheckResult& result) {
    Upstream* upstream = context_.upstreams.find(result.server);
    if (!upstream || (!upstream->health_check_pending && !result.is_late)) return false;
    upstream->health_check_pending = upstream->health_check_pending && result.is_late;
    if (result.is_healthy || result.is_alive) note_health_response(*upstream, result);
    upstream->health_check_passed = result.is_healthy;
    if (result.is_healthy) return false;
    if (result.is_alive) {  // overloaded: spared for a while, not lost
      if (upstream->is_parent() || upstream->on_probation) eject(*upstream);
      return false;
    }
    return judge_silence(*upstream);
  }
  /// Checks the servers whose responses are overdue.
  void check_silent(const RequestTable& requests) {
    update_response_due_times(context_, requests);
    for (const auto& [id, state] : requests) {
      if (const AttemptState* attempt = state.attempt_in_flight()) {
        check_late_parent(state, *attempt);
      }
    }
    // To one of many routers each cache is silent for long: what is usual tells, not a fixed time.
    const MovingAverage& usual = response_interval_;
    const auto unusual = static_cast<Time>(usual.value + kLateDeviations * usual.deviation);
    const Time allowed = std::max(kMinUnresponsiveTime, unusual);
    for (Upstream* cache : context_.upstreams.caches()) {
      const Time expected = std::max(cache->first_response_due, cache->last_heard_at);
      if (cache->attempts_in_flight > 0 && !cache->health_check_pending && !cache->on_probation &&
          context_.now > expected + allowed) {
        check(*cache);
      }
    }
  }
  /// Checks the ejected servers whose time is over.
  void check_ejected() {
    for (auto& [id, upstream] : context_.upstreams.all()) {
      slow_start_.update(upstream);
      if (needs_health_check(upstream) && upstream.on_probation && upstream.is_ready() &&
          !upstream.health_check_pending && !upstream.health_check_passed &&
          context_.now >= upstream.ejected_until) {
        check(upstream);
      }
    }
  }
  /// A response that takes longer is late. The mark moves with the times of fills, which may be
  /// slow.
  Time late_after(const Request& request) const {
    auto& workload = context_.workload;
    const MovingAverage& slowness = workload.estimates(request).slowness;
    const double late =
        slowness.has_samples ? slowness.value + kLateDeviations * slowness.deviation : 1;
    const auto objective = static_cast<double>(workload.latency_objective(request));
    return std::max(static_cast<Time>(kMinLateFraction * objective),
                    static_cast<Time>(workload.usual_response_time(request) * late));
  }

 private:
  /// Refused, reset or silent so many times in a row: ejected.
  static constexpr int kHardFailures = 2;
  /// Errors in a window, their part of all responses, and how far over the peers' part or alone.
  static constexpr double kMinErrors = 3;
  static constexpr double kMinErrorRate = 0.25;
  static constexpr double kOverPeers = 2;
  static constexpr double kErrorRateAlone = 0.5;
  static constexpr Time kFirstEjection = kSecond;
  static constexpr Time kMaxEjectionTime = 8 * kSecond;
  /// More for parents: behind a long queue one looks dead to all routers, who would overload the
  /// next.
  static constexpr int kUnansweredByParent = 4;
  /// Between two checks of a late parent: hundreds of routers would load it more than they learn.
  static constexpr Time kParentCheckPause = kSecond;
  static constexpr Time kMinUnresponsiveTime = 300 * kMillisecond;
  static constexpr double kLateDeviations = 3;     // above the average
  static constexpr double kMinLateFraction = 0.4;  // of the objective: nothing is late earlier

  bool needs_health_check(const Upstream& upstream) const {
    const bool own_cache =
        upstream.is_cache() && upstream.server.location == context_.settings.location;
    return context_.settings.health_checks_allowed && (upstream.is_parent() || own_cache);
  }
  void note_response(Upstream& upstream) {
    if (upstream.is_cache()) {
      const Time previous = std::exchange(upstream.last_response_at, context_.now);
      const Time since = std::max(upstream.busy_since, previous);
      response_interval_.learn(static_cast<double>(context_.now - since));
    }
    upstream.last_heard_at = context_.now;
    upstream.responses.add(context_.now, 1);
  }
  /// A spoilt response or a lost connection does not make a sick cache: a health check tells.
  void judge_reset(Upstream& upstream) {
    if (!upstream.health_check_pending) check(upstream);
    if (std::exchange(upstream.last_connection_reset, context_.now) == context_.now) return;
    upstream.count_response(context_.now, true);
    if (is_outlier(upstream)) eject(upstream);
  }
  void note_health_response(Upstream& upstream, const HealthCheckResult& result) {
    upstream.last_heard_at = context_.now;
    upstream.unanswered_health_checks = 0;
    // A connection from before the silence proves that the process has not restarted.
    if (result.connection_age > context_.now - upstream.silent_since) upstream.was_silent = false;
    const bool was_tested = upstream.is_parent() && upstream.on_probation;
    if (result.is_healthy && was_tested) record_success(upstream);
  }
  bool judge_silence(Upstream& upstream) {
    const bool is_news = !upstream.on_probation;
    if (is_news && upstream.last_heard_at >= upstream.health_check_sent_at) return false;
    if (!upstream.was_silent && upstream.unanswered_health_checks == 0) {
      upstream.silent_since = upstream.health_check_sent_at;
    }
    if (is_news && upstream.is_parent() &&
        ++upstream.unanswered_health_checks < kUnansweredByParent) {
      check(upstream);
      return false;
    }
    upstream.was_silent |= is_news;
    eject(upstream);
    return is_news;
  }
  void check_late_parent(const RequestState& state, const AttemptState& attempt) {
    if (!attempt.may_reach_origin) return;
    if (context_.now <= attempt.sent_at + late_after(state.request)) return;
    Upstream* source = context_.upstreams.find(attempt.source);
    if (!source || !source->is_parent()) return;
    if (source->health_check_pending || source->on_probation) return;
    const Time last_look = std::max(source->health_check_sent_at, source->last_heard_at);
    if (context_.now >= last_look + kParentCheckPause) check(*source);
  }

  RoutingContext& context_;
  SlowStart& slow_start_;
  /// Of caches: from being asked, or a response, to the next response. Health checks do not count.
  MovingAverage response_interval_;
};

}  // namespace alderspur::policy
