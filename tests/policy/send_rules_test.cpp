// The rules of every send: retries, drains, bans, purges.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(Effects, UnsafeIsSentAgainOnlyWhenItProvablyNeverRan) {
  Bed bed;
  auto id = bed.ask(1, 3);
  bed.end(id, AttemptResult::overloaded);
  EXPECT_EQ(bed.sends[id].size(), 2u);
  const auto actions = bed.end(id, AttemptResult::reset, FillOutcome::none, 1);
  EXPECT_EQ(bed.sends[id].size(), 2u);
  bool failed = false;
  for (auto& a : actions) {
    failed |= std::holds_alternative<Fail>(a);
    EXPECT_FALSE(std::holds_alternative<Reject>(a));
  }
  EXPECT_TRUE(failed);
}

TEST(Effects, KeyedStaysInItsCellAndWindow) {
  for (std::uint64_t o = 1; o < 30; ++o) {
    Bed bed;
    const auto id = bed.ask(o, 2);
    bed.end(id, AttemptResult::reset);
    for (auto& s : bed.sends[id]) EXPECT_EQ(s.server.value % 2, bed.sends[id][0].server.value % 2);
    EXPECT_EQ(bed.sends[id].size(), 2u);
  }
}

// Sends wait for connections: what was decided is judged again when it leaves.
TEST(Effects, WhatWaitedIsNotSentOnceItsWindowIsOver) {
  Bed bed;
  const auto id = bed.ask(7, 2);
  bed.end(id, AttemptResult::error);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_TRUE(bed.router.may_send(bed.now + 4900 * kMillisecond, id, {1}));
  EXPECT_FALSE(bed.router.may_send(bed.now + 5 * kSecond, id, {1}));
  EXPECT_FALSE(bed.router.may_send(bed.now, id, {2})) << "there is none";
  EXPECT_FALSE(bed.router.may_send(bed.now, {12345}, {0}));
}

TEST(Drains, WhatWaitedIsJudgedAgainAndMovesOnWithoutBlame) {
  Bed bed;
  const auto id = bed.ask(7);
  const Send first = bed.sends[id].at(0);
  ASSERT_TRUE(first.fill && first.fill->source != first.server);
  EXPECT_TRUE(bed.router.may_send(bed.now, id, {0}));
  const auto source = upstream(first.fill->source.value, Role::parent);
  auto drains = source;
  drains.status = ServerStatus::draining;
  bed.tell(EndpointUpdate{false, false, {drains}});
  EXPECT_FALSE(bed.router.may_send(bed.now, id, {0})) << "its source drains";
  bed.tell(EndpointUpdate{false, false, {source}});
  EXPECT_TRUE(bed.router.may_send(bed.now, id, {0}));
  bed.tell(Ban{first.server, true});
  EXPECT_FALSE(bed.router.may_send(bed.now, id, {0}));
  bed.tell(Ban{first.server, false});
  for (int i = 0; i < 20; ++i) bed.end(bed.ask(7), AttemptResult::not_sent);
  bed.end(id, AttemptResult::not_sent);
  EXPECT_EQ(bed.sends[id].size(), 2u) << "it goes on, out of no budget of retries";
  for (const auto& s : bed.router.endpoint_statuses(bed.now)) {
    EXPECT_TRUE(s.is_usable) << s.server.id.value;
  }
}

TEST(Drains, NothingNewGoesToADrainingCacheOrSource) {
  Bed bed;
  const auto out = bed.ask(1);  // an attempt is out while the drain arrives
  const auto home = bed.sends[out][0].server.value;
  auto parent = upstream(20, Role::parent);
  parent.status = ServerStatus::draining;
  bed.tell(EndpointUpdate{false, false, {cache(home, ServerStatus::draining), parent}});
  bed.end(out, AttemptResult::error);
  for (std::uint64_t o = 1; o < 60; ++o) bed.ask(o);
  bed.advance(2 * kSecond);  // second copies too
  for (auto& [id, sends] : bed.sends) {
    for (std::size_t i = id == out ? 1 : 0; i < sends.size(); ++i) {
      EXPECT_NE(sends[i].server.value, home);
      EXPECT_NE(sends[i].fill->source.value, 20u);
    }
  }
}

TEST(Drains, AnEmptiedListStopsAllSends) {
  Bed bed;
  bed.tell(EndpointUpdate{true, false, {}});
  const auto id = bed.ask(1);
  EXPECT_TRUE(bed.sends[id].empty());
  EXPECT_EQ(bed.answers[id], 1);
}

TEST(Purges, NoOlderCopyNoJoinNoRenewUntilSettled) {
  Bed bed;
  for (int i = 0; i < 3; ++i) bed.ask(9, 1);
  bed.tell(Purge{ObjectId{9}, {5}, 100 * kMillisecond});
  auto f = bed.sends[bed.ask(9, 1)].at(0).fill;
  ASSERT_TRUE(f);
  EXPECT_GE(f->max_age, 1);
  EXPECT_LE(f->max_age, 100 * kMillisecond);
  EXPECT_FALSE(f->may_join);
  EXPECT_FALSE(f->refresh_in_background);
  bed.advance(2 * kSecond);
  f = bed.sends[bed.ask(9, 0)].at(0).fill;
  EXPECT_GE(f->max_age, kSecond);
  EXPECT_LE(f->max_age, 2100 * kMillisecond);
  EXPECT_FALSE(bed.sends[bed.ask(10, 0)].at(0).fill->max_age) << "other objects keep any age";
  bed.advance(30 * kSecond);
  EXPECT_TRUE(bed.sends[bed.ask(9, 0)].at(0).fill->may_join);
}

TEST(Purges, OfAGroupAtThisVeryMomentStillAsksForAnAge) {
  Bed bed;
  bed.tell(Purge{std::nullopt, {5}, 0});
  EXPECT_EQ(bed.sends[bed.ask(33)].at(0).fill->max_age, 1);
}

TEST(Purges, HoldForRetriesOfWhatWasOutBefore) {
  Bed bed;
  const auto id = bed.ask(9);
  bed.tell(Purge{ObjectId{9}, {5}, 50 * kMillisecond});
  bed.end(id, AttemptResult::overloaded);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_GE(bed.sends[id][1].fill->max_age, 1);
  EXPECT_FALSE(bed.sends[id][1].fill->may_join);
}

// Guards against a ban that the next list, a new address or a restart takes back, and against a
// full welcome.
TEST(Bans, HoldWhateverTheListSaysAndEndColdWithTheCallBack) {
  Bed bed;
  bed.tell(Ban{{1}, true});
  bed.tell(Ban{{20}, true});
  const auto sent_to = [&](std::uint64_t server) {
    std::size_t n = 0;
    for (const auto& [id, list] : bed.sends) {
      for (const auto& s : list) {
        n += s.server == ServerId{server} || (s.fill && s.fill->source == ServerId{server});
      }
    }
    return n;
  };
  const auto ask_many = [&](std::uint64_t from) {
    for (std::uint64_t o = from; o < from + 60; ++o) {
      const auto id = bed.ask(o);
      bed.tell(bed.outcome(id, AttemptResult::ok, FillOutcome::hit));
      bed.advance(20 * kMillisecond);
    }
  };
  ask_many(100);
  bed.tell(EndpointUpdate{true, false, fleet()});
  bed.tell(EndpointUpdate{false, false, {cache(1, ServerStatus::gone)}});
  bed.advance(3 * kSecond);  // forgotten by the list
  bed.tell(EndpointUpdate{false, false, {cache(1, ServerStatus::ready, bed.now)}});
  bed.tell(Ban{{1}, true});  // the call may come twice
  ask_many(200);
  EXPECT_EQ(sent_to(1) + sent_to(20), 0u);
  EXPECT_EQ(bed.probes[ServerId{1}] + bed.probes[ServerId{20}], 0);
  const auto down = [&] {
    return std::ranges::count_if(bed.router.endpoint_statuses(bed.now),
                                 [](auto& s) { return !s.is_usable; });
  };
  EXPECT_EQ(down(), 1);
  bed.tell(Ban{{1}, false});
  bed.tell(Ban{{20}, false});
  EXPECT_EQ(down(), 0);
  const auto all = bed.router.endpoint_statuses(bed.now);
  EXPECT_LT(all[0].effective_weight, all[1].effective_weight) << "it comes back cold";
  for (int i = 0; i < 5; ++i) ask_many(300 + 100 * static_cast<std::uint64_t>(i));
  EXPECT_GT(sent_to(1), 0u);
  EXPECT_GT(sent_to(20), 0u);
}

TEST(Bans, WithAllCachesOutRequestsAreRefusedAtOnceWithATimeToComeBack) {
  Bed bed;
  for (std::uint64_t id = 1; id <= 4; ++id) bed.tell(Ban{{id}, true});
  std::vector<Action> actions;
  bed.router.handle(bed.now, Request{{999}, {1}, {5}, {0}, 0, 100, 5 * kSecond, false}, actions);
  const auto refusal =
      std::ranges::find_if(actions, [](auto& a) { return std::holds_alternative<Reject>(a); });
  ASSERT_NE(refusal, actions.end());
  EXPECT_GT(std::get<Reject>(*refusal).retry_after, 0);
}

}  // namespace
