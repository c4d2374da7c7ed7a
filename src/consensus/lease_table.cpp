#include "consensus/lease_table.h"

#include <algorithm>

#include "consensus/raft.h"

namespace alderspur::consensus {
namespace {

constexpr std::size_t kGivenMost = 8, kHoldersMost = 4096;

}  // namespace

// By the leader's clock, which may run slower than the router's by the drift of both.
Time LeaseTable::longest() const {
  return static_cast<Time>(static_cast<double>(set_.duration) * (1 + 3 * kMaxClockDrift));
}

void LeaseTable::begin_term(Time now, std::uint64_t term) {
  term_ = term, last_ = 0;
  safe_from_ = now + longest();
  holders_.clear(), ends_.clear(), held_.clear(), points_.clear();
  sum_ = weights_ = bad_ = 0;
}

void LeaseTable::count(Holder& h, double sign) {
  Point& p = points_[h.location];
  sum_ += sign * h.total_share, p.sum += sign * h.location_share;
  weights_ += sign * h.request_rate, p.weights += sign * h.request_rate,
      bad_ += sign * h.request_rate * h.failure_ratio;
}

// What of the shares given may still be in use: the one taken, and those behind it that may yet
// arrive. A former self may go on beside the new one until its lease runs out.
void LeaseTable::settle(Time now, Holder& h, std::uint64_t taken) {
  std::erase_if(h.given, [&](const Holder::Given& g) {
    return g.until <= now || (g.epoch == h.epoch && g.id < taken);
  });
  h.own_total_share = h.own_location_share = 0;
  double former_all = 0, former_at_point = 0;
  for (const auto& g : h.given) {
    double& all = g.epoch == h.epoch ? h.own_total_share : former_all;
    double& at_point = g.epoch == h.epoch ? h.own_location_share : former_at_point;
    all = std::max(all, g.all), at_point = std::max(at_point, g.point);
  }
  h.total_share = h.own_total_share + former_all,
  h.location_share = h.own_location_share + former_at_point;
}

void LeaseTable::end(Holders::iterator it) {
  Holder& h = it->second;
  count(h, -1);
  if (h.may_hold_lease) held_.erase(held_.find(h.stored_number));
  if (points_[h.location].weights < 1e-9) points_.erase(h.location);
  holders_.erase(it);
}

void LeaseTable::remove_expired(Time now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const auto it = holders_.find(ends_.begin()->second);
    ends_.erase(ends_.begin());
    if (it != holders_.end()) end(it);
  }
  if (holders_.empty()) sum_ = weights_ = bad_ = 0;  // what rounding left
}

void LeaseTable::renew(Time now, const std::string& name, const LeaseRequest& r, LeaseGrant& out) {
  remove_expired(now);
  auto it = holders_.find(name);
  if (it != holders_.end() && r.epoch < it->second.epoch) return;  // a former self
  if (it == holders_.end()) {
    if (holders_.size() >= kHoldersMost) return;
    it = holders_.try_emplace(name).first;
    Holder& h = it->second;
    h.location = r.location, h.epoch = r.epoch;
    // What an earlier leader gave it, as it says; under us it can hold nothing that we do not know.
    if (now < safe_from_ && r.total_share + r.location_share > 0)
      h.given.push_back(
          {r.last_grant_id, r.epoch, r.total_share, r.location_share, now + longest()});
  } else {
    ends_.erase({it->second.expires_at, name});
    if (it->second.may_hold_lease) held_.erase(held_.find(it->second.stored_number));
    count(it->second, -1);
  }
  Holder& h = it->second;
  h.epoch = r.epoch, h.active_number = r.active_number, h.stored_number = r.stored_number,
  h.rejected_number = r.rejected_number, h.rejection_reason = r.rejection_reason;
  h.request_rate = std::clamp(r.request_rate, 1.0, 1e9),
  h.failure_ratio = std::clamp(r.failure_ratio, 0.0, 1.0), h.last_request_at = now;
  h.protocol_version = r.protocol_version;
  settle(now, h, r.last_grant_id);
  give(now, h, r, out);
  h.may_hold_lease = !h.given.empty();
  h.expires_at = now + longest();
  count(h, 1);
  ends_.insert({h.expires_at, name});
  if (h.may_hold_lease) held_.insert(h.stored_number);
}

void LeaseTable::give(Time now, Holder& h, const LeaseRequest& r, LeaseGrant& out) {
  out.id = (term_ << 32) | ++last_;
  // Danger: a router that cannot act on this version must not be held for one that does.
  // And once a later one is agreed, no lease is given to whoever does not hold that: it would never
  // end.
  const bool can =
      (r.active_number == out.current.number || r.stored_number == out.current.number) &&
      (!out.is_pending_accepted || r.stored_number >= out.pending->number);
  if (!can || h.given.size() >= kGivenMost) return;  // it takes none of them: let them run out
  out.duration = set_.duration;
  const Point& p = points_[h.location];
  const auto part = [&](double others, double sum, double counted, double own) {
    const double free = now < safe_from_ ? 0 : std::max(0.0, kLeasedFraction - sum - counted);
    return std::min(kLeasedFraction * h.request_rate / (others + h.request_rate), own + free);
  };
  out.total_share = part(weights_, sum_, h.total_share, h.own_total_share);
  out.location_share = part(p.weights, p.sum, h.location_share, h.own_location_share);
  h.given.push_back({out.id, h.epoch, out.total_share, out.location_share, now + longest()});
  settle(now, h, 0);
}

bool LeaseTable::all_have_stored(Time now, std::uint64_t number) {
  remove_expired(now);
  return now >= safe_from_ && (held_.empty() || *held_.begin() >= number);
}

std::vector<std::string> LeaseTable::routers_behind(std::uint64_t number, std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [name, h] : holders_) {
    if (out.size() >= most) break;
    if (h.stored_number < number) out.push_back(name);
  }
  return out;
}

const LeaseTable::Holder* LeaseTable::find(const std::string& name) const {
  const auto it = holders_.find(name);
  return it == holders_.end() ? nullptr : &it->second;
}

}  // namespace alderspur::consensus
