// Versions under every placing of one crash and one partition, on the simulated network.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <unordered_set>

#include "consensus/simulated_cluster.h"

namespace alderspur::consensus {
namespace {

constexpr Time kWindow = 1'200'000;  // a version becomes current within it
constexpr Time kPartitionTime = 2'000'000;

// Who acts on what and how, who leads, and what is pending, as one number: a state of the whole.
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

struct Schedule {
  std::size_t crashed = 0;  // index of the router
  Time crash_at = 0;
  Time down_time = 0;
  std::set<std::string> side;  // of the partition
  Time partition_at = 0;

  std::string describe() const {
    return SimulatedCluster::name(crashed) + " killed at " + std::to_string(crash_at / 1000) +
           " ms, back after " + std::to_string(down_time / 1000) + "; " + *side.begin() + " and " +
           std::to_string(side.size() - 1) + " more cut off at " +
           std::to_string(partition_at / 1000);
  }
};

std::vector<Schedule> all_schedules() {
  const std::vector<std::set<std::string>> sides = {{"r0"},       {"r1"},       {"r2"},      {"r3"},
                                                    {"r0", "r1"}, {"r0", "r2"}, {"r0", "r3"}};
  const Time step = kWindow / static_cast<Time>(3 * exploration_factor());
  std::vector<Schedule> schedules;
  for (std::size_t crashed = 0; crashed < 4; ++crashed) {
    for (Time crash_at = step / 2; crash_at < kWindow; crash_at += step) {
      for (const Time down_time : {Time{300'000}, Time{2'500'000}}) {
        for (const auto& side : sides) {
          for (Time partition_at = step / 3; partition_at < kWindow; partition_at += step) {
            schedules.push_back({crashed, crash_at, down_time, side, partition_at});
          }
        }
      }
    }
  }
  return schedules;
}

struct Outcome {
  std::unordered_set<std::uint64_t> states;
  std::size_t accepted = 0;  // proposals accepted in spite of both faults
};

// Runs the schedule's events from now on and looks at the state between them.
void play(const Schedule& schedule, SimulatedCluster& cluster, const std::function<void()>& look) {
  struct Event {
    Time at;
    std::function<void()> action;
  };
  const auto crashed = SimulatedCluster::name(schedule.crashed);
  std::vector<Event> events = {
      {schedule.crash_at, [&] { cluster.kill(crashed); }},
      {schedule.crash_at + schedule.down_time, [&] { cluster.start(crashed); }},
      {schedule.partition_at, [&] { cluster.partition(schedule.side); }},
      {schedule.partition_at + kPartitionTime, [&] { cluster.restore_links(); }}};
  std::sort(events.begin(), events.end(),
            [](const Event& a, const Event& b) { return a.at < b.at; });
  const Time from = cluster.now();
  for (const auto& event : events) {
    while (cluster.now() < from + event.at) {
      cluster.run_for(std::min<Time>(20'000, from + event.at - cluster.now()));
      look();
    }
    event.action();
  }
}

void check_schedule(const Schedule& schedule, Outcome& outcome) {
  SimulatedCluster cluster(11, 4, 2);
  ASSERT_TRUE(cluster.start_with("r3", "one")) << schedule.describe();
  const auto look = [&] { outcome.states.insert(hash_of_state(cluster)); };
  const auto two = cluster.propose(schedule.crashed == 2 ? "r3" : "r2", "two");
  play(schedule, cluster, look);
  const ProposalResult* first_result = cluster.result(two);
  std::uint64_t last = two;
  const auto has_converged = [&] {
    look();
    if (cluster.result(last) && !cluster.result(last)->is_accepted) {
      last = cluster.propose("r3", "two");
    }
    return cluster.result(last) && cluster.all_use("two");
  };
  ASSERT_TRUE(cluster.run_until(has_converged, 40 * kSecond)) << schedule.describe() << "\n"
                                                              << cluster.describe();
  ASSERT_NO_VIOLATION(cluster) << schedule.describe();
  if (first_result && first_result->is_accepted) ++outcome.accepted;
}

// Two voters, two followers, two versions; one of the four routers is killed at one of several
// moments of the second version and comes back sooner or later; one partition begins at one of
// several moments and ends by itself. The invariants of SimulatedCluster hold at all times: at most
// one leads; no version number decreases; nobody acts on an older version under a lease for too
// long; shares never exceed what may be leased. Once all is well again, all act on one version. A
// schedule that fails is printed and can be played again as it was. ALDERSPUR_EXPLORE=4 has 16
// times as many.
TEST(ExploredSchedulesTest, OneCrashAndOnePartitionAtAnyMomentViolateNothing) {
  const auto schedules = all_schedules();
  Outcome outcome;
  for (const auto& schedule : schedules) {
    ASSERT_NO_FATAL_FAILURE(check_schedule(schedule, outcome));
  }
  RecordProperty("schedules", static_cast<int>(schedules.size()));
  RecordProperty("states", static_cast<int>(outcome.states.size()));
  std::printf("%zu schedules, %zu states, %zu proposals accepted in spite of both\n",
              schedules.size(), outcome.states.size(), outcome.accepted);
  EXPECT_GT(outcome.states.size(), 50u);
  EXPECT_GT(outcome.accepted, 0u);
}

}  // namespace
}  // namespace alderspur::consensus
