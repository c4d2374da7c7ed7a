// The fleet as this router is to see it: what board and files tell, merged, with weights that move
// by steps, servers that come back counted as cold and those that come and go held out for a while.
//
// State: the list of the files in force (one pointer), what the board lists, and for each server
// known what the rest of the program was last told of it. News comes in by files() and board();
// time by advance(); what is to be passed on goes out by take(), departures first. Ids are the key
// throughout.
//
// The cost of a new list is that of its differences: they come reckoned beforehand, off the loop's
// thread. Departures act at once; the rest of a large change is taken in parts of kAtOnce, one each
// turn, so that the loop is never held up. One thread only. Times are Unix microseconds. No I/O, no
// clock of its own.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "endpoints/damping.h"
#include "endpoints/merge.h"
#include "endpoints/snapshot.h"

namespace alderspur::endpoints {

struct EndpointSetSettings {
  Authority authority = Authority::files;
  double max_weight_factor = 1.25;   // a weight grows or falls by at most this factor
  Time weight_interval = 1'000'000;  // in each such time
  DampingSettings damping;
};

// A list ready to be taken: checked, with its difference from the one that it was checked against.
struct CandidateList {
  SnapshotPtr list, base;
  Difference difference;
  std::vector<std::uint32_t> point_zones,
      hub_zones;  // the settings' numbers of its points and hubs
};

struct EndpointChange {
  Member member;  // status gone: forget it
  Reason reason = Reason::as_listed;
};

// What must outlive the process, beside the list: only servers of which there is something to say.
struct Remembered {
  ServerId id{};
  Time started_at = 0;
  double weight = 0;  // 0: as listed
  double penalty = 0;
  Time penalty_at = 0;
  bool is_suppressed = false;
};

struct EndpointSetCounters {
  std::uint64_t lists = 0, changes = 0, departures = 0, weight_steps = 0, suppressed = 0,
                reinstated = 0;
};

class EndpointSet {
 public:
  static constexpr std::size_t kMaxChangesPerTurn = 1000;

  explicit EndpointSet(const EndpointSetSettings& settings) : settings_(settings) {}

  // Before the first list: what an earlier process knew.
  void restore(const std::vector<Remembered>& remembered);
  // False, and nothing happens, if the offer was reckoned against another list than the one in
  // force.
  bool apply_list(const CandidateList& offer, Time now);
  void apply_board_update(bool complete, const std::vector<Member>& members, Time now);
  // Takes the steps that are due and the next part of a large change.
  void advance(Time now);
  Time next_wakeup() const;  // when advance() has something to do; the largest Time: never

  // What has changed since the last call. Not ready first: those bind the sends of the same turn.
  std::vector<EndpointChange> take_changes();

  const SnapshotPtr& current_list() const { return list_; }
  std::vector<Remembered> remembered(Time now) const;
  Reason reason(ServerId id) const;
  std::size_t ready_count() const;
  std::size_t known_count() const { return known_.size(); }
  const EndpointSetCounters& counters() const { return counters_; }

 private:
  using Place = std::pair<Role, std::uint32_t>;
  struct Known {
    Member told;                               // as last passed on; gone: never, or no longer
    ServerStatus wanted = ServerStatus::gone;  // before damping
    Reason reason = Reason::as_listed;
    FlapDamping flaps;
    double weight = 0;  // where the steps have come to; 0: not begun
    Time step_at = 0, born = 0, wake = 0;
    std::optional<Place> held_in;  // where it is held out
    bool dirty = false;
  };

  void evaluate(ServerId id, Time now);
  Merged wanted(ServerId id) const;
  double step(Known& k, double target, Time now);
  bool hold_out(ServerId id, Known& k, const Member& m, Time now);
  void tell(ServerId id, Known& k, const Member& m);
  void wake(ServerId id, Known& k, Time at);
  void forget_if_gone(ServerId id, Known& k, Time now);

  const EndpointSetSettings settings_;
  SnapshotPtr list_;
  std::vector<std::uint32_t> point_zones_, hub_zones_;
  std::unordered_map<std::uint64_t, Member> board_;
  bool board_spoke_ = false, primed_ = false;
  std::unordered_map<std::uint64_t, Known> known_;
  std::map<Place, std::size_t> ready_;
  std::map<Place, std::set<ServerId>> held_;
  std::set<std::pair<Time, ServerId>> due_;
  std::deque<ServerId> waiting_;  // the rest of a large change
  std::vector<ServerId> dirty_;
  EndpointSetCounters counters_;
};

}  // namespace alderspur::endpoints
