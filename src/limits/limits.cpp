#include "limits/limits.h"

#include <algorithm>
#include <utility>

namespace alderspur::limits {

Reservation::Reservation(Reservation&& other) noexcept { swap(other); }

Reservation& Reservation::operator=(Reservation&& other) noexcept {
  Reservation previous(std::move(other));
  swap(previous);
  return *this;
}

Reservation::~Reservation() {
  if (limits_) limits_->release(names_, 0);
}

void Reservation::release(Time now) {
  if (!limits_) return;
  std::exchange(limits_, nullptr)->release(names_, now - acquired_at_);
  names_.clear();
}

void Reservation::swap(Reservation& other) noexcept {
  std::swap(limits_, other.limits_);
  std::swap(names_, other.names_);
  std::swap(acquired_at_, other.acquired_at_);
}

// All limits are checked before any is acquired, so that a request that one limit rejects does not
// take a token from another.
Admission Limits::acquire(const std::vector<Claim>& claims, Time now) {
  Admission admission;
  for (const auto& claim : claims) {
    if (!claim.rule.is_limited()) continue;
    const auto retry_after = limiters_[claim.name].check(claim.rule, now);
    if (!retry_after) continue;
    admission.is_admitted = false;
    if (*retry_after > admission.retry_after) {
      admission.retry_after = *retry_after;
      admission.rejected_by = claim.name;
    }
  }
  if (!admission.is_admitted) return admission;
  Reservation& reservation = admission.reservation;
  reservation.acquired_at_ = now;
  for (const auto& claim : claims) {
    if (!claim.rule.is_limited()) continue;
    limiters_[claim.name].acquire(claim.rule);
    reservation.names_.push_back(claim.name);
  }
  if (!reservation.names_.empty()) reservation.limits_ = this;
  return admission;
}

void Limits::release(const std::vector<std::string>& names, Time hold_time) {
  for (const auto& name : names) {
    const auto it = limiters_.find(name);
    if (it != limiters_.end()) it->second.release(hold_time);
  }
}

void Limits::retain(const std::vector<std::string>& names) {
  std::erase_if(limiters_, [&names](const auto& entry) {
    const bool is_named = std::find(names.begin(), names.end(), entry.first) != names.end();
    return !is_named && entry.second.in_flight() == 0;
  });
}

std::size_t Limits::in_flight(std::string_view name) const {
  const auto it = limiters_.find(name);
  return it == limiters_.end() ? 0 : it->second.in_flight();
}

LimiterCounters Limits::counters(std::string_view name) const {
  const auto it = limiters_.find(name);
  return it == limiters_.end() ? LimiterCounters{} : it->second.counters();
}

}  // namespace alderspur::limits
