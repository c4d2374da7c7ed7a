#include "policy_state/workload_model.h"

#include <algorithm>

namespace alderspur::policy {

using estimators::kSecond;

double WorkloadModel::transfer_time(const Request& request) const {
  const double rate = settings_.stream_kb_per_second;
  if (estimators::positive_or_zero(request.size_kb) > 0 && rate > 0) return request.size_kb / rate;
  return class_transfer_time(request.class_id);
}

double WorkloadModel::class_transfer_time(ClassId class_id) const {
  const ClassEstimates& estimates = by_class_[class_id.value];
  const double rate = settings_.stream_kb_per_second;
  if (estimates.size_kb.has_samples && rate > 0) return estimates.size_kb.value / rate;
  if (estimates.hit_time.has_samples) return estimates.hit_time.value;
  return static_cast<double>(settings_.classes[class_id.value].latency_objective) / kSecond;
}

double WorkloadModel::longest_class_transfer_time() const {
  double longest = 0;
  for (std::uint32_t index = 0; index < by_class_.size(); ++index) {
    longest = std::max(longest, class_transfer_time({index}));
  }
  return longest;
}

Time WorkloadModel::latency_objective(const Request& request) const {
  const ClassSettings& settings = class_settings(request);
  const double stretch = settings.latency_objective_stretch * transfer_time(request) * kSecond;
  return settings.latency_objective + static_cast<Time>(stretch);
}

double WorkloadModel::excess_over_objective(const Request& request, Time elapsed) const {
  const double transfer = transfer_time(request) * kSecond;
  const double spare = std::max(1.0, static_cast<double>(latency_objective(request)) - transfer);
  return std::clamp((static_cast<double>(elapsed) - transfer) / spare, 0.0, kMaxExcess);
}

double WorkloadModel::usual_response_time(const Request& request) const {
  return static_cast<double>(class_settings(request).latency_objective) +
         transfer_time(request) * kSecond;
}

double WorkloadModel::load(const Request& request) {
  const double size = estimators::positive_or_zero(request.size_kb);
  return size > 0 ? size : 1;
}

}  // namespace alderspur::policy
