// Tests of versions that are replicated between several processes of the program, with faults of
// the links and the disks. The tests check the requests that the fake caches receive and the status
// that each process reports.
#include "consensus/router_fleet.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace {

using fleet::kMaxStaleTime, fleet::kDiskFull, fleet::kHangs, fleet::kNoFault, fleet::kSyncFails,
    fleet::kSyncIgnored;
using rig::kSecond;
using rig::Time;
namespace consensus = alderspur::consensus;
namespace net = alderspur::net;
constexpr Time kBusyMachineTime = 2 * kSecond;  // added to time limits for a busy machine
constexpr Time kRecoveryTime = 40 * kSecond;    // for a voter that lost its log

class ConsensusFleetTest : public ::testing::Test, protected fleet::RouterFleet {
 protected:
  void start_fleet(std::size_t routers, std::vector<std::size_t> voters) {
    ASSERT_TRUE(start(routers, std::move(voters)));
  }
  bool wait_until_all_use(std::uint64_t number) {
    return cluster->until([&] { return all_use(number, cluster->all()); });
  }
  // Returns three of six routers: the leader and the last ones of the others.
  std::vector<std::size_t> half_with_leader() {
    std::vector<std::size_t> routers = {leader()};
    for (const std::size_t router : {5u, 4u, 3u}) {
      if (routers.size() < 3) routers.push_back(router);
    }
    return routers;
  }
  // Sends an operator's decision on the canary rollout to router 0 and returns its result.
  std::string decide_canary(const std::string& decision) {
    const auto nonce = cluster->put(0, "/control/versions/rollout", decision);
    cluster->until([&] {
      last_result = proposal_result(0, nonce);
      return last_result.starts_with("yes") || last_result.starts_with("no");
    });
    return last_result;
  }
};

TEST_F(ConsensusFleetTest, SendsNoRequestsToARemovedCacheOnceTheVersionIsActive) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(5, {0, 1, 2}));
  is_sending = true;
  cluster->run(kSecond);
  EXPECT_GT(requests_received[2], 10u);
  const auto number = propose(4, "ab");
  ASSERT_EQ(number, 1u) << last_result;
  const Time activated_at = net::unix_now();
  ASSERT_TRUE(wait_until_all_use(number));
  cluster->run(kMaxStaleTime);
  const auto before = requests_received[2];
  cluster->run(kSecond);
  EXPECT_EQ(requests_received[2], before);
  EXPECT_LE(last_request_at[2], activated_at + kMaxStaleTime + kBusyMachineTime);
  EXPECT_GT(requests_received[0], 50u);
  EXPECT_EQ(propose(0, "abc", "?base=0"), 0u) << "derived from an outdated version";
  EXPECT_NE(last_result.find("made from 0"), std::string::npos) << last_result;
  EXPECT_EQ(propose(0, ""), 0u)
      << "a list without servers is rejected by the router that receives the proposal";
  EXPECT_NE(last_result.find("refused here"), std::string::npos) << last_result;
}

TEST_F(ConsensusFleetTest, KeepsAcceptedVersionsWhenTheLeaderIsKilledAtAnyStep) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(5, {0, 1, 2}));
  std::uint64_t last = 0;
  const std::vector<std::string> lists = {"ab", "abc", "bc", "abc"};
  for (std::size_t round = 0; round < lists.size(); ++round) {
    const auto old_leader = leader();
    ASSERT_LT(old_leader, 5u);
    const auto nonce = cluster->put(4, "/control/versions",
                                    consensus::encode({{"servers", endpoint_list(lists[round])}}));
    // In each round, the proposal has reached another state when the leader is killed.
    cluster->run(static_cast<Time>(round) * 15'000);
    cluster->kill(old_leader);
    std::string result;
    ASSERT_TRUE(cluster->until([&] {
      result = proposal_result(4, nonce);
      return result.starts_with("yes") || result.starts_with("no");
    }));
    cluster->start(old_leader);
    ASSERT_TRUE(cluster->until([&] { return cluster->whole(cluster->all()) && leader() < 5; }));
    if (result.starts_with("yes")) {
      const auto number = std::stoull(result.substr(4));
      EXPECT_GT(number, last) << "version numbers never decrease";
      last = number;
      EXPECT_TRUE(wait_until_all_use(number)) << round;
    }
  }
  const auto number = propose_with_retries(3, "ab");
  EXPECT_GT(number, last) << last_result;
  EXPECT_TRUE(wait_until_all_use(number));
}

TEST_F(ConsensusFleetTest, NeitherLeadsNorSendsToARemovedCacheAfterALongPause) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(5, {0, 1, 2}));
  is_sending = true;
  const auto old_leader = leader();
  cluster->signal(old_leader, SIGSTOP);
  const auto other = (old_leader + 1) % 5 == 0 ? 4 : (old_leader + 1) % 5;
  ASSERT_TRUE(cluster->until([&] { return leader() < 5 && leader() != old_leader; }));
  const auto number = propose_with_retries(other > 2 ? other : 4, "ab");
  ASSERT_GT(number, 0u) << last_result;
  ASSERT_TRUE(cluster->until([&] { return all_use(number, all_except(old_leader)); }));
  cluster->run(kSecond);
  cluster->signal(old_leader, SIGCONT);
  cluster->run(200'000);
  EXPECT_FALSE(status(old_leader).is_leader);
  ASSERT_TRUE(wait_until_all_use(number));
  const Time activated_at = net::unix_now();
  cluster->run(kSecond);
  EXPECT_LE(last_request_at[2], activated_at + kBusyMachineTime);
}

TEST_F(ConsensusFleetTest, ServesConservativelyOnTheMinoritySideOfAPartition) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(5, {0, 1, 2, 3, 4}));
  is_sending = true;
  const auto first = propose(0, "abc");
  ASSERT_TRUE(cluster->until([&] { return first && all_use(first, cluster->all()); }))
      << last_result;
  cluster->cut({0, 1}, {2, 3, 4});
  cluster->run(kMaxStaleTime + 300'000);
  EXPECT_TRUE(cluster->until([&] { return status(0).is_conservative && status(1).is_conservative; },
                             kBusyMachineTime));
  const auto number = propose_with_retries(3, "ab");
  EXPECT_GT(number, first) << last_result;
  EXPECT_EQ(status(0).active_number, first);
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30) << "clients of both sides are served";
  cluster->cut({0, 1}, {2, 3, 4}, false);
  EXPECT_TRUE(wait_until_all_use(number));
}

TEST_F(ConsensusFleetTest, AcceptsVersionsDespiteAOneWayPartitionAndAStalledLink) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(5, {0, 1, 2}));
  const auto current_leader = leader();
  cluster->way(4, current_leader).cut = true;
  cluster->way(3, current_leader).stall = cluster->way(current_leader, 3).stall = true;
  cluster->run(300'000);
  const Time from = net::unix_now();
  const auto number = propose_with_retries(current_leader == 0 ? 1 : 0, "ab");
  EXPECT_GT(number, 0u) << last_result;
  EXPECT_LE(net::unix_now() - from, kMaxStaleTime + 3 * kBusyMachineTime);
  // Routers 3 and 4 receive the new version from other routers and act on the conservative merge
  // with it.
  for (const std::size_t router : {3u, 4u}) {
    EXPECT_TRUE(cluster->until([&] {
      const auto current = status(router);
      return current.active_number == number || current.newer_versions > 0;
    })) << router;
  }
  cluster->way(4, current_leader).cut = false;
  cluster->way(3, current_leader).stall = cluster->way(current_leader, 3).stall = false;
  EXPECT_TRUE(wait_until_all_use(number));
}

TEST_F(ConsensusFleetTest, ReplacesAllVotersOfARunningCluster) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(6, {0, 1, 2}));
  ASSERT_EQ(propose(5, "ab"), 1u) << last_result;
  const std::vector<std::string> steps = {"n3\nn1\nn2\n", "n3\nn4\nn2\n", "n3\nn4\nn5\n"};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const auto nonce = cluster->put(5, "/control/versions/voters", steps[i]);
    ASSERT_TRUE(cluster->until([&] { return proposal_result(5, nonce).starts_with("yes"); })) << i;
    ASSERT_TRUE(cluster->until([&] {
      return status(i).role == "follower" && status(i + 3).role == "voter" && leader() < 6;
    })) << i
        << " " << status(i).role << " " << status(i + 3).role;
  }
  for (const std::size_t router : {0u, 1u, 2u}) cluster->kill(router);
  const auto number = propose_with_retries(5, "abc");
  EXPECT_EQ(number, 2u) << last_result;
}

// All routers lose power at once, and the disk of one of them has ignored syncs, is altered, is
// empty or was restored from an old copy.
TEST_F(ConsensusFleetTest, RecoversFromAPowerLossWithOneUnsyncedAlteredLostOrOldDisk) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  const auto wait_for_recovery = [&](std::uint64_t number, const char* fault) {
    ASSERT_TRUE(cluster->until([&] { return leader() < 4 && all_use(number, cluster->all()); },
                               kRecoveryTime))
        << fault << "\n"
        << cluster->log(0).substr(cluster->log(0).size() / 2);
    ASSERT_TRUE(cluster->until([&] {
      return status(0).role == "voter" && status(1).role == "voter" && status(2).role == "voter";
    })) << fault;
  };
  const auto lose_all_power = [&] {
    for (std::size_t i = 0; i < 4; ++i) cluster->lose_power(i);
  };
  // The syncs of one disk report success and do nothing.
  cluster->set_faults(1, kSyncIgnored);
  const auto two = propose_with_retries(3, "abc");
  ASSERT_GT(two, 1u) << last_result;
  lose_all_power();
  cluster->set_faults(1, kNoFault);
  cluster->start_all();
  wait_for_recovery(two, "unsynced");
  // One byte of a log is altered; then the folder of another router is lost.
  lose_all_power();
  std::fstream database(cluster->state(1) + "/agree.db",
                        std::ios::in | std::ios::out | std::ios::binary);
  database.seekp(4096 * 2 + 3000);
  database.put('\x5a');
  database.close();
  cluster->start_all();
  wait_for_recovery(two, "altered");
  lose_all_power();
  std::filesystem::remove_all(cluster->state(2));
  cluster->start_all();
  wait_for_recovery(two, "lost");
  // An old copy of the log is restored beside a newer mark.
  std::filesystem::copy_file(cluster->state(0) + "/agree.db", cluster->state(0) + "/old");
  const auto three = propose_with_retries(3, "ab");
  ASSERT_GT(three, two) << last_result;
  cluster->kill(0);
  std::filesystem::rename(cluster->state(0) + "/old", cluster->state(0) + "/agree.db");
  cluster->start(0);
  wait_for_recovery(three, "old");
  EXPECT_NE(cluster->log(0).find("log_spoilt"), std::string::npos);
}

TEST_F(ConsensusFleetTest, ServesRequestsAndAcceptsVersionsDespiteAHangingOrFailingDisk) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  is_sending = true;
  cluster->run(500'000);
  cluster->set_faults(2, kHangs);
  const auto two = propose_with_retries(3, "abc");
  EXPECT_GT(two, 1u) << last_result;
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30) << "the clients of router 2 are served as well";
  cluster->set_faults(2, kNoFault);
  EXPECT_TRUE(wait_until_all_use(two));
  cluster->set_faults(2, kSyncFails);
  const auto three = propose_with_retries(3, "ab");
  EXPECT_GT(three, two) << last_result;
  cluster->set_faults(2, kNoFault);
  EXPECT_TRUE(cluster->until(
      [&] { return all_use(three, cluster->all()) && status(2).role == "voter"; }, kRecoveryTime));
}

// Half of the routers, including the leader, are killed at once. Their shares are granted to the
// other routers, but only after their leases have expired.
TEST_F(ConsensusFleetTest, ReassignsSharesOfKilledRoutersOnlyAfterTheirLeasesExpire) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(6, {0, 1, 2}));
  is_sending = true;
  double highest = 0;
  const auto shares_in_use = [&] {
    double sum = 0;
    for (const auto router : cluster->all()) sum += status(router).total_share;
    highest = std::max(highest, sum);
    return sum;
  };
  ASSERT_TRUE(cluster->until([&] { return shares_in_use() > 0.84; })) << highest;
  for (const auto router : half_with_leader()) cluster->kill(router);
  const Time killed_at = net::unix_now();
  EXPECT_LT(shares_in_use(), 0.8);
  ASSERT_TRUE(cluster->until([&] { return shares_in_use() >= 0.8; })) << highest;
  EXPECT_LE(net::unix_now() - killed_at, 15 * kSecond);
  EXPECT_LE(highest, 0.8501);
}

// Three canary rollouts: the first is rolled back by an operator, the second is rolled back because
// of failures at the canary router, and the third is promoted.
TEST_F(ConsensusFleetTest, AppliesACanaryToItsRoutersOnlyAndRollsItBackOnFailures) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "abc"), 1u) << last_result;
  is_sending = true;
  ASSERT_TRUE(wait_until_all_use(1));
  ASSERT_EQ(propose(3, "ab", "?first=n3&hold=600&harm=0.5"), 2u) << last_result;
  ASSERT_TRUE(cluster->until([&] { return all_use(2, {3}); }));
  cluster->run(2 * kSecond);
  EXPECT_TRUE(all_use(1, {0, 1, 2})) << "the other routers act on version 1 under their leases";
  EXPECT_FALSE(decide_canary("go 7").starts_with("yes")) << last_result;
  ASSERT_TRUE(decide_canary("back 2").starts_with("yes")) << last_result;
  ASSERT_TRUE(cluster->until([&] { return all_use(3, cluster->all()); },
                             kMaxStaleTime + 2 * kBusyMachineTime));
  // The only cache of the canary router fails all requests.
  is_cache_broken[2] = true;
  ASSERT_EQ(propose(3, "c", "?first=n3&hold=600&then=go"), 4u) << last_result;
  ASSERT_TRUE(wait_until_all_use(5));
  std::size_t current_leader = 0;
  ASSERT_TRUE(cluster->until([&] {
    current_leader = leader();
    return current_leader < 4;
  }));
  EXPECT_NE(cluster->get(current_leader, "/control/versions").find("ended badly"),
            std::string::npos);
  is_cache_broken[2] = false;
  cluster->run(4 * kSecond);  // its concurrency limit recovers
  const auto promoted = propose(3, "ab", "?first=n3,n0&hold=3&harm=0.5&then=go");
  ASSERT_EQ(promoted, 6u) << last_result;
  EXPECT_TRUE(wait_until_all_use(6));
}

TEST_F(ConsensusFleetTest, AcceptsVersionsWithAFullDiskAndReadmitsTheVoterWhenSpaceIsFreed) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  is_sending = true;
  cluster->set_faults(2, kDiskFull);
  const auto two = propose_with_retries(3, "abc");
  EXPECT_GT(two, 1u) << last_result;
  EXPECT_TRUE(cluster->until([&] { return all_use(two, all_except(2)); }));
  const auto before = served_count;
  cluster->run(2 * kSecond);
  EXPECT_GT(served_count, before + 60) << "the clients of router 2 are served as well";
  EXPECT_TRUE(status(2).is_conservative) << "it holds no lease on a version that it cannot store";
  cluster->set_faults(2, kNoFault);
  EXPECT_TRUE(cluster->until(
      [&] { return all_use(two, cluster->all()) && status(2).role == "voter"; }, kRecoveryTime));
}

// Compares the requests that a newly started cache receives with its slow start budget.
class SlowStartTest : public ConsensusFleetTest {
 protected:
  // The values of the settings below.
  static constexpr double kInitialShare = 0.2;
  static constexpr double kRampSeconds = 60;
  static constexpr double kUtilization = 0.75;
  static constexpr double kBurstSeconds = 0.25;
  static constexpr double kSecondsPerAnswer = 90.0 / 9000;
  static constexpr std::size_t kNewCache = 2;

  // Returns the budget of the new cache, which has weight 1, in requests per second from all
  // routers.
  double budget_at(Time time) const {
    const double age = static_cast<double>(time - added_at_) / 1e6;
    const double share = kInitialShare + (1 - kInitialShare) * age / kRampSeconds;
    return kUtilization * share / kSecondsPerAnswer;
  }
  // Returns the ratio of the requests that the new cache receives during `duration` to its budget,
  // and checks that the budget is not exceeded. The check allows for two effects that matter in a
  // short window: tokens saved for a burst, and one request by which each router may overdraw its
  // tokens.
  double measure_used_budget(Time duration) {
    const auto before = requests_received[kNewCache];
    const Time from = net::unix_now();
    cluster->run(duration);
    const Time measured = net::unix_now() - from;
    const double rate = static_cast<double>(requests_received[kNewCache] - before) /
                        (static_cast<double>(measured) / 1e6);
    const double budget = budget_at(from + measured / 2);
    const double seconds = static_cast<double>(duration) / 1e6;
    EXPECT_LE(rate, budget * (1 + kBurstSeconds / seconds) + 6 / seconds);
    return rate / budget;
  }
  // When the result of the proposal with the new cache was received. Routers may have started to
  // use the cache earlier, but by no more than the duration of a call.
  Time added_at_ = 0;
};

// All routers together may send a newly started cache only a configured part of its capacity. Half
// of the routers, including the leader, are killed while the cache warms up. The cache must never
// receive more than its budget, and the other routers alone must use four fifths of it again in
// time.
TEST_F(SlowStartTest, KeepsTheBudgetWithHalfOfTheRoutersKilled) {
  obligations =
      R"("weights":"nominal","obligations":{"cold-from":0.2,"cold":60000000,"fall":1000000},)";
  initial_servers = "ab";
  server_weight = 1;
  ASSERT_NO_FATAL_FAILURE(start_fleet(6, {0, 1, 2}));
  is_sending = true;
  cluster->run(2 * kSecond);  // lets the shares adapt to the request rates
  const auto number = propose_with_retries(5, "abc");
  ASSERT_GT(number, 0u) << last_result;
  added_at_ = net::unix_now();
  ASSERT_TRUE(wait_until_all_use(number));
  EXPECT_GT(measure_used_budget(2 * kSecond), 0.5) << "the budget limits the requests";
  for (const auto router : half_with_leader()) cluster->kill(router);
  const Time killed_at = net::unix_now();
  double lowest = 1;
  double used = 0;
  while (net::unix_now() < killed_at + 20 * kSecond && used < 0.8) {
    used = measure_used_budget(kSecond);
    lowest = std::min(lowest, used);
  }
  EXPECT_LE(net::unix_now() - killed_at, 15 * kSecond);
  EXPECT_LT(lowest, 0.7)
      << "the shares of the killed routers stay unused until their leases expire";
  const double steady = measure_used_budget(5 * kSecond);
  EXPECT_GE(steady, 0.8);
  EXPECT_LE(steady, 1.0);
}

// Guards against leases, deadlines and timers that use the wall clock, which can be set.
TEST_F(ConsensusFleetTest, IgnoresWallClocksThatDifferAndJump) {
  ASSERT_NO_FATAL_FAILURE(start_fleet(4, {0, 1, 2}));
  is_sending = true;
  constexpr std::int64_t kHour = 3600LL * 1'000'000;
  cluster->set_faults(0, kNoFault, kHour);
  cluster->set_faults(1, kNoFault, -kHour);
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  for (int i = 0; i < 4; ++i) {
    cluster->set_faults(static_cast<std::size_t>(i % 4), kNoFault, i % 2 ? 5 * kHour : -2 * kHour);
    cluster->run(400'000);
  }
  EXPECT_TRUE(cluster->until(
      [&] { return leader() < 4 && all_use(1, cluster->all()) && cluster->whole(cluster->all()); },
      5 * kSecond));
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30);
  EXPECT_EQ(propose(3, "abc"), 2u) << last_result;
}

}  // namespace
