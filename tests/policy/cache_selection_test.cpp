// Which caches serve an object.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(Rendezvous, AnObjectKeepsItsHomeAndOnlyALostHomesObjectsMove) {
  Bed a;
  std::map<std::uint64_t, std::uint64_t> home;
  std::set<std::uint64_t> used;
  for (std::uint64_t o = 1; o <= 60; ++o) {
    used.insert(home[o] = a.serve(o, 100, static_cast<std::uint32_t>(o)));
  }
  EXPECT_EQ(used.size(), 4u);
  for (std::uint64_t o = 1; o <= 60; ++o) {
    EXPECT_EQ(a.serve(o, 100, 99), home[o]) << "parts share the home";
  }
  Bed b(site(),
        {cache(1), cache(2), cache(3), upstream(20, Role::parent), upstream(30, Role::origin)});
  for (std::uint64_t o = 1; o <= 60; ++o) {
    if (home[o] != 4) {
      EXPECT_EQ(b.serve(o), home[o]);
    }
  }
}

TEST(HotSet, AHotObjectWidensToHalfTheLocationAndShrinksAgain) {
  Bed bed;
  std::map<std::uint64_t, int> by;
  for (int i = 0; i < 240; ++i) {
    ++by[bed.serve(777, 400)];
    bed.serve(1000 + static_cast<std::uint64_t>(i % 50), 100);
    bed.advance(50 * kMillisecond);
  }
  EXPECT_EQ(by.size(), 2u);
  by.clear();
  for (int i = 0; i < 20; ++i) ++by[bed.serve(777, 400)];
  for (auto& [server, n] : by) EXPECT_NEAR(n, 10, 3) << server;
  for (int i = 0; i < 40; ++i) {
    bed.serve(1000 + static_cast<std::uint64_t>(i % 50), 100);
    bed.advance(500 * kMillisecond);
  }
  by.clear();
  for (int i = 0; i < 4; ++i) ++by[bed.serve(777, 1)];
  EXPECT_EQ(by.size(), 1u);
}

// Worked numbers. Four caches with BW = 3000 each; an object adds x to its home's. S = (3000 + x) /
// 3000, W = 1 - a = 3000 / (3000 + x), T = 0.25 W; its share x / (3000 + x) passes T above x = 750.
TEST(HotSet, TheThresholdFollowsThePagesFormula) {
  Bed bed;
  std::map<std::uint64_t, int> given;
  for (std::uint64_t o = 1; o < 4000;
       ++o) {  // each small object is served three times: no share of its own
    const auto id = bed.ask(o);
    const auto home = bed.sends[id][0].server.value;
    if (given[home] == 10) {
      bed.tell(ClientGone{id});
      bed.end(id, AttemptResult::cancelled);
      continue;
    }
    ++given[home];
    bed.end(id, AttemptResult::ok, FillOutcome::hit);
    bed.serve(o);
    bed.serve(o);
    if (given[1] + given[2] + given[3] + given[4] == 40) break;
  }
  ASSERT_EQ(given[1] + given[2] + given[3] + given[4], 40);
  const std::uint64_t hot = 99999;
  const std::uint64_t home = bed.serve(hot);
  for (int i = 2; i <= 8; ++i) {
    EXPECT_EQ(bed.serve(hot), home) << "x is at most 700 before request " << i;
  }
  EXPECT_NE(bed.serve(hot), home) << "x = 800: the set has its second cache";
}

TEST(HotSet, OrdinaryObjectsKeepOneHome) {
  Bed bed;
  std::map<std::uint64_t, std::set<std::uint64_t>> homes;
  for (int i = 0; i < 600; ++i) {
    const auto o = 1 + static_cast<std::uint64_t>(i % 60);
    homes[o].insert(bed.serve(o));
    bed.advance(20 * kMillisecond);
  }
  for (auto& [o, h] : homes) EXPECT_EQ(h.size(), 1u) << o;
}

TEST(Crowding, AHomeWithTooMuchWorkOutYieldsToTheNext) {
  Bed bed;
  std::set<std::uint64_t> used;
  for (int i = 0; i < 40; ++i) used.insert(bed.sends[bed.ask(77, 0, 400)][0].server.value);
  EXPECT_GT(used.size(), 1u);
}

}  // namespace
