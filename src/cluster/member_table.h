// Stores all other known members of the cluster and the order in which the live members are probed.
// It does no I/O, reads no clock and is not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/member.h"
#include "cluster/random_source.h"

namespace alderspur::cluster {

/// This process's view of another member.
struct MemberView {
  GossipUpdate update;   // the update in effect
  Time state_since = 0;  // when the member entered its current state
  Time last_heard = 0;   // when the last message of the member itself arrived; 0 if none has
};

/// A suspicion that a member has failed. The member is declared failed at the deadline unless it
/// refutes the suspicion.
struct Suspicion {
  std::set<std::string> reporters;  // members that have reported the suspicion independently
  Time started_at = 0;
  Time deadline = 0;      // 0 if the member is not suspected
  Time last_ping_at = 0;  // when the last ping before the deadline was sent; 0 if none was
  int pings = 0;          // pings sent to the suspect shortly before the deadline
};

/// An entry of the member table.
struct Member {
  MemberView view;
  Suspicion suspicion;
  // When a ping that this process sent on behalf of another member was last left unanswered.
  Time last_unanswered = 0;
  std::size_t probe_index = 0;  // index in the probe order while the member is live

  const std::string& name() const { return view.update.identity.name; }
  const Identity& identity() const { return view.update.identity; }
  MemberState state() const { return view.update.state; }
};

/// The table of all other members, by name.
class MemberTable {
 public:
  using Members = std::map<std::string, Member, std::less<>>;

  /// The result of store(): the entry, and how it differs from the one before.
  struct Stored {
    Member& member;
    std::optional<MemberState> previous_state;  // empty if the member was not in the table
    bool is_new_epoch = false;  // the member was in the table and has restarted since
  };

  explicit MemberTable(RandomSource& random) : random_(random) {}

  const Members& members() const { return members_; }
  std::size_t size() const { return members_.size(); }
  /// Returns null if no member has this name.
  Member* find(std::string_view name);
  const Member* find(std::string_view name) const;
  /// Puts `update` into effect for its member and clears the member's suspicion.
  Stored store(const GossipUpdate& update, Time now);
  /// Removes a member, which must be in the table and must not be live.
  void erase(const std::string& name);

  std::size_t live_count() const { return probe_order_.size(); }
  std::size_t failed_count() const { return failed_count_; }
  std::size_t suspect_count() const { return suspect_count_; }
  /// Reports whether a live member has this address.
  bool has_live_at(const std::string& address) const { return live_addresses_.contains(address); }

  /// Returns the next member of the probe order, which is shuffled again after each round. At least
  /// one member must be live.
  const Member& next_to_probe();
  /// Returns up to `count` different random live members, without the member named `except`.
  std::vector<Member*> random_live(std::size_t count, std::string_view except = {});
  /// Returns the first failed member at or after a random position. The search is bounded; returns
  /// null if it finds none.
  const Member* random_failed();
  /// Returns the updates in effect for up to `count` members, in the order of their names, that
  /// follow the name `cursor`. Starts again at the first name after the last one, and sets `cursor`
  /// to the last name returned.
  std::vector<GossipUpdate> next_batch(std::size_t count, std::string& cursor) const;

  /// Postpones the deadlines of all suspicions by `delay`.
  void delay_suspicions(Time delay);

 private:
  void add_live(Member& member);
  void remove_live(const Member& member);

  RandomSource& random_;
  Members members_;
  std::vector<Member*> probe_order_;  // the live members
  std::size_t next_probe_ = 0;        // index in probe_order_
  std::size_t failed_count_ = 0;
  std::size_t suspect_count_ = 0;
  std::multiset<std::string> live_addresses_;  // of the live members
};

}  // namespace alderspur::cluster
