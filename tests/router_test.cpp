// Tests that the router handles unusual endpoint lists and is deterministic.
#include <gtest/gtest.h>

#include <limits>
#include <set>
#include <string>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

// Checks that each request gets exactly one final answer by its deadline, whatever the endpoint
// list contains.
void expect_responses(RouterFixture& fixture) {
  for (std::uint64_t object = 1; object <= 30; ++object) {
    const auto id = fixture.send_request(object);
    if (!fixture.sends[id].empty()) {
      fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::hit);
    } else {
      EXPECT_EQ(fixture.final_responses[id], 1) << "a request without an attempt is rejected";
    }
    fixture.advance(20 * kMillisecond);
  }
  const auto unanswered = fixture.send_request(99);
  fixture.advance(6 * kSecond);
  EXPECT_EQ(fixture.final_responses[unanswered], 1);
}

TEST(RouterTest, RespondsToEveryRequestWithNoneOneOrThousandsOfCaches) {
  for (const std::uint64_t cache_count : {0, 1, 3000}) {
    std::vector<Server> servers;
    for (std::uint64_t i = 1; i <= cache_count; ++i) servers.push_back(make_cache(i));
    auto settings = test_settings();
    settings.router_count = 5000;
    settings.router_count_by_location.clear();  // the number of routers per location is unknown
    RouterFixture fixture(settings, servers);
    expect_responses(fixture);
  }
}

TEST(RouterTest, UsesNewServersWhenCompleteListReplacesAll) {
  RouterFixture fixture;
  for (std::uint64_t object = 1; object <= 60; ++object) fixture.serve_request(object);
  std::vector<Server> new_servers;
  for (std::uint64_t i = 101; i <= 104; ++i) {
    new_servers.push_back(make_cache(i, ServerStatus::ready, fixture.now));
  }
  new_servers.push_back(make_upstream(30, Role::origin));
  fixture.handle(EndpointUpdate{true, false, new_servers});
  fixture.sends.clear();
  int sent_count = 0;
  for (std::uint64_t object = 1; object <= 400; ++object) {
    const auto id = fixture.send_request(object, kPartClass, 20);
    for (auto& send : fixture.sends[id]) EXPECT_GT(send.server.value, 100u);
    sent_count += !fixture.sends[id].empty();
    if (!fixture.sends[id].empty()) {
      fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::filled_by_origin);
    }
    fixture.advance(20 * kMillisecond);
  }
  EXPECT_GT(sent_count, 100);
  expect_responses(fixture);
}

TEST(RouterTest, UsesServerWhenItsWeightIsInvalid) {
  auto servers = test_endpoints();
  servers[0].weight = 0;
  servers[1].weight = std::numeric_limits<double>::quiet_NaN();
  servers[2].weight = -3;
  RouterFixture fixture(test_settings(), servers);
  std::set<std::uint64_t> used;
  for (std::uint64_t object = 1; object <= 200; ++object) {
    used.insert(fixture.serve_request(object));
  }
  EXPECT_EQ(used.size(), 4u) << "an invalid weight must not exclude a cache";
}

TEST(RouterTest, BypassesCachesWhenThereAreNoneAndItIsAllowed) {
  for (const bool can_bypass : {true, false}) {
    auto settings = test_settings();
    settings.can_bypass_caches = can_bypass;
    RouterFixture fixture(settings,
                          {make_upstream(20, Role::parent), make_upstream(30, Role::origin)});
    const auto id = fixture.send_request(1);
    EXPECT_EQ(fixture.sends[id].empty(), !can_bypass);
    EXPECT_EQ(fixture.final_responses[id], can_bypass ? 0 : 1);
  }
}

TEST(RouterTest, RepeatsItsActionsWhenEventsAreTheSame) {
  const auto run = [] {
    RouterFixture fixture;
    RouterFixture other(test_settings(), test_endpoints(), 3);
    std::string trace;
    for (int i = 0; i < 200; ++i) {
      other.serve_request(static_cast<std::uint64_t>(i));
      const auto id = fixture.send_request(static_cast<std::uint64_t>(i * 7 % 31));
      trace += std::to_string(fixture.sends[id].at(0).server.value) + ",";
      fixture.finish_attempt(id, i % 9 ? AttemptResult::ok : AttemptResult::overloaded);
      fixture.advance(7 * kMillisecond);
      for (auto& send : fixture.sends[id]) trace += std::to_string(send.timeout) + ";";
    }
    return trace;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
