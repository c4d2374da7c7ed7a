#include "policy/health.h"

#include <algorithm>
#include <utility>

#include "policy_state/load_view.h"
#include "policy_state/outcome.h"

namespace alderspur::policy {
namespace {

using estimators::kMillisecond;
using estimators::kSecond;

/// Number of consecutive connection failures or missing responses after which a server is ejected.
constexpr int kHardFailuresToEject = 2;
/// Minimum number of errors in a window for a server to be an outlier.
constexpr double kMinErrors = 3;
/// Minimum fraction of errors among its responses for a server to be an outlier.
constexpr double kMinErrorRate = 0.25;
/// The error rate of an outlier is more than this multiple of the error rate of its peers.
constexpr double kPeerErrorRateFactor = 2;
/// A server is an outlier above this error rate if its peers have sent too few responses to
/// compare.
constexpr double kMaxErrorRateWithoutPeers = 0.5;
/// Duration of the first ejection. It doubles with each further consecutive ejection.
constexpr Time kFirstEjectionTime = kSecond;
constexpr Time kMaxEjectionTime = 8 * kSecond;
constexpr int kMaxEjectionDoublings = 5;
constexpr int kMaxCountedEjections = 10;
/// Number of unanswered health checks after which a parent is ejected. It is more than one because
/// a parent with a long queue looks dead to all routers at once. If they all ejected it after one
/// check, they would all switch to the next parent and overload that one too.
constexpr int kUnansweredChecksToEjectParent = 4;
/// Minimum time between two health checks of a parent. It limits the load, because many routers
/// check the same parent.
constexpr Time kMinParentCheckInterval = kSecond;
/// Minimum time after a response of a cache was due before the cache gets a health check.
constexpr Time kMinUnresponsiveTime = 300 * kMillisecond;
/// Response times and intervals are unusual if they exceed their average by more than this multiple
/// of their mean deviation.
constexpr double kMaxUsualDeviations = 3;
/// Minimum response timeout, as a fraction of the latency objective.
constexpr double kMinTimeoutFraction = 0.4;

}  // namespace

bool Health::is_usable(const Upstream& upstream) const {
  if (context_.now < upstream.ejected_until) return false;
  if (!upstream.on_probation) return true;
  const bool awaits_check = needs_health_check(upstream) && !upstream.health_check_passed;
  return upstream.attempts_in_flight == 0 && !awaits_check;
}

bool Health::is_outlier(Upstream& upstream) const {
  const double errors = upstream.errors.value(context_.now);
  const double responses = upstream.responses.value(context_.now);
  if (errors < kMinErrors || errors < kMinErrorRate * responses) return false;
  const auto peers = count_peer_errors(context_, upstream);
  if (peers.responses < kMinErrors) return errors > kMaxErrorRateWithoutPeers * responses;
  return errors * peers.responses > kPeerErrorRateFactor * peers.errors * responses;
}

Time Health::response_timeout(const Request& request) const {
  auto& workload = context_.workload;
  const MovingAverage& slowness = workload.estimates(request).slowness;
  const double max_slowness =
      slowness.has_samples ? slowness.value + kMaxUsualDeviations * slowness.deviation : 1;
  const auto objective = static_cast<double>(workload.latency_objective(request));
  return std::max(static_cast<Time>(kMinTimeoutFraction * objective),
                  static_cast<Time>(workload.usual_response_time(request) * max_slowness));
}

void Health::eject(Upstream& upstream) {
  const int doublings = std::min(upstream.consecutive_ejections, kMaxEjectionDoublings);
  const Time ejection_time = std::min(kMaxEjectionTime, kFirstEjectionTime << doublings);
  upstream.begin_ejection(context_.now + ejection_time);
  upstream.consecutive_ejections =
      std::min(upstream.consecutive_ejections + 1, kMaxCountedEjections);
}

void Health::record_outcome(Upstream& upstream, const Request& request, const AttemptState& attempt,
                            const AttemptOutcome& outcome) {
  const AttemptResult result = outcome.result;
  if (is_response(result)) record_response(upstream);
  if (result == AttemptResult::ok || result == AttemptResult::miss || fill_failed(outcome)) {
    record_success(upstream);
    return;
  }
  switch (result) {
    case AttemptResult::error:
      on_error(upstream);
      break;
    case AttemptResult::connect_failed:
      record_hard_failure(upstream, true);
      break;
    case AttemptResult::reset:
      on_reset(upstream);
      break;
    case AttemptResult::timeout:
      if (has_not_responded_since(upstream, attempt) &&
          outcome.elapsed >= response_timeout(request)) {
        record_hard_failure(upstream, true);
      }
      break;
    default:
      break;
  }
}

void Health::record_hard_failure(Upstream& upstream, bool is_unresponsive) {
  ++upstream.consecutive_failures;
  if (upstream.consecutive_failures < kHardFailuresToEject && !upstream.on_probation) return;
  if (is_unresponsive && !upstream.was_unresponsive) {
    upstream.unresponsive_since = std::max(upstream.last_alive_at, upstream.busy_since);
  }
  upstream.was_unresponsive |= is_unresponsive;
  eject(upstream);
}

bool Health::on_health_check_result(const HealthCheckResult& result) {
  Upstream* upstream = context_.upstreams.find(result.server);
  if (!upstream || (!upstream->health_check_pending && !result.is_late)) return false;
  upstream->health_check_pending = upstream->health_check_pending && result.is_late;
  if (result.is_healthy || result.is_alive) record_health_check_response(*upstream, result);
  upstream->health_check_passed = result.is_healthy;
  if (result.is_healthy) return false;
  if (!result.is_alive) return on_unanswered_health_check(*upstream);
  // The server is overloaded: it gets no new attempts for a while and keeps those in flight.
  if (upstream->is_parent() || upstream->on_probation) eject(*upstream);
  return false;
}

void Health::check_unresponsive(const RequestTable& requests) {
  update_response_due_times(context_, requests);
  for (const auto& [id, state] : requests) {
    if (const AttemptState* attempt = state.attempt_in_flight()) {
      check_unresponsive_parent(state, *attempt);
    }
  }
  const Time max_interval = max_response_interval();
  for (Upstream* cache : context_.upstreams.caches()) {
    check_unresponsive_cache(*cache, max_interval);
  }
}

void Health::check_ejected() {
  for (auto& [id, upstream] : context_.upstreams.all()) {
    slow_start_.update(upstream);
    const bool awaits_check =
        upstream.on_probation && !upstream.health_check_passed && !upstream.health_check_pending;
    const bool ejection_is_over = context_.now >= upstream.ejected_until;
    if (awaits_check && ejection_is_over && upstream.is_ready() && needs_health_check(upstream)) {
      send_health_check(upstream);
    }
  }
}

bool Health::needs_health_check(const Upstream& upstream) const {
  const bool is_own_cache =
      upstream.is_cache() && upstream.server.location == context_.settings.location;
  return context_.settings.health_checks_allowed && (upstream.is_parent() || is_own_cache);
}

void Health::send_health_check(Upstream& upstream) {
  upstream.health_check_pending = true;
  upstream.health_check_sent_at = context_.now;
  context_.emit(HealthCheck{upstream.server.id});
}

void Health::record_response(Upstream& upstream) {
  if (upstream.is_cache()) {
    const Time previous = std::exchange(upstream.last_response_at, context_.now);
    const Time since = std::max(upstream.busy_since, previous);
    response_interval_.add_sample(static_cast<double>(context_.now - since));
  }
  upstream.last_alive_at = context_.now;
  upstream.responses.add(context_.now, 1);
}

void Health::record_success(Upstream& upstream) {
  // A server that responds again after it was unresponsive may have restarted with an empty cache.
  if (upstream.was_unresponsive && upstream.server.role != Role::origin) {
    slow_start_.begin(upstream, context_.now, StartEvidence::suspected);
  }
  upstream.clear_failures();
}

void Health::record_health_check_response(Upstream& upstream, const HealthCheckResult& result) {
  upstream.last_alive_at = context_.now;
  upstream.unanswered_health_checks = 0;
  // A connection that is older than the unresponsive period proves that the process has not
  // restarted.
  const Time unresponsive_time = context_.now - upstream.unresponsive_since;
  if (result.connection_age > unresponsive_time) upstream.was_unresponsive = false;
  const bool was_tested = upstream.is_parent() && upstream.on_probation;
  if (result.is_healthy && was_tested) record_success(upstream);
}

void Health::on_error(Upstream& upstream) {
  upstream.errors.add(context_.now, 1);
  if (upstream.on_probation || is_outlier(upstream)) eject(upstream);
}

void Health::on_reset(Upstream& upstream) {
  if (!needs_health_check(upstream) || upstream.on_probation) {
    record_hard_failure(upstream, false);
    return;
  }
  // A single reset connection does not prove that the server is faulty, so a health check decides.
  if (!upstream.health_check_pending) send_health_check(upstream);
  if (std::exchange(upstream.last_connection_reset, context_.now) == context_.now) return;
  upstream.count_response(context_.now, true);
  if (is_outlier(upstream)) eject(upstream);
}

bool Health::on_unanswered_health_check(Upstream& upstream) {
  const bool was_in_rotation = !upstream.on_probation;
  if (was_in_rotation && upstream.last_alive_at >= upstream.health_check_sent_at) return false;
  if (!upstream.was_unresponsive && upstream.unanswered_health_checks == 0) {
    upstream.unresponsive_since = upstream.health_check_sent_at;
  }
  if (was_in_rotation && upstream.is_parent()) {
    ++upstream.unanswered_health_checks;
    if (upstream.unanswered_health_checks < kUnansweredChecksToEjectParent) {
      send_health_check(upstream);
      return false;
    }
  }
  upstream.was_unresponsive |= was_in_rotation;
  eject(upstream);
  return was_in_rotation;
}

void Health::check_unresponsive_cache(Upstream& cache, Time max_interval) {
  if (cache.attempts_in_flight == 0 || cache.health_check_pending || cache.on_probation) return;
  const Time expected_at = std::max(cache.first_response_due, cache.last_alive_at);
  if (context_.now > expected_at + max_interval) send_health_check(cache);
}

void Health::check_unresponsive_parent(const RequestState& state, const AttemptState& attempt) {
  if (!attempt.may_reach_origin) return;
  if (context_.now <= attempt.sent_at + response_timeout(state.request)) return;
  Upstream* source = context_.upstreams.find(attempt.source);
  if (!source || !source->is_parent()) return;
  if (source->health_check_pending || source->on_probation) return;
  const Time last_check = std::max(source->health_check_sent_at, source->last_alive_at);
  if (context_.now >= last_check + kMinParentCheckInterval) send_health_check(*source);
}

Time Health::max_response_interval() const {
  const double unusual =
      response_interval_.value + kMaxUsualDeviations * response_interval_.deviation;
  return std::max(kMinUnresponsiveTime, static_cast<Time>(unusual));
}

}  // namespace alderspur::policy
