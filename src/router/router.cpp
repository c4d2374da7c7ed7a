// The router: takes events in, keeps each request's state, and asks the parts of the policy what to
// do.
#include "alderspur/router.h"

#include <algorithm>
#include <utility>

#include "policy/attempts.h"
#include "policy/send_rules.h"
#include "policy_state/timer_table.h"

namespace alderspur {
namespace {

using estimators::kSecond;
using policy::AttemptState;
using policy::ObjectState;
using policy::RequestState;
using policy::TimerKind;
using policy::Upstream;

constexpr Time kHousekeepingPeriod = kSecond;
constexpr Time kSubscribeAgainAfter = kSecond;
/// A fill begun before a purge may land after caches have settled; purges are remembered longer.
constexpr Time kPurgeMemory = 4 * kSecond;
/// Share of the router, for one of its processes, at the least.
constexpr double kMinProcessShare = 0.01;
/// With at most this many attempts in flight a hit's time tells its own transfer time.
constexpr int kUndisturbed = 2;

}  // namespace

class Router::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : context_(settings, seed) {}

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    context_.actions = &actions;
    advance(now);
    if (!std::exchange(started_, true)) start();
    std::visit([this](const auto& typed_event) { on(typed_event); }, event);
    context_.actions = nullptr;
  }
  bool may_send(Time now, RequestId id, AttemptNo number) {
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
  double concurrency_limit() const { return parts_.admission.concurrency_limit(); }
  std::vector<EndpointStatus> endpoint_statuses(Time now) {
    advance(now);
    std::vector<EndpointStatus> statuses;
    for (const auto& [id, upstream] : context_.upstreams.all()) {
      if (!upstream.is_cache() || upstream.server.status == ServerStatus::gone) continue;
      const bool is_usable = upstream.is_ready() && parts_.health.is_usable(upstream);
      statuses.push_back(
          {upstream.server, is_usable, parts_.slow_start.effective_weight(upstream)});
    }
    return statuses;
  }

 private:
  void advance(Time now) { context_.now = std::max(context_.now, now); }
  void start() {
    set_timer(context_.now + kHousekeepingPeriod, {TimerKind::housekeeping});
    if (context_.settings.health_checks_allowed) {
      set_timer(context_.now + policy::kSilenceCheckPeriod, {TimerKind::silence_check});
    }
    if (context_.settings.must_subscribe_to_endpoints) context_.emit(Subscribe{});
  }
  void set_timer(Time at, const policy::Timer& timer) {
    context_.emit(SetTimer{timers_.add(timer), std::max(at, context_.now + 1)});
  }

  // ---- Servers ----

  void on(const EndpointUpdate& update) {
    if (update.has_failed) {
      set_timer(context_.now + kSubscribeAgainAfter, {TimerKind::subscribe_again});
      return;
    }
    if (update.is_complete) context_.upstreams.retain(update.servers);
    for (const auto& server : update.servers) apply(server);
    context_.upstreams.regroup();
  }
  void apply(const Server& server) {
    const auto change = context_.upstreams.apply(server);
    if (server.role == Role::origin) return;
    if (change.has_restarted || (change.is_new && server.started_at > 0)) {
      parts_.slow_start.begin(change.upstream, server.started_at, true);
    } else if (change.has_returned) {
      parts_.slow_start.begin(change.upstream, context_.now, true);
    }
  }
  void on(const Ban& ban) {
    if (!context_.upstreams.set_ban(ban)) return;
    const Upstream* upstream = context_.upstreams.find(ban.server);
    if (!upstream) return;
    Server server = upstream->server;
    // While it was banned anything may have been done to it: it comes back as one that has just
    // started.
    if (!ban.is_banned) server.started_at = context_.now;
    apply(server);
    context_.upstreams.regroup();
  }
  void on(const BudgetShare& budget) {
    if (budget.concurrency_limit > 0 && concurrency_limit() <= 0) {
      parts_.admission.set_concurrency_limit(budget.concurrency_limit);
    }
    // The other process has had the first sends, which the drawn debts are to spread.
    const bool is_less = budget.process_share < context_.fleet.budget().process_share;
    if (is_less && !parts_.selection.has_objects()) parts_.slow_start.clear_quotas();
    BudgetShare bounded = budget;
    bounded.process_share = std::max(budget.process_share, kMinProcessShare);
    context_.fleet.set_budget(bounded);
  }
  void on(const HealthCheckResult& result) {
    if (parts_.health.judge_health_check(result)) attempts_.evacuate(result.server);
  }
  void on(const Purge& purge) { context_.purges.record(purge, context_.now); }

  // ---- Requests ----

  void on(const Request& request) {
    if (requests_.contains(request.id)) return;
    if (request.class_id.value >= context_.settings.classes.size()) {
      context_.emit(Fail{request.id});
      return;
    }
    RequestState& state = requests_[request.id];
    state.request = request;
    state.deadline = context_.now + std::max<Time>(request.time_budget, 0);
    parts_.admission.earn_retries();
    if (estimators::positive_or_zero(request.size_kb) > 0) {
      context_.workload.estimates(request).size_kb.learn(request.size_kb);
    }
    ObjectState& object = parts_.selection.object(request.object);
    const Time fresh_time = context_.class_settings(request).fresh_time;
    const bool is_aged = fresh_time > 0 && context_.now > object.last_fetched + fresh_time;
    const bool is_known = object.note_part(request.part);
    state.is_likely_miss = !is_known || is_aged || context_.purges.is_purged(request);
    object.last_request = context_.now;
    set_timer(state.deadline, {TimerKind::request_deadline, request.id});
    attempts_.begin(state);
  }
  void on(const ResponseStarted& event) {
    if (const auto found = requests_.find(event.id); found != requests_.end()) {
      found->second.response_started = found->second.is_open;
    }
  }
  void on(const ClientGone& event) {
    const auto found = requests_.find(event.id);
    if (found == requests_.end()) return;
    RequestState& state = found->second;
    if (event.response_owed && !state.response_started) attempts_.give_up(state);
    attempts_.finish(state);
  }
  void on(const AttemptOutcome& outcome) {
    const auto found = requests_.find(outcome.id);
    if (found == requests_.end()) return;
    RequestState& state = found->second;
    if (outcome.attempt.value >= state.attempts.size()) return;
    AttemptState& attempt = state.attempts[outcome.attempt.value];
    if (!std::exchange(attempt.in_flight, false)) return;
    context_.fill_outcomes_are_told |= outcome.fill_outcome != FillOutcome::none;
    Upstream* upstream = context_.upstreams.find(attempt.server);
    const bool on_probation = upstream && upstream->on_probation;
    const bool ask_again = !on_probation && parts_.fills.suspect_source(state, attempt, outcome);
    attempt.never_ran = policy::never_ran(outcome.result);
    record_outcome(state, attempt, outcome, upstream, ask_again);
    if (outcome.response_delivered || outcome.result == AttemptResult::ok) {
      return attempts_.finish(state);
    }
    if (state.is_open && !state.attempt_in_flight()) {
      attempts_.follow_up(state, attempt, outcome, upstream, ask_again);
    }
    if (!state.is_open) attempts_.finish(state);
  }
  void record_outcome(const RequestState& state, const AttemptState& attempt,
                      const AttemptOutcome& outcome, Upstream* upstream, bool is_ambiguous) {
    const Request& request = state.request;
    if (attempt.may_reach_origin) parts_.admission.origin_work().end(attempt.transfer_time);
    if (upstream) {
      upstream->end_transfer(attempt.transfer_time);
      parts_.health.judge(*upstream, request, attempt, outcome);
    }
    if (parts_.fills.judge_source(request, attempt, outcome)) {
      parts_.selection.object(request.object).last_fetched = context_.now;
    }
    if (!is_ambiguous) parts_.admission.learn(request, outcome);
    if (outcome.result != AttemptResult::ok) return;
    if (attempt.server == state.cache_asked_again) parts_.fills.blame(state.suspected_source);
    if (upstream) learn_response(request, outcome, *upstream);
  }
  void learn_response(const Request& request, const AttemptOutcome& outcome, Upstream& upstream) {
    parts_.selection.record_served(request, upstream);
    auto& estimates = context_.workload.estimates(request);
    const auto elapsed = static_cast<double>(outcome.elapsed);
    const bool undisturbed = upstream.attempts_in_flight < kUndisturbed;
    if (outcome.fill_outcome == FillOutcome::hit && undisturbed) {
      estimates.hit_time.learn(elapsed / kSecond);
    }
    const double usual = context_.workload.usual_response_time(request);
    estimates.slowness.learn(elapsed / std::max(1.0, usual));
  }

  // ---- Timers ----

  void on(const TimerExpired& event) {
    const auto timer = timers_.take(event.timer);
    if (!timer) return;
    switch (timer->kind) {
      case TimerKind::housekeeping:
        return keep_house();
      case TimerKind::silence_check:
        set_timer(context_.now + policy::kSilenceCheckPeriod, *timer);
        return parts_.health.check_silent(requests_);
      case TimerKind::subscribe_again:
        return context_.emit(Subscribe{});
      case TimerKind::request_deadline:
        return on(ClientGone{timer->request, true});
    }
  }
  void keep_house() {
    set_timer(context_.now + kHousekeepingPeriod, {TimerKind::housekeeping});
    parts_.slow_start.learn_capacity();
    parts_.selection.clean_up();
    const Time memory = context_.settings.purge_propagation_time + kPurgeMemory;
    context_.purges.forget_before(context_.now - memory);
    context_.upstreams.remove_gone();
    context_.upstreams.regroup();
    parts_.health.check_ejected();
  }

  policy::RoutingContext context_;
  policy::RequestTable requests_;
  policy::TimerTable timers_;
  bool started_ = false;
  policy::PolicyParts parts_{context_};
  policy::Attempts attempts_{context_, requests_, parts_};
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}
bool Router::may_send(Time now, RequestId id, AttemptNo number) const {
  return impl_->may_send(now, id, number);
}
std::vector<EndpointStatus> Router::endpoint_statuses(Time now) {
  return impl_->endpoint_statuses(now);
}
double Router::concurrency_limit() const { return impl_->concurrency_limit(); }

}  // namespace alderspur
