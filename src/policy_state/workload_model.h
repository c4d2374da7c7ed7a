// Estimates what requests cost: the transfer time and the load of a request, and how its response
// time compares with its latency objective.
#pragma once

#include <vector>

#include "alderspur/router.h"
#include "estimators/estimators.h"

namespace alderspur::policy {

using estimators::MovingAverage;

/// The maximum of WorkloadModel::excess_over_objective().
constexpr double kMaxExcess = 2;

/// Moving averages over the requests and responses of one class.
struct ClassEstimates {
  /// The size of requests with a known size, in KB.
  MovingAverage size_kb;
  /// The elapsed time of cache hits, in seconds.
  MovingAverage hit_time;
  /// The elapsed time divided by WorkloadModel::usual_response_time().
  MovingAverage slowness;
};

/// Computes transfer times and latency objectives of requests from their sizes and from the
/// averages of their classes. Transfer times are in seconds, all other times in microseconds. It
/// makes no decisions. Owned by RoutingContext. Not thread-safe.
class WorkloadModel {
 public:
  /// `settings` must outlive this object.
  explicit WorkloadModel(const Settings& settings)
      : settings_(settings), by_class_(settings.classes.size()) {}

  /// Returns the averages of the class of a request, for reading and for adding samples.
  ClassEstimates& estimates(const Request& request) { return by_class_[request.class_id.value]; }

  /// Returns how long it takes to send the response at the maximum rate of a stream, in seconds. If
  /// the size of the request or the stream rate is unknown, returns class_transfer_time().
  double transfer_time(const Request& request) const;
  /// Returns how long it takes to send an average response of a class, in seconds. Without a known
  /// size or stream rate this is the average time of a cache hit, or the latency objective before
  /// the first hit.
  double class_transfer_time(ClassId class_id) const;
  /// Returns the maximum of class_transfer_time() over all classes, in seconds.
  double longest_class_transfer_time() const;
  /// Returns the time within which a response must arrive to count with its full weight, in
  /// microseconds.
  Time latency_objective(const Request& request) const;
  /// Returns the response time without the transfer time, as a fraction of the time that the
  /// latency objective leaves beside the transfer. `elapsed` is the response time in microseconds.
  /// 0 means that the response was as fast as its transfer permits, and 1 that it just met its
  /// objective. The result is at most kMaxExcess.
  double excess_over_objective(const Request& request, Time elapsed) const;
  /// Returns the time within which a response usually arrives, in microseconds: the fixed part of
  /// the latency objective and the transfer time.
  double usual_response_time(const Request& request) const;

  /// Reports whether the weights of servers are capacities, in units of the stream rate.
  bool weights_are_capacities() const {
    return settings_.weights == WeightKind::nominal || settings_.weights == WeightKind::rough;
  }
  /// Returns the weight of a server relative to others. It is 1 for all servers unless the weights
  /// are capacities.
  double weight(const Server& server) const { return weights_are_capacities() ? server.weight : 1; }
  /// Returns the load that a request causes: its size in KB, or 1 if the size is unknown.
  static double load(const Request& request);

 private:
  const ClassSettings& class_settings(const Request& request) const {
    return settings_.classes[request.class_id.value];
  }

  const Settings& settings_;
  std::vector<ClassEstimates> by_class_;
};

}  // namespace alderspur::policy
