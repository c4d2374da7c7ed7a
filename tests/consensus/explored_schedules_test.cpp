// Explores schedules with one crash and one partition, at many points in time, on the simulated
// network.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <unordered_set>

#include "consensus/simulated_cluster.h"

namespace alderspur::consensus {
namespace {

// Times in microseconds. Both faults begin within kFaultWindow after the proposal; without faults,
// a version becomes current within this time.
constexpr Time kFaultWindow = 1'200'000;
constexpr Time kPartitionDuration = 2'000'000;
constexpr Time kObservationInterval = 20'000;

// Returns a hash of the state of the whole cluster: of each router, the version that it acts on,
// whether it is conservative or the leader, and the pending and current versions of its replicated
// state.
std::uint64_t hash_of_state(SimulatedCluster& cluster) {
  std::uint64_t hash = 1469598103934665603ULL;  // FNV-1a
  const auto mix = [&](std::uint64_t value) { hash = (hash ^ value) * 1099511628211ULL; };
  for (const auto& [name, router] : cluster.routers()) {
    mix(router.node != nullptr);
    if (!router.node) continue;
    const AppliedState& state = router.node->applied_state();
    mix(router.active.version.number);
    mix(router.active.is_conservative);
    mix(router.active.newer_contents.size());
    mix(router.node->is_leader(cluster.clock_of(router)));
    mix(state.pending() ? state.pending()->number : 0);
    mix(state.accepted().has_value());
    mix(state.current().number);
  }
  return hash;
}

// The faults of one run. Times are in microseconds after the proposal.
struct Schedule {
  std::size_t crashed = 0;  // index of the router that is killed
  Time crash_at = 0;
  Time down_time = 0;          // from the crash to the restart
  std::set<std::string> side;  // routers on one side of the partition
  Time partition_at = 0;

  std::string describe() const {
    return SimulatedCluster::name(crashed) + " killed at " + std::to_string(crash_at / 1000) +
           " ms, restarted after " + std::to_string(down_time / 1000) + " ms; " + *side.begin() +
           " and " + std::to_string(side.size() - 1) + " more routers partitioned at " +
           std::to_string(partition_at / 1000) + " ms";
  }
};

std::vector<Schedule> all_schedules() {
  const std::vector<std::set<std::string>> sides = {{"r0"},       {"r1"},       {"r2"},      {"r3"},
                                                    {"r0", "r1"}, {"r0", "r2"}, {"r0", "r3"}};
  const Time step = kFaultWindow / static_cast<Time>(3 * exploration_factor());
  std::vector<Schedule> schedules;
  for (std::size_t crashed = 0; crashed < 4; ++crashed) {
    for (Time crash_at = step / 2; crash_at < kFaultWindow; crash_at += step) {
      for (const Time down_time : {Time{300'000}, Time{2'500'000}}) {
        for (const auto& side : sides) {
          for (Time partition_at = step / 3; partition_at < kFaultWindow; partition_at += step) {
            schedules.push_back({crashed, crash_at, down_time, side, partition_at});
          }
        }
      }
    }
  }
  return schedules;
}

// Totals over all schedules.
struct Outcome {
  std::unordered_set<std::uint64_t> states;  // hashes of the distinct states that occurred
  std::size_t accepted = 0;                  // proposals accepted despite both faults
};

// Runs the schedule, starting now, and calls `observe` at least once per kObservationInterval.
void run_schedule(const Schedule& schedule, SimulatedCluster& cluster,
                  const std::function<void()>& observe) {
  struct Event {
    Time at;
    std::function<void()> action;
  };
  const auto crashed = SimulatedCluster::name(schedule.crashed);
  std::vector<Event> events = {
      {schedule.crash_at, [&] { cluster.kill(crashed); }},
      {schedule.crash_at + schedule.down_time, [&] { cluster.start(crashed); }},
      {schedule.partition_at, [&] { cluster.partition(schedule.side); }},
      {schedule.partition_at + kPartitionDuration, [&] { cluster.restore_links(); }}};
  std::sort(events.begin(), events.end(),
            [](const Event& left, const Event& right) { return left.at < right.at; });
  const Time from = cluster.now();
  for (const auto& event : events) {
    while (cluster.now() < from + event.at) {
      cluster.run_for(std::min<Time>(kObservationInterval, from + event.at - cluster.now()));
      observe();
    }
    event.action();
  }
}

void check_schedule(const Schedule& schedule, Outcome& outcome) {
  SimulatedCluster cluster(11, 4, 2);
  ASSERT_TRUE(cluster.start_with("r3", "one")) << schedule.describe();
  const auto record_state = [&] { outcome.states.insert(hash_of_state(cluster)); };
  const auto first_proposal = cluster.propose(schedule.crashed == 2 ? "r3" : "r2", "two");
  run_schedule(schedule, cluster, record_state);
  const ProposalResult* first_result = cluster.result(first_proposal);
  std::uint64_t last_proposal = first_proposal;
  const auto has_converged = [&] {
    record_state();
    if (cluster.result(last_proposal) && !cluster.result(last_proposal)->is_accepted) {
      last_proposal = cluster.propose("r3", "two");
    }
    return cluster.result(last_proposal) && cluster.all_use("two");
  };
  ASSERT_TRUE(cluster.run_until(has_converged, 40 * kSecond)) << schedule.describe() << "\n"
                                                              << cluster.describe();
  ASSERT_NO_VIOLATION(cluster) << schedule.describe();
  if (first_result && first_result->is_accepted) ++outcome.accepted;
}

// The cluster has two voters and two followers. While a second version is proposed, one of the four
// routers is killed and restarted after a short or a long time, and one partition begins and ends.
// The crash and the partition each begin at one of several points in time.
//
// The invariants of SimulatedCluster must hold at all times: there is at most one leader, the
// version number of a router never decreases, no router acts on an older version under a lease for
// too long, and the leased shares never exceed the part of the budget that may be leased. After the
// faults, all routers must act on the same version. A failing schedule is printed and can be
// repeated exactly. ALDERSPUR_EXPLORE=4 runs 16 times as many schedules.
TEST(ExploredSchedulesTest, OneCrashAndOnePartitionViolateNoInvariant) {
  const auto schedules = all_schedules();
  Outcome outcome;
  for (const auto& schedule : schedules) {
    ASSERT_NO_FATAL_FAILURE(check_schedule(schedule, outcome));
  }
  RecordProperty("schedules", static_cast<int>(schedules.size()));
  RecordProperty("states", static_cast<int>(outcome.states.size()));
  std::printf("%zu schedules, %zu states, %zu proposals accepted despite both faults\n",
              schedules.size(), outcome.states.size(), outcome.accepted);
  EXPECT_GT(outcome.states.size(), 50u);
  EXPECT_GT(outcome.accepted, 0u);
}

}  // namespace
}  // namespace alderspur::consensus
