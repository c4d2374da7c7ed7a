// Holds one router's replica of the state that all routers of a cluster share: operators' bans and
// purge floors. Replica is a state machine that takes events and returns actions. It does no I/O,
// reads no clock, starts no thread and is not thread-safe.
//
// Replication: a change is gossiped to a few peers at once, and each peer that did not have the
// change gossips it again. In addition, the replica compares its state with one peer in every
// `compare_interval` (anti-entropy). The two exchange digests and then send only the parts that
// differ. Changes that a peer missed because of a partition or a lost frame therefore arrive with
// the next comparisons. If a limit prevents two replicas from becoming equal, they exchange their
// bans once per comparison. Full sets are sent to one peer no more often than a replica that is
// catching up opens comparisons.
//
// Catching up: a replica is caught up as soon as a peer has reported that both states are
// identical. If no peer can report this, because there is no peer, the peers run an earlier version
// without replication, or changes never stop, the replica counts as caught up after
// `catch_up_timeout`, unless a large difference is still being transferred.
//
// Authors: the changes made at a router have the author of its earlier processes if these changes
// are known completely (see stored_bans.h), and otherwise a new one. If a frame shows that they
// were not, because the router was restored from a backup, the replica becomes a new author and
// repeats the bans that it has made, since peers may know other changes with the same dots.
//
// Clock skew: a frame or a stored set that contains a time further ahead of this router's clock
// than `max_clock_skew` is rejected as a whole and not forwarded. A floor never decreases, so a
// floor in the far future would invalidate the copies of an object, or all copies, until that time.
// The sender of a rejected frame is told until when its peer accepts times. Neither of the two can
// know whose clock is wrong, but the sender then knows which of its own bans the peer rejects.
//
// Limits: see frame_codec.h. A frame that cannot be decoded or exceeds a limit is dropped and
// counted, and changes nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "replication/ban_set.h"
#include "replication/frame_codec.h"
#include "replication/purge_floors.h"

namespace alderspur::replication {

/// Settings of a replica. Durations are in microseconds.
struct ReplicaSettings {
  Author self;  // the author of changes made at this router, unless an earlier one is continued
  Time compare_interval = 1'000'000;
  Time catch_up_timeout = 3'000'000;
  std::size_t fanout = 3;  // number of peers to which a change is gossiped
  std::size_t max_floors = kDefaultMaxFloors;
  Time max_clock_skew = 60'000'000;
};

// ---- Events

/// The set of other live routers has changed.
struct PeersChanged {
  std::vector<std::string> names;
};
/// A frame of another router has arrived.
struct FrameReceived {
  std::string from;
  std::string bytes;
};
/// The current Unix time in microseconds. Until the first ClockRead, times are not checked.
struct ClockRead {
  Time unix_now = 0;
};
/// The bans that an earlier process of this router stored, with its last own change if the author
/// may be continued. It precedes all events but ClockRead.
struct BansLoaded {
  BanSet bans;
};
/// An operator has banned a server at this router.
struct BanRequested {
  std::string server;
  std::string cause;
  Time at = 0;  // Unix time in microseconds
};
/// An operator has lifted all bans of a server at this router.
struct LiftRequested {
  std::string server;
};
/// This router has received a purge from a source other than its peers.
struct PurgeObserved {
  PurgeFloor floor;
};
/// The next comparison may be due.
struct Tick {};
using Event = std::variant<PeersChanged, ClockRead, FrameReceived, BansLoaded, BanRequested,
                           LiftRequested, PurgeObserved, Tick>;

// ---- Actions

/// Sends a frame to the router named `to`.
struct SendFrame {
  std::string to;
  std::string bytes;
};
/// Bans a server at this router because another router has banned it, or lifts the ban because the
/// last ban of the server was lifted.
struct SetBan {
  std::string server;
  bool is_banned = false;
};
/// Applies a purge that another router has received.
struct ApplyPurge {
  PurgeFloor floor;
};
/// Purges all copies from before `at`, because another router has folded purges into its global
/// floor. The objects and groups of these purges are no longer known.
struct ApplyGlobalPurge {
  Time at = 0;
};
/// Reports that a ban requested at this router cannot be replicated, because a limit is reached.
struct ReportRefusedBan {
  std::string server;
};
/// Reports that a peer rejects a ban requested at this router, because the ban's time is too far
/// ahead of the peer's clock. Reported once for each peer and server while this lasts.
struct ReportRejectedBan {
  std::string server;
  std::string peer;
  Time ahead = 0;  // how far this router's clock is ahead of the peer's, in microseconds
};
/// Reports that a frame of the peer `from` was rejected because it contains a time too far ahead.
/// If `from` is empty, stored bans or a purge of this router were rejected.
struct ReportClockSkew {
  std::string from;
  Time ahead = 0;  // how far the time is ahead of this router's clock, in microseconds
};
/// The limits on the size of a replica's state.
enum class Bound : std::uint8_t { bans, authors, detached_dots, floors };
/// Returns the name of the limit as it appears in the log.
const char* to_string(Bound bound);
/// Reports that a limit is reached that was not reached before. At the limit on floors, older
/// floors are folded. At the other limits, further changes are refused, so replicas may stay
/// different.
struct ReportBound {
  Bound bound = Bound::bans;
};
/// Reports that this process started with outdated stored bans, as a peer knows later changes of
/// their author. The bans made since the start are repeated.
struct ReportOutdatedBans {};
using Action = std::variant<SendFrame, SetBan, ApplyPurge, ApplyGlobalPurge, ReportRefusedBan,
                            ReportClockSkew, ReportBound, ReportOutdatedBans, ReportRejectedBan>;

/// Event counts since the start.
struct ReplicaCounters {
  std::uint64_t changes_gossiped = 0;
  std::uint64_t comparisons = 0;        // opened by this replica
  std::uint64_t identical = 0;          // comparisons that found both states identical
  std::uint64_t differing_buckets = 0;  // found in comparisons
  std::uint64_t floors_received = 0;    // in comparisons
  std::uint64_t rejected = 0;           // frames
  std::uint64_t clock_skews = 0;        // frames and local events with a time too far ahead
  std::uint64_t full_bans_sent = 0;
  std::uint64_t bounds_reached = 0;     // how often a limit was reached
  std::uint64_t bans_refused = 0;       // bans requested at this router and not replicated
  std::uint64_t rejected_by_peers = 0;  // frames of this router that a peer has rejected
};

/// The replica of one router. See the head of this file.
class Replica {
 public:
  Replica(ReplicaSettings settings, std::uint64_t seed);

  /// Handles an event and appends the resulting actions to `actions`, in the order in which they
  /// must be executed. `now` is the time of a monotonic clock in microseconds.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// Returns the time at which the next Tick is due.
  Time next_tick() const { return compare_at_; }

  bool is_caught_up() const { return is_caught_up_; }
  const BanSet& bans() const { return bans_; }
  const PurgeFloors& floors() const { return floors_; }
  const ReplicaCounters& counters() const { return counters_; }
  /// Reports whether another ban that is requested at this router can be replicated.
  bool has_room_for_ban() const { return bans_.has_room_for(settings_.self); }
  /// Returns the peers that reject this router's bans of the server because of their times.
  std::vector<std::string> peers_rejecting(const std::string& server) const;
  /// Returns the limits that are reached now.
  const std::set<Bound>& reached_bounds() const { return reached_bounds_; }

 private:
  void on(const PeersChanged& event);
  void on(const FrameReceived& event);
  void on(const BansLoaded& event);
  void on(const ClockRead& event);
  void on(const BanRequested& event);
  void on(const LiftRequested& event);
  void on(const PurgeObserved& event);
  void on(const Tick& event);

  // Each of these functions handles one kind of frame.
  void handle(const std::string& from, const BanDeltaFrame& frame);
  void handle(const std::string& from, const FloorUpdatesFrame& frame);
  void handle(const std::string& from, const DigestsFrame& frame);
  void handle(const std::string& from, const IdenticalFrame& frame);
  void handle(const std::string& from, const FullBansFrame& frame);
  void handle(const std::string& from, const BucketDigestsFrame& frame);
  void handle(const std::string& from, const FloorsFrame& frame);
  void handle(const std::string& from, const RejectedFrame& frame);

  void send(const std::string& to, std::string bytes);
  void gossip(const std::string& bytes, const std::string& except);
  void gossip_bans(const BanSet& delta, const std::string& except);
  void compare_with(const std::string& peer);
  void send_full_bans(const std::string& to);
  void answer_with_bans(const std::string& to);
  void report_reached_bounds();
  void update_bound(Bound bound, bool is_reached);
  void send_differing_ranges(const std::string& to, Time their_global_floor,
                             const RangeDigests& theirs);
  void join_bans(const BanSet& theirs);
  bool knows_later_own_change(const BanSet& theirs) const;
  void repeat_own_bans_as_new_author(const BanSet& theirs);
  bool apply_floor(const PurgeFloor& floor);
  bool accept_time(Time time, const std::string& from);
  void send_rejection(const std::string& to);
  bool is_own(const Dot& dot) const { return dot.author.name == settings_.self.name; }
  void apply_global_floor(Time at);

  const ReplicaSettings settings_;
  std::mt19937_64 random_;
  Time now_ = 0;
  Time compare_at_ = 0;
  Time started_at_ = 0;                     // time of the first event
  std::optional<Time> unix_offset_;         // Unix time minus `now_`
  std::vector<Action>* actions_ = nullptr;  // output of the current handle() call
  std::vector<std::string> peers_;
  BanSet bans_;
  std::uint64_t loaded_sequence_ = 0;  // of the last own change of an earlier process
  PurgeFloors floors_;
  bool is_caught_up_ = false;
  bool has_more_to_receive_ = false;  // the last floors frame had the maximum number of floors
  // Peers to which digests were sent, and whose full set has not been answered with a full set
  // since.
  std::set<std::string> open_comparisons_;
  std::map<std::string, Time> full_bans_sent_at_;  // in answer to digests, by peer
  /// What a peer that has rejected a frame of this router accepts.
  struct Rejection {
    Time accepted_until = 0;  // by the peer's clock, when it was received
    Time received_at = 0;
    std::set<std::string> reported_servers;
  };
  std::map<std::string, Rejection> rejections_;  // by peer
  std::set<Bound> reached_bounds_;
  std::uint64_t folds_reported_ = 0;  // value of floors_.folds() at the last report
  ReplicaCounters counters_;
};

}  // namespace alderspur::replication
