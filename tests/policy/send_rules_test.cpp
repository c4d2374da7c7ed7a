// The rules of every send: retries, drains, bans, purges.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(SendRulesTest, RetriesNonIdempotentRequestOnlyWhenItNeverRan) {
  RouterFixture fixture;
  auto id = fixture.send_request(1, kNonIdempotentClass);
  fixture.finish_attempt(id, AttemptResult::overloaded);
  EXPECT_EQ(fixture.sends[id].size(), 2u);
  const auto actions = fixture.finish_attempt(id, AttemptResult::reset, FillOutcome::none, 1);
  EXPECT_EQ(fixture.sends[id].size(), 2u);
  bool failed = false;
  for (auto& action : actions) {
    failed |= std::holds_alternative<Fail>(action);
    EXPECT_FALSE(std::holds_alternative<Reject>(action));
  }
  EXPECT_TRUE(failed);
}

TEST(SendRulesTest, RetriesInSameCellWhenRequestHasAnIdempotencyKey) {
  for (std::uint64_t object = 1; object < 30; ++object) {
    RouterFixture fixture;
    const auto id = fixture.send_request(object, kKeyedClass);
    fixture.finish_attempt(id, AttemptResult::reset);
    for (auto& send : fixture.sends[id]) {
      EXPECT_EQ(send.server.value % 2, fixture.sends[id][0].server.value % 2);
    }
    EXPECT_EQ(fixture.sends[id].size(), 2u);
  }
}

// Sends wait for connections, so each decision is checked again at the moment of writing.
TEST(SendRulesTest, RefusesQueuedSendWhenDedupWindowIsOver) {
  RouterFixture fixture;
  const auto id = fixture.send_request(7, kKeyedClass);
  fixture.finish_attempt(id, AttemptResult::error);
  ASSERT_EQ(fixture.sends[id].size(), 2u);
  EXPECT_TRUE(fixture.router.may_send(fixture.now + 4900 * kMillisecond, id, {1}));
  EXPECT_FALSE(fixture.router.may_send(fixture.now + 5 * kSecond, id, {1}));
  EXPECT_FALSE(fixture.router.may_send(fixture.now, id, {2})) << "there is no such attempt";
  EXPECT_FALSE(fixture.router.may_send(fixture.now, {12345}, {0}));
}

TEST(SendRulesTest, RefusesQueuedSendWithoutBlameWhenServerOrSourceDrains) {
  RouterFixture fixture;
  const auto id = fixture.send_request(7);
  const Send first = fixture.sends[id].at(0);
  ASSERT_TRUE(first.fill && first.fill->source != first.server);
  EXPECT_TRUE(fixture.router.may_send(fixture.now, id, {0}));
  const auto source = make_upstream(first.fill->source.value, Role::parent);
  auto draining_source = source;
  draining_source.status = ServerStatus::draining;
  fixture.handle(EndpointUpdate{false, false, {draining_source}});
  EXPECT_FALSE(fixture.router.may_send(fixture.now, id, {0})) << "its source drains";
  fixture.handle(EndpointUpdate{false, false, {source}});
  EXPECT_TRUE(fixture.router.may_send(fixture.now, id, {0}));
  fixture.handle(Ban{first.server, true});
  EXPECT_FALSE(fixture.router.may_send(fixture.now, id, {0}));
  fixture.handle(Ban{first.server, false});
  for (int i = 0; i < 20; ++i) {
    fixture.finish_attempt(fixture.send_request(7), AttemptResult::not_sent);
  }
  fixture.finish_attempt(id, AttemptResult::not_sent);
  EXPECT_EQ(fixture.sends[id].size(), 2u) << "it is retried outside the budget of retries";
  for (const auto& status : fixture.router.endpoint_statuses(fixture.now)) {
    EXPECT_TRUE(status.is_usable) << status.server.id.value;
  }
}

TEST(SendRulesTest, SendsNothingNewWhenCacheOrSourceDrains) {
  RouterFixture fixture;
  const auto in_flight = fixture.send_request(1);  // in flight while the drain arrives
  const auto home = fixture.sends[in_flight][0].server.value;
  auto parent = make_upstream(20, Role::parent);
  parent.status = ServerStatus::draining;
  fixture.handle(EndpointUpdate{false, false, {make_cache(home, ServerStatus::draining), parent}});
  fixture.finish_attempt(in_flight, AttemptResult::error);
  for (std::uint64_t object = 1; object < 60; ++object) fixture.send_request(object);
  fixture.advance(2 * kSecond);  // time for hedged requests, if there were any
  for (auto& [id, sends] : fixture.sends) {
    for (std::size_t i = id == in_flight ? 1 : 0; i < sends.size(); ++i) {
      EXPECT_NE(sends[i].server.value, home);
      EXPECT_NE(sends[i].fill->source.value, 20u);
    }
  }
}

TEST(SendRulesTest, SendsNothingWhenListIsEmptied) {
  RouterFixture fixture;
  fixture.handle(EndpointUpdate{true, false, {}});
  const auto id = fixture.send_request(1);
  EXPECT_TRUE(fixture.sends[id].empty());
  EXPECT_EQ(fixture.final_responses[id], 1);
}

TEST(SendRulesTest, LimitsAgeAndForbidsJoinsUntilPurgeHasSettled) {
  RouterFixture fixture;
  for (int i = 0; i < 3; ++i) fixture.send_request(9, kPageClass);
  fixture.handle(Purge{ObjectId{9}, {5}, 100 * kMillisecond});
  auto fill = fixture.sends[fixture.send_request(9, kPageClass)].at(0).fill;
  ASSERT_TRUE(fill);
  EXPECT_GE(fill->max_age, 1);
  EXPECT_LE(fill->max_age, 100 * kMillisecond);
  EXPECT_FALSE(fill->may_join);
  EXPECT_FALSE(fill->refresh_in_background);
  fixture.advance(2 * kSecond);
  fill = fixture.sends[fixture.send_request(9, kPartClass)].at(0).fill;
  EXPECT_GE(fill->max_age, kSecond);
  EXPECT_LE(fill->max_age, 2100 * kMillisecond);
  EXPECT_FALSE(fixture.sends[fixture.send_request(10, kPartClass)].at(0).fill->max_age)
      << "other objects may have any age";
  fixture.advance(30 * kSecond);
  EXPECT_TRUE(fixture.sends[fixture.send_request(9, kPartClass)].at(0).fill->may_join);
}

TEST(SendRulesTest, LimitsAgeWhenGroupIsPurgedAtThisMoment) {
  RouterFixture fixture;
  fixture.handle(Purge{std::nullopt, {5}, 0});
  EXPECT_EQ(fixture.sends[fixture.send_request(33)].at(0).fill->max_age, 1);
}

// Guards against copies from before a purge of everything: a peer has folded older purges into it.
TEST(SendRulesTest, LimitsAgeOfAllObjectsUntilPurgeOfEverythingHasSettled) {
  RouterFixture fixture;
  fixture.handle(Purge{std::nullopt, {}, 100 * kMillisecond, true});
  for (const std::uint64_t object : {9, 10}) {
    const auto fill = fixture.sends[fixture.send_request(object, kPageClass)].at(0).fill;
    ASSERT_TRUE(fill);
    EXPECT_GE(fill->max_age, 1);
    EXPECT_LE(fill->max_age, 100 * kMillisecond);
    EXPECT_FALSE(fill->may_join);
  }
  fixture.handle(Purge{ObjectId{9}, {5}, 50 * kMillisecond});
  fixture.handle(Purge{std::nullopt, {}, 500 * kMillisecond, true});  // an earlier one
  const auto fill = fixture.sends[fixture.send_request(9, kPartClass)].at(0).fill;
  EXPECT_LE(fill->max_age, 50 * kMillisecond) << "the latest purge counts";
  fixture.advance(40 * kSecond);
  EXPECT_TRUE(fixture.sends[fixture.send_request(9, kPartClass)].at(0).fill->may_join);
}

TEST(SendRulesTest, AppliesPurgeToRetryWhenRequestCameBeforeIt) {
  RouterFixture fixture;
  const auto id = fixture.send_request(9);
  fixture.handle(Purge{ObjectId{9}, {5}, 50 * kMillisecond});
  fixture.finish_attempt(id, AttemptResult::overloaded);
  ASSERT_EQ(fixture.sends[id].size(), 2u);
  EXPECT_GE(fixture.sends[id][1].fill->max_age, 1);
  EXPECT_FALSE(fixture.sends[id][1].fill->may_join);
}

// Guards against a ban that the next list, a new address or a restart lifts, and against full
// load at its end.
TEST(SendRulesTest, KeepsBanWhenListChangesAndEndsItInSlowStart) {
  RouterFixture fixture;
  fixture.handle(Ban{{1}, true});
  fixture.handle(Ban{{20}, true});
  const auto count_sends = [&](std::uint64_t server) {
    std::size_t total = 0;
    for (const auto& [id, list] : fixture.sends) {
      for (const auto& send : list) {
        total +=
            send.server == ServerId{server} || (send.fill && send.fill->source == ServerId{server});
      }
    }
    return total;
  };
  const auto send_requests = [&](std::uint64_t from) {
    for (std::uint64_t object = from; object < from + 60; ++object) {
      const auto id = fixture.send_request(object);
      fixture.handle(fixture.outcome(id, AttemptResult::ok, FillOutcome::hit));
      fixture.advance(20 * kMillisecond);
    }
  };
  send_requests(100);
  fixture.handle(EndpointUpdate{true, false, test_endpoints()});
  fixture.handle(EndpointUpdate{false, false, {make_cache(1, ServerStatus::gone)}});
  fixture.advance(3 * kSecond);  // the list has forgotten it
  fixture.handle(EndpointUpdate{false, false, {make_cache(1, ServerStatus::ready, fixture.now)}});
  fixture.handle(Ban{{1}, true});  // the call may come twice
  send_requests(200);
  EXPECT_EQ(count_sends(1) + count_sends(20), 0u);
  EXPECT_EQ(fixture.health_checks[ServerId{1}] + fixture.health_checks[ServerId{20}], 0);
  const auto unusable_count = [&] {
    return std::ranges::count_if(fixture.router.endpoint_statuses(fixture.now),
                                 [](auto& status) { return !status.is_usable; });
  };
  EXPECT_EQ(unusable_count(), 1);
  fixture.handle(Ban{{1}, false});
  fixture.handle(Ban{{20}, false});
  EXPECT_EQ(unusable_count(), 0);
  const auto all = fixture.router.endpoint_statuses(fixture.now);
  EXPECT_LT(all[0].effective_weight, all[1].effective_weight) << "it returns in slow start";
  for (int i = 0; i < 5; ++i) send_requests(300 + 100 * static_cast<std::uint64_t>(i));
  EXPECT_GT(count_sends(1), 0u);
  EXPECT_GT(count_sends(20), 0u);
}

TEST(SendRulesTest, RejectsWithRetryAfterWhenAllCachesAreBanned) {
  RouterFixture fixture;
  for (std::uint64_t id = 1; id <= 4; ++id) fixture.handle(Ban{{id}, true});
  std::vector<Action> actions;
  fixture.router.handle(fixture.now, Request{{999}, {1}, {5}, {0}, 0, 100, 5 * kSecond, false},
                        actions);
  const auto reject = std::ranges::find_if(
      actions, [](auto& action) { return std::holds_alternative<Reject>(action); });
  ASSERT_NE(reject, actions.end());
  EXPECT_GT(std::get<Reject>(*reject).retry_after, 0);
}

}  // namespace
