// When a server is ejected, checked, tested and used again.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(Health, ACacheThatErrsFastDrawsNothing) {
  Bed bed;
  std::map<std::uint64_t, int> sent;
  for (int i = 0; i < 400; ++i) {
    const auto id = bed.ask(static_cast<std::uint64_t>(i));
    for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
      ++sent[bed.sends[id][k].server.value];
      bed.end(id, bed.sends[id][k].server.value == 2 ? AttemptResult::error : AttemptResult::ok,
              FillOutcome::hit, k);
    }
    bed.advance(10 * kMillisecond);
  }
  EXPECT_LT(sent[2], 20);
}

TEST(Health, AFailedFillIsNotTheCachesFault) {
  Bed bed;
  const auto id = bed.ask(1);
  const auto first = bed.sends[id][0];
  bed.end(id, AttemptResult::miss, FillOutcome::source_unreachable);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_EQ(bed.sends[id][1].server, first.server);
  EXPECT_NE(bed.sends[id][1].fill->source, first.fill->source);
}

TEST(Health, ASourcesRefusalIsBlamedOnTheSourceWhateverTheOutcomesKind) {
  for (const auto result : {AttemptResult::overloaded, AttemptResult::error, AttemptResult::miss}) {
    Bed bed;
    std::uint64_t home = 0;
    for (int i = 0; i < 6; ++i) {
      const auto id = bed.ask(1);
      ASSERT_FALSE(bed.sends[id].empty());
      if (home == 0) home = bed.sends[id][0].server.value;
      EXPECT_EQ(bed.sends[id][0].server.value, home) << "the cache stays in";
      for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
        bed.end(id, result, FillOutcome::source_refused, k);
      }
      EXPECT_EQ(bed.answers[id], 1);
    }
    EXPECT_NE(bed.sends[bed.ask(1)][0].fill->source, bed.sends[RequestId{1}][0].fill->source);
  }
}

TEST(Health, WhereProbesAreAllowedOneGoesBeforeTheTrial) {
  Bed bed(probing_site());
  std::uint64_t o = 1;
  while (bed.serve(o) != 1) ++o;
  for (int i = 0; i < 2; ++i) bed.end(bed.ask(o), AttemptResult::connect_failed);
  bed.advance(5 * kSecond);
  EXPECT_NE(bed.sends[bed.ask(o)][0].server.value, 1u);
  bed.tell(HealthCheckResult{{1}, true, kMillisecond, {}});
  bed.advance(2 * kSecond);
  EXPECT_EQ(bed.sends[bed.ask(o)][0].server.value, 1u);
}

TEST(Health, AParentThatIsNotReachedIsOutAtOnceAndComesBackAsAColdOne) {
  auto s = site();
  s.router_count = 300;
  s.router_count_by_location = {0, 0, 0, 12};
  Bed bed(s);
  const auto first = bed.ask(1);
  const auto dead = bed.sends[first].at(0).fill->source;
  bed.end(first, AttemptResult::overloaded, FillOutcome::source_unreachable);
  bed.end(first, AttemptResult::ok, FillOutcome::filled, 1);
  int named = 0;
  for (std::uint64_t o = 10; o < 410; ++o) {
    const auto id = bed.ask(o);
    ASSERT_FALSE(bed.sends[id].empty());
    named += bed.sends[id][0].fill->source == dead;
    bed.end(id, AttemptResult::ok, FillOutcome::filled);
    bed.advance(10 * kMillisecond);
  }
  EXPECT_LE(named, 1) << "of 300 routers, each may test it with about as much as a cold one bears";
}

TEST(Health, WithoutNotesADeadSourceIsFoundByAskingTheSameCacheOnceMore) {
  Bed bed;
  int to_dead_late = 0;
  int refused = 0;
  for (std::uint64_t o = 1; o <= 60; ++o) {
    const auto id = bed.ask(o, 0, 400);
    bed.advance(100 * kMillisecond);
    if (bed.sends[id].empty()) continue;
    const bool dead = bed.sends[id][0].fill->source == ServerId{20};
    to_dead_late += dead && o > 30;
    bed.end(id, dead ? AttemptResult::overloaded : AttemptResult::ok, FillOutcome::none, 0,
            50 * kMillisecond);
    if (dead && bed.sends[id].size() > 1) {
      EXPECT_EQ(bed.sends[id][1].server, bed.sends[id][0].server);
      EXPECT_NE(bed.sends[id][1].fill->source, ServerId{20});
      bed.end(id, AttemptResult::ok, FillOutcome::none, 1);
    }
    refused += bed.answers[id];
  }
  EXPECT_EQ(refused, 0);
  EXPECT_LE(to_dead_late, 6);
}

// Guards against a cache, or a parent, that fails half of what it is sent and hides behind the
// other end of its fills: each error might be the source's, and asking once more succeeds often
// enough.
TEST(Health, WhoFailsHalfStandsOutAmongItsPeersWhicheverEndItIs) {
  for (const ServerId failing : {ServerId{2}, ServerId{20}}) {
    Bed bed;
    int errors = 0;
    int late = 0;
    int refused = 0;
    int others = 0;
    for (std::uint64_t o = 1; o <= 400; ++o) {
      const auto id = bed.ask(o, 0, 50);
      bed.advance(50 * kMillisecond);
      for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
        const auto& to = bed.sends[id][k];
        const bool concerned = to.server == failing || to.fill->source == failing;
        const bool fails = concerned && errors++ % 2 == 0;
        late += concerned && o > 100;
        others += !concerned && o > 100;
        if (bed.end(id, fails ? AttemptResult::error : AttemptResult::ok, FillOutcome::none, k,
                    20 * kMillisecond);
            !fails) {
          break;
        }
      }
      refused += bed.answers[id];
    }
    EXPECT_LE(late, 45) << failing.value << ": of some 300 it gets trials only";
    EXPECT_GE(others, 280);
    EXPECT_LE(refused, 3);
  }
}

// Guards against a silent cache or parent holding its requests to their deadlines where no second
// copy may go.
TEST(Health, ASilentCacheIsProbedAndWhatItHoldsMovesOn) {
  Bed bed(probing_site());
  const auto id = bed.ask(1);
  const auto silent = bed.sends[id][0].server;
  bed.advance(550 * kMillisecond);  // 100 of them are its own sending time
  ASSERT_EQ(bed.probes[silent], 1);
  const auto actions = bed.tell(HealthCheckResult{silent, false, 250 * kMillisecond, {}});
  ASSERT_EQ(std::count_if(actions.begin(), actions.end(),
                          [](auto& a) { return std::holds_alternative<Cancel>(a); }),
            1);
  EXPECT_EQ(bed.sends[id].size(), 1u) << "the next leaves only after the first has ended";
  bed.end(id, AttemptResult::cancelled);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_NE(bed.sends[id][1].server, silent);
}

// Guards against taking lost connections, as spoilt answers cause them, for a sick cache: all of a
// point's caches would be out. The request they cost goes to the same cache once more.
TEST(Health, ALostConnectionIsAskedAboutAndPutsNoCacheOutByItself) {
  Bed bed(probing_site());
  ServerId home{};
  for (int i = 0; i < 6; ++i) {
    bed.advance(4 * kSecond);
    const auto id = bed.ask(1);
    ASSERT_EQ(bed.sends[id].size(), 1u);
    if (i > 0) {
      EXPECT_EQ(bed.sends[id][0].server, home);
    }
    home = bed.sends[id][0].server;
    bed.end(id, AttemptResult::reset);
    EXPECT_GE(bed.probes[home], i + 1);
    ASSERT_EQ(bed.sends[id].size(), 2u);
    EXPECT_EQ(bed.sends[id][1].server, home);
    bed.tell(HealthCheckResult{home, true, kMillisecond, {}});
    bed.end(id, AttemptResult::ok, FillOutcome::none, 1);
  }
  // Where it happens to one cache only, again and again, that one is out however well its probes
  // go.
  for (int i = 0; i < 40; ++i) {
    bed.advance(20 * kMillisecond);
    bed.serve(100 + static_cast<std::uint64_t>(i));
  }
  for (int i = 0; i < 20 && bed.sends[bed.ask(1)][0].server == home; ++i) {
    bed.advance(20 * kMillisecond);
    const RequestId id{bed.next - 1};
    bed.end(id, AttemptResult::reset);
    bed.tell(HealthCheckResult{home, true, kMillisecond, {}});
    if (bed.sends[id].size() > 1) bed.end(id, AttemptResult::ok, FillOutcome::none, 1);
  }
  EXPECT_NE(bed.sends[bed.ask(1)][0].server, home);
}

TEST(Health, ACacheThatResetsAndAnswersNoProbeIsOutAtOnce) {
  Bed bed(probing_site());
  const auto id = bed.ask(1);
  const auto home = bed.sends[id][0].server;
  bed.end(id, AttemptResult::reset);
  bed.tell(HealthCheckResult{home, false, 250 * kMillisecond, {}});
  EXPECT_NE(bed.sends[bed.ask(1)][0].server, home);
}

// A parent is looked at while a fill by it is late, and is out after four probes without a word.
Bed with_late_fill(ServerId& parent) {
  Bed bed(probing_site());
  const auto id = bed.ask(1);
  parent = bed.sends[id][0].fill->source;
  EXPECT_EQ(bed.probes[parent], 0);
  bed.advance(2 * kSecond);
  bed.end(id, AttemptResult::ok);
  return bed;
}

int fills_by(Bed& bed, ServerId parent, std::uint64_t from, std::uint64_t to) {
  int n = 0;
  for (std::uint64_t o = from; o < to; ++o) {
    const auto id = bed.ask(o);
    n += bed.sends[id].size() > 0 && bed.sends[id][0].fill->source == parent;
    if (bed.sends[id].size() > 0) bed.end(id, AttemptResult::ok);
  }
  return n;
}

TEST(Health, ASilentParentIsFoundByProbesAndIsNobodysSource) {
  ServerId parent;
  auto bed = with_late_fill(parent);
  ASSERT_EQ(bed.probes[parent], 1);
  EXPECT_GT(fills_by(bed, parent, 100, 140), 0);
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(bed.probes[parent], i + 1);
    bed.tell(HealthCheckResult{parent, false, 250 * kMillisecond, {}});
  }
  EXPECT_EQ(fills_by(bed, parent, 200, 240), 0);
}

// Guards against probes that grow with routers times parents: 13,000 on a day of 19,000 requests.
TEST(Fleet, ParentsAreNotLookedAtByTheClock) {
  auto s = probing_site();
  s.router_count = 100;
  int probes = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Bed bed(s, fleet(), seed);
    for (std::uint64_t o = 1; o <= 20; ++o) bed.serve(o), bed.advance(500 * kMillisecond);
    for (const std::uint64_t p : {20, 21}) probes += bed.probes[{p}];
  }
  EXPECT_EQ(probes, 0);
}

// Guards against a probe for each slow answer where a router has one request at a cache at a time;
// a cache that says nothing for longer than is usual is still found.
TEST(Fleet, CachesAreLookedAtAfterAnUnusualSilenceOnly) {
  auto s = probing_site();
  int probes = 0;
  int found = 0;
  const auto all = [](Bed& bed) {
    int n = 0;
    for (const auto& [id, count] : bed.probes) n += id.value <= 4 ? count : 0;
    return n;
  };
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Bed bed(s, fleet(), seed);
    for (std::uint64_t o = 1; o <= 40; ++o) {
      const auto id = bed.ask(o);
      bed.advance((350 + 10 * static_cast<Time>(o * seed % 20)) * kMillisecond);
      bed.end(id, AttemptResult::ok);
      for (std::uint64_t c = 1; c <= 4; ++c)
        bed.tell(HealthCheckResult{{c}, true, kMillisecond, {}});
    }
    const int usual = all(bed);
    probes += usual;
    bed.ask(1);
    bed.advance(1500 * kMillisecond);
    found += all(bed) > usual;
  }
  EXPECT_LE(probes, 400) << "4,000 requests; a look at 300 ms would be one for each";
  EXPECT_EQ(found, 100);
}

// Guards against a probe for every large answer: caches give theirs in one piece, and where a
// router has one request at a cache at a time nothing else tells that it lives.
TEST(Fleet, ACacheIsNotSilentWhileItsAnswersOwnSendingLasts) {
  Bed bed(probing_site());
  const auto id = bed.ask(1, 0, 3000);  // three seconds at the top pace
  const auto server = bed.sends[id].at(0).server;
  bed.advance(3200 * kMillisecond);
  EXPECT_EQ(bed.probes[server], 0);
  bed.advance(300 * kMillisecond);
  EXPECT_EQ(bed.probes[server], 1) << "then its silence counts as any";
}

// Guards against a parent with a full queue passing for lost at every router: it is spared for a
// while and, being the same process, takes its whole part again as soon as it says that it is well.
TEST(Fleet, AParentThatSaysItIsFullIsSparedAndNotHeldForCold) {
  ServerId parent;
  auto bed = with_late_fill(parent);
  const auto held = bed.ask(1);
  const auto actions =
      bed.tell(HealthCheckResult{parent, false, 250 * kMillisecond, {}, 20 * kSecond, true});
  EXPECT_TRUE(actions.empty()) << "what it has is not called off";
  bed.end(held, AttemptResult::ok);
  EXPECT_EQ(fills_by(bed, parent, 100, 140), 0);
  bed.advance(2100 * kMillisecond);
  ASSERT_GE(bed.probes[parent], 2);
  bed.tell(HealthCheckResult{parent, true, 50 * kMillisecond, {}, 22 * kSecond, true});
  EXPECT_GT(fills_by(bed, parent, 200, 300), 30);
}

TEST(Fleet, AWordByAConnectionFromBeforeProvesThatNothingRestarted) {
  for (const Time up : {Time{0}, kSecond, 30 * kSecond}) {
    ServerId parent;
    auto bed = with_late_fill(parent);
    for (int i = 0; i < 4; ++i) bed.tell(HealthCheckResult{parent, false, 250 * kMillisecond, {}});
    ASSERT_EQ(fills_by(bed, parent, 100, 140), 0);
    bed.advance(2 * kSecond);
    bed.tell(HealthCheckResult{parent, true, 2 * kSecond, {}, up, true, true});
    if (up > 10 * kSecond) {
      EXPECT_GT(fills_by(bed, parent, 200, 300), 30);
    } else {
      EXPECT_LT(fills_by(bed, parent, 200, 300), 20) << "it may be a new one: cold";
    }
  }
}

// Guards against holding requests on a point whose caches are all known to be out: probes find them
// again.
TEST(Health, WhereProbesWatchALostPointItsRequestsAreRefusedAtOnce) {
  Bed bed(probing_site());
  for (std::uint64_t o = 1; o <= 40; ++o) {
    const auto id = bed.ask(o);
    for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
      bed.end(id, AttemptResult::connect_failed, FillOutcome::none, k);
    }
  }
  const auto id = bed.ask(100);
  EXPECT_TRUE(bed.sends[id].empty());
  EXPECT_EQ(bed.answers[id], 1);
  bed.advance(2 * kSecond);
  for (std::uint64_t c = 1; c <= 4; ++c) bed.tell(HealthCheckResult{{c}, true, kMillisecond, {}});
  EXPECT_FALSE(bed.sends[bed.ask(101)].empty());
}

}  // namespace
