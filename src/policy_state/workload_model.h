// What requests cost.
#pragma once

#include <vector>

#include "alderspur/router.h"
#include "estimators/estimators.h"

namespace alderspur::policy {

using estimators::MovingAverage;

/// Upper bound of WorkloadModel::excess_over_objective().
constexpr double kMaxExcess = 2;

/// What was learned from the requests and responses of one class.
struct ClassEstimates {
  MovingAverage size_kb;
  /// Elapsed time of cache hits, seconds.
  MovingAverage hit_time;
  /// Elapsed time over WorkloadModel::usual_response_time().
  MovingAverage slowness;
};

/// Transfer times and latency objectives of requests, from their sizes and what was learned of
/// their classes. Estimates only: no decisions, no I/O. Owned by RoutingContext; one thread.
/// Transfer times are seconds, all other times microseconds.
class WorkloadModel {
 public:
  /// `settings` must outlive this object.
  explicit WorkloadModel(const Settings& settings)
      : settings_(settings), by_class_(settings.classes.size()) {}

  /// The estimates of the class of a request.
  ClassEstimates& estimates(const Request& request) { return by_class_[request.class_id.value]; }

  /// Seconds that the response takes to send by itself, at the maximum rate of a stream.
  double transfer_time(const Request& request) const;
  /// Seconds that an average response of a class takes to send by itself.
  double class_transfer_time(ClassId class_id) const;
  /// The class_transfer_time() of the class where it is longest.
  double longest_class_transfer_time() const;
  /// Microseconds within which a response earns its full weight.
  Time latency_objective(const Request& request) const;
  /// How much longer than its own transfer time a response took (`elapsed`, microseconds), over the
  /// time that its objective leaves beside it: 0 is as fast as possible, 1 just in time, kMaxExcess
  /// the upper bound.
  double excess_over_objective(const Request& request, Time elapsed) const;
  /// Microseconds within which a response usually comes.
  double usual_response_time(const Request& request) const;

  /// Weights are capacities, in units of the stream rate.
  bool weights_are_sizes() const {
    return settings_.weights == WeightKind::nominal || settings_.weights == WeightKind::rough;
  }
  /// The weight of a server among others; 1 for all where weights are no capacities.
  double weight(const Server& server) const { return weights_are_sizes() ? server.weight : 1; }
  /// The load of a request: KB, or 1 where its size is not known.
  static double load(const Request& request);

 private:
  const ClassSettings& class_settings(const Request& request) const {
    return settings_.classes[request.class_id.value];
  }

  const Settings& settings_;
  std::vector<ClassEstimates> by_class_;
};

}  // namespace alderspur::policy
