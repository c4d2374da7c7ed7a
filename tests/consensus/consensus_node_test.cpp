// Tests of versions, leases and changes of the voters in a cluster with a simulated network and
// simulated disks.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <utility>

#include "consensus/simulated_cluster.h"

namespace alderspur::consensus {
namespace {

TEST(ConsensusNodeTest, ActivatesAVersionEverywhereAndDerivesTheNextFromIt) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.wait_for_leader()) << seed;
    const auto first = cluster.propose("r4", "one");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.result(first) && cluster.all_use("one"); }))
        << seed;
    ASSERT_NO_VIOLATION(cluster);
    EXPECT_TRUE(cluster.result(first)->is_accepted) << cluster.result(first)->reason;
    const auto outdated = cluster.propose("r3", "two", 0);
    ASSERT_TRUE(cluster.wait_for_result(outdated));
    EXPECT_FALSE(cluster.result(outdated)->is_accepted) << "its base version is outdated";
    const auto next = cluster.propose("r3", "two");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.result(next) && cluster.all_use("two"); }))
        << seed;
    EXPECT_EQ(cluster.result(next)->version_number, 2u);
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(ConsensusNodeTest, AcceptsOneOfTwoConcurrentProposalsAndRejectsTheOther) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    cluster.wait_for_leader();
    const auto first = cluster.propose("r3", "a");
    const auto second = cluster.propose("r4", "b");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.result(first) && cluster.result(second); }));
    EXPECT_NE(cluster.result(first)->is_accepted, cluster.result(second)->is_accepted);
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.all_use(cluster.result(first)->is_accepted ? "a" : "b"); }));
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(ConsensusNodeTest, RejectsAVersionThatOneVoterFindsInvalid) {
  SimulatedCluster cluster(1, 5, 3);
  cluster.router(1).checker = [](const Content& content) {
    return content.at("servers") == "bad" ? std::string("line 3: no \"such\" key") : std::string();
  };
  cluster.wait_for_leader();
  const auto bad = cluster.propose("r4", "bad");
  ASSERT_TRUE(cluster.wait_for_result(bad));
  EXPECT_FALSE(cluster.result(bad)->is_accepted);
  EXPECT_NE(cluster.result(bad)->reason.find("refused by r1: line 3"), std::string::npos)
      << cluster.result(bad)->reason;
  const auto good = cluster.propose("r4", "good");
  ASSERT_TRUE(cluster.run_until([&] { return cluster.result(good) && cluster.all_use("good"); }));
  ASSERT_NO_VIOLATION(cluster);
}

// A router that finds a version invalid must not delay the others for more than a bounded time.
TEST(ConsensusNodeTest, ActsConservativelyWhereAVersionIsInvalidAndActivatesItElsewhere) {
  SimulatedCluster cluster(2, 5, 3);
  ASSERT_TRUE(cluster.start_with("r0", "one"));
  cluster.router(4).checker = [](const Content&) { return std::string("unknown key"); };
  const auto two = cluster.propose("r0", "two");
  const Time from = cluster.now();
  ASSERT_TRUE(cluster.wait_for_result(two));
  EXPECT_TRUE(cluster.result(two)->is_accepted) << cluster.result(two)->reason;
  EXPECT_LE(cluster.now() - from, kMaxStaleTime + kSecond);
  ASSERT_TRUE(cluster.run_until([&] {
    return cluster.router(4).active.is_conservative &&
           cluster.router(4).active.newer_contents.size() == 1;
  }));
  EXPECT_EQ(cluster.router(4).active.content->at("servers"), "one");
  EXPECT_EQ(cluster.router(4).active.newer_contents[0]->at("servers"), "two")
      << "the later version is to be merged in";
  ASSERT_NO_VIOLATION(cluster);
}

TEST(ConsensusNodeTest, ActsConservativelyOnTheMinoritySideOfAPartition) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(seed, 5, 5);
    ASSERT_TRUE(cluster.start_with("r0", "one"));
    cluster.partition({"r0", "r1"});
    const auto minority_proposal = cluster.propose("r0", "no");
    cluster.run_for(kMaxStaleTime);
    EXPECT_TRUE(cluster.router(0).active.is_conservative &&
                cluster.router(1).active.is_conservative)
        << seed;
    const auto majority_proposal = cluster.propose("r3", "yes");
    ASSERT_TRUE(cluster.wait_for_result(majority_proposal));
    EXPECT_TRUE(cluster.result(majority_proposal)->is_accepted);
    EXPECT_EQ(cluster.router(0).active.content->at("servers"), "one");
    cluster.restore_links();
    ASSERT_TRUE(cluster.run_until(
        [&] { return cluster.all_use("yes") && cluster.result(minority_proposal); }));
    EXPECT_FALSE(cluster.result(minority_proposal)->is_accepted)
        << "its base is version 1, which is no longer current";
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(ConsensusNodeTest, DoesNotLeadAfterAPauseLongerThanTheLease) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    const auto old_leader = cluster.leader();
    cluster.pause(old_leader);
    ASSERT_TRUE(cluster.run_until(
        [&] { return !cluster.leader().empty() && cluster.leader() != old_leader; }));
    const auto two = cluster.propose("r4", "two");
    ASSERT_TRUE(cluster.wait_for_result(two));
    cluster.resume(old_leader);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.all_use("two"); }));
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(ConsensusNodeTest, ReusesTheSharesOfCrashedRouters) {
  SimulatedCluster cluster(3, 6, 3);
  ASSERT_TRUE(cluster.start_with("r0", "one"));
  const auto used_share = [&] {
    double sum = 0;
    for (const auto& [name, router] : cluster.routers()) {
      if (router.node) sum += router.active.total_share;
    }
    return sum;
  };
  ASSERT_TRUE(cluster.run_until([&] { return used_share() > 0.84; }));
  std::vector<std::string> killed = {"r5", "r4", cluster.leader()};
  for (const auto& name : killed) cluster.kill(name);
  EXPECT_LT(used_share(), 0.5);
  const Time from = cluster.now();
  ASSERT_TRUE(cluster.run_until([&] { return used_share() > 0.8; }));
  EXPECT_LE(cluster.now() - from, 6 * kSecond);
  ASSERT_NO_VIOLATION(cluster);
}

// Returns true if the leader's Raft configuration consists of exactly these voters.
bool has_exactly_voters(SimulatedCluster& cluster, const std::vector<std::string>& voters) {
  const auto leader = cluster.leader();
  if (leader.empty()) return false;
  const auto roles = cluster.router(leader).node->raft()->roles();
  return roles.size() == voters.size() &&
         std::all_of(voters.begin(), voters.end(), [&](const std::string& voter) {
           const auto role = roles.find(voter);
           return role != roles.end() && role->second == RAFT_VOTER;
         });
}

TEST(ConsensusNodeTest, ReplacesAllVotersOneByOne) {
  SimulatedCluster cluster(4, 6, 3);
  cluster.wait_for_leader();
  const std::vector<std::string> first = {"r0", "r1", "r2"};
  auto voters = first;
  for (int i = 0; i < 3; ++i) {
    voters[static_cast<std::size_t>(i)] = SimulatedCluster::name(static_cast<std::size_t>(i) + 3);
    const auto change = cluster.propose_voters("r5", voters);
    ASSERT_TRUE(cluster.wait_for_result(change)) << i;
    ASSERT_TRUE(cluster.run_until([&] { return has_exactly_voters(cluster, voters); })) << i;
    const std::string text = "after " + std::to_string(i);
    const auto version = cluster.propose("r5", text);
    ASSERT_TRUE(cluster.run_until([&] { return cluster.result(version) && cluster.all_use(text); }))
        << i;
  }
  EXPECT_TRUE(cluster.run_until([&] {
    return std::all_of(first.begin(), first.end(), [&](const std::string& name) {
      return cluster.router(name).node->status(0).role == NodeRole::follower;
    });
  })) << cluster.describe();
  ASSERT_NO_VIOLATION(cluster);
}

// The disk reports successful syncs without storing the data, and then the router loses power.
TEST(ConsensusNodeTest, RejoinsAsALearnerWhenTheDiskIgnoredSyncs) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster cluster(seed, 4, 3);
    ASSERT_TRUE(cluster.start_with("r3", "one"));
    cluster.router(1).disk.ignores_sync = true;
    const auto two = cluster.propose("r3", "two");
    ASSERT_TRUE(cluster.run_until([&] { return cluster.result(two) && cluster.all_use("two"); }));
    cluster.lose_power("r1");
    cluster.router(1).disk.ignores_sync = false;
    cluster.run_for(kSecond);
    cluster.start("r1");
    ASSERT_TRUE(cluster.run_until([&] {
      const auto leader = cluster.leader();
      const auto* raft = cluster.router(1).node->raft();
      return !leader.empty() && raft && cluster.router(leader).node->raft()->roles().size() == 3 &&
             cluster.all_use("two") && cluster.router(1).node->status(0).role == NodeRole::voter;
    })) << seed;
    const auto three = cluster.propose("r3", "three");
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.result(three) && cluster.all_use("three");
    })) << seed;
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(ConsensusNodeTest, ReadmitsAVoterThatLostItsDisk) {
  SimulatedCluster cluster(5, 4, 3);
  ASSERT_TRUE(cluster.start_with("r3", "one"));
  cluster.kill("r2");
  cluster.router(2).disk = {};
  cluster.start("r2");
  ASSERT_TRUE(cluster.run_until([&] {
    return !cluster.leader().empty() &&
           cluster.router(cluster.leader()).node->raft()->roles().size() == 3 &&
           cluster.router(2).node->status(0).role == NodeRole::voter && cluster.all_use("one");
  }));
  const auto& events = cluster.router(2).log_events;
  EXPECT_TRUE(std::any_of(events.begin(), events.end(), [](const std::string& event) {
    return event.starts_with("readmitted");
  }));
  ASSERT_NO_VIOLATION(cluster);
}

// A full disk rejects writes immediately. They must be retried, but with a delay.
TEST(ConsensusNodeTest, AcceptsVersionsWithFullDisksAndRetriesWritesWithADelay) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(seed, 5, 3);
    ASSERT_TRUE(cluster.start_with("r4", "one"));
    for (const std::size_t i : {1u, 4u}) cluster.router(i).disk.rejects_writes = true;
    const auto writes = cluster.totals().content_writes;
    const auto two = cluster.propose("r3", "two");
    ASSERT_TRUE(cluster.wait_for_result(two)) << seed;
    EXPECT_TRUE(cluster.result(two)->is_accepted) << cluster.result(two)->reason;
    cluster.run_for(10 * kSecond);
    EXPECT_LE(cluster.totals().content_writes - writes, 80u)
        << "one write per router and two retries per second and full disk";
    EXPECT_TRUE(cluster.router(4).active.is_conservative);
    for (const std::size_t i : {1u, 4u}) cluster.router(i).disk.rejects_writes = false;
    ASSERT_TRUE(cluster.run_until([&] {
      return cluster.all_use("two") && cluster.router(1).node->status(0).role == NodeRole::voter &&
             !cluster.leader().empty();
    })) << seed
        << cluster.describe();
    ASSERT_NO_VIOLATION(cluster);
  }
}

TEST(ConsensusNodeTest, SkipsToTheNewestVersionAfterALongAbsence) {
  SimulatedCluster cluster(6, 5, 3);
  cluster.wait_for_leader();
  cluster.propose("r0", "0");
  ASSERT_TRUE(cluster.run_until([&] { return cluster.all_use("0"); }));
  cluster.kill("r4");
  const int versions = 100 * static_cast<int>(exploration_factor());
  for (int i = 1; i <= versions; ++i) {
    const auto proposal = cluster.propose("r3", std::to_string(i));
    ASSERT_TRUE(cluster.wait_for_result(proposal)) << i;
    ASSERT_TRUE(cluster.result(proposal)->is_accepted) << i << cluster.result(proposal)->reason;
  }
  cluster.start("r4");
  const Time from = cluster.now();
  std::set<std::uint64_t> active_numbers;
  ASSERT_TRUE(cluster.run_until([&] {
    active_numbers.insert(cluster.router(4).active.version.number);
    return cluster.all_use(std::to_string(versions));
  }));
  EXPECT_LE(cluster.now() - from, 2 * kSecond);
  EXPECT_LE(active_numbers.size(), 3u) << "intermediate versions are skipped";
  // A voter must also catch up if the entries that it lacks were replaced by a snapshot.
  cluster.kill("r2");
  for (int i = versions + 1; i <= versions + 120; ++i) {
    const auto proposal = cluster.propose("r3", std::to_string(i));
    ASSERT_TRUE(cluster.wait_for_result(proposal)) << i;
  }
  cluster.start("r2");
  ASSERT_TRUE(cluster.run_until([&] {
    return cluster.router(2).node->raft() &&
           cluster.router(2).node->applied_state().current().number ==
               static_cast<std::uint64_t>(versions) + 121;
  }));
  ASSERT_NO_VIOLATION(cluster);
}

// Injects one random fault, recovery or proposal at a time.
class RandomSchedule {
 public:
  explicit RandomSchedule(SimulatedCluster& cluster) : cluster_(cluster) {}

  /// Runs a number of random steps with random delays between them.
  void run(int steps) {
    cluster_.run_for(2 * kSecond);
    for (int step = 0; step < steps && cluster_.violation().empty(); ++step) {
      const auto name = random_router();
      const auto other = random_router();
      run_step(name, other);
      cluster_.run_for(static_cast<Time>(random() % 2'000'000));
    }
  }
  /// Restores the network, resumes all paused routers and starts all killed ones.
  void end_all_faults() {
    cluster_.restore_links();
    for (const auto& name : paused_) {
      if (cluster_.is_running(name)) cluster_.resume(name);
    }
    for (const auto& [name, router] : cluster_.routers()) {
      if (!cluster_.is_running(name)) cluster_.start(name);
    }
  }

 private:
  std::uint64_t random() { return cluster_.random()(); }
  std::string random_router() {
    return SimulatedCluster::name(random() % cluster_.routers().size());
  }
  std::string next_text() { return "v" + std::to_string(++last_value_); }

  void run_step(const std::string& name, const std::string& other) {
    switch (random() % 12) {
      case 0:
      case 1:
      case 2:
        return propose(name, other);
      case 3:
        return kill(name);
      case 4:
      case 5:
        if (!cluster_.is_running(name)) cluster_.start(name);
        return;
      case 6:
        if (cluster_.is_running(name) && paused_.insert(name).second) cluster_.pause(name);
        return;
      case 7:
        return resume_all();
      case 8:
        return cluster_.partition({name, other});
      case 9:
        cluster_.link(name, other).is_cut = true;
        return;
      case 10:
        cluster_.link(name, other).loss_percent = 30;
        cluster_.link(name, other).delay = 200'000;
        return;
      default:
        return cluster_.restore_links();
    }
  }
  void propose(const std::string& name, const std::string& canary_router) {
    if (!cluster_.is_running(name)) return;
    if (random() % 3 != 0) {
      cluster_.propose(name, next_text());
      return;
    }
    const auto text = next_text();
    const Time duration = static_cast<Time>(1 + random() % 4) * kSecond;
    const bool promote = random() % 2 != 0;
    cluster_.propose(name, text, {}, make_canary({canary_router}, duration, promote));
  }
  void kill(const std::string& name) {
    if (!cluster_.is_running(name)) return;
    paused_.erase(name);
    cluster_.kill(name);
  }
  void resume_all() {
    for (const auto& name : std::exchange(paused_, {})) {
      if (cluster_.is_running(name)) cluster_.resume(name);
    }
  }

  SimulatedCluster& cluster_;
  std::set<std::string> paused_;
  int last_value_ = 0;
};

// No sequence of crashes, pauses, partitions and message losses may violate an invariant. After the
// faults have ended, all routers must act on the same version.
TEST(ConsensusNodeTest, ConvergesWithoutViolationsAfterRandomFaults) {
  const std::size_t seeds = 24 * exploration_factor();
  std::size_t versions = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulatedCluster cluster(seed * 7919, 5 + seed % 3, seed % 4 == 0 ? 5 : 3);
    RandomSchedule schedule(cluster);
    schedule.run(25);
    schedule.end_all_faults();
    // The proposal is rejected while an earlier one is pending, so it is repeated until accepted.
    std::uint64_t last = 0;
    const auto has_converged = [&] {
      if (last == 0 || (cluster.result(last) && !cluster.result(last)->is_accepted)) {
        last = cluster.propose("r0", "last");
      }
      return cluster.result(last) && cluster.all_use("last");
    };
    EXPECT_TRUE(cluster.run_until(has_converged, 60 * kSecond)) << "seed " << seed << "\n"
                                                                << cluster.describe();
    ASSERT_NO_VIOLATION(cluster);
    versions += cluster.router(0).active.version.number;
    if (HasFailure()) break;
  }
  EXPECT_GT(versions, seeds * 3) << "the schedules must produce accepted versions";
}

}  // namespace
}  // namespace alderspur::consensus
