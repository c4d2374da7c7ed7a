// All other members that are known, and the order in which the live ones are probed. No I/O, no
// clock.
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

/// What is known of a member.
struct MemberView {
  GossipUpdate update;   // the latest that holds
  Time state_since = 0;  // when it came into this state
  Time last_heard = 0;   // when it last sent a message itself; 0: never
};

/// A suspicion of a member: it ends in its failure unless the member refutes it.
struct Suspicion {
  std::set<std::string> reporters;
  Time started_at = 0;
  Time deadline = 0;      // 0: none
  Time last_ping_at = 0;  // towards its end the suspect is asked directly
  int pings = 0;
};

struct Member {
  MemberView view;
  Suspicion suspicion;
  Time last_unanswered = 0;     // when it last did not answer a ping that we sent for another
  std::size_t probe_index = 0;  // in the probe order, while it is live

  const std::string& name() const { return view.update.identity.name; }
  const Identity& identity() const { return view.update.identity; }
  MemberState state() const { return view.update.state; }
};

class MemberTable {
 public:
  using Members = std::map<std::string, Member, std::less<>>;

  /// What store() replaced.
  struct Stored {
    Member& member;
    std::optional<MemberState> previous_state;  // empty: it was unknown
    bool is_new_epoch = false;                  // known already, and started anew since
  };

  explicit MemberTable(RandomSource& random) : random_(random) {}

  const Members& members() const { return members_; }
  std::size_t size() const { return members_.size(); }
  Member* find(std::string_view name);
  const Member* find(std::string_view name) const;
  /// Makes `update` what holds of its member and ends its suspicion.
  Stored store(const GossipUpdate& update, Time now);
  /// Only members that are not live may be erased.
  void erase(const std::string& name);

  std::size_t live_count() const { return probe_order_.size(); }
  std::size_t failed_count() const { return failed_count_; }
  std::size_t suspect_count() const { return suspect_count_; }
  bool has_live_at(const std::string& address) const { return live_addresses_.contains(address); }

  /// The next in the probe order, which is shuffled anew after each round; there must be one.
  const Member& next_to_probe();
  /// Up to `count` live members, drawn, without the one named `except`.
  std::vector<Member*> random_live(std::size_t count, std::string_view except = {});
  /// The next failed member from a drawn place on; null where a bounded search finds none.
  const Member* random_failed();
  /// Up to `count` members in the order of their names, after `cursor`, which is moved; it starts
  /// over at the end.
  std::vector<GossipUpdate> next_in_turn(std::size_t count, std::string& cursor) const;

  /// Moves the deadlines of all suspicions.
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
  std::multiset<std::string> live_addresses_;
};

}  // namespace alderspur::cluster
