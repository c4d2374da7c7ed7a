// Implements the Router: dispatches events, maintains the state of each request, and calls the
// parts of the routing policy for decisions.
#include "alderspur/router.h"

#include <algorithm>
#include <utility>

#include "policy/attempts.h"
#include "policy/policy_parts.h"
#include "policy/send_rules.h"
#include "policy_state/outcome.h"
#include "policy_state/routing_context.h"
#include "policy_state/timer_table.h"

namespace alderspur {
namespace {

using estimators::kSecond;
using policy::AttemptState;
using policy::ObjectState;
using policy::RequestState;
using policy::StartEvidence;
using policy::TimerKind;
using policy::Upstream;

constexpr Time kHousekeepingPeriod = kSecond;
constexpr Time kResubscribeDelay = kSecond;
/// Purges are stored for this long in addition to Settings::purge_propagation_time, because a fill
/// that began before a purge may end after it.
constexpr Time kPurgeRetention = 4 * kSecond;
/// Minimum share of the router's budget for one of its processes.
constexpr double kMinProcessShare = 0.01;
/// With fewer attempts than this in flight at a cache, the time of a hit is its transfer time
/// alone.
constexpr int kMinConcurrentAttempts = 2;

}  // namespace

/// Holds the state of a router and handles its events.
class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : context_(settings, seed) {}

  void handle(Time now, const Event& event, std::vector<Action>& actions);
  bool may_send(Time now, RequestId id, AttemptNo number);
  std::vector<EndpointStatus> endpoint_statuses(Time now);
  bool may_have_run(const Request& request) const;
  std::size_t remembered_requests() const { return context_.history.size(); }
  double concurrency_limit() const { return parts_.admission.concurrency_limit(); }

 private:
  /// Sets the current time. The clock of the router never steps back.
  void advance(Time now) { context_.now = std::max(context_.now, now); }
  /// Sets the periodic timers and subscribes to endpoints. Must be called before the first event.
  void start();
  void set_timer(Time at, const policy::Timer& timer);

  void on(const EndpointUpdate& update);
  void on(const Ban& ban);
  void on(const BudgetShare& budget);
  void on(const HealthCheckResult& result);
  void on(const Purge& purge) { context_.purges.record(purge, context_.now); }
  /// Applies an endpoint list entry and begins the slow start of a server that has started.
  void apply(const Server& server);

  void on(const Request& request);
  void on(const ResponseStarted& event);
  void on(const ClientGone& event);
  void on(const AttemptOutcome& outcome);
  /// Records a request for its object. Returns true if probably no cache has a current copy.
  bool record_object_request(const Request& request);
  /// Reports the outcome of an attempt to all parts of the policy. `upstream` is null if the server
  /// is no longer in the table. `is_ambiguous` is true if either the cache or its source may have
  /// caused the failure.
  void record_outcome(const RequestState& state, const AttemptState& attempt,
                      const AttemptOutcome& outcome, Upstream* upstream, bool is_ambiguous);
  /// Records a successful response in the load statistics and the averages of its class.
  void record_response(const Request& request, const AttemptOutcome& outcome, Upstream& upstream);

  void on(const TimerExpired& event);
  void do_housekeeping();

  policy::RoutingContext context_;
  policy::RequestTable requests_;
  policy::TimerTable timers_;
  bool has_started_ = false;
  policy::PolicyParts parts_{context_};
  policy::Attempts attempts_{context_, requests_, parts_};
};

void Router::Impl::handle(Time now, const Event& event, std::vector<Action>& actions) {
  context_.actions = &actions;
  advance(now);
  if (!std::exchange(has_started_, true)) start();
  std::visit([this](const auto& typed_event) { on(typed_event); }, event);
  attempts_.start_waiting_tries();
  context_.actions = nullptr;
}

bool Router::Impl::may_send(Time now, RequestId id, AttemptNo number) {
  advance(now);
  const auto found = requests_.find(id);
  if (found == requests_.end() || number.value >= found->second.attempts.size()) return false;
  const AttemptState& attempt = found->second.attempts[number.value];
  const Upstream* upstream = context_.upstreams.find(attempt.server);
  if (!upstream || !upstream->is_ready()) return false;
  const Upstream* source = context_.upstreams.find(attempt.source);
  if (attempt.source != ServerId{} && !(source && source->is_ready())) return false;
  return policy::may_attempt(context_, found->second, upstream->server, number.value);
}

bool Router::Impl::may_have_run(const Request& request) const {
  return request.class_id.value < context_.settings.classes.size() &&
         policy::may_have_run(context_, request);
}

std::vector<EndpointStatus> Router::Impl::endpoint_statuses(Time now) {
  advance(now);
  std::vector<EndpointStatus> statuses;
  for (const auto& [id, upstream] : context_.upstreams.all()) {
    if (!upstream.is_cache() || upstream.server.status == ServerStatus::gone) continue;
    const bool is_usable = upstream.is_ready() && parts_.health.is_usable(upstream);
    statuses.push_back({upstream.server, is_usable, parts_.slow_start.effective_weight(upstream)});
  }
  return statuses;
}

void Router::Impl::start() {
  set_timer(context_.now + kHousekeepingPeriod, {TimerKind::housekeeping});
  if (context_.settings.health_checks_allowed) {
    set_timer(context_.now + policy::kUnresponsiveCheckPeriod, {TimerKind::unresponsive_check});
  }
  if (context_.settings.must_subscribe_to_endpoints) context_.emit(Subscribe{});
}

void Router::Impl::set_timer(Time at, const policy::Timer& timer) {
  context_.emit(SetTimer{timers_.add(timer), std::max(at, context_.now + 1)});
}

// ---- Servers ----

void Router::Impl::on(const EndpointUpdate& update) {
  if (update.has_failed) {
    set_timer(context_.now + kResubscribeDelay, {TimerKind::resubscribe});
    return;
  }
  if (update.is_complete) context_.upstreams.mark_unlisted_as_gone(update.servers);
  for (const auto& server : update.servers) apply(server);
  context_.upstreams.regroup();
}

void Router::Impl::on(const Ban& ban) {
  if (!context_.upstreams.set_ban(ban)) return;
  const Upstream* upstream = context_.upstreams.find(ban.server);
  if (!upstream) return;
  Server server = upstream->server;
  // The server may have restarted during the ban, so it counts as newly started.
  if (!ban.is_banned) server.started_at = context_.now;
  apply(server);
  context_.upstreams.regroup();
}

void Router::Impl::on(const BudgetShare& budget) {
  if (budget.concurrency_limit > 0 && concurrency_limit() <= 0) {
    parts_.admission.set_concurrency_limit(budget.concurrency_limit);
  }
  // Slow start debts spread the first requests of a router. The other process of this router has
  // already sent those, so this process starts without debts.
  const bool is_reduced = budget.process_share < context_.fleet.budget().process_share;
  if (is_reduced && !parts_.selection.has_objects()) parts_.slow_start.clear_quotas();
  BudgetShare bounded = budget;
  bounded.process_share = std::max(budget.process_share, kMinProcessShare);
  context_.fleet.set_budget(bounded);
}

void Router::Impl::on(const HealthCheckResult& result) {
  const bool became_unresponsive = parts_.health.on_health_check_result(result);
  if (became_unresponsive) attempts_.cancel_attempts_for_retry(result.server);
}

void Router::Impl::apply(const Server& server) {
  const auto change = context_.upstreams.apply(server);
  if (server.role == Role::origin) return;
  if (change.has_restarted || (change.is_new && server.started_at > 0)) {
    parts_.slow_start.begin(change.upstream, server.started_at, StartEvidence::reported);
  } else if (change.has_returned) {
    parts_.slow_start.begin(change.upstream, context_.now, StartEvidence::reported);
  }
}

// ---- Requests ----

void Router::Impl::on(const Request& request) {
  if (requests_.contains(request.id)) return;
  if (request.class_id.value >= context_.settings.classes.size()) {
    context_.emit(Fail{request.id});
    return;
  }
  RequestState& state = requests_[request.id];
  state.request = request;
  state.arrived_at = context_.now;
  state.deadline = context_.now + std::max<Time>(request.time_budget, 0);
  parts_.admission.refill_retry_budget();
  if (estimators::positive_or_zero(request.size_kb) > 0) {
    context_.workload.estimates(request).size_kb.add_sample(request.size_kb);
  }
  state.is_likely_miss = record_object_request(request);
  set_timer(state.deadline, {TimerKind::request_deadline, request.id});
  attempts_.begin(state);
}

bool Router::Impl::record_object_request(const Request& request) {
  ObjectState& object = parts_.selection.object(request.object);
  const Time fresh_time = context_.class_settings(request).fresh_time;
  const bool is_stale = fresh_time > 0 && context_.now > object.last_fetched + fresh_time;
  const bool is_known = object.record_part(request.part);
  object.last_request = context_.now;
  return !is_known || is_stale || context_.purges.is_purged(request);
}

void Router::Impl::on(const ResponseStarted& event) {
  const auto found = requests_.find(event.id);
  if (found == requests_.end()) return;
  found->second.response_started = found->second.is_open;
}

void Router::Impl::on(const ClientGone& event) {
  const auto found = requests_.find(event.id);
  if (found == requests_.end()) return;
  RequestState& state = found->second;
  if (event.response_owed && !state.response_started) attempts_.reject_or_fail(state);
  attempts_.close(state);
}

void Router::Impl::on(const AttemptOutcome& outcome) {
  const auto found = requests_.find(outcome.id);
  if (found == requests_.end()) return;
  RequestState& state = found->second;
  if (outcome.attempt.value >= state.attempts.size()) return;
  AttemptState& attempt = state.attempts[outcome.attempt.value];
  if (!std::exchange(attempt.in_flight, false)) return;
  context_.fill_outcomes_are_reported |= outcome.fill_outcome != FillOutcome::none;
  Upstream* upstream = context_.upstreams.find(attempt.server);
  const bool on_probation = upstream && upstream->on_probation;
  const bool retry_same_server =
      !on_probation && parts_.fills.suspect_source(state, attempt, outcome);
  attempt.never_ran = policy::never_ran(outcome.result);
  if (policy::is_remembered(context_, state.request)) {
    context_.history.record_outcome(state.request, attempt);
  }
  record_outcome(state, attempt, outcome, upstream, retry_same_server);
  if (outcome.response_delivered || outcome.result == AttemptResult::ok) {
    attempts_.close(state);
    return;
  }
  if (state.is_open && !state.attempt_in_flight()) {
    attempts_.on_attempt_failed(state, attempt, outcome, upstream, retry_same_server);
  }
  if (!state.is_open) attempts_.close(state);
}

void Router::Impl::record_outcome(const RequestState& state, const AttemptState& attempt,
                                  const AttemptOutcome& outcome, Upstream* upstream,
                                  bool is_ambiguous) {
  const Request& request = state.request;
  if (attempt.may_reach_origin) parts_.admission.origin_work().end(attempt.transfer_time);
  if (upstream) {
    upstream->end_transfer(attempt.transfer_time);
    parts_.health.record_outcome(*upstream, request, attempt, outcome);
  }
  if (parts_.fills.record_source_outcome(request, attempt, outcome)) {
    parts_.selection.object(request.object).last_fetched = context_.now;
  }
  if (!is_ambiguous) parts_.admission.record_outcome(request, outcome);
  if (outcome.result != AttemptResult::ok) return;
  if (attempt.server == state.retried_cache) {
    parts_.fills.record_source_failure(state.suspected_source);
  }
  if (upstream) record_response(request, outcome, *upstream);
}

void Router::Impl::record_response(const Request& request, const AttemptOutcome& outcome,
                                   Upstream& upstream) {
  parts_.selection.record_served(request, upstream);
  auto& estimates = context_.workload.estimates(request);
  const auto elapsed = static_cast<double>(outcome.elapsed);
  const bool is_uncontended = upstream.attempts_in_flight < kMinConcurrentAttempts;
  if (outcome.fill_outcome == FillOutcome::hit && is_uncontended) {
    estimates.hit_time.add_sample(elapsed / kSecond);
  }
  const double usual = context_.workload.usual_response_time(request);
  estimates.slowness.add_sample(elapsed / std::max(1.0, usual));
}

// ---- Timers ----

void Router::Impl::on(const TimerExpired& event) {
  const auto timer = timers_.take(event.timer);
  if (!timer) return;
  switch (timer->kind) {
    case TimerKind::housekeeping:
      do_housekeeping();
      break;
    case TimerKind::unresponsive_check:
      set_timer(context_.now + policy::kUnresponsiveCheckPeriod, *timer);
      parts_.health.check_unresponsive(requests_);
      break;
    case TimerKind::resubscribe:
      context_.emit(Subscribe{});
      break;
    case TimerKind::request_deadline:
      on(ClientGone{timer->request, true});
      break;
  }
}

void Router::Impl::do_housekeeping() {
  set_timer(context_.now + kHousekeepingPeriod, {TimerKind::housekeeping});
  parts_.slow_start.update_capacity();
  parts_.selection.clean_up();
  const Time retention = context_.settings.purge_propagation_time + kPurgeRetention;
  context_.purges.remove_before(context_.now - retention);
  context_.history.remove_expired(context_.now);
  context_.upstreams.remove_gone();
  context_.upstreams.regroup();
  parts_.health.check_ejected();
}

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}

Router::~Router() = default;

Router::Router(Router&&) noexcept = default;

Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

bool Router::may_send(Time now, RequestId id, AttemptNo attempt) const {
  return impl_->may_send(now, id, attempt);
}

bool Router::may_have_run(const Request& request) const { return impl_->may_have_run(request); }

std::size_t Router::remembered_requests() const { return impl_->remembered_requests(); }

std::vector<EndpointStatus> Router::endpoint_statuses(Time now) {
  return impl_->endpoint_statuses(now);
}

double Router::concurrency_limit() const { return impl_->concurrency_limit(); }

}  // namespace alderspur
