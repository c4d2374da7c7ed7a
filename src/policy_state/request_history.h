// What a router remembers of requests that must not run twice, across the tries of their clients.
// Each try is a request of its own to the router and ends with its last attempt; what has been sent
// for it must be known for longer.
#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "alderspur/router.h"
#include "estimators/hash.h"
#include "policy_state/request_state.h"

namespace alderspur::policy {

/// Whether a try of a request may start.
enum class TryAdmission {
  starts,
  waits,       // until the try that is active has ended; see RequestHistory::take_ready()
  conflicts,   // another request with other contents has the same identity
  unavailable  // no room to remember the request
};

/// The tries of requests by RequestIdentity. At most one try of a request is active, the others
/// wait for its end. A request is remembered while a try of it is active, and afterwards for
/// `kHistoryRetention` if there is room. A request that may have run is not forgotten before the
/// time that its last try was ended with. All requests that are passed in must have an identity.
/// Owned by RoutingContext. Not thread-safe.
class RequestHistory {
 public:
  /// Remembers at most `max_requests` requests.
  explicit RequestHistory(std::size_t max_requests) : max_requests_(max_requests) {}
  RequestHistory(const RequestHistory&) = delete;
  RequestHistory& operator=(const RequestHistory&) = delete;

  /// Begins a try. `has_unknown_try` is true if the client has tried before, and is ignored if the
  /// earlier tries are known.
  TryAdmission begin_try(const Request& request, bool has_unknown_try, Time now);
  /// Records that an attempt of the active try is sent.
  void record_sent(const Request& request, const AttemptState& attempt);
  /// Records the end of an attempt of the active try.
  void record_outcome(const Request& request, const AttemptState& attempt);
  /// Ends a try, whether it is active or waits. If it may have run, it is remembered at least until
  /// `remember_until`. Does nothing if the try is unknown.
  void end_try(const Request& request, Time now, Time remember_until);
  /// Returns the next waiting try that has become active, or nullopt if there is none.
  std::optional<RequestId> take_ready();
  /// Forgets the requests whose retention has ended.
  void remove_expired(Time now);

  /// Returns what is known of the earlier tries of a request, or null if nothing is.
  const EarlierTries* find(const RequestIdentity& identity) const;
  /// Returns whether a try of the request is active.
  bool is_active(const RequestIdentity& identity) const;
  /// Returns the number of remembered requests.
  std::size_t size() const { return entries_.size(); }

 private:
  struct IdentityHash {
    std::size_t operator()(const RequestIdentity& identity) const {
      return estimators::mix_bits(identity.high ^ estimators::mix_bits(identity.low));
    }
  };
  using Order = std::list<RequestIdentity>;
  struct Entry {
    EarlierTries tries;
    std::uint64_t content_hash = 0;
    std::optional<RequestId> active;
    std::vector<RequestId> waiting;
    Time ended_at = 0;
    Time remember_until = 0;
    Order::iterator position;  // in one of the lists below, unless a try is active
  };

  bool make_room(Time now);
  void activate(Entry& entry, RequestId id);
  void deactivate(const RequestIdentity& identity, Entry& entry);
  void forget_oldest(Order& order);
  Order& order_of(const Entry& entry) { return entry.tries.may_have_run() ? ran_ : unsent_; }

  std::size_t max_requests_;
  std::unordered_map<RequestIdentity, Entry, IdentityHash> entries_;
  // The requests without an active try in the order in which they ended: those that may have run,
  // and those of which it is known that they never ran, which may be forgotten at any time.
  Order ran_;
  Order unsent_;
  std::vector<RequestId> ready_;
};

}  // namespace alderspur::policy
