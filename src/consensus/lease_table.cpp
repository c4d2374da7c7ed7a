#include "consensus/lease_table.h"

#include <algorithm>

#include "consensus/raft.h"

namespace alderspur::consensus {
namespace {

constexpr std::size_t kGivenMost = 8, kHoldersMost = 4096;

}  // namespace

// By the leader's clock, which may run slower than the router's by the drift of both.
Time LeaseTable::longest() const {
  return static_cast<Time>(static_cast<double>(set_.lease) * (1 + 3 * kDrift));
}

void LeaseTable::begin(Time now, std::uint64_t term) {
  term_ = term, last_ = 0;
  safe_from_ = now + longest();
  holders_.clear(), ends_.clear(), held_.clear(), points_.clear();
  sum_ = weights_ = bad_ = 0;
}

void LeaseTable::count(Holder& h, double sign) {
  Point& p = points_[h.point];
  sum_ += sign * h.all, p.sum += sign * h.at_point;
  weights_ += sign * h.weight, p.weights += sign * h.weight, bad_ += sign * h.weight * h.bad;
}

// What of the shares given may still be in use: the one taken, and those behind it that may yet
// arrive. A former self may go on beside the new one until its lease runs out.
void LeaseTable::settle(Time now, Holder& h, std::uint64_t taken) {
  std::erase_if(h.given, [&](const Holder::Given& g) {
    return g.until <= now || (g.epoch == h.epoch && g.id < taken);
  });
  h.own_all = h.own_at_point = 0;
  double former_all = 0, former_at_point = 0;
  for (const auto& g : h.given) {
    double& all = g.epoch == h.epoch ? h.own_all : former_all;
    double& at_point = g.epoch == h.epoch ? h.own_at_point : former_at_point;
    all = std::max(all, g.all), at_point = std::max(at_point, g.point);
  }
  h.all = h.own_all + former_all, h.at_point = h.own_at_point + former_at_point;
}

void LeaseTable::end(Holders::iterator it) {
  Holder& h = it->second;
  count(h, -1);
  if (h.bound) held_.erase(held_.find(h.holds));
  if (points_[h.point].weights < 1e-9) points_.erase(h.point);
  holders_.erase(it);
}

void LeaseTable::advance(Time now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const auto it = holders_.find(ends_.begin()->second);
    ends_.erase(ends_.begin());
    if (it != holders_.end()) end(it);
  }
  if (holders_.empty()) sum_ = weights_ = bad_ = 0;  // what rounding left
}

void LeaseTable::renew(Time now, const std::string& name, const Renew& r, Grant& out) {
  advance(now);
  auto it = holders_.find(name);
  if (it != holders_.end() && r.epoch < it->second.epoch) return;  // a former self
  if (it == holders_.end()) {
    if (holders_.size() >= kHoldersMost) return;
    it = holders_.try_emplace(name).first;
    Holder& h = it->second;
    h.point = r.point, h.epoch = r.epoch;
    // What an earlier leader gave it, as it says; under us it can hold nothing that we do not know.
    if (now < safe_from_ && r.share_all + r.share_point > 0)
      h.given.push_back({r.grant, r.epoch, r.share_all, r.share_point, now + longest()});
  } else {
    ends_.erase({it->second.until, name});
    if (it->second.bound) held_.erase(held_.find(it->second.holds));
    count(it->second, -1);
  }
  Holder& h = it->second;
  h.epoch = r.epoch, h.acting = r.acting, h.holds = r.holds, h.refused = r.refused,
  h.reason = r.reason;
  h.weight = std::clamp(r.weight, 1.0, 1e9), h.bad = std::clamp(r.bad, 0.0, 1.0), h.seen = now;
  h.forms = r.forms;
  settle(now, h, r.grant);
  give(now, h, r, out);
  h.bound = !h.given.empty();
  h.until = now + longest();
  count(h, 1);
  ends_.insert({h.until, name});
  if (h.bound) held_.insert(h.holds);
}

void LeaseTable::give(Time now, Holder& h, const Renew& r, Grant& out) {
  out.id = (term_ << 32) | ++last_;
  // Danger: a router that cannot act on this version must not be held for one that does.
  // And once a later one is agreed, no lease is given to whoever does not hold that: it would never
  // end.
  const bool can = (r.acting == out.in_force.number || r.holds == out.in_force.number) &&
                   (!out.agreed || r.holds >= out.pending->number);
  if (!can || h.given.size() >= kGivenMost) return;  // it takes none of them: let them run out
  out.length = set_.lease;
  const Point& p = points_[h.point];
  const auto part = [&](double others, double sum, double counted, double own) {
    const double free = now < safe_from_ ? 0 : std::max(0.0, kUsable - sum - counted);
    return std::min(kUsable * h.weight / (others + h.weight), own + free);
  };
  out.share_all = part(weights_, sum_, h.all, h.own_all);
  out.share_point = part(p.weights, p.sum, h.at_point, h.own_at_point);
  h.given.push_back({out.id, h.epoch, out.share_all, out.share_point, now + longest()});
  settle(now, h, 0);
}

bool LeaseTable::all_hold(Time now, std::uint64_t number) {
  advance(now);
  return now >= safe_from_ && (held_.empty() || *held_.begin() >= number);
}

std::vector<std::string> LeaseTable::behind(std::uint64_t number, std::size_t most) const {
  std::vector<std::string> out;
  for (const auto& [name, h] : holders_) {
    if (out.size() >= most) break;
    if (h.holds < number) out.push_back(name);
  }
  return out;
}

const LeaseTable::Holder* LeaseTable::find(const std::string& name) const {
  const auto it = holders_.find(name);
  return it == holders_.end() ? nullptr : &it->second;
}

}  // namespace alderspur::consensus
