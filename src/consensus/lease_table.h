// The leader's table of leases: which router may act on which version, until when, and with which
// shares of the request budgets. Does no I/O and reads no clock. Not thread-safe.
//
// The router counts a lease from the time at which it sent the request. The leader counts it from
// the arrival of the request and extends it by the drift of both clocks, so a lease always expires
// at the router before it expires in this table. Leases are granted on the current version only, to
// routers that use this version or have stored it and can activate it at once.
//
// Shares: kLeasedFraction of the budgets of all routers is distributed to routers with a lease, in
// proportion to their request rates. The rest is reserved for routers without a lease, each of
// which uses a fixed part. A granted share counts as in use until the router has confirmed a later
// grant or the lease has expired, and an increase is granted only from shares that are free at that
// time. The shares in use therefore never add up to more than 1, even if routers crash, are slow or
// are partitioned. docs/design-agreement.md has the proof.
//
// A new leader does not have its predecessor's grants. Until the longest of those leases has
// expired, it increases no share, activates no version, and records as each router's share what the
// router itself reports.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/messages.h"

namespace alderspur::consensus {

/// The part of each budget that is distributed to routers with a lease.
constexpr double kLeasedFraction = 0.85;

/// Settings of the leases that a leader grants.
struct LeaseSettings {
  Time duration = 1'200'000;  // microseconds
};

/// The leases of the current term, by router. All times are the leader's monotonic clock.
class LeaseTable {
 public:
  /// A share of the budgets that was granted to a router and may be in use there.
  struct GrantedShare {
    std::uint64_t grant_id = 0;
    std::uint64_t epoch = 0;  // of the router process that it was granted to
    double total = 0;         // share of the budget of all routers
    double location = 0;      // share of the budget of the router's location
    Time expires_at = 0;
  };

  /// The state of one router as of its last lease request.
  struct Holder {
    std::uint64_t epoch = 0;
    std::uint64_t active_number = 0;
    std::uint64_t stored_number = 0;
    std::uint64_t rejected_number = 0;
    std::string rejection_reason;
    std::string location;
    std::uint64_t protocol_version = 0;
    Time expires_at = 0;
    Time last_request_at = 0;
    double request_rate = 0;   // requests per second
    double failure_ratio = 0;  // failed requests per request
    std::vector<GrantedShare> granted;
    // Upper bounds of the shares in use: first by all processes of this router, then by the process
    // of the current epoch alone.
    double total_share = 0;
    double location_share = 0;
    double own_total_share = 0;
    double own_location_share = 0;
    bool may_hold_lease = false;  // granted by this leader or by an earlier one
  };
  using Holders = std::map<std::string, Holder, std::less<>>;  // by router name

  explicit LeaseTable(const LeaseSettings& settings) : settings_(settings) {}

  /// Clears the table at the start of a leader's term.
  void begin_term(Time now, std::uint64_t term);
  std::uint64_t term() const { return term_; }

  /// Records a lease request and sets the grant's id, duration and shares. The grant's current and
  /// pending versions must already be set. The id stays 0 if the request is from an earlier process
  /// of this router or the table is full; no grant is sent then. The duration stays 0 if the router
  /// gets no lease.
  void renew(Time now, const std::string& router, const LeaseRequest& request, LeaseGrant& grant);
  /// Removes the routers whose leases have expired.
  void remove_expired(Time now);
  /// Returns true if every router that may hold a lease, including one granted by an earlier
  /// leader, has stored version `number` or a later one.
  bool all_have_stored(Time now, std::uint64_t number);
  /// Returns the names of at most `max_count` routers that have not stored version `number`.
  std::vector<std::string> routers_behind(std::uint64_t number, std::size_t max_count) const;

  /// Returns the requests per second of all routers in the table.
  double total_request_rate() const { return total_request_rate_; }
  /// Returns the failed requests per second of all routers in the table.
  double total_failure_rate() const { return std::max(0.0, total_failure_rate_); }
  /// Returns the entry of a router; null if it has none.
  const Holder* find(const std::string& router) const;
  const Holders& holders() const { return holders_; }

 private:
  struct LocationTotals {
    double shares = 0;
    double request_rate = 0;
  };

  Time max_lease_duration() const;
  static void update_shares_in_use(Time now, Holder& holder, std::uint64_t confirmed_grant_id);
  Holder& add_holder(Time now, const std::string& router, const LeaseRequest& request);
  static void update_holder(Time now, Holder& holder, const LeaseRequest& request);
  void add_to_totals(const Holder& holder);
  void subtract_from_totals(const Holder& holder);
  void change_totals(const Holder& holder, double sign);
  void grant_lease(Time now, Holder& holder, const LeaseRequest& request, LeaseGrant& grant);
  double free_share(Time now, double shares_of_others, double share_of_holder) const;
  void remove(Holders::iterator position);

  const LeaseSettings settings_;
  std::uint64_t term_ = 0;
  std::uint64_t last_grant_ = 0;
  Time earlier_leases_expired_at_ = 0;
  Holders holders_;
  std::set<std::pair<Time, std::string>> expirations_;  // time and router, earliest first
  std::multiset<std::uint64_t> stored_numbers_;         // of all routers that may hold a lease
  double total_shares_ = 0;
  double total_request_rate_ = 0;
  double total_failure_rate_ = 0;
  std::map<std::string, LocationTotals, std::less<>> locations_;
};

}  // namespace alderspur::consensus
