// Versions that apply to a few routers first, on a simulated network.
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
      EXPECT_TRUE(cluster.uses(i, "two")) << "under a lease all the time";
    }
    const auto other = cluster.propose("r3", "three");
    ASSERT_TRUE(cluster.wait_for_result(other));
    EXPECT_FALSE(cluster.result(other)->is_accepted) << "one at a time";
    const auto wrong = cluster.decide_canary("r0", 7, true);
    ASSERT_TRUE(cluster.wait_for_result(wrong));
    EXPECT_FALSE(cluster.result(wrong)->is_accepted);
    const auto go = cluster.decide_canary("r0", 2, true);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.result(go) && cluster.all_use("two"); }))
        << cluster.describe();
    EXPECT_TRUE(cluster.result(go)->is_accepted);
    EXPECT_EQ(cluster.router(3).active.version.number, 2u);
    EXPECT_TRUE(cluster.run_until([&] { return !cluster.router(1).active.version.is_canary(); }))
        << "it is none any more";
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(CanaryRolloutTest, RestoresTheOldContentAsANewVersionWhenRolledBack) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    cluster.propose("r4", "two", {}, make_canary({"r3"}, 600 * kSecond, false));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.uses(3, "two"); }));
    const auto back = cluster.decide_canary("r1", 2, false);
    ASSERT_TRUE(cluster.wait_for_result(back));
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
  SimulatedCluster cluster(5, 5, 3);  // too few requests tell nothing
  ASSERT_TRUE(cluster.start_with("r4", "one"));
  cluster.propose("r4", "two", {}, make_canary({"r3"}, 600 * kSecond, false));
  ASSERT_TRUE(cluster.run_until([&] { return cluster.uses(3, "two"); }));
  cluster.set_load("r3", 1.5, 1);
  cluster.run_for(6 * kSecond);
  EXPECT_TRUE(cluster.uses(3, "two"));
}

TEST(CanaryRolloutTest, EndsAsDeclaredWhenItsTimeIsOverDespiteANewLeader) {
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
    EXPECT_FALSE(cluster.uses(4, "two")) << "a new leader watches it for its whole time";
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.all_use(promote ? "two" : "one") &&
             cluster.router(4).active.version.number == (promote ? 2u : 3u);
    })) << seed
        << cluster.describe();
    EXPECT_TRUE(cluster.result(two)->is_accepted);
    ASSERT_NO_VIOLATION(cluster);
  }
}

// A voter whose program passes by what it does not know would make another state of the same log.
TEST(CanaryRolloutTest, IsRejectedWhileAVoterOrTheLeaderDoesNotSupportIt) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    auto old = cluster.leader();
    if (seed % 2) old = old == "r0" ? "r1" : "r0";  // else the leader itself
    cluster.kill(old);
    cluster.routers().at(old).protocol_version = 0;
    cluster.start(old);
    cluster.run_for(6 * kSecond);
    const auto no = cluster.propose("r4", "two", {}, make_canary({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(cluster.wait_for_result(no)) << seed << cluster.describe();
    EXPECT_FALSE(cluster.result(no)->is_accepted);
    EXPECT_NE(cluster.result(no)->reason.find("knows no trials"), std::string::npos)
        << cluster.result(no)->reason;
    cluster.kill(old);
    cluster.routers().at(old).protocol_version = kProtocolVersion;
    cluster.start(old);
    cluster.run_for(6 * kSecond);
    const auto yes = cluster.propose("r4", "two", {}, make_canary({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(cluster.run_until([&] { return cluster.result(yes) && cluster.all_use("two"); }))
        << seed << cluster.describe();
    EXPECT_TRUE(cluster.result(yes)->is_accepted);
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(CanaryRolloutTest, IsRejectedWithTooManyRoutersOrWithoutACurrentVersion) {
  SimulatedCluster cluster(6, 4, 3);
  cluster.wait_for_leader();
  const auto none = cluster.propose("r3", "one", {}, make_canary({"r3"}, kSecond, true));
  ASSERT_TRUE(cluster.wait_for_result(none));
  EXPECT_NE(cluster.result(none)->reason.find("go back to"), std::string::npos)
      << cluster.result(none)->reason;
  const auto many = cluster.propose("r3", "one", {},
                                    make_canary(std::vector<std::string>(8, "r1"), kSecond, true));
  ASSERT_TRUE(cluster.wait_for_result(many));
  EXPECT_FALSE(cluster.result(many)->is_accepted);
  ASSERT_NO_VIOLATION(cluster);
}

}  // namespace
}  // namespace alderspur::consensus
