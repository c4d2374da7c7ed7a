// The set of servers that this router uses. It merges the lists of the board (the platform's
// service discovery) and of the watched files, changes weights in steps, treats servers that return
// as just started (for slow start), and keeps flapping servers out of service for a limited time.
//
// State: the active list of the files, the servers that the board lists, and the last published
// state of each known server. The caller passes lists to apply_list() and apply_board_update(),
// passes the current time to advance(), and fetches the changes with take_changes(), which returns
// departures first. Servers are identified by id throughout.
//
// Applying a new list takes time in proportion to its differences from the active list, which
// another thread computes beforehand. Departures take effect at once. The rest of a large change is
// applied in parts of kMaxChangesPerTurn servers, one part per turn of the event loop, so that the
// loop is not blocked for long. Not thread-safe. Times are Unix microseconds. No I/O, and no clock
// is read.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "endpoints/check.h"
#include "endpoints/damping.h"
#include "endpoints/merge.h"
#include "endpoints/snapshot.h"

namespace alderspur::endpoints {

/// Parameters of an EndpointSet. Times are in microseconds.
struct EndpointSetSettings {
  Authority authority = Authority::files;
  // A weight increases or decreases by at most this factor in each weight_interval.
  double max_weight_factor = 1.25;
  Time weight_interval = 1'000'000;
  DampingSettings damping;
};

/// A validated list that can be applied, with its differences from the active list.
struct CandidateList {
  SnapshotPtr list;
  SnapshotPtr base;  // the active list at the time of the comparison; null: none
  Difference difference;
  LocationZones zones;
};

/// The new state of a server whose published state has changed.
struct EndpointChange {
  Member member;  // if its status is gone, it must be removed
  Reason reason = Reason::as_listed;
};

/// The state of one server that is saved, besides the list, so that a restarted process continues
/// from it. Only servers whose state differs from the default are saved.
struct Remembered {
  ServerId id{};
  Time started_at = 0;  // 0: not recent
  double weight = 0;    // the step reached; 0: as listed
  double penalty = 0;   // of flap damping, at the time penalty_at
  Time penalty_at = 0;
  bool is_suppressed = false;
};

/// Totals since the set was created.
struct EndpointSetCounters {
  std::uint64_t lists = 0;         // lists of the files that were applied
  std::uint64_t changes = 0;       // published changes of servers
  std::uint64_t departures = 0;    // servers that left service
  std::uint64_t weight_steps = 0;  // steps that did not reach the listed weight
  std::uint64_t suppressed = 0;    // suppressions of flapping servers that began
  std::uint64_t reinstated = 0;    // suppressions that ended with the server listed as ready
};

/// Holds the servers in use and publishes their changes. Not thread-safe. See the head of this
/// file.
class EndpointSet {
 public:
  /// The maximum number of queued servers, and also of servers that are due, that one call of
  /// advance() evaluates.
  static constexpr std::size_t kMaxChangesPerTurn = 1000;

  explicit EndpointSet(const EndpointSetSettings& settings) : settings_(settings) {}

  /// Restores the state that an earlier process saved. Must be called before the first list is
  /// applied.
  void restore(const std::vector<Remembered>& remembered);
  /// Makes the candidate the active list. Returns false and does nothing if the candidate was
  /// compared with a list other than the active one.
  bool apply_list(const CandidateList& candidate, Time now);
  /// Applies an update of the board. If `is_complete`, `members` contains all servers that the
  /// board lists; otherwise it contains those that have changed.
  void apply_board_update(bool is_complete, const std::vector<Member>& members, Time now);
  /// Evaluates the servers that are due at `now`, and applies the next part of a large change.
  void advance(Time now);
  /// Returns the time at which advance() has to be called next: 0 if work is queued, the largest
  /// Time if none is due.
  Time next_wakeup() const;

  /// Returns the changes since the last call. Servers that are not ready come first, because
  /// departures must take effect before any request is sent in the same turn.
  std::vector<EndpointChange> take_changes();

  /// Returns the active list of the files, or null if there is none yet.
  const SnapshotPtr& current_list() const { return list_; }
  /// Returns the state to save for a restart, sorted by id.
  std::vector<Remembered> remembered(Time now) const;
  /// Returns the reason for the server's status. An unknown server has the reason not_in_files.
  Reason reason(ServerId id) const;
  /// Returns the number of servers that are published as ready.
  std::size_t ready_count() const;
  /// Returns the number of servers with a state, including departed servers that are not removed
  /// yet.
  std::size_t known_count() const { return servers_.size(); }
  /// Returns the totals since the set was created.
  const EndpointSetCounters& counters() const { return counters_; }

 private:
  /// Identifies the servers with the same role and zone, which can replace each other.
  struct Group {
    Role role = Role::cache;
    std::uint32_t zone = 0;

    auto operator<=>(const Group&) const = default;
  };

  /// The time at which a server has to be evaluated.
  struct Wakeup {
    Time at = 0;
    ServerId id{};

    auto operator<=>(const Wakeup&) const = default;
  };

  /// The state of one server.
  struct KnownServer {
    Member published;  // as last published; an empty name: never published
    ServerStatus listed_status = ServerStatus::gone;  // merged from the sources, before damping
    Reason reason = Reason::as_listed;
    FlapDamping damping;
    double weight = 0;  // the step reached; 0: none yet
    Time next_step_at = 0;
    Time started_at = 0;
    Time wakeup_at = 0;                  // the entry in wakeups_; 0: none
    std::optional<Group> suppressed_in;  // the entry in suppressed_
    bool has_unreported_change = false;

    bool was_published() const { return !published.name.empty(); }
    bool is_published_ready() const {
      return was_published() && published.server.status == ServerStatus::ready;
    }
  };

  static Group group_of(const Server& server) { return {server.role, server.location.value}; }

  void queue_changes(const CandidateList& candidate, Time now);
  void apply_all_pending(Time now);
  std::vector<ServerId> remove_unlisted(const std::vector<Member>& members);

  void evaluate(ServerId id, Time now);
  MergedMember merge_sources(ServerId id) const;
  void record_departure(KnownServer& known, ServerStatus next_status, Time now);
  void update_start_time(KnownServer& known, const Member& merged, Time now) const;
  static Member departed_member(const KnownServer& known, Member member);
  double step_weight(KnownServer& known, double target, Time now);
  bool update_suppression(ServerId id, KnownServer& known, const Member& member, Time now);
  void leave_suppressed_group(ServerId id, KnownServer& known);
  Time next_evaluation(const KnownServer& known, bool is_weight_reached, Time now) const;
  void schedule(ServerId id, KnownServer& known, Time at);
  void publish(ServerId id, KnownServer& known, const Member& member);
  void count_ready(const KnownServer& known, const Server& next);
  void remove_if_gone(ServerId id, KnownServer& known, Time now);
  std::optional<Remembered> state_to_save(ServerId id, const KnownServer& known, Time now) const;

  const EndpointSetSettings settings_;
  SnapshotPtr list_;
  LocationZones zones_;  // the zones of the points and hubs in list_
  std::unordered_map<std::uint64_t, Member> board_members_;
  bool has_board_list_ = false;
  bool has_first_list_ = false;  // servers that appear after the first list count as just started
  std::unordered_map<std::uint64_t, KnownServer> servers_;
  std::map<Group, std::size_t> ready_counts_;  // of published servers
  std::map<Group, std::set<ServerId>> suppressed_;
  std::set<Wakeup> wakeups_;
  std::deque<ServerId> pending_;      // servers still to be evaluated after a large change
  std::vector<ServerId> unreported_;  // changed since the last take_changes()
  EndpointSetCounters counters_;
};

}  // namespace alderspur::endpoints
