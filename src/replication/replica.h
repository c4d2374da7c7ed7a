// One router's copy of what all routers of a cluster share: operators' bans and purge floors. A
// state machine: events in, actions out. No I/O, no clock, no thread; not thread-safe.
//
// Changes are gossiped at once to a few peers, and on from each peer for which they are new. Every
// `compare_interval` one peer is asked to compare (anti-entropy): digests tell what differs, and
// only that is sent. So what a partition or a loss kept from a peer arrives with the next
// comparisons. Copies that a bound keeps from becoming equal exchange their bans once a comparison,
// and full sets go to one peer no more often than comparisons are opened while catching up.
//
// A copy is caught up once a peer has found both identical. Where no peer can say so, since there
// is none, the peers run an earlier version without replication, or changes never stop, it counts
// as caught up after `catch_up_timeout`, unless a large difference is still being transferred.
//
// Clock skew: a frame or a stored set with a time that is further ahead of this router's clock than
// `max_clock_skew` is rejected whole and not passed on: a floor is never taken back, so one from
// the far future would void the copies of an object, or all copies, until then.
//
// Bounds: see frame_codec.h. A frame that cannot be decoded, or exceeds a bound, is dropped and
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

/// Durations in microseconds.
struct ReplicaSettings {
  Author self;
  Time compare_interval = 1'000'000;
  Time catch_up_timeout = 3'000'000;
  std::size_t fanout = 3;  // peers that a change is sent to
  std::size_t max_floors = kDefaultMaxFloors;
  Time max_clock_skew = 60'000'000;
};

// ---- Events

/// The other routers that are there now.
struct PeersChanged {
  std::vector<std::string> names;
};
struct FrameReceived {
  std::string from;
  std::string bytes;
};
/// The Unix time, in microseconds, at this moment. Until the first one, times are not judged.
struct ClockRead {
  Time unix_now = 0;
};
/// What an earlier process of this router stored; before any other event.
struct BansLoaded {
  BanSet bans;
};
/// An operator bans a server at this router.
struct BanRequested {
  std::string server;
  std::string cause;
  Time at = 0;  // Unix time in microseconds
};
/// An operator lifts all bans of a server at this router.
struct LiftRequested {
  std::string server;
};
/// This router has heard of a purge by itself.
struct PurgeObserved {
  PurgeFloor floor;
};
struct Tick {};
using Event = std::variant<PeersChanged, ClockRead, FrameReceived, BansLoaded, BanRequested,
                           LiftRequested, PurgeObserved, Tick>;

// ---- Actions

struct SendFrame {
  std::string to;
  std::string bytes;
};
/// A server was banned by another router, or its last ban lifted.
struct SetBan {
  std::string server;
  bool is_banned = false;
};
/// Another router has heard of a purge.
struct ApplyPurge {
  PurgeFloor floor;
};
/// Another router has folded purges into one of everything from before `at`: what they covered is
/// no longer known.
struct ApplyGlobalPurge {
  Time at = 0;
};
/// A ban that was requested here cannot be replicated: a limit is reached.
struct ReportRefusedBan {
  std::string server;
};
/// What came from that peer was rejected for a time that is too far ahead. Empty: it was this
/// router's own, stored bans or a purge.
struct ReportClockSkew {
  std::string from;
  Time ahead = 0;  // of this router's clock
};
/// The limits on what a copy holds.
enum class Bound : std::uint8_t { bans, authors, detached_dots, floors };
const char* to_string(Bound bound);
/// A limit was reached that was not reached before. At the limit on floors older ones are folded;
/// at the others further changes are refused, so that copies may stay different.
struct ReportBound {
  Bound bound = Bound::bans;
};
using Action = std::variant<SendFrame, SetBan, ApplyPurge, ApplyGlobalPurge, ReportRefusedBan,
                            ReportClockSkew, ReportBound>;

struct ReplicaCounters {
  std::uint64_t changes_gossiped = 0;
  std::uint64_t comparisons = 0;
  std::uint64_t identical = 0;  // comparisons that found both copies the same
  std::uint64_t differing_buckets = 0;
  std::uint64_t floors_received = 0;  // in answers to comparisons
  std::uint64_t rejected = 0;         // frames
  std::uint64_t clock_skews = 0;      // frames and own events with a time too far ahead
  std::uint64_t full_bans_sent = 0;
  std::uint64_t bounds_reached = 0;  // how often a limit was reached
  std::uint64_t bans_refused = 0;    // requested here and not replicated
};

class Replica {
 public:
  Replica(ReplicaSettings settings, std::uint64_t seed);

  /// Appends to `actions` what is to be done, in order. `now` in microseconds, of a clock that does
  /// not go back.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  /// When the next Tick is due.
  Time next_tick() const { return compare_at_; }

  bool is_caught_up() const { return is_caught_up_; }
  const BanSet& bans() const { return bans_; }
  const PurgeFloors& floors() const { return floors_; }
  const ReplicaCounters& counters() const { return counters_; }
  /// Whether one more ban that is requested here can be replicated.
  bool has_room_for_ban() const { return bans_.has_room_for(settings_.self); }
  /// The limits that are reached now.
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

  // Each handles one kind of frame.
  void handle(const std::string& from, const BanDeltaFrame& frame);
  void handle(const std::string& from, const FloorUpdatesFrame& frame);
  void handle(const std::string& from, const DigestsFrame& frame);
  void handle(const std::string& from, const IdenticalFrame& frame);
  void handle(const std::string& from, const FullBansFrame& frame);
  void handle(const std::string& from, const BucketDigestsFrame& frame);
  void handle(const std::string& from, const FloorsFrame& frame);

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
  bool apply_floor(const PurgeFloor& floor);
  bool accept_time(Time time, const std::string& from);
  void apply_global_floor(Time at);

  const ReplicaSettings settings_;
  std::mt19937_64 random_;
  Time now_ = 0;
  Time compare_at_ = 0;
  Time started_at_ = 0;                     // the first event
  std::optional<Time> unix_offset_;         // of Unix time from `now_`
  std::vector<Action>* actions_ = nullptr;  // of the event being handled
  std::vector<std::string> peers_;
  BanSet bans_;
  PurgeFloors floors_;
  bool is_caught_up_ = false;
  bool has_more_to_receive_ = false;  // the last answer was as large as one may be
  // Peers that were sent digests and have not been sent a full set in answer to theirs.
  std::set<std::string> open_comparisons_;
  std::map<std::string, Time> full_bans_sent_at_;  // in answer to digests, by peer
  std::set<Bound> reached_bounds_;
  std::uint64_t folds_reported_ = 0;
  ReplicaCounters counters_;
};

}  // namespace alderspur::replication
