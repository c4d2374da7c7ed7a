// The servers as this router is to use them: what the board and the watched files list, merged,
// with weights that change in steps, servers that return counted as just started, and servers that
// flap kept out of service for a while.
//
// State: the active list of the files, what the board lists, and for each known server what was
// last published. Lists come in by apply_list() and apply_board_update(), time by advance();
// changes go out by take_changes(), departures first. Server ids are the key throughout.
//
// A new list costs what its differences cost, which are computed beforehand on another thread.
// Departures take effect at once; the rest of a large change is applied in parts of
// kMaxChangesPerTurn, one part per turn of the event loop, so that the loop is never held up. One
// thread only. Times are Unix microseconds. No I/O, no clock of its own.
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

/// Times in microseconds.
struct EndpointSetSettings {
  Authority authority = Authority::files;
  // A weight grows or shrinks by at most this factor in each interval.
  double max_weight_factor = 1.25;
  Time weight_interval = 1'000'000;
  DampingSettings damping;
};

/// A checked list, ready to be applied, with its difference from the active list.
struct CandidateList {
  SnapshotPtr list;
  SnapshotPtr base;  // the active list that it was compared with; null: none
  Difference difference;
  LocationZones zones;
};

/// A server as it is to be used from now on.
struct EndpointChange {
  Member member;  // with status gone, it is to be forgotten
  Reason reason = Reason::as_listed;
};

/// What must outlive the process besides the list, for servers whose state is not the default.
struct Remembered {
  ServerId id{};
  Time started_at = 0;
  double weight = 0;  // 0: as listed
  double penalty = 0;
  Time penalty_at = 0;
  bool is_suppressed = false;
};

/// Since the start of the process.
struct EndpointSetCounters {
  std::uint64_t lists = 0;
  std::uint64_t changes = 0;
  std::uint64_t departures = 0;
  std::uint64_t weight_steps = 0;
  std::uint64_t suppressed = 0;
  std::uint64_t reinstated = 0;
};

/// The endpoints in use, merged from the lists of the files and of service discovery. Not
/// thread-safe; times are microseconds of one clock.
class EndpointSet {
 public:
  static constexpr std::size_t kMaxChangesPerTurn = 1000;

  explicit EndpointSet(const EndpointSetSettings& settings) : settings_(settings) {}

  /// Before the first list: continues from what an earlier process remembered.
  void restore(const std::vector<Remembered>& remembered);
  /// Returns false and does nothing if the candidate was compared with another list than the one in
  /// force.
  bool apply_list(const CandidateList& candidate, Time now);
  /// `is_complete`: the members are all that the board lists, otherwise those that have changed.
  void apply_board_update(bool is_complete, const std::vector<Member>& members, Time now);
  /// Applies what is due, and the next part of a large change.
  void advance(Time now);
  /// When advance() has something to do; the largest Time: never.
  Time next_wakeup() const;

  /// The changes since the last call. Servers that are not ready come first: departures must take
  /// effect before anything is sent in the same turn.
  std::vector<EndpointChange> take_changes();

  /// The active list of the files; null: none yet.
  const SnapshotPtr& current_list() const { return list_; }
  std::vector<Remembered> remembered(Time now) const;
  Reason reason(ServerId id) const;
  std::size_t ready_count() const;
  std::size_t known_count() const { return servers_.size(); }
  const EndpointSetCounters& counters() const { return counters_; }

 private:
  /// Servers with the same role and zone, which stand in for each other.
  struct Group {
    Role role = Role::cache;
    std::uint32_t zone = 0;

    auto operator<=>(const Group&) const = default;
  };

  /// When a server has to be evaluated.
  struct Wakeup {
    Time at = 0;
    ServerId id{};

    auto operator<=>(const Wakeup&) const = default;
  };

  struct KnownServer {
    Member published;  // status gone: never published, or no longer in use
    ServerStatus wanted_status = ServerStatus::gone;  // before damping
    Reason reason = Reason::as_listed;
    FlapDamping damping;
    double weight = 0;  // the step reached; 0: not started
    Time next_step_at = 0;
    Time started_at = 0;
    Time wakeup_at = 0;  // 0: none
    std::optional<Group> suppressed_in;
    bool has_unreported_change = false;

    bool was_published() const { return !published.name.empty(); }
    bool is_published_ready() const {
      return was_published() && published.server.status == ServerStatus::ready;
    }
  };

  static Group group_of(const Server& server) { return {server.role, server.location.value}; }

  void queue_changes(const CandidateList& candidate, Time now);
  void apply_all_waiting(Time now);
  std::vector<ServerId> remove_unlisted(const std::vector<Member>& members);

  void evaluate(ServerId id, Time now);
  Merged merge_sources(ServerId id) const;
  void record_departure(KnownServer& known, ServerStatus next_status, Time now);
  void update_start_time(KnownServer& known, const Member& merged, Time now) const;
  static Member departed(const KnownServer& known, Member member);
  double step_weight(KnownServer& known, double target, Time now);
  bool update_suppression(ServerId id, KnownServer& known, const Member& member, Time now);
  void leave_suppressed_group(ServerId id, KnownServer& known);
  Time next_evaluation(const KnownServer& known, bool is_weight_reached, Time now) const;
  void schedule(ServerId id, KnownServer& known, Time at);
  void publish(ServerId id, KnownServer& known, const Member& member);
  void count_ready(const KnownServer& known, const Server& next);
  void forget_if_gone(ServerId id, KnownServer& known, Time now);
  std::optional<Remembered> to_remember(ServerId id, const KnownServer& known, Time now) const;

  const EndpointSetSettings settings_;
  SnapshotPtr list_;
  LocationZones zones_;  // of list_
  std::unordered_map<std::uint64_t, Member> board_members_;
  bool has_board_list_ = false;
  bool has_first_list_ = false;  // servers that appear from now on are new
  std::unordered_map<std::uint64_t, KnownServer> servers_;
  std::map<Group, std::size_t> ready_counts_;  // as published
  std::map<Group, std::set<ServerId>> suppressed_;
  std::set<Wakeup> wakeups_;
  std::deque<ServerId> waiting_;      // the rest of a large change
  std::vector<ServerId> unreported_;  // for take_changes()
  EndpointSetCounters counters_;
};

}  // namespace alderspur::endpoints
