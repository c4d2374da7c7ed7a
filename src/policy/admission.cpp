#include "policy/admission.h"

#include <algorithm>
#include <cmath>

#include "policy_state/outcome.h"

namespace alderspur::policy {
namespace {

using estimators::kMillisecond;

/// Excess over the objective at which the concurrency limit neither rises nor falls. Between these
/// bounds it is the unloaded excess and a margin.
constexpr double kMinTargetExcess = 0.3;
constexpr double kMaxTargetExcess = 0.4;
constexpr double kUnloadedExcessMargin = 0.15;
/// The same for the limit on work that may wait for the origin.
constexpr double kOriginTargetExcess = 0.5;
/// Each response moves a limit by this fraction of its distance from the target.
constexpr double kLimitStep = 0.03;
/// Minimum of the concurrency limit: seconds for each cache, and a fraction of this router's share
/// of the configured sizes.
constexpr double kMinSecondsPerCache = 0.5;
constexpr double kMinFractionOfSize = 0.25;
/// Minimum of the origin's limit, in seconds over all routers.
constexpr double kMinOriginLimitSeconds = 4.5;
/// Up to this multiple of its minimum the limit is low enough for responses to show the excess
/// without load.
constexpr double kMaxUnloadedLimitFactor = 2;
constexpr double kUnloadedLearningRate = 0.03;
constexpr double kUnloadedForgettingRate = 0.002;
/// Up to this multiple of the limit is open to requests that cost little for their weight.
constexpr double kMaxLowCostFactor = 2;
/// Guards divisions by weights and costs.
constexpr double kMinDivisor = 1e-9;
constexpr double kShedLearningRate = 0.05;
constexpr double kRetriesPerRequest = 0.15;
constexpr double kMaxSavedRetries = 6;
constexpr double kInitialRetries = kMaxSavedRetries / 2;
constexpr Time kMinRetryAfter = 400 * kMillisecond;
/// With all requests shed, the pause grows by this multiple of kMinRetryAfter.
constexpr double kShedRetryAfterFactor = 8;

}  // namespace

Admission::Admission(RoutingContext& context, const Health& health, const SlowStart& slow_start)
    : context_(context), health_(health), slow_start_(slow_start), retry_budget_{kInitialRetries} {}

bool Admission::should_shed(const Request& request) {
  const double weight = context_.class_settings(request).priority_weight;
  const double cost = context_.workload.transfer_time(request) / std::max(weight, kMinDivisor);
  average_cost_.learn(cost);
  const double low_cost_factor =
      std::clamp(average_cost_.value / std::max(cost, kMinDivisor), 1.0, kMaxLowCostFactor);
  const double limit = limit_.value * low_cost_factor;
  const bool has_caches = !context_.upstreams.caches().empty();
  const bool is_over_limit = has_caches && context_.upstreams.transfer_time_in_flight() > limit;
  shed_fraction_ += kShedLearningRate * ((is_over_limit ? 1 : 0) - shed_fraction_);
  return is_over_limit;
}

double Admission::concurrency_limit() const {
  return limit_.value < estimators::kUnlimited ? limit_.value : 0;
}

void Admission::record_outcome(const Request& request, const AttemptOutcome& outcome) {
  if (fill_failed(outcome)) return;
  const bool is_overloaded = outcome.result == AttemptResult::overloaded;
  if (!is_overloaded && outcome.result != AttemptResult::ok) return;
  // The wait for the first byte of a fill source says nothing about the load of the cache.
  const Time own_time = std::max<Time>(0, outcome.elapsed - outcome.time_to_first_byte);
  const double excess =
      is_overloaded ? kMaxExcess : context_.workload.excess_over_objective(request, own_time);
  const double min_limit = min_concurrency_limit();
  update_unloaded_excess(excess, min_limit);
  const double target =
      std::clamp(unloaded_excess_ + kUnloadedExcessMargin, kMinTargetExcess, kMaxTargetExcess);
  const double step = kLimitStep * std::sqrt(context_.fleet.evidence_scale(Scope::location));
  const double in_flight = context_.upstreams.transfer_time_in_flight();
  limit_.adjust(step, target - excess, min_limit, in_flight);
}

void Admission::record_origin_wait(const Request& request, Time waited, bool has_failed) {
  const double excess =
      has_failed ? kMaxExcess : context_.workload.excess_over_objective(request, waited);
  const double step = kLimitStep * std::sqrt(context_.fleet.evidence_scale(Scope::fleet));
  const double min_limit = kMinOriginLimitSeconds / context_.fleet.router_count(Scope::fleet);
  const double in_flight = std::max(origin_work_.in_flight, min_concurrency_limit());
  origin_work_.limit.adjust(step, kOriginTargetExcess - excess, min_limit, in_flight);
}

void Admission::refill_retry_budget() { retry_budget_.add(kRetriesPerRequest, kMaxSavedRetries); }

Time Admission::retry_after() {
  const double factor = 1 + kShedRetryAfterFactor * shed_fraction_ + context_.draw();
  return static_cast<Time>(static_cast<double>(kMinRetryAfter) * factor);
}

void Admission::update_unloaded_excess(double excess, double min_limit) {
  // Time that responses take even with little in flight is no congestion: counted as such, it would
  // hold the limit at its minimum.
  if (limit_.value < kMaxUnloadedLimitFactor * min_limit) {
    unloaded_excess_ += kUnloadedLearningRate * (excess - unloaded_excess_);
  } else {
    unloaded_excess_ -= kUnloadedForgettingRate * unloaded_excess_;
  }
}

double Admission::min_concurrency_limit() const {
  const auto& caches = context_.upstreams.caches();
  double usable_weight = 0;
  for (const Upstream* cache : caches) {
    if (health_.is_usable(*cache)) usable_weight += slow_start_.effective_weight(*cache);
  }
  const double routers = context_.fleet.router_count(Scope::location);
  const bool has_sizes = context_.workload.weights_are_sizes();
  const double by_size = has_sizes ? kMinFractionOfSize * usable_weight / routers : 0;
  const double scale = context_.fleet.evidence_scale(Scope::location);
  return std::max(by_size, kMinSecondsPerCache * static_cast<double>(caches.size()) / scale);
}

}  // namespace alderspur::policy
