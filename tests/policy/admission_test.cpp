// Limits on work in flight, and the budget of retries.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(Budget, RetriesDryUpWhenEverythingFails) {
  Bed bed;
  std::size_t attempts = 0;
  for (int i = 0; i < 500; ++i) {
    const auto id = bed.ask(static_cast<std::uint64_t>(i));
    for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
      bed.end(id, AttemptResult::overloaded, FillOutcome::none, k);
    }
    attempts += bed.sends[id].size();
    EXPECT_EQ(bed.answers[id], 1);
  }
  EXPECT_LT(attempts, 500 * 1.5);
}

TEST(Admission, AnswersPastTheAimCloseTheDoorAndQuickOnesOpenItAgain) {
  Bed bed;
  const auto run = [&](Time takes) {
    int refused = 0;
    std::vector<RequestId> out;
    for (int i = 0; i < 300; ++i) {
      out.push_back(bed.ask(static_cast<std::uint64_t>(i % 40), 0, 400));
      refused += bed.answers[out.back()];
      if (out.size() < 30) continue;
      if (bed.answers[out.front()] == 0) {
        bed.end(out.front(), AttemptResult::ok, FillOutcome::hit, 0, takes);
      }
      out.erase(out.begin());
    }
    for (auto id : out) {
      if (bed.answers[id] == 0) bed.end(id, AttemptResult::ok, FillOutcome::hit);
    }
    return refused;
  };
  EXPECT_EQ(run(200 * kMillisecond), 0);
  EXPECT_GT(run(4 * kSecond), 30);
  for (int i = 0; i < 3; ++i) run(100 * kMillisecond);
  EXPECT_LT(run(100 * kMillisecond), 30);
}

// Guards against blaming caches for a dead source where answers carry no notes: every cache looked
// sick, the next one was asked to fill from the same source, and the door shut. Guards against a
// door that stays shut because fetches take their time however little is out: the caches behind it
// would never fill again.
TEST(Admission, WhatAnswersTakeAtTheLeastWorkKeepsNobodyOut) {
  Bed bed;
  std::multimap<Time, RequestId> due;
  int served = 0;
  for (std::uint64_t o = 1; o <= 2000; ++o) {
    bed.advance(10 * kMillisecond);
    while (!due.empty() && due.begin()->first <= bed.now) {
      bed.end(due.begin()->second, AttemptResult::ok, FillOutcome::none, 0, 310 * kMillisecond);
      due.erase(due.begin());
    }
    const auto id = bed.ask(o);  // 100 ms to send, wanted within 700: a third of the room is gone
    if (bed.sends[id].empty()) continue;
    due.emplace(bed.now + 310 * kMillisecond, id);
    served += o > 1000;
  }
  EXPECT_GE(served, 950);
}

// Guards against a door set by a few slow answers: of a location's sizes, which are told, each
// router knows its part, and what lies far below that is no crowd however slow some fills are.
TEST(Fleet, AFewSlowFillsDoNotShutTheDoorOfAnIdleLocation) {
  auto s = site();
  s.router_count = 100;
  s.router_count_by_location = {0, 0, 0, 8};
  int refused = 0;
  auto servers = fleet();
  for (int i = 0; i < 4; ++i) servers[static_cast<std::size_t>(i)].weight = 12;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Bed bed(s, servers, seed);
    for (std::uint64_t o = 1; o <= 200; ++o) {
      const auto id =
          bed.ask(o, 0, o % 10 == 0 ? 1200 : 200);  // of 48 transfers, 6 are this router's
      refused += bed.answers[id];
      bed.advance(120 * kMillisecond);
      if (o > 2 && bed.answers[RequestId{id.value - 2}] == 0) {
        bed.end(RequestId{id.value - 2}, AttemptResult::ok, FillOutcome::none, 0,
                o % 4 == 0 ? 2 * kSecond : 300 * kMillisecond);
      }
    }
  }
  EXPECT_LE(refused, 40) << "of 4,000";
}

// Guards against a hundred routers that all go on asking one origin for what a purge has made void
// everywhere: together they keep out no more than the origin bears, whatever each of them sees of
// it.
TEST(Fleet, WhatAPurgeMadeVoidIsFetchedByAllTogetherNoFasterThanTheOriginBears) {
  for (const std::uint32_t routers : {3u, 100u}) {
    auto s = site();
    s.router_count = routers;
    s.router_count_by_location = {0, 0, 0, std::max(1u, routers / 12)};
    int fetching = 0;
    int held_only = 0;
    for (std::uint32_t r = 0; r < routers; ++r) {
      Bed bed(s, fleet(), 100 + r);
      bed.tell(Purge{{}, {5}, 0});
      for (std::uint64_t o = 1; o <= 30; ++o) {
        bed.advance(120 * kMillisecond);
        const auto id = bed.ask(o, 0, 200);
        if (bed.answers[id] || bed.sends[id].empty()) continue;
        const bool held = bed.sends[id][0].fill->cached_only;
        bed.end(id, held ? AttemptResult::miss : AttemptResult::overloaded, FillOutcome::none, 0,
                60 * kMillisecond);
        if (held) {
          EXPECT_EQ(bed.sends[id].size(), 1u) << "nobody else holds it either";
        }
      }
      for (std::uint64_t o = 100; o < 140; ++o) {
        const auto id = bed.ask(o, 0, 200);
        if (bed.sends[id].empty()) continue;
        const bool held = bed.sends[id][0].fill->cached_only;
        ++(held ? held_only : fetching);
      }
    }
    EXPECT_LE(fetching * 0.2, 60) << "seconds of fetches out, of " << routers << " routers";
    EXPECT_GT(held_only, 0);
  }
}

// Guards against taking a request's own sending for a crowd: large objects alone closed the door.
TEST(Admission, LargeObjectsSentAtTopPaceDoNotCloseTheDoor) {
  Bed bed;
  int refused = 0;
  std::vector<RequestId> out;
  for (int i = 0; i < 3000; ++i) {
    out.push_back(bed.ask(static_cast<std::uint64_t>(i % 40), 0, 1500));
    refused += bed.answers[out.back()];
    if (out.size() < 12) continue;
    if (bed.answers[out.front()] == 0) {
      bed.end(out.front(), AttemptResult::ok, FillOutcome::none, 0, 1550 * kMillisecond);
    }
    out.erase(out.begin());
  }
  EXPECT_EQ(refused, 0);
}

// A location's routers each see a sliver; each alone under a floor for one router, all would never
// refuse together.
std::size_t admitted_together(std::uint32_t routers) {
  auto s = site();
  s.router_count = routers;
  s.router_count_by_location = {0, 0, 0, routers};
  std::size_t sent = 0;
  for (std::uint32_t i = 0; i < routers; ++i) {
    Bed bed(s, fleet(), 50 + i);
    for (std::uint64_t o = 1; o <= 120; ++o) {
      const auto id = bed.ask(o, 0, 400);
      bed.advance(100 * kMillisecond);
      if (bed.answers[id]) continue;
      bed.end(id, AttemptResult::ok, FillOutcome::hit, 0, 4 * kSecond);
    }
    for (std::uint64_t o = 1; o <= 30; ++o) sent += !bed.sends[bed.ask(o, 0, 400)].empty();
  }
  return sent;
}

TEST(Admission, ManyRoutersOfALocationRefuseTogetherAboutAsMuchAsOne) {
  EXPECT_GE(admitted_together(1), 3u);
  EXPECT_LE(admitted_together(12),
            12 * 2u);  // each keeps room for a request or two, not for a whole floor
}

TEST(Origin, FillsThatWaitForASlowOriginAreHeldBackButHitsAreNot) {
  Bed bed;
  bed.serve(1);
  std::vector<RequestId> waiting;
  bool held = false;
  for (std::uint64_t i = 0; i < 400 && !held; ++i) {
    const auto id = bed.ask(1000 + i, 0, 400);
    if (bed.answers[id]) continue;
    held = bed.sends[id][0].fill->cached_only;
    waiting.push_back(id);
    if (waiting.size() < 20) continue;
    // What was asked long ago comes at last, from the origin.
    AttemptOutcome o = bed.outcome(waiting.front(), AttemptResult::ok,
                                   FillOutcome::filled_by_origin, 0, 4 * kSecond);
    o.time_to_first_byte = 3800 * kMillisecond;
    bed.tell(o);
    waiting.erase(waiting.begin());
  }
  EXPECT_TRUE(held);
  const auto seen = bed.ask(1);  // asked before: likely held by its home
  ASSERT_FALSE(bed.sends[seen].empty());
  EXPECT_FALSE(bed.sends[seen][0].fill->cached_only);
}

// Guards against answers that never come closing the door to fills for good, where no note tells of
// those that do: every new object would be asked for in vain first.
TEST(Origin, WithoutNotesLostAnswersDoNotHoldBackFills) {
  Bed bed;
  for (std::uint64_t o = 1; o <= 300; ++o) {
    const auto id = bed.ask(o, 0, 50);
    bed.advance(50 * kMillisecond);
    if (bed.sends[id].empty()) continue;
    EXPECT_FALSE(bed.sends[id][0].fill->cached_only) << o;
    bed.end(id, o % 3 ? AttemptResult::ok : AttemptResult::timeout, FillOutcome::none, 0,
            o % 3 ? 50 * kMillisecond : 5 * kSecond);
  }
}

}  // namespace
