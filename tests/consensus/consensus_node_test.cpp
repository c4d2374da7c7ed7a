// Versions, leases and voters on a simulated network with simulated disks.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulated_cluster.h"

namespace {

using namespace simulation;

std::size_t more() {  // ALDERSPUR_EXPLORE widens
  const char* n = std::getenv("ALDERSPUR_EXPLORE");
  return n ? static_cast<std::size_t>(std::atoi(n)) : 1;
}

#define ASSERT_NO_VIOLATION(cluster) ASSERT_EQ((cluster).violation, "")

TEST(Agreement, AVersionComesInForceEverywhereAndTheNextIsMadeFromIt) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster w(seed, 5, 3);
    ASSERT_TRUE(w.run_until([&] { return !w.leader().empty(); })) << seed;
    const auto first = w.propose("r4", "one");
    ASSERT_TRUE(w.run_until([&] { return w.result(first) && w.all_use("one"); })) << seed;
    ASSERT_NO_VIOLATION(w);
    EXPECT_TRUE(w.result(first)->is_accepted) << w.result(first)->reason;
    const auto old = w.propose("r3", "two", 0);
    ASSERT_TRUE(w.run_until([&] { return w.result(old) != nullptr; }));
    EXPECT_FALSE(w.result(old)->is_accepted) << "made from an outdated base";
    const auto next = w.propose("r3", "two");
    ASSERT_TRUE(w.run_until([&] { return w.result(next) && w.all_use("two"); })) << seed;
    EXPECT_EQ(w.result(next)->version_number, 2u);
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Agreement, OfTwoAtTheSameTimeOneHoldsAndTheOtherIsTold) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster w(seed, 5, 3);
    w.run_until([&] { return !w.leader().empty(); });
    const auto a = w.propose("r3", "a"), b = w.propose("r4", "b");
    ASSERT_TRUE(w.run_until([&] { return w.result(a) && w.result(b); }));
    EXPECT_NE(w.result(a)->is_accepted, w.result(b)->is_accepted);
    ASSERT_TRUE(w.run_until([&] { return w.all_use(w.result(a)->is_accepted ? "a" : "b"); }));
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Agreement, OneVotersCheckerRefusesForAll) {
  SimulatedCluster w(1, 5, 3);
  w.router(1).checker = [](const Content& c) {
    return c.at("servers") == "bad" ? std::string("line 3: no \"such\" key") : std::string();
  };
  w.run_until([&] { return !w.leader().empty(); });
  const auto bad = w.propose("r4", "bad");
  ASSERT_TRUE(w.run_until([&] { return w.result(bad) != nullptr; }));
  EXPECT_FALSE(w.result(bad)->is_accepted);
  EXPECT_NE(w.result(bad)->reason.find("refused by r1: line 3"), std::string::npos)
      << w.result(bad)->reason;
  const auto good = w.propose("r4", "good");
  ASSERT_TRUE(w.run_until([&] { return w.result(good) && w.all_use("good"); }));
  ASSERT_NO_VIOLATION(w);
}

// A router whose program cannot read a version falls behind with care and holds nobody up beyond T.
TEST(Agreement, ARouterThatCannotReadAVersionIsCarefulAndTheOthersGoOn) {
  SimulatedCluster w(2, 5, 3);
  ASSERT_TRUE(w.start_with("r0", "one"));
  w.router(4).checker = [](const Content&) { return std::string("unknown key"); };
  const auto two = w.propose("r0", "two");
  const Time from = w.now;
  ASSERT_TRUE(w.run_until([&] { return w.result(two) != nullptr; }));
  EXPECT_TRUE(w.result(two)->is_accepted) << w.result(two)->reason;
  EXPECT_LE(w.now - from, kMaxStaleTime + kSecond);
  ASSERT_TRUE(w.run_until([&] {
    return w.router(4).active.is_conservative && w.router(4).active.newer_contents.size() == 1;
  }));
  EXPECT_EQ(w.router(4).active.content->at("servers"), "one");
  EXPECT_EQ(w.router(4).active.newer_contents[0]->at("servers"), "two") << "for the union";
  ASSERT_NO_VIOLATION(w);
}

TEST(Agreement, TheSmallerSideOfACutChangesNothingAndIsCarefulAfterT) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster w(seed, 5, 5);
    ASSERT_TRUE(w.start_with("r0", "one"));
    w.partition({"r0", "r1"});
    const auto no = w.propose("r0", "no");
    w.run_for(kMaxStaleTime);
    EXPECT_TRUE(w.router(0).active.is_conservative && w.router(1).active.is_conservative) << seed;
    const auto yes = w.propose("r3", "yes");
    ASSERT_TRUE(w.run_until([&] { return w.result(yes) != nullptr; }));
    EXPECT_TRUE(w.result(yes)->is_accepted);
    EXPECT_EQ(w.router(0).active.content->at("servers"), "one");
    w.restore_links();
    ASSERT_TRUE(w.run_until([&] { return w.all_use("yes") && w.result(no); }));
    EXPECT_FALSE(w.result(no)->is_accepted) << "it was made from the first";
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Agreement, ALeaderStoppedBeyondItsLeaseAndContinuedDoesNotLead) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster w(seed, 5, 3);
    ASSERT_TRUE(w.start_with("r4", "one"));
    const auto old = w.leader();
    w.pause(old);
    ASSERT_TRUE(w.run_until([&] { return !w.leader().empty() && w.leader() != old; }));
    const auto two = w.propose("r4", "two");
    ASSERT_TRUE(w.run_until([&] { return w.result(two) != nullptr; }));
    w.resume(old);
    ASSERT_TRUE(w.run_until([&] { return w.all_use("two"); }));
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Agreement, HalfOfTheRoutersLostTheirSharesAreUsedAgain) {
  SimulatedCluster w(3, 6, 3);
  ASSERT_TRUE(w.start_with("r0", "one"));
  const auto used = [&] {
    double sum = 0;
    for (auto& [n, r] : w.routers())
      if (r.node) sum += r.active.total_share;
    return sum;
  };
  ASSERT_TRUE(w.run_until([&] { return used() > 0.84; }));
  std::vector<std::string> lost = {"r5", "r4", w.leader()};
  for (const auto& n : lost) w.kill(n);
  EXPECT_LT(used(), 0.5);
  const Time from = w.now;
  ASSERT_TRUE(w.run_until([&] { return used() > 0.8; }));
  EXPECT_LE(w.now - from, 6 * kSecond);
  ASSERT_NO_VIOLATION(w);
}

TEST(Agreement, VotersAreReplacedOneByOneUntilNoneOfTheFirstIsLeft) {
  SimulatedCluster w(4, 6, 3);
  w.run_until([&] { return !w.leader().empty(); });
  const std::vector<std::string> first = {"r0", "r1", "r2"};
  auto voters = first;
  for (int i = 0; i < 3; ++i) {
    voters[static_cast<std::size_t>(i)] = SimulatedCluster::name(static_cast<std::size_t>(i) + 3);
    const auto change = w.propose_voters("r5", voters);
    ASSERT_TRUE(w.run_until([&] { return w.result(change) != nullptr; })) << i;
    ASSERT_TRUE(w.run_until([&] {
      const auto l = w.leader();
      if (l.empty()) return false;
      const auto s = w.router(l).node->raft()->roles();
      return s.size() == 3 && std::all_of(voters.begin(), voters.end(), [&](auto& v) {
               const auto it = s.find(v);
               return it != s.end() && it->second == RAFT_VOTER;
             });
    })) << i;
    const auto v = w.propose("r5", "after " + std::to_string(i));
    ASSERT_TRUE(w.run_until([&] { return w.result(v) && w.all_use("after " + std::to_string(i)); }))
        << i;
  }
  EXPECT_TRUE(w.run_until([&] {
    return std::all_of(first.begin(), first.end(), [&](auto& n) {
      return w.router(n).node->status(0).role == NodeRole::follower;
    });
  })) << w.describe();
  ASSERT_NO_VIOLATION(w);
}

// The disk says yes and keeps nothing; the power goes.
TEST(Agreement, AVoterWhoseDiskLiedComesBackAsALearner) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster w(seed, 4, 3);
    ASSERT_TRUE(w.start_with("r3", "one"));
    w.router(1).disk.ignores_sync = true;
    const auto two = w.propose("r3", "two");
    ASSERT_TRUE(w.run_until([&] { return w.result(two) && w.all_use("two"); }));
    w.lose_power("r1");
    w.router(1).disk.ignores_sync = false;
    w.run_for(kSecond);
    w.start("r1");
    ASSERT_TRUE(w.run_until([&] {
      const auto l = w.leader();
      const auto* raft = w.router(1).node->raft();
      return !l.empty() && raft && w.router(l).node->raft()->roles().size() == 3 &&
             w.all_use("two") && w.router(1).node->status(0).role == NodeRole::voter;
    })) << seed;
    const auto three = w.propose("r3", "three");
    ASSERT_TRUE(w.run_until([&] { return w.result(three) && w.all_use("three"); })) << seed;
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Agreement, AVoterThatLostItsDiskIsReadmitted) {
  SimulatedCluster w(5, 4, 3);
  ASSERT_TRUE(w.start_with("r3", "one"));
  w.kill("r2");
  w.router(2).disk = {};
  w.start("r2");
  ASSERT_TRUE(w.run_until([&] {
    return !w.leader().empty() && w.router(w.leader()).node->raft()->roles().size() == 3 &&
           w.router(2).node->status(0).role == NodeRole::voter && w.all_use("one");
  }));
  bool said = false;
  for (const auto& r : w.router(2).log_events) said |= r.starts_with("readmitted");
  EXPECT_TRUE(said);
  ASSERT_NO_VIOLATION(w);
}

// ---- Trials

bool acts_on(SimulatedCluster& w, std::size_t i, const std::string& text) {
  const auto& a = w.router(i).active;
  return !a.is_conservative && a.content && a.content->at("servers") == text;
}
CanaryRollout trial_at(std::vector<std::string> first, Time hold, bool go_on) {
  return {std::move(first), hold, 0.05, go_on};
}

TEST(Trial, HoldsForTheFirstOnlyUntilAWordSendsItOn) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster w(seed, 5, 3);
    ASSERT_TRUE(w.start_with("r4", "one"));
    const auto two = w.propose("r4", "two", {}, trial_at({"r1", "r4"}, 600 * kSecond, false));
    ASSERT_TRUE(w.run_until([&] {
      return w.result(two) && acts_on(w, 1, "two") && acts_on(w, 4, "two");
    })) << seed;
    EXPECT_TRUE(w.result(two)->is_accepted && w.result(two)->reason == "on trial");
    w.run_for(10 * kSecond);
    for (const std::size_t i : {0u, 2u, 3u}) EXPECT_TRUE(acts_on(w, i, "one")) << seed << " r" << i;
    for (const std::size_t i : {1u, 4u})
      EXPECT_TRUE(acts_on(w, i, "two")) << "under a lease all the time";
    const auto other = w.propose("r3", "three");
    ASSERT_TRUE(w.run_until([&] { return w.result(other) != nullptr; }));
    EXPECT_FALSE(w.result(other)->is_accepted) << "one at a time";
    const auto wrong = w.decide_canary("r0", 7, true);
    ASSERT_TRUE(w.run_until([&] { return w.result(wrong) != nullptr; }));
    EXPECT_FALSE(w.result(wrong)->is_accepted);
    const auto go = w.decide_canary("r0", 2, true);
    ASSERT_TRUE(w.run_until([&] { return w.result(go) && w.all_use("two"); })) << w.describe();
    EXPECT_TRUE(w.result(go)->is_accepted);
    EXPECT_EQ(w.router(3).active.version.number, 2u);
    EXPECT_TRUE(w.run_until([&] { return !w.router(1).active.version.is_canary(); }))
        << "it is none any more";
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Trial, TakenBackTheOldContentComesAgainAsANewVersionWithinT) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster w(seed, 5, 3);
    ASSERT_TRUE(w.start_with("r4", "one"));
    w.propose("r4", "two", {}, trial_at({"r3"}, 600 * kSecond, false));
    ASSERT_TRUE(w.run_until([&] { return acts_on(w, 3, "two"); }));
    const auto back = w.decide_canary("r1", 2, false);
    ASSERT_TRUE(w.run_until([&] { return w.result(back) != nullptr; }));
    const Time from = w.now;
    ASSERT_TRUE(w.run_until([&] {
      return w.all_use("one") && w.router(3).active.version.number == 3;
    })) << w.describe();
    EXPECT_LE(w.now - from, kMaxStaleTime);
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Trial, HarmAtTheFirstRoutersTakesItBackAndHarmEverywhereDoesNot) {
  for (const bool everywhere : {false, true}) {
    SimulatedCluster w(4, 5, 3);
    ASSERT_TRUE(w.start_with("r4", "one"));
    w.propose("r4", "two", {}, trial_at({"r3"}, 600 * kSecond, false));
    ASSERT_TRUE(w.run_until([&] { return acts_on(w, 3, "two"); }));
    for (std::size_t i = 0; i < 5; ++i)
      w.set_load(SimulatedCluster::name(i), 50, i == 3 || everywhere ? 0.3 : 0.01);
    w.run_for(6 * kSecond);
    EXPECT_EQ(acts_on(w, 3, "two"), everywhere) << w.describe();
    EXPECT_EQ(w.router(3).active.version.number, everywhere ? 2u : 3u);
    ASSERT_NO_VIOLATION(w);
  }
  SimulatedCluster w(5, 5, 3);  // too few requests tell nothing
  ASSERT_TRUE(w.start_with("r4", "one"));
  w.propose("r4", "two", {}, trial_at({"r3"}, 600 * kSecond, false));
  ASSERT_TRUE(w.run_until([&] { return acts_on(w, 3, "two"); }));
  w.set_load("r3", 1.5, 1);
  w.run_for(6 * kSecond);
  EXPECT_TRUE(acts_on(w, 3, "two"));
}

TEST(Trial, EndsAsDeclaredWhenItsTimeIsOverWhoeverLeadsOrStartsAnew) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const bool go_on = seed % 2;
    SimulatedCluster w(seed, 5, 3);
    ASSERT_TRUE(w.start_with("r4", "one"));
    const auto two = w.propose("r4", "two", {}, trial_at({"r0", "r3"}, 4 * kSecond, go_on));
    ASSERT_TRUE(w.run_until([&] { return acts_on(w, 3, "two"); }));
    w.kill(w.leader());
    w.kill("r3");
    w.run_for(kSecond);
    for (auto& [n, r] : w.routers())
      if (!w.is_running(n)) w.start(n);
    w.run_for(2 * kSecond);
    EXPECT_FALSE(acts_on(w, 4, "two")) << "a new leader watches it for its whole time";
    ASSERT_TRUE(w.run_until([&] {
      return w.all_use(go_on ? "two" : "one") &&
             w.router(4).active.version.number == (go_on ? 2u : 3u);
    })) << seed
        << w.describe();
    EXPECT_TRUE(w.result(two)->is_accepted);
    ASSERT_NO_VIOLATION(w);
  }
}

// A voter whose program passes by what it does not know would make another state of the same log.
TEST(Trial, IsRefusedWhileAVoterOrTheLeaderRunsAProgramThatKnowsNone) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SimulatedCluster w(seed, 5, 3);
    ASSERT_TRUE(w.start_with("r4", "one"));
    auto old = w.leader();
    if (seed % 2) old = old == "r0" ? "r1" : "r0";  // else the leader itself
    w.kill(old);
    w.routers().at(old).protocol_version = 0;
    w.start(old);
    w.run_for(6 * kSecond);
    const auto no = w.propose("r4", "two", {}, trial_at({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(w.run_until([&] { return w.result(no) != nullptr; })) << seed << w.describe();
    EXPECT_FALSE(w.result(no)->is_accepted);
    EXPECT_NE(w.result(no)->reason.find("knows no trials"), std::string::npos)
        << w.result(no)->reason;
    w.kill(old);
    w.routers().at(old).protocol_version = kProtocolVersion;
    w.start(old);
    w.run_for(6 * kSecond);
    const auto yes = w.propose("r4", "two", {}, trial_at({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(w.run_until([&] { return w.result(yes) && w.all_use("two"); }))
        << seed << w.describe();
    EXPECT_TRUE(w.result(yes)->is_accepted);
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Trial, OneThatNamesTooManyOrHasNothingToGoBackToIsRefused) {
  SimulatedCluster w(6, 4, 3);
  w.run_until([&] { return !w.leader().empty(); });
  const auto none = w.propose("r3", "one", {}, trial_at({"r3"}, kSecond, true));
  ASSERT_TRUE(w.run_until([&] { return w.result(none) != nullptr; }));
  EXPECT_NE(w.result(none)->reason.find("go back to"), std::string::npos) << w.result(none)->reason;
  const auto many =
      w.propose("r3", "one", {}, trial_at(std::vector<std::string>(8, "r1"), kSecond, true));
  ASSERT_TRUE(w.run_until([&] { return w.result(many) != nullptr; }));
  EXPECT_FALSE(w.result(many)->is_accepted);
  ASSERT_NO_VIOLATION(w);
}

// A full disk says no at once: what it does not take is tried again, but not as fast as it refuses.
TEST(Agreement, AFullDiskHoldsNobodyUpAndIsNotAskedWithoutAPause) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster w(seed, 5, 3);
    ASSERT_TRUE(w.start_with("r4", "one"));
    w.router(1).disk.rejects_writes = w.router(4).disk.rejects_writes = true;
    const auto writes = w.content_writes;
    const auto two = w.propose("r3", "two");
    ASSERT_TRUE(w.run_until([&] { return w.result(two) != nullptr; })) << seed;
    EXPECT_TRUE(w.result(two)->is_accepted) << w.result(two)->reason;
    w.run_for(10 * kSecond);
    EXPECT_LE(w.content_writes - writes, 80u) << "5 routers, and two a second of each full disk";
    EXPECT_TRUE(w.router(4).active.is_conservative);
    w.router(1).disk.rejects_writes = w.router(4).disk.rejects_writes = false;
    ASSERT_TRUE(w.run_until([&] {
      return w.all_use("two") && w.router(1).node->status(0).role == NodeRole::voter &&
             !w.leader().empty();
    })) << seed
        << w.describe();
    ASSERT_NO_VIOLATION(w);
  }
}

TEST(Agreement, AFollowerBackAfterManyVersionsTakesTheNewestAtOnce) {
  SimulatedCluster w(6, 5, 3);
  w.run_until([&] { return !w.leader().empty(); });
  w.propose("r0", "0");
  ASSERT_TRUE(w.run_until([&] { return w.all_use("0"); }));
  w.kill("r4");
  const int versions = 100 * static_cast<int>(more());
  for (int i = 1; i <= versions; ++i) {
    const auto p = w.propose("r3", std::to_string(i));
    ASSERT_TRUE(w.run_until([&] { return w.result(p) != nullptr; })) << i;
    ASSERT_TRUE(w.result(p)->is_accepted) << i << w.result(p)->reason;
  }
  w.start("r4");
  const Time from = w.now;
  std::set<std::uint64_t> seen;
  ASSERT_TRUE(w.run_until([&] {
    seen.insert(w.router(4).active.version.number);
    return w.all_use(std::to_string(versions));
  }));
  EXPECT_LE(w.now - from, 2 * kSecond);
  EXPECT_LE(seen.size(), 3u) << "never each step";
  // And a voter that is back after the log was cut off behind a snapshot.
  w.kill("r2");
  for (int i = versions + 1; i <= versions + 120; ++i) {
    const auto p = w.propose("r3", std::to_string(i));
    ASSERT_TRUE(w.run_until([&] { return w.result(p) != nullptr; })) << i;
  }
  w.start("r2");
  ASSERT_TRUE(w.run_until([&] {
    return w.router(2).node->raft() && w.router(2).node->applied_state().current().number ==
                                           static_cast<std::uint64_t>(versions) + 121;
  }));
  ASSERT_NO_VIOLATION(w);
}

// Whatever is lost, stopped, cut or lied about in whatever order: nothing that must hold is broken,
// and once all is well again, all act on one version.
TEST(Agreement, MixedSchedulesBreakNothingAndEndInOnePicture) {
  const std::size_t seeds = 24 * more();
  std::size_t in_force = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulatedCluster w(seed * 7919, 5 + seed % 3, seed % 4 == 0 ? 5 : 3);
    auto& random = w.random;
    const auto some = [&] { return SimulatedCluster::name(random() % w.routers().size()); };
    w.run_for(2 * kSecond);
    int value = 0;
    std::set<std::string> stopped;
    for (int step = 0; step < 25 && w.violation.empty(); ++step) {
      const auto n = some(), o = some();
      switch (random() % 12) {
        case 0:
        case 1:
        case 2:
          if (w.is_running(n) && random() % 3 == 0)
            w.propose(n, "v" + std::to_string(++value), {},
                      trial_at({o}, static_cast<Time>(1 + random() % 4) * kSecond, random() % 2));
          else if (w.is_running(n))
            w.propose(n, "v" + std::to_string(++value));
          break;
        case 3:
          if (w.is_running(n)) stopped.erase(n), w.kill(n);
          break;
        case 4:
        case 5:
          if (!w.is_running(n)) w.start(n);
          break;
        case 6:
          if (w.is_running(n) && stopped.insert(n).second) w.pause(n);
          break;
        case 7:
          for (const auto& s : std::exchange(stopped, {}))
            if (w.is_running(s)) w.resume(s);
          break;
        case 8:
          w.partition({n, o});
          break;
        case 9:
          w.link(n, o).is_cut = true;
          break;
        case 10:
          w.link(n, o).loss_percent = 30, w.link(n, o).delay = 200'000;
          break;
        case 11:
          w.restore_links();
          break;
      }
      w.run_for(static_cast<Time>(random() % 2'000'000));
    }
    w.restore_links();
    for (const auto& s : stopped)
      if (w.is_running(s)) w.resume(s);
    for (auto& [n, r] : w.routers())
      if (!w.is_running(n)) w.start(n);
    std::uint64_t last = 0;  // what was under way before comes first
    EXPECT_TRUE(w.run_until(
        [&] {
          if (!last || (w.result(last) && !w.result(last)->is_accepted))
            last = w.propose("r0", "last");
          return w.result(last) && w.all_use("last");
        },
        60 * kSecond))
        << "seed " << seed << "\n"
        << w.describe();
    ASSERT_EQ(w.violation, "");
    in_force += w.router(0).active.version.number;
    if (HasFailure()) break;
  }
  EXPECT_GT(in_force, seeds * 3) << "the schedules change something";
}

}  // namespace
