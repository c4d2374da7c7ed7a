// Several processes of the program with faults between them. Checks read each process's own view.
#include "schedule.h"

namespace {

using rig::kSecond;
using rig::Rig;
using rig::Time;

class RigTest : public ::testing::Test {
 protected:
  void form(Rig& r) {
    r.start_all();
    ASSERT_TRUE(r.until([&] { return r.whole(r.all()); }));
  }
  static std::uint64_t failures(Rig& r) {
    std::uint64_t n = 0;
    for (const auto i : r.all()) n += r.view(i).counts["failures"];
    return n;
  }
};

TEST_F(RigTest, AllAtOnceFormOneClusterAndOneKilledIsKnownAndComesBackAsNew) {
  Rig r(5);
  form(r);
  const auto before = r.view(0).epochs["n4"];
  r.kill(4);
  ASSERT_TRUE(r.until([&] {
    for (std::size_t i = 0; i < 4; ++i)
      if (r.view(i).states["n4"] != "failed" || r.view(i).whole != "degraded") return false;
    return true;
  }));
  r.start(4);
  ASSERT_TRUE(r.until([&] { return r.whole(r.all()); }));
  EXPECT_GT(r.view(0).epochs["n4"], before);
}

TEST_F(RigTest, OneStoppedForSecondsAccusesNobodyWhenItGoesOn) {
  Rig r(4);
  form(r);
  r.signal(3, SIGSTOP);
  ASSERT_TRUE(r.until([&] { return r.view(0).states["n3"] == "failed"; }));
  r.run(3 * kSecond);
  const auto before = failures(r);
  r.signal(3, SIGCONT);
  ASSERT_TRUE(r.until([&] { return r.whole(r.all()); }));
  EXPECT_EQ(r.view(3).counts["failures"], 0u);
  EXPECT_GE(r.view(3).counts["stalls"], 1u);
  EXPECT_LE(failures(r), before + 1);
}

TEST_F(RigTest, CutInTwoEachSideSaysWhatItSeesAndTheyFindEachOther) {
  Rig r(5);
  form(r);
  r.cut({0, 1}, {2, 3, 4});
  ASSERT_TRUE(r.until([&] {
    return r.view(0).whole == "cut" && r.view(1).whole == "cut" && r.view(2).alive() == 2 &&
           r.view(2).whole == "degraded";
  }));
  r.cut({0, 1}, {2, 3, 4}, false);
  EXPECT_TRUE(r.until([&] { return r.whole(r.all()); }));
}

TEST_F(RigTest, AOneWayCutAndAFlappingLinkFailNobody) {
  Rig r(4);
  form(r);
  r.way(1, 2).cut = true;
  for (int i = 0; i < 8; ++i) {
    r.way(0, 3).cut = r.way(3, 0).cut = i % 2 == 0;
    r.run(kSecond);
  }
  EXPECT_EQ(failures(r), 0u);
  EXPECT_EQ(r.view(1).states["n2"], "alive");
  EXPECT_EQ(r.view(2).states["n1"], "alive");
}

// A stalled link takes connections and moves nothing: the exchange over it ends by its time, all
// others go on.
TEST_F(RigTest, AStalledLinkHoldsUpNobodyElse) {
  Rig r(4);
  r.way(3, 0).stall = r.way(0, 3).stall = true;
  form(r);  // n3's first seed is behind the stall
  EXPECT_EQ(r.view(0).states["n3"], "alive");
  r.run(3 * kSecond);
  EXPECT_EQ(failures(r), 0u);
}

// Only neighbours hear each other: the middle holds the ends together.
TEST_F(RigTest, InAChainOfThreeNobodyIsFailed) {
  Rig r(3);
  form(r);
  r.way(0, 2).cut = r.way(2, 0).cut = true;
  r.run(10 * kSecond);
  EXPECT_EQ(failures(r), 0u);
  EXPECT_EQ(r.view(0).states["n2"], "alive");
  EXPECT_EQ(r.view(2).states["n0"], "alive");
}

TEST_F(RigTest, AFifthOfAllMessagesLostForTwoMinutesFailsNobody) {
  Rig r(5, 7);
  rig::Setup s;
  s.period = "300 ms";
  for (const auto i : r.all()) r.configure(i, s);
  form(r);
  r.each_way([](rig::Fault& f) { f.loss = 20; });
  r.run(120 * kSecond);
  EXPECT_EQ(failures(r), 0u);
  EXPECT_TRUE(r.until([&] { return r.view(0).alive() == 4; }));
}

TEST_F(RigTest, LossSpoiltBytesCopiesAndDelaysFailNobody) {
  Rig r(5, 42);
  form(r);
  r.each_way([](rig::Fault& f) {
    f.loss = 15, f.corrupt = 5, f.twice = 10, f.delay = 2'000, f.jitter = 20'000;
  });
  r.run(20 * kSecond);
  EXPECT_EQ(failures(r), 0u);
  EXPECT_TRUE(r.until([&] { return r.view(0).alive() == 4; }));
  EXPECT_GT(r.view(0).counts["dropped"], 0u);
  EXPECT_NE(r.log(0).find("kind=spoilt"), std::string::npos);
}

// Everything of an earlier life, sent again, revives nobody; garbage, later versions and floods are
// dropped.
TEST_F(RigTest, ReplayedForeignAndSpoiltDatagramsChangeNothing) {
  Rig r(3);
  form(r);
  r.run(kSecond);
  const auto kept = r.carried;
  r.kill(2);
  ASSERT_TRUE(r.until(
      [&] { return r.view(0).states["n2"] == "failed" && r.view(1).states["n2"] == "failed"; }));
  for (const auto& [to, bytes] : kept)
    if (to < 2) r.inject(to, bytes);
  auto later = kept[0].second, foreign = later;
  later[3] = '2', foreign[5] = static_cast<char>(foreign[5] ^ 1);
  for (const auto& bytes :
       {later, foreign, std::string("short"), std::string(4500, 'x'), kept[0].second + "x"})
    for (int i = 0; i < 20; ++i) r.inject(0, bytes);
  r.run(2 * kSecond);
  EXPECT_EQ(r.view(0).states["n2"], "failed");
  EXPECT_EQ(r.view(0).states["n1"], "alive");
  for (const char* kind :
       {"kind=replayed", "kind=later", "kind=foreign", "kind=unreadable", "kind=oversized"}) {
    const auto log = r.log(0);
    const auto first = log.find(kind);
    EXPECT_NE(first, std::string::npos) << kind;
    EXPECT_EQ(log.find(kind, first + 1), std::string::npos) << "once in ten seconds: " << kind;
  }
}

TEST_F(RigTest, TwoOfThreeSeedsDownAtTheStartAndAllKilledAndBackAtOnce) {
  Rig r(5);
  for (std::size_t i = 2; i < 5; ++i) r.start(i);
  ASSERT_TRUE(r.until([&] { return r.whole({2, 3, 4}); }));
  r.start(0), r.start(1);
  ASSERT_TRUE(r.until([&] { return r.whole(r.all()); }));
  for (const auto i : r.all()) r.kill(i);
  r.start_all();
  EXPECT_TRUE(r.until([&] { return r.whole(r.all()); }));
}

TEST_F(RigTest, OfTwoUnderOneNameTheLaterHoldsAndBothAreNamed) {
  Rig r(4);
  rig::Setup twin;
  twin.member = "n1";
  r.configure(3, twin);
  for (std::size_t i = 0; i < 3; ++i) r.start(i);
  ASSERT_TRUE(r.until([&] { return r.whole({0, 1, 2}); }));
  r.start(3);
  ASSERT_TRUE(r.until([&] { return r.log(1).find("superseded") != std::string::npos; }));
  EXPECT_TRUE(r.until(
      [&] { return r.view(0).addresses["n1"] == r.gate(3) && r.view(0).states["n1"] == "alive"; }));
  EXPECT_TRUE(
      r.until([&] { return (r.log(0) + r.log(2)).find("two_of_one_name") != std::string::npos; }));
  EXPECT_TRUE(r.runs(1)) << "it goes on serving its clients";
}

TEST_F(RigTest, OneBackAtAnothersAddressIsKeptApartByIdAndEpoch) {
  Rig r(4);
  form(r);
  r.kill(2), r.kill(3);
  rig::Setup moved;
  moved.at = 3;
  r.configure(2, moved);
  r.start(2);
  EXPECT_TRUE(r.until([&] {
    auto v = r.view(0);
    return v.states["n2"] == "alive" && v.addresses["n2"] == r.gate(3) &&
           v.states["n3"] == "failed";
  }));
}

TEST_F(RigTest, ASecretChangedOnHalfMakesTwoThatDoNotMix) {
  Rig r(4);
  form(r);
  rig::Setup changed;
  changed.secret = "another secret of the tests, also of 32 and more";
  for (const std::size_t i : {2, 3}) r.kill(i), r.configure(i, changed), r.start(i);
  ASSERT_TRUE(r.until([&] {
    return r.view(2).states["n3"] == "alive" && r.view(3).states["n2"] == "alive" &&
           r.view(0).states["n2"] == "failed" && r.view(0).states["n1"] == "alive";
  }));
  EXPECT_FALSE(r.view(2).states.contains("n0"));
  EXPECT_NE((r.log(2) + r.log(3)).find("kind=spoilt"), std::string::npos);
  // Changed back, they are one again.
  for (const std::size_t i : {2, 3}) r.kill(i), r.configure(i), r.start(i);
  EXPECT_TRUE(r.until([&] { return r.whole(r.all()); }));
}

// A schedule of the exploration (ClusterExplored), between processes: what it prints is played by
// ALDERSPUR_EXPLORED="LOST LATE WHO MILLISECONDS".
TEST_F(RigTest, AnExploredScheduleReplaysBetweenProcesses) {
  std::uint64_t lost = 3, late = 7;
  std::size_t who = 1;
  Time at = 200;
  if (const char* line = std::getenv("ALDERSPUR_EXPLORED"))
    std::istringstream(line) >> lost >> late >> who >> at;
  ASSERT_LT(who, 3u);
  Rig r(3);
  form(r);
  const auto before = r.view((who + 1) % 3).epochs["n" + std::to_string(who)];
  r.one_lost_one_late(lost, late);
  r.run(at * 1000);
  r.kill(who);
  r.start(who);
  ASSERT_TRUE(r.until([&] {
    return r.whole(r.all()) && r.view((who + 1) % 3).epochs["n" + std::to_string(who)] > before;
  }));
  for (const auto i : r.all())
    for (const auto& [name, state] : r.view(i).states)
      EXPECT_EQ(state, "alive") << "n" << i << " of " << name;
}

// Faults of all kinds, overlapping, drawn from a seed: then all is mended, and every view is whole
// and right.
TEST_F(RigTest, AfterADrawnScheduleAllViewsAreWhole) {
  rig::Schedule s = rig::drawn(20261202, 5, 20 * kSecond);
  if (const char* line = std::getenv("ALDERSPUR_SCHEDULE")) s = rig::read_schedule(line);
  ASSERT_FALSE(s.steps.empty());
  const auto line = rig::written(s);
  EXPECT_EQ(rig::written(rig::read_schedule(line)), line) << "as it is written it is read";
  SCOPED_TRACE("ALDERSPUR_SCHEDULE=\"" + line + "\"");
  Rig r(s.processes);
  form(r);
  rig::play(r, s);
  EXPECT_TRUE(r.until([&] { return r.whole(r.all()); }, 40 * kSecond));
  for (const auto i : r.all()) EXPECT_TRUE(r.runs(i)) << "no process ends by itself: n" << i;
}

TEST(Schedule, WhatIsNoneIsNotRead) {
  for (const char* line :
       {"", "3 processes", "3 processes: 5 dance 1;", "3 processes: 5 kill 3;",
        "3 processes: 5 cut 1;", "99 processes: 1 heal;", "3 processes: -1 heal;"})
    EXPECT_TRUE(rig::read_schedule(line).steps.empty()) << line;
}

// A link on which connections are slow: who hangs on it learns late, the others in time.
TEST_F(RigTest, AThrottledLinkHoldsUpNobodyElse) {
  Rig r(4);
  r.each_way([](rig::Fault&) {});
  for (std::size_t i = 0; i < 3; ++i) r.way(i, 3).rate = r.way(3, i).rate = 200;
  r.start_all();
  ASSERT_TRUE(r.until(
      [&] { return r.view(0).alive() >= 2 && r.view(1).alive() >= 2 && r.view(2).alive() >= 2; }));
  EXPECT_TRUE(r.until([&] { return r.whole(r.all()); }));
  EXPECT_EQ(failures(r), 0u);
}

TEST_F(RigTest, LeavingIsSaidAndEndsWithZero) {
  Rig r(3);
  form(r);
  r.signal(2, SIGTERM);
  ASSERT_TRUE(r.until([&] { return !r.runs(2); }));
  EXPECT_EQ(r.code(2), 0);
  EXPECT_TRUE(r.until(
      [&] { return r.view(0).states["n2"] == "left" && r.view(1).states["n2"] == "left"; }));
  EXPECT_EQ(r.view(0).whole, "whole");
  EXPECT_EQ(failures(r), 0u);
}

TEST_F(RigTest, ABadSecretOrANameThatIsNoneEndsTheStartWithOneLine) {
  Rig r(2);
  rig::Setup weak;
  weak.secret = "short";
  r.configure(0, weak);
  r.start(0);
  ASSERT_TRUE(r.until([&] { return !r.runs(0); }));
  EXPECT_EQ(r.code(0), 1);
  EXPECT_NE(r.log(0).find("under 32 characters"), std::string::npos);
  rig::Setup named;
  named.member = "two words";
  r.configure(1, named);
  r.start(1);
  ASSERT_TRUE(r.until([&] { return !r.runs(1); }));
  EXPECT_EQ(r.code(1), 1);
  EXPECT_NE(r.log(1).find("settings.toml:"), std::string::npos) << r.log(1);
}

}  // namespace
