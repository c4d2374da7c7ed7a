// Tests when a server is ejected, checked, tested and used again.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(HealthTest, EjectsCacheWhenItFailsFast) {
  RouterFixture fixture;
  std::map<std::uint64_t, int> sent;
  for (int i = 0; i < 400; ++i) {
    const auto id = fixture.send_request(static_cast<std::uint64_t>(i));
    for (std::uint32_t k = 0; k < fixture.sends[id].size(); ++k) {
      ++sent[fixture.sends[id][k].server.value];
      fixture.finish_attempt(
          id, fixture.sends[id][k].server.value == 2 ? AttemptResult::error : AttemptResult::ok,
          FillOutcome::hit, k);
    }
    fixture.advance(10 * kMillisecond);
  }
  EXPECT_LT(sent[2], 20);
}

TEST(HealthTest, RetriesOnSameCacheWhenItsSourceIsUnreachable) {
  RouterFixture fixture;
  const auto id = fixture.send_request(1);
  const auto first = fixture.sends[id][0];
  fixture.finish_attempt(id, AttemptResult::miss, FillOutcome::source_unreachable);
  ASSERT_EQ(fixture.sends[id].size(), 2u);
  EXPECT_EQ(fixture.sends[id][1].server, first.server);
  EXPECT_NE(fixture.sends[id][1].fill->source, first.fill->source);
}

TEST(HealthTest, CountsRefusedFillAgainstSourceWhateverTheResult) {
  for (const auto result : {AttemptResult::overloaded, AttemptResult::error, AttemptResult::miss}) {
    RouterFixture fixture;
    std::uint64_t home = 0;
    for (int i = 0; i < 6; ++i) {
      const auto id = fixture.send_request(1);
      ASSERT_FALSE(fixture.sends[id].empty());
      if (home == 0) home = fixture.sends[id][0].server.value;
      EXPECT_EQ(fixture.sends[id][0].server.value, home) << "the cache must stay in use";
      for (std::uint32_t k = 0; k < fixture.sends[id].size(); ++k) {
        fixture.finish_attempt(id, result, FillOutcome::source_refused, k);
      }
      EXPECT_EQ(fixture.final_responses[id], 1);
    }
    EXPECT_NE(fixture.sends[fixture.send_request(1)][0].fill->source,
              fixture.sends[RequestId{1}][0].fill->source);
  }
}

TEST(HealthTest, ChecksHealthBeforeProbationWhenChecksAreAllowed) {
  RouterFixture fixture(test_settings_with_health_checks());
  std::uint64_t object = 1;
  while (fixture.serve_request(object) != 1) ++object;
  for (int i = 0; i < 2; ++i) {
    fixture.finish_attempt(fixture.send_request(object), AttemptResult::connect_failed);
  }
  fixture.advance(5 * kSecond);
  EXPECT_NE(fixture.sends[fixture.send_request(object)][0].server.value, 1u);
  fixture.handle(HealthCheckResult{{1}, true, kMillisecond, {}});
  fixture.advance(2 * kSecond);
  EXPECT_EQ(fixture.sends[fixture.send_request(object)][0].server.value, 1u);
}

TEST(HealthTest, EjectsParentAtOnceWhenUnreachableAndReturnsItInSlowStart) {
  auto settings = test_settings();
  settings.router_count = 300;
  settings.router_count_by_location = {0, 0, 0, 12};
  RouterFixture fixture(settings);
  const auto first = fixture.send_request(1);
  const auto lost_parent = fixture.sends[first].at(0).fill->source;
  fixture.finish_attempt(first, AttemptResult::overloaded, FillOutcome::source_unreachable);
  fixture.finish_attempt(first, AttemptResult::ok, FillOutcome::filled, 1);
  int fills_from_parent = 0;
  for (std::uint64_t object = 10; object < 410; ++object) {
    const auto id = fixture.send_request(object);
    ASSERT_FALSE(fixture.sends[id].empty());
    fills_from_parent += fixture.sends[id][0].fill->source == lost_parent;
    fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::filled);
    fixture.advance(10 * kMillisecond);
  }
  EXPECT_LE(fills_from_parent, 1)
      << "together, 300 routers may test the parent only within its slow start quota";
}

TEST(HealthTest, DetectsFailedSourceByRetryWhenFillsAreNotReported) {
  RouterFixture fixture;
  int late_requests_to_failed = 0;
  int rejected = 0;
  for (std::uint64_t object = 1; object <= 60; ++object) {
    const auto id = fixture.send_request(object, kPartClass, 400);
    fixture.advance(100 * kMillisecond);
    if (fixture.sends[id].empty()) continue;
    const bool has_failed_source = fixture.sends[id][0].fill->source == ServerId{20};
    late_requests_to_failed += has_failed_source && object > 30;
    fixture.finish_attempt(id, has_failed_source ? AttemptResult::overloaded : AttemptResult::ok,
                           FillOutcome::none, 0, 50 * kMillisecond);
    if (has_failed_source && fixture.sends[id].size() > 1) {
      EXPECT_EQ(fixture.sends[id][1].server, fixture.sends[id][0].server);
      EXPECT_NE(fixture.sends[id][1].fill->source, ServerId{20});
      fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::none, 1);
    }
    rejected += fixture.final_responses[id];
  }
  EXPECT_EQ(rejected, 0);
  EXPECT_LE(late_requests_to_failed, 6);
}

// Guards against not ejecting a cache or parent that fails half of its requests. Each error might
// have been caused by the server at the other end of the fill, and retries succeed often enough to
// reset the failure counts.
TEST(HealthTest, EjectsCacheOrParentWhenItFailsHalfOfItsRequests) {
  for (const ServerId failing : {ServerId{2}, ServerId{20}}) {
    RouterFixture fixture;
    int errors = 0;
    int requests_to_failing = 0;
    int rejected = 0;
    int requests_to_others = 0;
    for (std::uint64_t object = 1; object <= 400; ++object) {
      const auto id = fixture.send_request(object, kPartClass, 50);
      fixture.advance(50 * kMillisecond);
      for (std::uint32_t k = 0; k < fixture.sends[id].size(); ++k) {
        const auto& send = fixture.sends[id][k];
        const bool involves_failing = send.server == failing || send.fill->source == failing;
        const bool fails = involves_failing && errors++ % 2 == 0;
        requests_to_failing += involves_failing && object > 100;
        requests_to_others += !involves_failing && object > 100;
        fixture.finish_attempt(id, fails ? AttemptResult::error : AttemptResult::ok,
                               FillOutcome::none, k, 20 * kMillisecond);
        if (!fails) break;
      }
      rejected += fixture.final_responses[id];
    }
    EXPECT_LE(requests_to_failing, 45)
        << "server " << failing.value
        << " must get only the test attempts of its probation, of about 300 requests";
    EXPECT_GE(requests_to_others, 280);
    EXPECT_LE(rejected, 3);
  }
}

// Guards against an unresponsive cache or parent that delays its requests until their deadlines.
// The router sends no hedged requests, so only a health check can end the wait earlier.
TEST(HealthTest, ChecksUnresponsiveCacheAndRetriesElsewhereWhenCheckFails) {
  RouterFixture fixture(test_settings_with_health_checks());
  const auto id = fixture.send_request(1);
  const auto unresponsive = fixture.sends[id][0].server;
  fixture.advance(550 * kMillisecond);  // includes 100 ms of transfer time
  ASSERT_EQ(fixture.health_checks[unresponsive], 1);
  const auto actions =
      fixture.handle(HealthCheckResult{unresponsive, false, 250 * kMillisecond, {}});
  ASSERT_EQ(std::count_if(actions.begin(), actions.end(),
                          [](auto& action) { return std::holds_alternative<Cancel>(action); }),
            1);
  EXPECT_EQ(fixture.sends[id].size(), 1u)
      << "the second attempt must not be sent before the first has ended";
  fixture.finish_attempt(id, AttemptResult::cancelled);
  ASSERT_EQ(fixture.sends[id].size(), 2u);
  EXPECT_NE(fixture.sends[id][1].server, unresponsive);
}

// Guards against ejecting all caches of a location because of connection resets, which corrupted
// responses cause. The request is retried at the same cache.
TEST(HealthTest, EjectsCacheAfterResetsOnlyWhenTheyRecur) {
  RouterFixture fixture(test_settings_with_health_checks());
  ServerId home{};
  for (int i = 0; i < 6; ++i) {
    fixture.advance(4 * kSecond);
    const auto id = fixture.send_request(1);
    ASSERT_EQ(fixture.sends[id].size(), 1u);
    if (i > 0) {
      EXPECT_EQ(fixture.sends[id][0].server, home);
    }
    home = fixture.sends[id][0].server;
    fixture.finish_attempt(id, AttemptResult::reset);
    EXPECT_GE(fixture.health_checks[home], i + 1);
    ASSERT_EQ(fixture.sends[id].size(), 2u);
    EXPECT_EQ(fixture.sends[id][1].server, home);
    fixture.handle(HealthCheckResult{home, true, kMillisecond, {}});
    fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::none, 1);
  }
  // If the resets recur at one cache only, that cache is ejected although its health checks
  // succeed.
  for (int i = 0; i < 40; ++i) {
    fixture.advance(20 * kMillisecond);
    fixture.serve_request(100 + static_cast<std::uint64_t>(i));
  }
  for (int i = 0; i < 20 && fixture.sends[fixture.send_request(1)][0].server == home; ++i) {
    fixture.advance(20 * kMillisecond);
    const RequestId id{fixture.next_request_id - 1};
    fixture.finish_attempt(id, AttemptResult::reset);
    fixture.handle(HealthCheckResult{home, true, kMillisecond, {}});
    if (fixture.sends[id].size() > 1) {
      fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::none, 1);
    }
  }
  EXPECT_NE(fixture.sends[fixture.send_request(1)][0].server, home);
}

TEST(HealthTest, EjectsCacheAtOnceWhenHealthCheckFailsAfterReset) {
  RouterFixture fixture(test_settings_with_health_checks());
  const auto id = fixture.send_request(1);
  const auto home = fixture.sends[id][0].server;
  fixture.finish_attempt(id, AttemptResult::reset);
  fixture.handle(HealthCheckResult{home, false, 250 * kMillisecond, {}});
  EXPECT_NE(fixture.sends[fixture.send_request(1)][0].server, home);
}

// Returns a router that has sent a health check to a parent because a fill from it is overdue. Sets
// `parent` to that parent.
RouterFixture router_with_overdue_fill(ServerId& parent) {
  RouterFixture fixture(test_settings_with_health_checks());
  const auto id = fixture.send_request(1);
  parent = fixture.sends[id][0].fill->source;
  EXPECT_EQ(fixture.health_checks[parent], 0);
  fixture.advance(2 * kSecond);
  fixture.finish_attempt(id, AttemptResult::ok);
  return fixture;
}

// Requests the objects from `from` to `to` (exclusive). Returns how many of the requests were to be
// filled from `parent`.
int fills_from(RouterFixture& fixture, ServerId parent, std::uint64_t from, std::uint64_t to) {
  int total = 0;
  for (std::uint64_t object = from; object < to; ++object) {
    const auto id = fixture.send_request(object);
    total += !fixture.sends[id].empty() && fixture.sends[id][0].fill->source == parent;
    if (!fixture.sends[id].empty()) fixture.finish_attempt(id, AttemptResult::ok);
  }
  return total;
}

TEST(HealthTest, EjectsParentWhenFourHealthChecksFail) {
  ServerId parent;
  auto fixture = router_with_overdue_fill(parent);
  ASSERT_EQ(fixture.health_checks[parent], 1);
  EXPECT_GT(fills_from(fixture, parent, 100, 140), 0);
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(fixture.health_checks[parent], i + 1);
    fixture.handle(HealthCheckResult{parent, false, 250 * kMillisecond, {}});
  }
  EXPECT_EQ(fills_from(fixture, parent, 200, 240), 0);
}

// Guards against a number of health checks that grows with the number of routers times the number
// of parents.
TEST(HealthTest, SendsNoChecksToParentsWhenNoFillIsLate) {
  auto settings = test_settings_with_health_checks();
  settings.router_count = 100;
  int health_checks = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RouterFixture fixture(settings, test_endpoints(), seed);
    for (std::uint64_t object = 1; object <= 20; ++object) {
      fixture.serve_request(object);
      fixture.advance(500 * kMillisecond);
    }
    for (const std::uint64_t parent : {20, 21}) health_checks += fixture.health_checks[{parent}];
  }
  EXPECT_EQ(health_checks, 0);
}

// Guards against a health check for each slow response if a router has only one request at a time
// at a cache. A cache that does not respond for longer than usual must still be detected.
TEST(HealthTest, ChecksCacheOnlyWhenItsResponseIntervalIsUnusual) {
  auto settings = test_settings_with_health_checks();
  int health_checks = 0;
  int detected = 0;
  const auto checks_of_caches = [](RouterFixture& fixture) {
    int total = 0;
    for (const auto& [id, count] : fixture.health_checks) total += id.value <= 4 ? count : 0;
    return total;
  };
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RouterFixture fixture(settings, test_endpoints(), seed);
    for (std::uint64_t object = 1; object <= 40; ++object) {
      const auto id = fixture.send_request(object);
      fixture.advance((350 + 10 * static_cast<Time>(object * seed % 20)) * kMillisecond);
      fixture.finish_attempt(id, AttemptResult::ok);
      for (std::uint64_t cache_id = 1; cache_id <= 4; ++cache_id) {
        fixture.handle(HealthCheckResult{{cache_id}, true, kMillisecond, {}});
      }
    }
    const int usual_checks = checks_of_caches(fixture);
    health_checks += usual_checks;
    fixture.send_request(1);
    fixture.advance(1500 * kMillisecond);
    detected += checks_of_caches(fixture) > usual_checks;
  }
  EXPECT_LE(health_checks, 400)
      << "for 4,000 requests; a check 300 ms after each request would be 4,000 checks";
  EXPECT_EQ(detected, 100);
}

// Guards against a health check for every large response. A cache sends a response in one piece, so
// if a router has only one request at a time at a cache, nothing else shows that the cache is
// alive.
TEST(HealthTest, SendsNoCheckWhileLargeResponseIsBeingSent) {
  RouterFixture fixture(test_settings_with_health_checks());
  const auto id = fixture.send_request(1, kPartClass, 3000);  // three seconds at full rate
  const auto server = fixture.sends[id].at(0).server;
  fixture.advance(3200 * kMillisecond);
  EXPECT_EQ(fixture.health_checks[server], 0);
  fixture.advance(300 * kMillisecond);
  EXPECT_EQ(fixture.health_checks[server], 1)
      << "the response is overdue once its transfer time has passed";
}

// Guards against treating a parent with a full queue as failed. The parent gets no fills for a
// while. As its process has not restarted, it gets its full share again as soon as it reports that
// it is healthy.
TEST(HealthTest, KeepsAttemptsOfOverloadedParentAndReturnsItWithoutSlowStart) {
  ServerId parent;
  auto fixture = router_with_overdue_fill(parent);
  const auto in_flight = fixture.send_request(1);
  const auto actions =
      fixture.handle(HealthCheckResult{parent, false, 250 * kMillisecond, {}, 20 * kSecond, true});
  EXPECT_TRUE(actions.empty()) << "the attempts that wait for the parent must not be cancelled";
  fixture.finish_attempt(in_flight, AttemptResult::ok);
  EXPECT_EQ(fills_from(fixture, parent, 100, 140), 0);
  fixture.advance(2100 * kMillisecond);
  ASSERT_GE(fixture.health_checks[parent], 2);
  fixture.handle(HealthCheckResult{parent, true, 50 * kMillisecond, {}, 22 * kSecond, true});
  EXPECT_GT(fills_from(fixture, parent, 200, 300), 30);
}

TEST(HealthTest, ReturnsParentWithoutSlowStartWhenItHasNotRestarted) {
  for (const Time process_age : {Time{0}, kSecond, 30 * kSecond}) {
    ServerId parent;
    auto fixture = router_with_overdue_fill(parent);
    for (int i = 0; i < 4; ++i) {
      fixture.handle(HealthCheckResult{parent, false, 250 * kMillisecond, {}});
    }
    ASSERT_EQ(fills_from(fixture, parent, 100, 140), 0);
    fixture.advance(2 * kSecond);
    fixture.handle(HealthCheckResult{parent, true, 2 * kSecond, {}, process_age, true, true});
    if (process_age > 10 * kSecond) {
      EXPECT_GT(fills_from(fixture, parent, 200, 300), 30);
    } else {
      EXPECT_LT(fills_from(fixture, parent, 200, 300), 20)
          << "the parent may have restarted, so it must return in slow start";
    }
  }
}

// Guards against holding requests while all caches of the location are ejected. Health checks
// detect when the caches have recovered.
TEST(HealthTest, RejectsAtOnceWhenAllCachesAreEjected) {
  RouterFixture fixture(test_settings_with_health_checks());
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const auto id = fixture.send_request(object);
    for (std::uint32_t k = 0; k < fixture.sends[id].size(); ++k) {
      fixture.finish_attempt(id, AttemptResult::connect_failed, FillOutcome::none, k);
    }
  }
  const auto id = fixture.send_request(100);
  EXPECT_TRUE(fixture.sends[id].empty());
  EXPECT_EQ(fixture.final_responses[id], 1);
  fixture.advance(2 * kSecond);
  for (std::uint64_t cache_id = 1; cache_id <= 4; ++cache_id) {
    fixture.handle(HealthCheckResult{{cache_id}, true, kMillisecond, {}});
  }
  EXPECT_FALSE(fixture.sends[fixture.send_request(101)].empty());
}

}  // namespace
