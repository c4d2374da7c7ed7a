// Tests the limits on work in flight and the retry budget.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(AdmissionTest, LimitsRetriesWhenEverythingFails) {
  RouterFixture fixture;
  std::size_t attempts = 0;
  for (int i = 0; i < 500; ++i) {
    const auto id = fixture.send_request(static_cast<std::uint64_t>(i));
    for (std::uint32_t k = 0; k < fixture.sends[id].size(); ++k) {
      fixture.finish_attempt(id, AttemptResult::overloaded, FillOutcome::none, k);
    }
    attempts += fixture.sends[id].size();
    EXPECT_EQ(fixture.final_responses[id], 1);
  }
  EXPECT_LT(attempts, 500 * 1.5);
}

TEST(AdmissionTest, RejectsWhileResponsesMissTheObjectiveAndRecovers) {
  RouterFixture fixture;
  const auto run_requests = [&](Time response_time) {
    int rejected = 0;
    std::vector<RequestId> in_flight;
    for (int i = 0; i < 300; ++i) {
      in_flight.push_back(fixture.send_request(static_cast<std::uint64_t>(i % 40), 0, 400));
      rejected += fixture.final_responses[in_flight.back()];
      if (in_flight.size() < 30) continue;
      if (fixture.final_responses[in_flight.front()] == 0) {
        fixture.finish_attempt(in_flight.front(), AttemptResult::ok, FillOutcome::hit, 0,
                               response_time);
      }
      in_flight.erase(in_flight.begin());
    }
    for (auto id : in_flight) {
      if (fixture.final_responses[id] == 0) {
        fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::hit);
      }
    }
    return rejected;
  };
  EXPECT_EQ(run_requests(200 * kMillisecond), 0);
  EXPECT_GT(run_requests(4 * kSecond), 30);
  for (int i = 0; i < 3; ++i) run_requests(100 * kMillisecond);
  EXPECT_LT(run_requests(100 * kMillisecond), 30);
}

// Guards against rejecting all requests because fills take long even at low load. The caches would
// then never be filled.
TEST(AdmissionTest, AdmitsRequestsWhenFillsAreSlowAtLowLoad) {
  RouterFixture fixture;
  std::multimap<Time, RequestId> due;
  int served = 0;
  for (std::uint64_t object = 1; object <= 2000; ++object) {
    fixture.advance(10 * kMillisecond);
    while (!due.empty() && due.begin()->first <= fixture.now) {
      fixture.finish_attempt(due.begin()->second, AttemptResult::ok, FillOutcome::none, 0,
                             310 * kMillisecond);
      due.erase(due.begin());
    }
    // The response takes 100 ms to send and has an objective of 700 ms. A response time of 310 ms
    // leaves two thirds of the remaining 600 ms unused.
    const auto id = fixture.send_request(object);
    if (fixture.sends[id].empty()) continue;
    due.emplace(fixture.now + 310 * kMillisecond, id);
    served += object > 1000;
  }
  EXPECT_GE(served, 950);
}

// Guards against a concurrency limit that a few slow responses lower too far. Each router has a
// share of the capacity of its location, and a load far below that share is not an overload.
TEST(AdmissionTest, AdmitsRequestsWhenFewFillsAreSlowInAnIdleLocation) {
  auto settings = test_settings();
  settings.router_count = 100;
  settings.router_count_by_location = {0, 0, 0, 8};
  int rejected = 0;
  auto servers = test_endpoints();
  for (int i = 0; i < 4; ++i) servers[static_cast<std::size_t>(i)].weight = 12;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RouterFixture fixture(settings, servers, seed);
    for (std::uint64_t object = 1; object <= 200; ++object) {
      // The location can send 48 transfers at a time, and this router's share is 6 of them.
      const auto id = fixture.send_request(object, kPartClass, object % 10 == 0 ? 1200 : 200);
      rejected += fixture.final_responses[id];
      fixture.advance(120 * kMillisecond);
      if (object > 2 && fixture.final_responses[RequestId{id.value - 2}] == 0) {
        fixture.finish_attempt(RequestId{id.value - 2}, AttemptResult::ok, FillOutcome::none, 0,
                               object % 4 == 0 ? 2 * kSecond : 300 * kMillisecond);
      }
    }
  }
  EXPECT_LE(rejected, 40) << "of 4,000";
}

// Guards against overloading the origin after a purge of everything. All routers together must not
// fetch more than the origin can serve, although each of them observes only a part of the fetches.
TEST(AdmissionTest, LimitsFetchesOfAllRoutersWhenEverythingWasPurged) {
  for (const std::uint32_t routers : {3u, 100u}) {
    auto settings = test_settings();
    settings.router_count = routers;
    settings.router_count_by_location = {0, 0, 0, std::max(1u, routers / 12)};
    int fetch_count = 0;
    int cached_only_count = 0;
    for (std::uint32_t router = 0; router < routers; ++router) {
      RouterFixture fixture(settings, test_endpoints(), 100 + router);
      fixture.handle(Purge{{}, {5}, 0});
      for (std::uint64_t object = 1; object <= 30; ++object) {
        fixture.advance(120 * kMillisecond);
        const auto id = fixture.send_request(object, kPartClass, 200);
        if (fixture.final_responses[id] || fixture.sends[id].empty()) continue;
        const bool is_cached_only = fixture.sends[id][0].fill->cached_only;
        fixture.finish_attempt(id, is_cached_only ? AttemptResult::miss : AttemptResult::overloaded,
                               FillOutcome::none, 0, 60 * kMillisecond);
        if (is_cached_only) {
          EXPECT_EQ(fixture.sends[id].size(), 1u)
              << "a retry would be useless, because no other cache has a copy either";
        }
      }
      for (std::uint64_t object = 100; object < 140; ++object) {
        const auto id = fixture.send_request(object, kPartClass, 200);
        if (fixture.sends[id].empty()) continue;
        const bool is_cached_only = fixture.sends[id][0].fill->cached_only;
        ++(is_cached_only ? cached_only_count : fetch_count);
      }
    }
    EXPECT_LE(fetch_count * 0.2, 60)
        << "transfer time of the fetches in flight in seconds, with " << routers << " routers";
    EXPECT_GT(cached_only_count, 0);
  }
}

// Guards against treating the transfer time of large objects as overload.
TEST(AdmissionTest, AdmitsLargeObjectsWhenTheyAreSentAtFullRate) {
  RouterFixture fixture;
  int rejected = 0;
  std::vector<RequestId> in_flight;
  for (int i = 0; i < 3000; ++i) {
    in_flight.push_back(fixture.send_request(static_cast<std::uint64_t>(i % 40), 0, 1500));
    rejected += fixture.final_responses[in_flight.back()];
    if (in_flight.size() < 12) continue;
    if (fixture.final_responses[in_flight.front()] == 0) {
      fixture.finish_attempt(in_flight.front(), AttemptResult::ok, FillOutcome::none, 0,
                             1550 * kMillisecond);
    }
    in_flight.erase(in_flight.begin());
  }
  EXPECT_EQ(rejected, 0);
}

// Returns the number of requests that all routers of a location together send after a period of
// slow responses. Guards against a lower bound of the concurrency limit that is meant for one
// router: if each of many routers applied it, they would admit too much together.
std::size_t count_sends_of_all_routers(std::uint32_t routers) {
  auto settings = test_settings();
  settings.router_count = routers;
  settings.router_count_by_location = {0, 0, 0, routers};
  std::size_t sent = 0;
  for (std::uint32_t i = 0; i < routers; ++i) {
    RouterFixture fixture(settings, test_endpoints(), 50 + i);
    for (std::uint64_t object = 1; object <= 120; ++object) {
      const auto id = fixture.send_request(object, kPartClass, 400);
      fixture.advance(100 * kMillisecond);
      if (fixture.final_responses[id]) continue;
      fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::hit, 0, 4 * kSecond);
    }
    for (std::uint64_t object = 1; object <= 30; ++object) {
      sent += !fixture.sends[fixture.send_request(object, kPartClass, 400)].empty();
    }
  }
  return sent;
}

TEST(AdmissionTest, AdmitsAboutAsMuchAsOneRouterWhenLocationHasMany) {
  EXPECT_GE(count_sends_of_all_routers(1), 3u);
  // Each router keeps capacity for one or two requests, not for the lower bound of a single router.
  EXPECT_LE(count_sends_of_all_routers(12), 12 * 2u);
}

TEST(AdmissionTest, LimitsFillsButNotHitsWhenOriginIsSlow) {
  RouterFixture fixture;
  fixture.serve_request(1);
  std::vector<RequestId> waiting;
  bool is_cached_only = false;
  for (std::uint64_t i = 0; i < 400 && !is_cached_only; ++i) {
    const auto id = fixture.send_request(1000 + i, kPartClass, 400);
    if (fixture.final_responses[id]) continue;
    is_cached_only = fixture.sends[id][0].fill->cached_only;
    waiting.push_back(id);
    if (waiting.size() < 20) continue;
    // The origin responds long after the request.
    AttemptOutcome outcome = fixture.outcome(waiting.front(), AttemptResult::ok,
                                             FillOutcome::filled_by_origin, 0, 4 * kSecond);
    outcome.time_to_first_byte = 3800 * kMillisecond;
    fixture.handle(outcome);
    waiting.erase(waiting.begin());
  }
  EXPECT_TRUE(is_cached_only);
  const auto known = fixture.send_request(1);  // requested before: its home cache probably has it
  ASSERT_FALSE(fixture.sends[known].empty());
  EXPECT_FALSE(fixture.sends[known][0].fill->cached_only);
}

// Guards against lost responses that stop fills permanently if no fill outcomes are reported. Each
// new object would then be requested without success first.
TEST(AdmissionTest, AllowsFillsWhenResponsesAreLostAndFillsNotReported) {
  RouterFixture fixture;
  for (std::uint64_t object = 1; object <= 300; ++object) {
    const auto id = fixture.send_request(object, kPartClass, 50);
    fixture.advance(50 * kMillisecond);
    if (fixture.sends[id].empty()) continue;
    EXPECT_FALSE(fixture.sends[id][0].fill->cached_only) << object;
    fixture.finish_attempt(id, object % 3 ? AttemptResult::ok : AttemptResult::timeout,
                           FillOutcome::none, 0, object % 3 ? 50 * kMillisecond : 5 * kSecond);
  }
}

}  // namespace
