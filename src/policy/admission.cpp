#include "policy/admission.h"

#include <algorithm>
#include <cmath>

#include "policy_state/outcome.h"

namespace alderspur::policy {
namespace {

using estimators::kMillisecond;

/// The target excess over the objective, at which the concurrency limit neither rises nor falls. It
/// is the excess without load plus a margin, clamped to these bounds.
constexpr double kMinTargetExcess = 0.3;
constexpr double kMaxTargetExcess = 0.4;
constexpr double kUnloadedExcessMargin = 0.15;
/// The target excess for the limit on work that may wait for the origin.
constexpr double kOriginTargetExcess = 0.5;
/// The relative change of a limit per response, for a distance of 1 between the excess and its
/// target.
constexpr double kLimitStep = 0.03;
/// Two lower bounds of the concurrency limit: seconds of transfer time per cache, and a fraction of
/// this router's share of the configured capacities.
constexpr double kMinSecondsPerCache = 0.5;
constexpr double kMinFractionOfCapacity = 0.25;
/// The minimum of the limit on work that may wait for the origin, in seconds of transfer time of
/// all routers together.
constexpr double kMinOriginLimitSeconds = 4.5;
/// While the limit is below this multiple of its minimum, so little work is in flight that
/// responses show the excess without load.
constexpr double kMaxUnloadedLimitFactor = 2;
/// Weight of a new sample in the average excess without load.
constexpr double kUnloadedSmoothingFactor = 0.03;
/// Fraction by which the average excess without load decays per response at higher limits.
constexpr double kUnloadedDecayRate = 0.002;
/// The limit for requests with a low cost for their priority weight is at most this multiple of the
/// limit for other requests.
constexpr double kMaxLowCostFactor = 2;
/// Lower bound of weights and costs in divisions.
constexpr double kMinDivisor = 1e-9;
/// Weight of a new sample in the average fraction of requests that are shed.
constexpr double kShedSmoothingFactor = 0.05;
constexpr double kRetriesPerRequest = 0.15;
constexpr double kMaxSavedRetries = 6;
constexpr double kInitialRetries = kMaxSavedRetries / 2;
constexpr Time kMinRetryAfter = 400 * kMillisecond;
/// If all requests are shed, this multiple of kMinRetryAfter is added to the time after which
/// clients may retry.
constexpr double kShedRetryAfterFactor = 8;

}  // namespace

Admission::Admission(RoutingContext& context, const Health& health, const SlowStart& slow_start)
    : context_(context), health_(health), slow_start_(slow_start), retry_budget_{kInitialRetries} {}

bool Admission::should_shed(const Request& request) {
  const double weight = context_.class_settings(request).priority_weight;
  const double cost = context_.workload.transfer_time(request) / std::max(weight, kMinDivisor);
  average_cost_.add_sample(cost);
  const double low_cost_factor =
      std::clamp(average_cost_.value / std::max(cost, kMinDivisor), 1.0, kMaxLowCostFactor);
  const double limit = limit_.value * low_cost_factor;
  const bool has_caches = !context_.upstreams.caches().empty();
  const bool is_over_limit = has_caches && context_.upstreams.transfer_time_in_flight() > limit;
  shed_fraction_ += kShedSmoothingFactor * ((is_over_limit ? 1 : 0) - shed_fraction_);
  return is_over_limit;
}

double Admission::concurrency_limit() const {
  return limit_.value < estimators::kUnlimited ? limit_.value : 0;
}

void Admission::record_outcome(const Request& request, const AttemptOutcome& outcome) {
  if (fill_failed(outcome)) return;
  const bool is_overloaded = outcome.result == AttemptResult::overloaded;
  if (!is_overloaded && outcome.result != AttemptResult::ok) return;
  // The wait for the first byte from the fill source does not depend on the load of the cache.
  const Time cache_time = std::max<Time>(0, outcome.elapsed - outcome.time_to_first_byte);
  const double excess =
      is_overloaded ? kMaxExcess : context_.workload.excess_over_objective(request, cache_time);
  const double min_limit = min_concurrency_limit();
  update_unloaded_excess(excess, min_limit);
  const double target =
      std::clamp(unloaded_excess_ + kUnloadedExcessMargin, kMinTargetExcess, kMaxTargetExcess);
  const double step = kLimitStep * std::sqrt(context_.fleet.observation_weight(Scope::location));
  const double in_flight = context_.upstreams.transfer_time_in_flight();
  limit_.adjust(step, target - excess, min_limit, in_flight);
}

void Admission::record_origin_wait(const Request& request, Time waited, bool has_failed) {
  const double excess =
      has_failed ? kMaxExcess : context_.workload.excess_over_objective(request, waited);
  const double step = kLimitStep * std::sqrt(context_.fleet.observation_weight(Scope::fleet));
  const double min_limit = kMinOriginLimitSeconds / context_.fleet.router_count(Scope::fleet);
  const double in_flight = std::max(origin_work_.in_flight, min_concurrency_limit());
  origin_work_.limit.adjust(step, kOriginTargetExcess - excess, min_limit, in_flight);
}

void Admission::refill_retry_budget() { retry_budget_.add(kRetriesPerRequest, kMaxSavedRetries); }

Time Admission::retry_after() {
  const double factor = 1 + kShedRetryAfterFactor * shed_fraction_ + context_.draw_uniform();
  return static_cast<Time>(static_cast<double>(kMinRetryAfter) * factor);
}

void Admission::update_unloaded_excess(double excess, double min_limit) {
  // Time that responses take even with little work in flight is not caused by congestion. If it
  // counted as congestion, it would keep the limit at its minimum.
  if (limit_.value < kMaxUnloadedLimitFactor * min_limit) {
    unloaded_excess_ += kUnloadedSmoothingFactor * (excess - unloaded_excess_);
  } else {
    unloaded_excess_ -= kUnloadedDecayRate * unloaded_excess_;
  }
}

double Admission::min_concurrency_limit() const {
  const auto& caches = context_.upstreams.caches();
  double usable_weight = 0;
  for (const Upstream* cache : caches) {
    if (health_.is_usable(*cache)) usable_weight += slow_start_.effective_weight(*cache);
  }
  const double routers = context_.fleet.router_count(Scope::location);
  const bool has_capacities = context_.workload.weights_are_capacities();
  const double by_capacity = has_capacities ? kMinFractionOfCapacity * usable_weight / routers : 0;
  const double scale = context_.fleet.observation_weight(Scope::location);
  return std::max(by_capacity, kMinSecondsPerCache * static_cast<double>(caches.size()) / scale);
}

}  // namespace alderspur::policy
