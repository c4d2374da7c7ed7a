// Tests of canary rollouts, in which a version first applies to a few routers, on a simulated
// network.
#include <gtest/gtest.h>

#include "consensus/simulated_cluster.h"

namespace alderspur::consensus {
namespace {

TEST(CanaryRolloutTest, AppliesToTheCanaryRoutersOnlyUntilItIsPromoted) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    const auto two =
        cluster.propose("r4", "two", {}, make_canary({"r1", "r4"}, 600 * kSecond, false));
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.result(two) && cluster.uses(1, "two") && cluster.uses(4, "two");
    })) << seed;
    EXPECT_TRUE(cluster.result(two)->is_accepted && cluster.result(two)->reason == "on trial");
    cluster.run_for(10 * kSecond);
    for (const std::size_t i : {0u, 2u, 3u}) {
      EXPECT_TRUE(cluster.uses(i, "one")) << seed << " r" << i;
    }
    for (const std::size_t i : {1u, 4u}) {
      EXPECT_TRUE(cluster.uses(i, "two")) << "canary routers keep their leases";
    }
    const auto other = cluster.propose("r3", "three");
    ASSERT_TRUE(cluster.wait_for_result(other));
    EXPECT_FALSE(cluster.result(other)->is_accepted) << "a canary rollout is in progress";
    const auto wrong_number = cluster.decide_canary("r0", 7, true);
    ASSERT_TRUE(cluster.wait_for_result(wrong_number));
    EXPECT_FALSE(cluster.result(wrong_number)->is_accepted);
    const auto promotion = cluster.decide_canary("r0", 2, true);
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.result(promotion) && cluster.all_use("two");
    })) << cluster.describe();
    EXPECT_TRUE(cluster.result(promotion)->is_accepted);
    EXPECT_EQ(cluster.router(3).active.version.number, 2u);
    EXPECT_TRUE(cluster.run_until([&] { return !cluster.router(1).active.version.is_canary(); }))
        << "a promoted version is no longer a canary";
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(CanaryRolloutTest, RestoresTheOldContentAsANewVersionWhenRolledBack) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    cluster.propose("r4", "two", {}, make_canary({"r3"}, 600 * kSecond, false));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.uses(3, "two"); }));
    const auto rollback = cluster.decide_canary("r1", 2, false);
    ASSERT_TRUE(cluster.wait_for_result(rollback));
    const Time from = cluster.now();
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.all_use("one") && cluster.router(3).active.version.number == 3;
    })) << cluster.describe();
    EXPECT_LE(cluster.now() - from, kMaxStaleTime);
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(CanaryRolloutTest, IsRolledBackWhenOnlyTheCanaryRoutersFail) {
  for (const bool everywhere : {false, true}) {
    SimulatedCluster cluster(4, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    cluster.propose("r4", "two", {}, make_canary({"r3"}, 600 * kSecond, false));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.uses(3, "two"); }));
    for (std::size_t i = 0; i < 5; ++i) {
      cluster.set_load(SimulatedCluster::name(i), 50, i == 3 || everywhere ? 0.3 : 0.01);
    }
    cluster.run_for(6 * kSecond);
    EXPECT_EQ(cluster.uses(3, "two"), everywhere) << cluster.describe();
    EXPECT_EQ(cluster.router(3).active.version.number, everywhere ? 2u : 3u);
    ASSERT_NO_VIOLATION(cluster);
  }
  SimulatedCluster cluster(5, 5, 3);
  // With too few requests, the failure ratio is not evaluated.
  ASSERT_TRUE(cluster.start_with("r4", "one"));
  cluster.propose("r4", "two", {}, make_canary({"r3"}, 600 * kSecond, false));
  ASSERT_TRUE(cluster.run_until([&] { return cluster.uses(3, "two"); }));
  cluster.set_load("r3", 1.5, 1);
  cluster.run_for(6 * kSecond);
  EXPECT_TRUE(cluster.uses(3, "two"));
}

TEST(CanaryRolloutTest, EndsAsConfiguredAtItsExpiryDespiteANewLeader) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const bool promote = seed % 2;
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    const auto two =
        cluster.propose("r4", "two", {}, make_canary({"r0", "r3"}, 4 * kSecond, promote));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.uses(3, "two"); }));
    cluster.kill(cluster.leader());
    cluster.kill("r3");
    cluster.run_for(kSecond);
    for (const auto& [name, router] : cluster.routers()) {
      if (!cluster.is_running(name)) cluster.start(name);
    }
    cluster.run_for(2 * kSecond);
    EXPECT_FALSE(cluster.uses(4, "two")) << "a new leader restarts the duration of the rollout";
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.all_use(promote ? "two" : "one") &&
             cluster.router(4).active.version.number == (promote ? 2u : 3u);
    })) << seed
        << cluster.describe();
    EXPECT_TRUE(cluster.result(two)->is_accepted);
    ASSERT_NO_VIOLATION(cluster);
  }
}

// A voter with an older program would ignore commands that it does not support, so its replicated
// state would diverge from that of the other voters.
TEST(CanaryRolloutTest, IsRejectedWhileAVoterOrTheLeaderDoesNotSupportIt) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    // With an odd seed, the old program runs at a voter that is not the leader.
    auto old_voter = cluster.leader();
    if (seed % 2) old_voter = old_voter == "r0" ? "r1" : "r0";
    cluster.kill(old_voter);
    cluster.routers().at(old_voter).protocol_version = 0;
    cluster.start(old_voter);
    cluster.run_for(6 * kSecond);
    const auto rejected = cluster.propose("r4", "two", {}, make_canary({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(cluster.wait_for_result(rejected)) << seed << cluster.describe();
    EXPECT_FALSE(cluster.result(rejected)->is_accepted);
    EXPECT_NE(cluster.result(rejected)->reason.find("knows no trials"), std::string::npos)
        << cluster.result(rejected)->reason;
    cluster.kill(old_voter);
    cluster.routers().at(old_voter).protocol_version = kProtocolVersion;
    cluster.start(old_voter);
    cluster.run_for(6 * kSecond);
    const auto accepted = cluster.propose("r4", "two", {}, make_canary({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.result(accepted) && cluster.all_use("two");
    })) << seed
        << cluster.describe();
    EXPECT_TRUE(cluster.result(accepted)->is_accepted);
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(CanaryRolloutTest, IsRejectedWithTooManyRoutersOrWithoutACurrentVersion) {
  SimulatedCluster cluster(6, 4, 3);
  cluster.wait_for_leader();
  const auto without_base = cluster.propose("r3", "one", {}, make_canary({"r3"}, kSecond, true));
  ASSERT_TRUE(cluster.wait_for_result(without_base));
  EXPECT_NE(cluster.result(without_base)->reason.find("go back to"), std::string::npos)
      << cluster.result(without_base)->reason;
  const auto too_many = cluster.propose(
      "r3", "one", {}, make_canary(std::vector<std::string>(8, "r1"), kSecond, true));
  ASSERT_TRUE(cluster.wait_for_result(too_many));
  EXPECT_FALSE(cluster.result(too_many)->is_accepted);
  ASSERT_NO_VIOLATION(cluster);
}

}  // namespace
}  // namespace alderspur::consensus
