// Tests the rules that each Send must satisfy: retries, drains, bans and purges.
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

// A Send may wait for a connection, so the caller checks again immediately before it writes the
// request whether the Send is still allowed.
TEST(SendRulesTest, RefusesQueuedSendWhenDedupWindowIsOver) {
  RouterFixture fixture;
  const auto id = fixture.send_request(7, kKeyedClass);
  fixture.finish_attempt(id, AttemptResult::error);
  ASSERT_EQ(fixture.sends[id].size(), 2u);
  EXPECT_TRUE(fixture.router.may_send(fixture.now + 4900 * kMillisecond, id, {1}));
  EXPECT_FALSE(fixture.router.may_send(fixture.now + 5 * kSecond, id, {1}));
  EXPECT_FALSE(fixture.router.may_send(fixture.now, id, {2})) << "attempt 2 does not exist";
  EXPECT_FALSE(fixture.router.may_send(fixture.now, {12345}, {0}));
}

TEST(SendRulesTest, RefusesQueuedSendWithoutCountingFailureWhenServerOrSourceDrains) {
  RouterFixture fixture;
  const auto id = fixture.send_request(7);
  const Send first = fixture.sends[id].at(0);
  ASSERT_TRUE(first.fill && first.fill->source != first.server);
  EXPECT_TRUE(fixture.router.may_send(fixture.now, id, {0}));
  const auto source = make_upstream(first.fill->source.value, Role::parent);
  auto draining_source = source;
  draining_source.status = ServerStatus::draining;
  fixture.handle(EndpointUpdate{false, false, {draining_source}});
  EXPECT_FALSE(fixture.router.may_send(fixture.now, id, {0})) << "the fill source is draining";
  fixture.handle(EndpointUpdate{false, false, {source}});
  EXPECT_TRUE(fixture.router.may_send(fixture.now, id, {0}));
  fixture.handle(Ban{first.server, true});
  EXPECT_FALSE(fixture.router.may_send(fixture.now, id, {0}));
  fixture.handle(Ban{first.server, false});
  for (int i = 0; i < 20; ++i) {
    fixture.finish_attempt(fixture.send_request(7), AttemptResult::not_sent);
  }
  fixture.finish_attempt(id, AttemptResult::not_sent);
  EXPECT_EQ(fixture.sends[id].size(), 2u) << "the retry must not depend on the retry budget";
  for (const auto& status : fixture.router.endpoint_statuses(fixture.now)) {
    EXPECT_TRUE(status.is_usable) << status.server.id.value;
  }
}

TEST(SendRulesTest, StartsNoAttemptWhenCacheOrSourceDrains) {
  RouterFixture fixture;
  const auto in_flight = fixture.send_request(1);  // in flight when the drain begins
  const auto home = fixture.sends[in_flight][0].server.value;
  auto parent = make_upstream(20, Role::parent);
  parent.status = ServerStatus::draining;
  fixture.handle(EndpointUpdate{false, false, {make_cache(home, ServerStatus::draining), parent}});
  fixture.finish_attempt(in_flight, AttemptResult::error);
  for (std::uint64_t object = 1; object < 60; ++object) fixture.send_request(object);
  fixture.advance(2 * kSecond);  // long enough for hedged requests, if the router sent any
  for (auto& [id, sends] : fixture.sends) {
    for (std::size_t i = id == in_flight ? 1 : 0; i < sends.size(); ++i) {
      EXPECT_NE(sends[i].server.value, home);
      EXPECT_NE(sends[i].fill->source.value, 20u);
    }
  }
}

TEST(SendRulesTest, SendsNothingWhenEndpointListBecomesEmpty) {
  RouterFixture fixture;
  fixture.handle(EndpointUpdate{true, false, {}});
  const auto id = fixture.send_request(1);
  EXPECT_TRUE(fixture.sends[id].empty());
  EXPECT_EQ(fixture.final_responses[id], 1);
}

TEST(SendRulesTest, LimitsAgeAndForbidsJoinsUntilPurgeHasPropagated) {
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
      << "the purge must not limit the age of other objects";
  fixture.advance(30 * kSecond);
  EXPECT_TRUE(fixture.sends[fixture.send_request(9, kPartClass)].at(0).fill->may_join);
}

TEST(SendRulesTest, LimitsAgeWhenGroupIsPurgedAtTheSameTime) {
  RouterFixture fixture;
  fixture.handle(Purge{std::nullopt, {5}, 0});
  EXPECT_EQ(fixture.sends[fixture.send_request(33)].at(0).fill->max_age, 1);
}

// Guards against serving copies from before a purge of everything, into which a peer has merged
// older purges.
TEST(SendRulesTest, LimitsAgeOfAllObjectsUntilPurgeOfEverythingHasPropagated) {
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
  fixture.handle(Purge{std::nullopt, {}, 500 * kMillisecond, true});  // older than the others
  const auto fill = fixture.sends[fixture.send_request(9, kPartClass)].at(0).fill;
  EXPECT_LE(fill->max_age, 50 * kMillisecond) << "the latest purge must limit the age";
  fixture.advance(40 * kSecond);
  EXPECT_TRUE(fixture.sends[fixture.send_request(9, kPartClass)].at(0).fill->may_join);
}

TEST(SendRulesTest, AppliesPurgeToRetryOfEarlierRequest) {
  RouterFixture fixture;
  const auto id = fixture.send_request(9);
  fixture.handle(Purge{ObjectId{9}, {5}, 50 * kMillisecond});
  fixture.finish_attempt(id, AttemptResult::overloaded);
  ASSERT_EQ(fixture.sends[id].size(), 2u);
  EXPECT_GE(fixture.sends[id][1].fill->max_age, 1);
  EXPECT_FALSE(fixture.sends[id][1].fill->may_join);
}

// Guards against a ban that is lifted by an endpoint update, a new address or a restart, and
// against full load on the server as soon as the ban is lifted.
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
  fixture.advance(3 * kSecond);  // the router has removed the server from its table
  fixture.handle(EndpointUpdate{false, false, {make_cache(1, ServerStatus::ready, fixture.now)}});
  fixture.handle(Ban{{1}, true});  // a repeated ban has no effect
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
  const auto statuses = fixture.router.endpoint_statuses(fixture.now);
  EXPECT_LT(statuses[0].effective_weight, statuses[1].effective_weight)
      << "the server must return in slow start";
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

// Requests by links and tokens without a group were answered with copies from before a purge of
// their group (review/10): an unknown group counted as group 0.
TEST(SendRulesTest, LimitsAgeAfterPurgeOfAnyGroupWhenGroupIsUnknown) {
  for (const std::uint32_t purged_group : {0U, 17U}) {
    RouterFixture fixture;
    Request request{{1000}, {7}, {0}, {kPageClass}, 0, 100, 5 * kSecond};
    request.is_group_unknown = true;
    fixture.handle(Purge{std::nullopt, {purged_group}, kSecond});
    fixture.handle(Purge{ObjectId{8}, {}, 0});  // of another object
    fixture.advance(kSecond);
    fixture.handle(request);
    const auto& sends = fixture.sends[request.id];
    ASSERT_EQ(sends.size(), 1U);
    ASSERT_TRUE(sends[0].fill.has_value());
    EXPECT_GT(sends[0].fill->max_age, 0);
    EXPECT_LE(sends[0].fill->max_age, 2 * kSecond) << "group " << purged_group;
    EXPECT_FALSE(sends[0].fill->may_join);
  }
}

}  // namespace
