// Slow start: what a server that has just started may be sent.
#pragma once

#include "alderspur/router.h"
#include "policy_state/capacity_estimate.h"
#include "policy_state/routing_context.h"

namespace alderspur::policy {

/// How it is known that a server has started: reported by the endpoint list, or suspected after it
/// was unresponsive for a while.
enum class StartEvidence { reported, suspected };

/// Gives each server that warms up a quota of transfer time. The quota grows at this router's share
/// of the capacity that the server is promised to have by then. Owned by PolicyParts; one thread.
class SlowStart {
 public:
  explicit SlowStart(RoutingContext& context) : context_(context) {}

  /// The server has started at the time `since`; it warms up from then on.
  void begin(Upstream& upstream, Time since, StartEvidence evidence);
  /// Ends the slow start of a server whose time is over.
  void update(Upstream& upstream) const;
  /// False while a server that warms up has had all that it may be sent by now.
  bool has_quota(Upstream& upstream);
  /// Takes the cost of a request from the quota of a server that warms up.
  void charge(Upstream& upstream, const Request& request) const;
  /// Gives the cost of a request back, which has turned out not to use the server.
  void refund(Upstream& upstream, const Request& request) const;
  /// Drops the quotas and debts of all servers.
  void clear_quotas();
  /// Takes in what warm servers carry now. To be called once a second.
  void update_capacity();

  /// The weight of a server, reduced while it warms up.
  double effective_weight(const Upstream& upstream) const;

 private:
  /// What a request takes from a quota: seconds of transfer time.
  double cost(const Request& request) const;
  /// How long a slow start lasts, microseconds.
  Time duration(const Upstream& upstream) const;
  /// Fraction of its full capacity that a server that warms up is promised to have by now.
  double capacity_fraction(const Upstream& upstream) const;
  /// A wave of connection resets makes all caches look restarted. If all of them were held back,
  /// none would be left to serve.
  bool is_implausible_start(const Upstream& upstream) const;
  /// Concurrent transfers that this router may send to a server that warms up.
  double allowed_transfers(const Upstream& upstream) const;

  RoutingContext& context_;
  CapacityEstimate cache_capacity_;
  CapacityEstimate parent_capacity_;
};

}  // namespace alderspur::policy
