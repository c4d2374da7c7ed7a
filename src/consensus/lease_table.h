// The leader's book of leases: who may act on which version until when, and with which share of the
// budgets. No I/O, no clock.
//
// A lease runs at the router from the moment it asked, here from the moment the question came, and
// longer by the drift of both clocks: so it ends there before it ends here. Leases are given on the
// version in force only, to routers that act on it or can at once.
//
// Shares: of what all routers together may do, kUsable is shared out, by what each takes; the rest
// is for those without a lease, a fixed part each. A share counts until the router has said that it
// uses a smaller one, or its lease has run out; a raise is given out of what is free then. So at no
// moment do the shares in use add up to more than 1, whoever is lost, late or cut off.
// docs/design-agreement.md has the proof.
//
// A new leader does not know what an earlier one gave: until the longest of those leases has run
// out it raises nobody's share, forces no version, and counts for each router what that router says
// it holds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/messages.h"

namespace alderspur::consensus {

constexpr double kLeasedFraction = 0.85;

struct LeaseSettings {
  Time duration = 1'200'000;
};

class LeaseTable {
 public:
  struct Holder {
    std::uint64_t epoch = 0, active_number = 0, stored_number = 0, rejected_number = 0;
    std::string rejection_reason, location;
    std::uint64_t protocol_version = 0;  // its program's
    Time expires_at = 0, last_request_at = 0;
    double request_rate = 0,
           failure_ratio = 0;  // requests a second; of those, the part that ended badly
    struct Given {
      std::uint64_t id = 0, epoch = 0;
      double all = 0, point = 0;
      Time until = 0;
    };
    std::vector<Given> given;                    // that may be in use
    double total_share = 0, location_share = 0;  // the most that those can be in use together
    double own_total_share = 0, own_location_share = 0;  // of this epoch
    bool may_hold_lease = false;  // a lease of ours, or of an earlier leader's, may run
  };
  explicit LeaseTable(const LeaseSettings& settings) : set_(settings) {}
  void begin_term(Time now, std::uint64_t term);
  std::uint64_t term() const { return term_; }

  // Fills in the lease and the shares of `out`, whose version in force is set.
  void renew(Time now, const std::string& name, const LeaseRequest& r, LeaseGrant& out);
  void remove_expired(Time now);  // leases that have run out
  // Every router whose lease may run, ours or an earlier leader's, keeps that version.
  bool all_have_stored(Time now, std::uint64_t number);
  // Those whose leases run, with less than that; a few, for the view.
  std::vector<std::string> routers_behind(std::uint64_t number, std::size_t most) const;
  // Over all holders.
  double total_request_rate() const { return weights_; }
  double total_failure_rate() const {
    return std::max(0.0, bad_);
  }  // weight times part that ended badly
  const Holder* find(const std::string& name) const;
  const std::map<std::string, Holder, std::less<>>& holders() const { return holders_; }

 private:
  using Holders = std::map<std::string, Holder, std::less<>>;
  Time longest() const;
  static void settle(Time now, Holder& h, std::uint64_t taken);
  void count(Holder& h, double sign);
  void give(Time now, Holder& h, const LeaseRequest& r, LeaseGrant& out);
  void end(Holders::iterator it);

  const LeaseSettings set_;
  std::uint64_t term_ = 0, last_ = 0;
  Time safe_from_ = 0;
  Holders holders_;
  std::set<std::pair<Time, std::string>> ends_;
  std::multiset<std::uint64_t> held_;  // by all that are bound
  double sum_ = 0, weights_ = 0, bad_ = 0;
  struct Point {
    double sum = 0, weights = 0;
  };
  std::map<std::string, Point, std::less<>> points_;
};

}  // namespace alderspur::consensus
