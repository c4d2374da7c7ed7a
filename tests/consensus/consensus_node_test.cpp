// Versions, leases and voters on a simulated network with simulated disks.
#include <gtest/gtest.h>

#include <cstdlib>

#include "world.h"

namespace {

using namespace world;

std::size_t more() {  // ALDERSPUR_EXPLORE widens
  const char* n = std::getenv("ALDERSPUR_EXPLORE");
  return n ? static_cast<std::size_t>(std::atoi(n)) : 1;
}

#define SOUND(w) ASSERT_EQ((w).broken, "")

TEST(Agreement, AVersionComesInForceEverywhereAndTheNextIsMadeFromIt) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World w(seed, 5, 3);
    ASSERT_TRUE(w.until([&] { return !w.leader().empty(); })) << seed;
    const auto first = w.propose("r4", "one");
    ASSERT_TRUE(w.until([&] { return w.reply(first) && w.all_act("one"); })) << seed;
    SOUND(w);
    EXPECT_TRUE(w.reply(first)->yes) << w.reply(first)->text;
    const auto old = w.propose("r3", "two", 0);
    ASSERT_TRUE(w.until([&] { return w.reply(old) != nullptr; }));
    EXPECT_FALSE(w.reply(old)->yes) << "made from an outdated base";
    const auto next = w.propose("r3", "two");
    ASSERT_TRUE(w.until([&] { return w.reply(next) && w.all_act("two"); })) << seed;
    EXPECT_EQ(w.reply(next)->number, 2u);
    SOUND(w);
  }
}

TEST(Agreement, OfTwoAtTheSameTimeOneHoldsAndTheOtherIsTold) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World w(seed, 5, 3);
    w.until([&] { return !w.leader().empty(); });
    const auto a = w.propose("r3", "a"), b = w.propose("r4", "b");
    ASSERT_TRUE(w.until([&] { return w.reply(a) && w.reply(b); }));
    EXPECT_NE(w.reply(a)->yes, w.reply(b)->yes);
    ASSERT_TRUE(w.until([&] { return w.all_act(w.reply(a)->yes ? "a" : "b"); }));
    SOUND(w);
  }
}

TEST(Agreement, OneVotersCheckerRefusesForAll) {
  World w(1, 5, 3);
  w.at(1).checker = [](const Content& c) {
    return c.at("servers") == "bad" ? std::string("line 3: no \"such\" key") : std::string();
  };
  w.until([&] { return !w.leader().empty(); });
  const auto bad = w.propose("r4", "bad");
  ASSERT_TRUE(w.until([&] { return w.reply(bad) != nullptr; }));
  EXPECT_FALSE(w.reply(bad)->yes);
  EXPECT_NE(w.reply(bad)->text.find("refused by r1: line 3"), std::string::npos)
      << w.reply(bad)->text;
  const auto good = w.propose("r4", "good");
  ASSERT_TRUE(w.until([&] { return w.reply(good) && w.all_act("good"); }));
  SOUND(w);
}

// A router whose program cannot read a version falls behind with care and holds nobody up beyond T.
TEST(Agreement, ARouterThatCannotReadAVersionIsCarefulAndTheOthersGoOn) {
  World w(2, 5, 3);
  ASSERT_TRUE(w.begin_with("r0", "one"));
  w.at(4).checker = [](const Content&) { return std::string("unknown key"); };
  const auto two = w.propose("r0", "two");
  const Time from = w.now;
  ASSERT_TRUE(w.until([&] { return w.reply(two) != nullptr; }));
  EXPECT_TRUE(w.reply(two)->yes) << w.reply(two)->text;
  EXPECT_LE(w.now - from, kBound + kSecond);
  ASSERT_TRUE(
      w.until([&] { return w.at(4).acting.is_conservative && w.at(4).acting.heard.size() == 1; }));
  EXPECT_EQ(w.at(4).acting.content->at("servers"), "one");
  EXPECT_EQ(w.at(4).acting.heard[0]->at("servers"), "two") << "for the union";
  SOUND(w);
}

TEST(Agreement, TheSmallerSideOfACutChangesNothingAndIsCarefulAfterT) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World w(seed, 5, 5);
    ASSERT_TRUE(w.begin_with("r0", "one"));
    w.cut({"r0", "r1"});
    const auto no = w.propose("r0", "no");
    w.run(kBound);
    EXPECT_TRUE(w.at(0).acting.is_conservative && w.at(1).acting.is_conservative) << seed;
    const auto yes = w.propose("r3", "yes");
    ASSERT_TRUE(w.until([&] { return w.reply(yes) != nullptr; }));
    EXPECT_TRUE(w.reply(yes)->yes);
    EXPECT_EQ(w.at(0).acting.content->at("servers"), "one");
    w.heal();
    ASSERT_TRUE(w.until([&] { return w.all_act("yes") && w.reply(no); }));
    EXPECT_FALSE(w.reply(no)->yes) << "it was made from the first";
    SOUND(w);
  }
}

TEST(Agreement, ALeaderStoppedBeyondItsLeaseAndContinuedDoesNotLead) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World w(seed, 5, 3);
    ASSERT_TRUE(w.begin_with("r4", "one"));
    const auto old = w.leader();
    w.stop(old);
    ASSERT_TRUE(w.until([&] { return !w.leader().empty() && w.leader() != old; }));
    const auto two = w.propose("r4", "two");
    ASSERT_TRUE(w.until([&] { return w.reply(two) != nullptr; }));
    w.go_on(old);
    ASSERT_TRUE(w.until([&] { return w.all_act("two"); }));
    SOUND(w);
  }
}

TEST(Agreement, HalfOfTheRoutersLostTheirSharesAreUsedAgain) {
  World w(3, 6, 3);
  ASSERT_TRUE(w.begin_with("r0", "one"));
  const auto used = [&] {
    double sum = 0;
    for (auto& [n, r] : w.routers())
      if (r.agreement) sum += r.acting.share_all;
    return sum;
  };
  ASSERT_TRUE(w.until([&] { return used() > 0.84; }));
  std::vector<std::string> lost = {"r5", "r4", w.leader()};
  for (const auto& n : lost) w.kill(n);
  EXPECT_LT(used(), 0.5);
  const Time from = w.now;
  ASSERT_TRUE(w.until([&] { return used() > 0.8; }));
  EXPECT_LE(w.now - from, 6 * kSecond);
  SOUND(w);
}

TEST(Agreement, VotersAreReplacedOneByOneUntilNoneOfTheFirstIsLeft) {
  World w(4, 6, 3);
  w.until([&] { return !w.leader().empty(); });
  const std::vector<std::string> first = {"r0", "r1", "r2"};
  auto voters = first;
  for (int i = 0; i < 3; ++i) {
    voters[static_cast<std::size_t>(i)] = World::name(static_cast<std::size_t>(i) + 3);
    const auto change = w.propose_voters("r5", voters);
    ASSERT_TRUE(w.until([&] { return w.reply(change) != nullptr; })) << i;
    ASSERT_TRUE(w.until([&] {
      const auto l = w.leader();
      if (l.empty()) return false;
      const auto s = w.at(l).agreement->raft()->servers();
      return s.size() == 3 && std::all_of(voters.begin(), voters.end(), [&](auto& v) {
               const auto it = s.find(v);
               return it != s.end() && it->second == RAFT_VOTER;
             });
    })) << i;
    const auto v = w.propose("r5", "after " + std::to_string(i));
    ASSERT_TRUE(w.until([&] { return w.reply(v) && w.all_act("after " + std::to_string(i)); }))
        << i;
  }
  EXPECT_TRUE(w.until([&] {
    return std::all_of(first.begin(), first.end(),
                       [&](auto& n) { return w.at(n).agreement->view(0).part == Part::follower; });
  })) << w.stands();
  SOUND(w);
}

// The disk says yes and keeps nothing; the power goes.
TEST(Agreement, AVoterWhoseDiskLiedComesBackAsALearner) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World w(seed, 4, 3);
    ASSERT_TRUE(w.begin_with("r3", "one"));
    w.at(1).disk.lies = true;
    const auto two = w.propose("r3", "two");
    ASSERT_TRUE(w.until([&] { return w.reply(two) && w.all_act("two"); }));
    w.lose_power("r1");
    w.at(1).disk.lies = false;
    w.run(kSecond);
    w.start("r1");
    ASSERT_TRUE(w.until([&] {
      const auto l = w.leader();
      const auto* raft = w.at(1).agreement->raft();
      return !l.empty() && raft && w.at(l).agreement->raft()->servers().size() == 3 &&
             w.all_act("two") && w.at(1).agreement->view(0).part == Part::voter;
    })) << seed;
    const auto three = w.propose("r3", "three");
    ASSERT_TRUE(w.until([&] { return w.reply(three) && w.all_act("three"); })) << seed;
    SOUND(w);
  }
}

TEST(Agreement, AVoterThatLostItsDiskIsReadmitted) {
  World w(5, 4, 3);
  ASSERT_TRUE(w.begin_with("r3", "one"));
  w.kill("r2");
  w.at(2).disk = {};
  w.start("r2");
  ASSERT_TRUE(w.until([&] {
    return !w.leader().empty() && w.at(w.leader()).agreement->raft()->servers().size() == 3 &&
           w.at(2).agreement->view(0).part == Part::voter && w.all_act("one");
  }));
  bool said = false;
  for (const auto& r : w.at(2).reports) said |= r.starts_with("readmitted");
  EXPECT_TRUE(said);
  SOUND(w);
}

// ---- Trials

bool acts_on(World& w, std::size_t i, const std::string& text) {
  const auto& a = w.at(i).acting;
  return !a.is_conservative && a.content && a.content->at("servers") == text;
}
CanaryRollout trial_at(std::vector<std::string> first, Time hold, bool go_on) {
  return {std::move(first), hold, 0.05, go_on};
}

TEST(Trial, HoldsForTheFirstOnlyUntilAWordSendsItOn) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World w(seed, 5, 3);
    ASSERT_TRUE(w.begin_with("r4", "one"));
    const auto two = w.propose("r4", "two", {}, trial_at({"r1", "r4"}, 600 * kSecond, false));
    ASSERT_TRUE(w.until([&] {
      return w.reply(two) && acts_on(w, 1, "two") && acts_on(w, 4, "two");
    })) << seed;
    EXPECT_TRUE(w.reply(two)->yes && w.reply(two)->text == "on trial");
    w.run(10 * kSecond);
    for (const std::size_t i : {0u, 2u, 3u}) EXPECT_TRUE(acts_on(w, i, "one")) << seed << " r" << i;
    for (const std::size_t i : {1u, 4u})
      EXPECT_TRUE(acts_on(w, i, "two")) << "under a lease all the time";
    const auto other = w.propose("r3", "three");
    ASSERT_TRUE(w.until([&] { return w.reply(other) != nullptr; }));
    EXPECT_FALSE(w.reply(other)->yes) << "one at a time";
    const auto wrong = w.rule("r0", 7, true);
    ASSERT_TRUE(w.until([&] { return w.reply(wrong) != nullptr; }));
    EXPECT_FALSE(w.reply(wrong)->yes);
    const auto go = w.rule("r0", 2, true);
    ASSERT_TRUE(w.until([&] { return w.reply(go) && w.all_act("two"); })) << w.stands();
    EXPECT_TRUE(w.reply(go)->yes);
    EXPECT_EQ(w.at(3).acting.version.number, 2u);
    EXPECT_TRUE(w.until([&] { return !w.at(1).acting.version.trial; })) << "it is none any more";
    SOUND(w);
  }
}

TEST(Trial, TakenBackTheOldContentComesAgainAsANewVersionWithinT) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World w(seed, 5, 3);
    ASSERT_TRUE(w.begin_with("r4", "one"));
    w.propose("r4", "two", {}, trial_at({"r3"}, 600 * kSecond, false));
    ASSERT_TRUE(w.until([&] { return acts_on(w, 3, "two"); }));
    const auto back = w.rule("r1", 2, false);
    ASSERT_TRUE(w.until([&] { return w.reply(back) != nullptr; }));
    const Time from = w.now;
    ASSERT_TRUE(w.until([&] { return w.all_act("one") && w.at(3).acting.version.number == 3; }))
        << w.stands();
    EXPECT_LE(w.now - from, kBound);
    SOUND(w);
  }
}

TEST(Trial, HarmAtTheFirstRoutersTakesItBackAndHarmEverywhereDoesNot) {
  for (const bool everywhere : {false, true}) {
    World w(4, 5, 3);
    ASSERT_TRUE(w.begin_with("r4", "one"));
    w.propose("r4", "two", {}, trial_at({"r3"}, 600 * kSecond, false));
    ASSERT_TRUE(w.until([&] { return acts_on(w, 3, "two"); }));
    for (std::size_t i = 0; i < 5; ++i)
      w.load(World::name(i), 50, i == 3 || everywhere ? 0.3 : 0.01);
    w.run(6 * kSecond);
    EXPECT_EQ(acts_on(w, 3, "two"), everywhere) << w.stands();
    EXPECT_EQ(w.at(3).acting.version.number, everywhere ? 2u : 3u);
    SOUND(w);
  }
  World w(5, 5, 3);  // too few requests tell nothing
  ASSERT_TRUE(w.begin_with("r4", "one"));
  w.propose("r4", "two", {}, trial_at({"r3"}, 600 * kSecond, false));
  ASSERT_TRUE(w.until([&] { return acts_on(w, 3, "two"); }));
  w.load("r3", 1.5, 1);
  w.run(6 * kSecond);
  EXPECT_TRUE(acts_on(w, 3, "two"));
}

TEST(Trial, EndsAsDeclaredWhenItsTimeIsOverWhoeverLeadsOrStartsAnew) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const bool go_on = seed % 2;
    World w(seed, 5, 3);
    ASSERT_TRUE(w.begin_with("r4", "one"));
    const auto two = w.propose("r4", "two", {}, trial_at({"r0", "r3"}, 4 * kSecond, go_on));
    ASSERT_TRUE(w.until([&] { return acts_on(w, 3, "two"); }));
    w.kill(w.leader());
    w.kill("r3");
    w.run(kSecond);
    for (auto& [n, r] : w.routers())
      if (!w.up(n)) w.start(n);
    w.run(2 * kSecond);
    EXPECT_FALSE(acts_on(w, 4, "two")) << "a new leader watches it for its whole time";
    ASSERT_TRUE(w.until([&] {
      return w.all_act(go_on ? "two" : "one") && w.at(4).acting.version.number == (go_on ? 2u : 3u);
    })) << seed
        << w.stands();
    EXPECT_TRUE(w.reply(two)->yes);
    SOUND(w);
  }
}

// A voter whose program passes by what it does not know would make another state of the same log.
TEST(Trial, IsRefusedWhileAVoterOrTheLeaderRunsAProgramThatKnowsNone) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    World w(seed, 5, 3);
    ASSERT_TRUE(w.begin_with("r4", "one"));
    auto old = w.leader();
    if (seed % 2) old = old == "r0" ? "r1" : "r0";  // else the leader itself
    w.kill(old);
    w.routers().at(old).forms = 0;
    w.start(old);
    w.run(6 * kSecond);
    const auto no = w.propose("r4", "two", {}, trial_at({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(w.until([&] { return w.reply(no) != nullptr; })) << seed << w.stands();
    EXPECT_FALSE(w.reply(no)->yes);
    EXPECT_NE(w.reply(no)->text.find("knows no trials"), std::string::npos) << w.reply(no)->text;
    w.kill(old);
    w.routers().at(old).forms = kForms;
    w.start(old);
    w.run(6 * kSecond);
    const auto yes = w.propose("r4", "two", {}, trial_at({"r3"}, 2 * kSecond, true));
    ASSERT_TRUE(w.until([&] { return w.reply(yes) && w.all_act("two"); })) << seed << w.stands();
    EXPECT_TRUE(w.reply(yes)->yes);
    SOUND(w);
  }
}

TEST(Trial, OneThatNamesTooManyOrHasNothingToGoBackToIsRefused) {
  World w(6, 4, 3);
  w.until([&] { return !w.leader().empty(); });
  const auto none = w.propose("r3", "one", {}, trial_at({"r3"}, kSecond, true));
  ASSERT_TRUE(w.until([&] { return w.reply(none) != nullptr; }));
  EXPECT_NE(w.reply(none)->text.find("go back to"), std::string::npos) << w.reply(none)->text;
  const auto many =
      w.propose("r3", "one", {}, trial_at(std::vector<std::string>(8, "r1"), kSecond, true));
  ASSERT_TRUE(w.until([&] { return w.reply(many) != nullptr; }));
  EXPECT_FALSE(w.reply(many)->yes);
  SOUND(w);
}

// A full disk says no at once: what it does not take is tried again, but not as fast as it refuses.
TEST(Agreement, AFullDiskHoldsNobodyUpAndIsNotAskedWithoutAPause) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    World w(seed, 5, 3);
    ASSERT_TRUE(w.begin_with("r4", "one"));
    w.at(1).disk.fails = w.at(4).disk.fails = true;
    const auto writes = w.writes;
    const auto two = w.propose("r3", "two");
    ASSERT_TRUE(w.until([&] { return w.reply(two) != nullptr; })) << seed;
    EXPECT_TRUE(w.reply(two)->yes) << w.reply(two)->text;
    w.run(10 * kSecond);
    EXPECT_LE(w.writes - writes, 80u) << "5 routers, and two a second of each full disk";
    EXPECT_TRUE(w.at(4).acting.is_conservative);
    w.at(1).disk.fails = w.at(4).disk.fails = false;
    ASSERT_TRUE(w.until([&] {
      return w.all_act("two") && w.at(1).agreement->view(0).part == Part::voter &&
             !w.leader().empty();
    })) << seed
        << w.stands();
    SOUND(w);
  }
}

TEST(Agreement, AFollowerBackAfterManyVersionsTakesTheNewestAtOnce) {
  World w(6, 5, 3);
  w.until([&] { return !w.leader().empty(); });
  w.propose("r0", "0");
  ASSERT_TRUE(w.until([&] { return w.all_act("0"); }));
  w.kill("r4");
  const int versions = 100 * static_cast<int>(more());
  for (int i = 1; i <= versions; ++i) {
    const auto p = w.propose("r3", std::to_string(i));
    ASSERT_TRUE(w.until([&] { return w.reply(p) != nullptr; })) << i;
    ASSERT_TRUE(w.reply(p)->yes) << i << w.reply(p)->text;
  }
  w.start("r4");
  const Time from = w.now;
  std::set<std::uint64_t> seen;
  ASSERT_TRUE(w.until([&] {
    seen.insert(w.at(4).acting.version.number);
    return w.all_act(std::to_string(versions));
  }));
  EXPECT_LE(w.now - from, 2 * kSecond);
  EXPECT_LE(seen.size(), 3u) << "never each step";
  // And a voter that is back after the log was cut off behind a snapshot.
  w.kill("r2");
  for (int i = versions + 1; i <= versions + 120; ++i) {
    const auto p = w.propose("r3", std::to_string(i));
    ASSERT_TRUE(w.until([&] { return w.reply(p) != nullptr; })) << i;
  }
  w.start("r2");
  ASSERT_TRUE(w.until([&] {
    return w.at(2).agreement->raft() && w.at(2).agreement->ledger().in_force().number ==
                                            static_cast<std::uint64_t>(versions) + 121;
  }));
  SOUND(w);
}

// Whatever is lost, stopped, cut or lied about in whatever order: nothing that must hold is broken,
// and once all is well again, all act on one version.
TEST(Agreement, MixedSchedulesBreakNothingAndEndInOnePicture) {
  const std::size_t seeds = 24 * more();
  std::size_t in_force = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    World w(seed * 7919, 5 + seed % 3, seed % 4 == 0 ? 5 : 3);
    auto& random = w.random;
    const auto some = [&] { return World::name(random() % w.routers().size()); };
    w.run(2 * kSecond);
    int value = 0;
    std::set<std::string> stopped;
    for (int step = 0; step < 25 && w.broken.empty(); ++step) {
      const auto n = some(), o = some();
      switch (random() % 12) {
        case 0:
        case 1:
        case 2:
          if (w.up(n) && random() % 3 == 0)
            w.propose(n, "v" + std::to_string(++value), {},
                      trial_at({o}, static_cast<Time>(1 + random() % 4) * kSecond, random() % 2));
          else if (w.up(n))
            w.propose(n, "v" + std::to_string(++value));
          break;
        case 3:
          if (w.up(n)) stopped.erase(n), w.kill(n);
          break;
        case 4:
        case 5:
          if (!w.up(n)) w.start(n);
          break;
        case 6:
          if (w.up(n) && stopped.insert(n).second) w.stop(n);
          break;
        case 7:
          for (const auto& s : std::exchange(stopped, {}))
            if (w.up(s)) w.go_on(s);
          break;
        case 8:
          w.cut({n, o});
          break;
        case 9:
          w.way(n, o).cut = true;
          break;
        case 10:
          w.way(n, o).loss = 30, w.way(n, o).delay = 200'000;
          break;
        case 11:
          w.heal();
          break;
      }
      w.run(static_cast<Time>(random() % 2'000'000));
    }
    w.heal();
    for (const auto& s : stopped)
      if (w.up(s)) w.go_on(s);
    for (auto& [n, r] : w.routers())
      if (!w.up(n)) w.start(n);
    std::uint64_t last = 0;  // what was under way before comes first
    EXPECT_TRUE(w.until(
        [&] {
          if (!last || (w.reply(last) && !w.reply(last)->yes)) last = w.propose("r0", "last");
          return w.reply(last) && w.all_act("last");
        },
        60 * kSecond))
        << "seed " << seed << "\n"
        << w.stands();
    ASSERT_EQ(w.broken, "");
    in_force += w.at(0).acting.version.number;
    if (HasFailure()) break;
  }
  EXPECT_GT(in_force, seeds * 3) << "the schedules change something";
}

}  // namespace
