// The leader's table of leases: which router may act on which version, until when, and with which
// share of the request budgets. No I/O, no clock.
//
// A lease runs at the router from the moment it sent its request, and here from the moment the
// request arrived, extended by the drift of both clocks: so it ends there before it ends here.
// Leases are granted on the current version only, to routers that use it or can do so at once.
//
// Shares: of what all routers together may do, kLeasedFraction is distributed in proportion to each
// router's request rate; the rest is for routers without a lease, a fixed part each. A share counts
// until the router has confirmed a smaller one or its lease has run out; an increase is granted out
// of what is free at that moment. So at no time do the shares in use add up to more than 1, however
// many routers crash, are slow or are partitioned. docs/design-agreement.md has the proof.
//
// A new leader does not know the grants of its predecessor. Until the longest of those leases has
// run out it increases no share, activates no version, and counts for each router what that router
// says it holds.
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

constexpr double kLeasedFraction = 0.85;

struct LeaseSettings {
  Time duration = 1'200'000;
};

class LeaseTable {
 public:
  /// A share granted to a router that it may be using.
  struct GrantedShare {
    std::uint64_t grant_id = 0;
    std::uint64_t epoch = 0;  // of the router's process
    double total = 0;         // of the budget of all routers
    double location = 0;      // of the budget of its location
    Time expires_at = 0;
  };

  /// What is known of one router.
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
    double failure_ratio = 0;  // part of those that failed
    std::vector<GrantedShare> granted;
    double total_share = 0;  // the most that the granted shares can be in use together
    double location_share = 0;
    double own_total_share = 0;  // of that, the part of the current epoch
    double own_location_share = 0;
    bool may_hold_lease = false;  // of this leader or of an earlier one
  };
  using Holders = std::map<std::string, Holder, std::less<>>;  // by router name

  explicit LeaseTable(const LeaseSettings& settings) : settings_(settings) {}

  /// Empties the table for a new leader's term.
  void begin_term(Time now, std::uint64_t term);
  std::uint64_t term() const { return term_; }

  /// Fills in the grant's id, duration and shares. Its current and pending version must be set. The
  /// id stays 0 if the request comes from an earlier process of that router, or the table is full.
  void renew(Time now, const std::string& router, const LeaseRequest& request, LeaseGrant& grant);
  void remove_expired(Time now);
  /// True if every router that may hold a lease, also of an earlier leader, has stored that
  /// version.
  bool all_have_stored(Time now, std::uint64_t number);
  /// Names of routers that have not stored that version, `max_count` at most.
  std::vector<std::string> routers_behind(std::uint64_t number, std::size_t max_count) const;

  double total_request_rate() const { return total_request_rate_; }
  /// Failed requests per second of all holders.
  double total_failure_rate() const { return std::max(0.0, total_failure_rate_); }
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
  std::multiset<std::uint64_t> stored_numbers_;         // of all that may hold a lease
  double total_shares_ = 0;
  double total_request_rate_ = 0;
  double total_failure_rate_ = 0;
  std::map<std::string, LocationTotals, std::less<>> locations_;
};

}  // namespace alderspur::consensus
