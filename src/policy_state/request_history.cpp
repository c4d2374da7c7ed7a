#include "policy_state/request_history.h"

#include <algorithm>
#include <utility>

#include "estimators/estimators.h"

namespace alderspur::policy {
namespace {

/// How long a request is remembered after its last try if there is room.
constexpr Time kHistoryRetention = 60 * estimators::kSecond;
/// The maximum number of tries of one request that wait.
constexpr std::size_t kMaxWaitingTries = 32;

}  // namespace

TryAdmission RequestHistory::begin_try(const Request& request, bool has_unknown_try, Time now) {
  const auto found = entries_.find(*request.identity);
  if (found == entries_.end()) {
    if (!make_room(now)) return TryAdmission::unavailable;
    Entry& entry = entries_[*request.identity];
    entry.content_hash = request.content_hash;
    entry.tries.has_unknown_try = has_unknown_try;
    entry.active = request.id;
    return TryAdmission::starts;
  }
  Entry& entry = found->second;
  if (entry.content_hash != request.content_hash) return TryAdmission::conflicts;
  if (!entry.active) {
    activate(entry, request.id);
    return TryAdmission::starts;
  }
  if (entry.waiting.size() >= kMaxWaitingTries) return TryAdmission::unavailable;
  entry.waiting.push_back(request.id);
  return TryAdmission::waits;
}

void RequestHistory::record_sent(const Request& request, const AttemptState& attempt) {
  const auto found = entries_.find(*request.identity);
  if (found == entries_.end() || found->second.active != request.id) return;
  EarlierTries& tries = found->second.tries;
  if (tries.first_attempt) return;
  tries.first_attempt = EarlierAttempt{attempt.sent_at, attempt.location, attempt.cell};
}

void RequestHistory::record_outcome(const Request& request, const AttemptState& attempt) {
  const auto found = entries_.find(*request.identity);
  if (found == entries_.end() || found->second.active != request.id) return;
  std::optional<EarlierAttempt>& first = found->second.tries.first_attempt;
  if (!first || !first->in_flight) return;
  first->in_flight = false;
  if (attempt.never_ran) first.reset();
}

void RequestHistory::end_try(const Request& request, Time now, Time remember_until) {
  const auto found = entries_.find(*request.identity);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  if (entry.active != request.id) {
    std::erase(entry.waiting, request.id);
    return;
  }
  entry.ended_at = now;
  entry.remember_until = std::max(entry.remember_until, remember_until);
  if (entry.waiting.empty()) return deactivate(*request.identity, entry);
  entry.active = entry.waiting.front();
  entry.waiting.erase(entry.waiting.begin());
  ready_.push_back(*entry.active);
}

std::optional<RequestId> RequestHistory::take_ready() {
  if (ready_.empty()) return std::nullopt;
  const RequestId id = ready_.back();
  ready_.pop_back();
  return id;
}

void RequestHistory::remove_expired(Time now) {
  for (Order* order : {&ran_, &unsent_}) {
    while (!order->empty()) {
      const Entry& oldest = entries_.at(order->front());
      if (now < std::max(oldest.remember_until, oldest.ended_at + kHistoryRetention)) break;
      forget_oldest(*order);
    }
  }
}

const EarlierTries* RequestHistory::find(const RequestIdentity& identity) const {
  const auto found = entries_.find(identity);
  return found == entries_.end() ? nullptr : &found->second.tries;
}

bool RequestHistory::is_active(const RequestIdentity& identity) const {
  const auto found = entries_.find(identity);
  return found != entries_.end() && found->second.active;
}

// A request that may have run is forgotten early only if its client can no longer try it again.
bool RequestHistory::make_room(Time now) {
  if (entries_.size() < max_requests_) return true;
  if (!unsent_.empty()) {
    forget_oldest(unsent_);
  } else if (!ran_.empty() && now >= entries_.at(ran_.front()).remember_until) {
    forget_oldest(ran_);
  }
  return entries_.size() < max_requests_;
}

void RequestHistory::activate(Entry& entry, RequestId id) {
  order_of(entry).erase(entry.position);
  entry.active = id;
}

void RequestHistory::deactivate(const RequestIdentity& identity, Entry& entry) {
  entry.active.reset();
  Order& order = order_of(entry);
  entry.position = order.insert(order.end(), identity);
}

void RequestHistory::forget_oldest(Order& order) {
  entries_.erase(order.front());
  order.pop_front();
}

}  // namespace alderspur::policy
