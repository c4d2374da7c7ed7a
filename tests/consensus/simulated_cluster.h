// Many ConsensusNodes in one process on a simulated clock: a network with faults on each link,
// router clocks that run at different rates, and disks that keep, lose or refuse writes. Invariants
// are checked at each step; the first violation stops the run and names the seed and the time.
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

// A check for tests; it says what was violated.
#define ASSERT_NO_VIOLATION(cluster) ASSERT_EQ((cluster).violation(), "")

namespace alderspur::consensus {

constexpr Time kSecond = 1'000'000;
// For how long a router may act on an older version under a lease, once a newer one is in use.
constexpr Time kMaxStaleTime = 2 * kSecond;

/// How many times as many schedules are played; the environment's ALDERSPUR_EXPLORE, or 1.
std::size_t exploration_factor();

inline CanaryRollout make_canary(std::vector<std::string> routers, Time duration,
                                 bool promote_on_expiry) {
  return {std::move(routers), duration, 0.05, promote_on_expiry};
}

/// One direction between two routers.
struct Link {
  bool is_cut = false;
  unsigned loss_percent = 0;
  Time delay = 1'000;
  Time jitter = 2'000;
};

struct SimulatedDisk {
  PersistedLog synced_log;   // what a loss of power leaves
  PersistedLog written_log;  // what a restarted process finds
  PersistedState state;
  std::map<std::string, std::string> contents;
  bool ignores_sync = false;
  bool rejects_writes = false;
  bool is_log_corrupt = false;
  Time latency = 500;
};

class SimulatedCluster {
 public:
  struct Router {
    std::string name;
    std::unique_ptr<ConsensusNode> node;  // null: the process is not running
    SimulatedDisk disk;
    double clock_rate = 1;
    Time clock_offset = 0;
    bool is_paused = false;
    std::uint64_t epoch = 0;
    std::uint64_t generation = 0;                       // of the process: starts and kills
    std::uint64_t protocol_version = kProtocolVersion;  // from the next start on
    std::vector<Event> deferred_events;                 // while it is paused
    ActiveVersion active;
    std::uint64_t highest_number = 0;
    std::vector<ProposalResult> results;
    std::vector<std::string> log_events;
    std::function<std::string(const Content&)> checker;  // why a content is invalid; empty: valid
  };

  /// Routers r0, r1, ... of which the first `voters` vote; all are started.
  SimulatedCluster(std::uint64_t seed, std::size_t routers, std::size_t voters);

  static std::string name(std::size_t index) { return "r" + std::to_string(index); }
  Router& router(std::size_t index) { return routers_.at(name(index)); }
  Router& router(const std::string& name) { return routers_.at(name); }
  std::map<std::string, Router>& routers() { return routers_; }

  // Processes.
  void start(const std::string& name);
  void kill(const std::string& name);
  /// As kill(); what was not truly synced is gone.
  void lose_power(const std::string& name);
  void pause(const std::string& name) { routers_.at(name).is_paused = true; }
  void resume(const std::string& name);
  bool is_running(const std::string& name) { return routers_.at(name).node != nullptr; }

  // The network.
  Link& link(const std::string& from, const std::string& to) { return links_[{from, to}]; }
  /// Cuts all links between these routers and the others.
  void partition(const std::set<std::string>& side);
  void restore_links() { links_.clear(); }

  // Operators; each returns the nonce of the proposal.
  std::uint64_t propose(const std::string& name, const std::string& text,
                        std::optional<std::uint64_t> base_number = {}, CanaryRollout canary = {});
  std::uint64_t propose_voters(const std::string& name, std::vector<std::string> voters);
  std::uint64_t decide_canary(const std::string& name, std::uint64_t number, bool promote);
  /// Null until the proposal is finished.
  const ProposalResult* result(std::uint64_t nonce) const;

  void set_load(const std::string& name, double request_rate, double failure_ratio);

  // Time.
  void run_for(Time duration);
  /// False if the condition does not hold in time, or an invariant is violated.
  bool run_until(const std::function<bool()>& condition, Time max_duration = 30 * kSecond);
  bool wait_for_leader() {
    return run_until([this] { return !leader().empty(); });
  }
  bool wait_for_result(std::uint64_t nonce) {
    return run_until([&] { return result(nonce) != nullptr; });
  }
  /// Waits for a leader, and for a first version to be in use everywhere.
  bool start_with(const std::string& name, const std::string& text);
  Time clock_of(const Router& router) const;

  /// True if that router acts on that text under a lease.
  bool uses(std::size_t index, const std::string& text) const;
  /// True if all running routers act on that text under a lease.
  bool all_use(const std::string& text) const;
  std::string leader() const;  // empty: none
  /// The state of all routers, for the message of a failed check.
  std::string describe() const;

  Time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  const std::string& violation() const { return violation_; }  // empty: all invariants hold

  struct Totals {
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
    std::uint64_t log_writes = 0;
    std::uint64_t content_writes = 0;
  };
  const Totals& totals() const { return totals_; }
  /// The longest time for which a router acted on an older version under a lease.
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
