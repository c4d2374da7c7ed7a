// Simulates a cluster of ConsensusNodes in one process on a simulated clock: a network with faults
// on each link, router clocks that run at different rates, and disks that store, lose or reject
// writes.
//
// The simulation checks these invariants:
// - There is at most one leader.
// - The version number on which a router acts does not decrease, and a number has one content.
// - A version in a canary rollout is active at the canary routers only.
// - No router acts on an older version under a lease for more than kMaxStaleTime.
// - The leased shares add up to at most kLeasedFraction, in total and per location.
// The first violation stops the simulation; its message contains the seed and the time. A run
// depends only on the seed and on the calls of the test, so it can be repeated exactly. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/consensus_node.h"

// Fails the test if an invariant was violated, and prints the violation.
#define ASSERT_NO_VIOLATION(cluster) ASSERT_EQ((cluster).violation(), "")

namespace alderspur::consensus {

constexpr Time kSecond = 1'000'000;  // microseconds
/// The longest time for which a router may act on an older version under a lease after a newer
/// version has been activated at another router.
constexpr Time kMaxStaleTime = 2 * kSecond;

/// Returns the factor by which randomized and explored tests multiply their number of runs: the
/// value of the environment variable ALDERSPUR_EXPLORE, or 1 if it is not set.
std::size_t exploration_factor();

/// Returns a canary rollout that tolerates 5 percentage points more failures at the canary routers.
inline CanaryRollout make_canary(std::vector<std::string> routers, Time duration,
                                 bool promote_on_expiry) {
  return {std::move(routers), duration, 0.05, promote_on_expiry};
}

/// The network from one router to another. Times are in microseconds.
struct Link {
  bool is_cut = false;
  unsigned loss_percent = 0;
  Time delay = 1'000;
  Time jitter = 2'000;  // maximum of the random delay added to `delay`
};

/// The disk of a simulated router and its faults. A power loss affects the log only.
struct SimulatedDisk {
  PersistedLog synced_log;   // remains after a power loss
  PersistedLog written_log;  // remains after the process is killed
  PersistedState state;
  std::map<std::string, std::string> contents;  // encoded, by digest
  bool ignores_sync = false;    // syncs have no effect, so a power loss discards writes
  bool rejects_writes = false;  // every write of the log or of a content fails
  bool is_log_corrupt = false;  // the next start finds the log corrupt
  Time latency = 500;           // microseconds per write
};

/// A cluster of simulated routers named r0, r1, ... and its network, disks and clock.
class SimulatedCluster {
 public:
  /// A simulated router. It remains when its process is not running.
  struct Router {
    std::string name;
    std::unique_ptr<ConsensusNode> node;  // null if the process is not running
    SimulatedDisk disk;
    double clock_rate = 1;  // seconds of the router's clock per simulated second
    Time clock_offset = 0;
    bool is_paused = false;
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;                       // incremented at each start and kill
    std::uint64_t protocol_version = kProtocolVersion;  // takes effect at the next start
    std::vector<Event> deferred_events;                 // received while paused
    ActiveVersion active;
    std::uint64_t highest_number = 0;  // of all versions on which it has acted
    std::vector<ProposalResult> results;
    std::vector<std::string> log_events;
    // Returns why a content is invalid, or an empty string. Null: all contents are valid.
    std::function<std::string(const Content&)> checker;
  };

  /// Creates and starts `routers` routers; the first `voters` of them are voters.
  SimulatedCluster(std::uint64_t seed, std::size_t routers, std::size_t voters);

  static std::string name(std::size_t index) { return "r" + std::to_string(index); }
  Router& router(std::size_t index) { return routers_.at(name(index)); }
  Router& router(const std::string& name) { return routers_.at(name); }
  std::map<std::string, Router>& routers() { return routers_; }

  // Processes.
  void start(const std::string& name);
  void kill(const std::string& name);
  /// Kills the process and discards the log writes that were not synced.
  void lose_power(const std::string& name);
  /// Stops the process without ending it; its events are deferred until resume().
  void pause(const std::string& name) { routers_.at(name).is_paused = true; }
  void resume(const std::string& name);
  bool is_running(const std::string& name) { return routers_.at(name).node != nullptr; }

  // Network.
  /// Returns a link, which the caller may change.
  Link& link(const std::string& from, const std::string& to) { return links_[{from, to}]; }
  /// Cuts all links between the routers in `side` and the other routers.
  void partition(const std::set<std::string>& side);
  /// Removes all faults of all links.
  void restore_links() { links_.clear(); }

  // Operators' proposals. Each function submits one at the named router and returns its nonce.
  /// Proposes a version whose only document is "servers" with this text.
  std::uint64_t propose(const std::string& name, const std::string& text,
                        std::optional<std::uint64_t> base_number = {}, CanaryRollout canary = {});
  std::uint64_t propose_voters(const std::string& name, std::vector<std::string> voters);
  std::uint64_t decide_canary(const std::string& name, std::uint64_t number, bool promote);
  /// Returns the result of a proposal; null until it is finished.
  const ProposalResult* result(std::uint64_t nonce) const;

  /// Sets the measured load of a router: requests per second, and failures per request.
  void set_load(const std::string& name, double request_rate, double failure_ratio);

  // Time.
  /// Runs all scheduled actions of the next `duration`. Stops early if an invariant is violated.
  void run_for(Time duration);
  /// Runs until the condition holds, `max_duration` has passed, or an invariant is violated.
  /// Returns whether the condition holds then.
  bool run_until(const std::function<bool()>& condition, Time max_duration = 30 * kSecond);
  bool wait_for_leader() {
    return run_until([this] { return !leader().empty(); });
  }
  bool wait_for_result(std::uint64_t nonce) {
    return run_until([&] { return result(nonce) != nullptr; });
  }
  /// Waits for a leader, proposes a first version at the named router, and waits until all routers
  /// use it. Returns false if this takes too long.
  bool start_with(const std::string& name, const std::string& text);
  /// Returns the time of a router's own clock.
  Time clock_of(const Router& router) const;

  /// Returns true if a router acts on the version with this text and is not conservative.
  bool uses(std::size_t index, const std::string& text) const;
  /// Returns true if uses() holds for all routers that are running and not paused.
  bool all_use(const std::string& text) const;
  /// Returns the name of the leader; empty if there is none.
  std::string leader() const;
  /// Describes the state of all routers, for the message of a failed check.
  std::string describe() const;

  Time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  /// Returns the first violation of an invariant; empty if there is none.
  const std::string& violation() const { return violation_; }

  /// Counts of messages sent and writes requested by all routers.
  struct Totals {
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
    std::uint64_t log_writes = 0;
    std::uint64_t content_writes = 0;
  };
  const Totals& totals() const { return totals_; }
  /// Returns the longest time for which a router acted on an older version under a lease.
  Time longest_stale_lease() const { return longest_stale_lease_; }

 private:
  std::vector<std::string> names_except(const std::string& excluded) const;
  void schedule(Time delay, std::function<void()> action);
  void report_violation(const std::string& what);

  void deliver(Router& router, const Event& event);
  void schedule_timer(Router& router);
  void schedule_disk_write(Router& router, std::function<Event(bool is_ok)> write);
  void apply_write(PersistedLog& log, const LogWrite& write);
  void apply_append(PersistedLog& log, const AppendEntries& append);
  static void apply_snapshot(PersistedLog& log, const SaveSnapshot& save);

  // Actions of a node.
  void carry_out(Router& router, const Action& action);
  void perform(Router& router, const SendMessage& action);
  void perform(Router& router, const WriteLog& action);
  void perform(Router& router, const WriteContent& action);
  void perform(Router& router, const CheckContent& action);
  void perform(Router& router, const DeleteContent& action);
  void perform(Router& router, const PersistState& action);
  void perform(Router& router, const Activate& action);
  void perform(Router& router, const ProposalFinished& action);
  void perform(Router& router, const LogEvent& action);

  void check_active_version(const Router& router, const ActiveVersion& next);
  bool has_lease(const Router& router) const;
  void check_invariants();
  void check_staleness(const Router& router);
  static std::string location_of(const std::string& name);
  std::string describe(const Router& router) const;

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  Time now_ = 0;
  std::string violation_;
  Totals totals_;
  Time longest_stale_lease_ = 0;
  std::vector<std::string> voters_;
  std::map<std::string, Router> routers_;
  std::map<std::pair<std::string, std::string>, Link> links_;  // from, to
  std::multimap<Time, std::function<void()>> queue_;
  std::map<std::string, Time> last_disk_write_;   // by router
  std::map<std::uint64_t, std::string> digests_;  // by version number
  std::map<std::uint64_t, Time> first_used_at_;   // by version number
  Time next_check_ = 0;
};

}  // namespace alderspur::consensus
