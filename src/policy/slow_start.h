// Slow start: limits how much work is sent to a server that has just started.
#pragma once

#include "alderspur/router.h"
#include "policy_state/capacity_estimate.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// The evidence that a server has started: the endpoint list reported the start, or the router
/// suspects it because the server was unresponsive for a while.
enum class StartEvidence { reported, suspected };

/// Gives each server that is warming up a quota of transfer time. The quota is refilled at this
/// router's share of the capacity that the server is configured to have at that moment. Owned by
/// PolicyParts. Not thread-safe.
class SlowStart {
 public:
  explicit SlowStart(RoutingContext& context) : context_(context) {}

  /// Begins the slow start of a server that started at `since`, or now if `since` is in the future.
  void begin(Upstream& upstream, Time since, StartEvidence evidence);
  /// Ends the slow start of a server after its duration has passed.
  void update(Upstream& upstream) const;
  /// Refills the quota of a server. Returns false while the server is warming up and its quota is
  /// used up.
  bool has_quota(Upstream& upstream);
  /// Takes the cost of a request from the quota of a server that is warming up.
  void charge(Upstream& upstream, const Request& request) const;
  /// Returns the cost of a request to the quota of a server, because the request did not use it.
  void refund(Upstream& upstream, const Request& request) const;
  /// Sets the quotas and debts of all servers to 0.
  void clear_quotas();
  /// Updates the capacity estimates from the current load of the servers. Must be called once a
  /// second.
  void update_capacity();

  /// Returns the weight of a server, reduced while it is warming up.
  double effective_weight(const Upstream& upstream) const;

 private:
  /// Returns the cost of a request, in seconds of transfer time.
  double cost(const Request& request) const;
  /// Returns how long the slow start of a server lasts, in microseconds.
  Time duration(const Upstream& upstream) const;
  /// Returns the fraction of its full capacity that a server is configured to have at this point of
  /// its slow start.
  double capacity_fraction(const Upstream& upstream) const;
  /// Reports whether the suspected start of a cache should be ignored, because all caches seem to
  /// be warming up. A wave of connection resets makes all caches look restarted; if all of them
  /// were limited, none would be left to serve requests.
  bool is_implausible_start(const Upstream& upstream) const;
  /// Returns how many concurrent transfers this router may send to a server that is warming up.
  double allowed_transfers(const Upstream& upstream) const;

  RoutingContext& context_;
  CapacityEstimate cache_capacity_;
  CapacityEstimate parent_capacity_;
};

}  // namespace alderspur::policy
