#include "consensus/lease_table.h"

#include "consensus/raft.h"

namespace alderspur::consensus {
namespace {

constexpr std::size_t kMaxGrantedShares = 8;  // per router, neither confirmed nor expired
constexpr std::size_t kMaxHolders = 4096;
constexpr double kMaxRequestRate = 1e9;          // per second
constexpr double kNegligibleRequestRate = 1e-9;  // a smaller sum is only a rounding error

double proportional_share(double request_rate, double rate_of_others) {
  return kLeasedFraction * request_rate / (rate_of_others + request_rate);
}

}  // namespace

// Returns the time after which a lease has expired at the router for certain, as measured by the
// leader's clock, which may be slower than the router's by the drift of both clocks.
Time LeaseTable::max_lease_duration() const {
  return static_cast<Time>(static_cast<double>(settings_.duration) * (1 + 3 * kMaxClockDrift));
}

void LeaseTable::begin_term(Time now, std::uint64_t term) {
  term_ = term;
  last_grant_ = 0;
  earlier_leases_expired_at_ = now + max_lease_duration();
  holders_.clear();
  expirations_.clear();
  stored_numbers_.clear();
  locations_.clear();
  total_shares_ = 0;
  total_request_rate_ = 0;
  total_failure_rate_ = 0;
}

void LeaseTable::change_totals(const Holder& holder, double sign) {
  LocationTotals& location = locations_[holder.location];
  total_shares_ += sign * holder.total_share;
  location.shares += sign * holder.location_share;
  total_request_rate_ += sign * holder.request_rate;
  location.request_rate += sign * holder.request_rate;
  total_failure_rate_ += sign * holder.request_rate * holder.failure_ratio;
}

void LeaseTable::add_to_totals(const Holder& holder) {
  change_totals(holder, 1);
  if (holder.may_hold_lease) stored_numbers_.insert(holder.stored_number);
}

void LeaseTable::subtract_from_totals(const Holder& holder) {
  change_totals(holder, -1);
  if (holder.may_hold_lease) stored_numbers_.erase(stored_numbers_.find(holder.stored_number));
}

// Updates the shares that the router may be using: the share of the confirmed grant, and the shares
// of later grants, which may still be on their way. An earlier process of the router may run beside
// the current one until its lease expires, so its shares are added.
void LeaseTable::update_shares_in_use(Time now, Holder& holder, std::uint64_t confirmed_grant_id) {
  std::erase_if(holder.granted, [&](const GrantedShare& share) {
    return share.expires_at <= now ||
           (share.epoch == holder.epoch && share.grant_id < confirmed_grant_id);
  });
  holder.own_total_share = 0;
  holder.own_location_share = 0;
  double earlier_total = 0;
  double earlier_location = 0;
  for (const auto& share : holder.granted) {
    const bool is_own = share.epoch == holder.epoch;
    double& total = is_own ? holder.own_total_share : earlier_total;
    double& location = is_own ? holder.own_location_share : earlier_location;
    total = std::max(total, share.total);
    location = std::max(location, share.location);
  }
  holder.total_share = holder.own_total_share + earlier_total;
  holder.location_share = holder.own_location_share + earlier_location;
}

void LeaseTable::remove(Holders::iterator position) {
  const Holder& holder = position->second;
  subtract_from_totals(holder);
  if (locations_[holder.location].request_rate < kNegligibleRequestRate) {
    locations_.erase(holder.location);
  }
  holders_.erase(position);
}

void LeaseTable::remove_expired(Time now) {
  while (!expirations_.empty() && expirations_.begin()->first <= now) {
    const auto position = holders_.find(expirations_.begin()->second);
    expirations_.erase(expirations_.begin());
    if (position != holders_.end()) remove(position);
  }
  if (!holders_.empty()) return;
  // Clears accumulated rounding errors.
  total_shares_ = 0;
  total_request_rate_ = 0;
  total_failure_rate_ = 0;
}

LeaseTable::Holder& LeaseTable::add_holder(Time now, const std::string& router,
                                           const LeaseRequest& request) {
  Holder& holder = holders_[router];
  holder.location = request.location;
  holder.epoch = request.epoch;
  // The router may still use a share that an earlier leader granted, and reports it in its request.
  // Once the leases of earlier leaders have expired, every share in use is in this table.
  const bool reports_share = request.total_share + request.location_share > 0;
  if (now < earlier_leases_expired_at_ && reports_share) {
    holder.granted.push_back({request.last_grant_id, request.epoch, request.total_share,
                              request.location_share, now + max_lease_duration()});
  }
  return holder;
}

void LeaseTable::update_holder(Time now, Holder& holder, const LeaseRequest& request) {
  holder.epoch = request.epoch;
  holder.active_number = request.active_number;
  holder.stored_number = request.stored_number;
  holder.rejected_number = request.rejected_number;
  holder.rejection_reason = request.rejection_reason;
  holder.request_rate = std::clamp(request.request_rate, 1.0, kMaxRequestRate);
  holder.failure_ratio = std::clamp(request.failure_ratio, 0.0, 1.0);
  holder.last_request_at = now;
  holder.protocol_version = request.protocol_version;
}

void LeaseTable::renew(Time now, const std::string& router, const LeaseRequest& request,
                       LeaseGrant& grant) {
  remove_expired(now);
  const auto known = holders_.find(router);
  if (known != holders_.end()) {
    Holder& holder = known->second;
    if (request.epoch < holder.epoch) return;  // an earlier process of this router
    expirations_.erase({holder.expires_at, router});
    subtract_from_totals(holder);
  } else if (holders_.size() >= kMaxHolders) {
    return;
  }
  Holder& holder = known != holders_.end() ? known->second : add_holder(now, router, request);
  update_holder(now, holder, request);
  update_shares_in_use(now, holder, request.last_grant_id);
  grant_lease(now, holder, request, grant);
  holder.may_hold_lease = !holder.granted.empty();
  holder.expires_at = now + max_lease_duration();
  add_to_totals(holder);
  expirations_.insert({holder.expires_at, router});
}

// Returns the share that is not in use by any router. No share is free while leases of an earlier
// leader may be valid.
double LeaseTable::free_share(Time now, double shares_of_others, double share_of_holder) const {
  if (now < earlier_leases_expired_at_) return 0;
  return std::max(0.0, kLeasedFraction - shares_of_others - share_of_holder);
}

void LeaseTable::grant_lease(Time now, Holder& holder, const LeaseRequest& request,
                             LeaseGrant& grant) {
  ++last_grant_;
  grant.id = (term_ << 32) | last_grant_;
  // A router that cannot act on the current version gets no lease on it. Once a later version is
  // accepted, a router that has not stored it gets no lease either: otherwise the router could
  // renew its lease indefinitely and the accepted version would never be activated.
  const std::uint64_t current = grant.current.number;
  const bool can_use_current = request.active_number == current || request.stored_number == current;
  const bool is_up_to_date =
      !grant.is_pending_accepted || request.stored_number >= grant.pending->number;
  // A router with too many unconfirmed grants does not receive them, so they have to expire first.
  const bool has_room = holder.granted.size() < kMaxGrantedShares;
  if (!can_use_current || !is_up_to_date || !has_room) return;
  grant.duration = settings_.duration;
  const LocationTotals& location = locations_[holder.location];
  // Each router gets its proportional share, but at most its present share plus what is free.
  grant.total_share =
      std::min(proportional_share(holder.request_rate, total_request_rate_),
               holder.own_total_share + free_share(now, total_shares_, holder.total_share));
  grant.location_share =
      std::min(proportional_share(holder.request_rate, location.request_rate),
               holder.own_location_share + free_share(now, location.shares, holder.location_share));
  holder.granted.push_back({grant.id, holder.epoch, grant.total_share, grant.location_share,
                            now + max_lease_duration()});
  update_shares_in_use(now, holder, 0);
}

bool LeaseTable::all_have_stored(Time now, std::uint64_t number) {
  remove_expired(now);
  if (now < earlier_leases_expired_at_) return false;
  return stored_numbers_.empty() || *stored_numbers_.begin() >= number;
}

std::vector<std::string> LeaseTable::routers_behind(std::uint64_t number,
                                                    std::size_t max_count) const {
  std::vector<std::string> names;
  for (const auto& [name, holder] : holders_) {
    if (names.size() >= max_count) break;
    if (holder.stored_number < number) names.push_back(name);
  }
  return names;
}

const LeaseTable::Holder* LeaseTable::find(const std::string& router) const {
  const auto found = holders_.find(router);
  return found == holders_.end() ? nullptr : &found->second;
}

}  // namespace alderspur::consensus
