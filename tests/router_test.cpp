// Unusual endpoint lists, and determinism.
#include <gtest/gtest.h>

#include <limits>
#include <set>
#include <string>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

// Whatever the fleet, each request has one final answer by its deadline.
void expect_answers(Bed& bed) {
  for (std::uint64_t o = 1; o <= 30; ++o) {
    const auto id = bed.ask(o);
    if (!bed.sends[id].empty()) {
      bed.end(id, AttemptResult::ok, FillOutcome::hit);
    } else {
      EXPECT_EQ(bed.answers[id], 1) << "given up at once";
    }
    bed.advance(20 * kMillisecond);
  }
  const auto silent = bed.ask(99);
  bed.advance(6 * kSecond);
  EXPECT_EQ(bed.answers[silent], 1);
}

TEST(Odd, FleetsOfNoneOneAndThousandsAnswerEveryRequest) {
  for (const std::uint64_t n : {0, 1, 3000}) {
    std::vector<Server> servers;
    for (std::uint64_t i = 1; i <= n; ++i) servers.push_back(cache(i));
    auto s = site();
    s.router_count = 5000;
    s.router_count_by_location.clear();  // no share stated
    Bed bed(s, servers);
    expect_answers(bed);
  }
}

TEST(Odd, AFullListThatReplacesEverythingAtOnceIsServedByTheReplacements) {
  Bed bed;
  for (std::uint64_t o = 1; o <= 60; ++o) bed.serve(o);
  std::vector<Server> later;
  for (std::uint64_t i = 101; i <= 104; ++i) {
    later.push_back(cache(i, ServerStatus::ready, bed.now));
  }
  later.push_back(upstream(30, Role::origin));
  bed.tell(EndpointUpdate{true, false, later});
  bed.sends.clear();
  int answered = 0;
  for (std::uint64_t o = 1; o <= 400; ++o) {
    const auto id = bed.ask(o, 0, 20);
    for (auto& s : bed.sends[id]) EXPECT_GT(s.server.value, 100u);
    answered += !bed.sends[id].empty();
    if (!bed.sends[id].empty()) bed.end(id, AttemptResult::ok, FillOutcome::filled_by_origin);
    bed.advance(20 * kMillisecond);
  }
  EXPECT_GT(answered, 100);
  expect_answers(bed);
}

TEST(Odd, WeightsOfZeroOrNaNCountAsOne) {
  auto servers = fleet();
  servers[0].weight = 0;
  servers[1].weight = std::numeric_limits<double>::quiet_NaN();
  servers[2].weight = -3;
  Bed bed(site(), servers);
  std::set<std::uint64_t> used;
  for (std::uint64_t o = 1; o <= 200; ++o) used.insert(bed.serve(o));
  EXPECT_EQ(used.size(), 4u) << "each keeps a share";
}

TEST(Odd, ALocationWithRoutersAndNoCachesGoesStraightWhereAllowedElseRefuses) {
  for (const bool straight : {true, false}) {
    auto s = site();
    s.can_bypass_caches = straight;
    Bed bed(s, {upstream(20, Role::parent), upstream(30, Role::origin)});
    const auto id = bed.ask(1);
    EXPECT_EQ(bed.sends[id].empty(), !straight);
    EXPECT_EQ(bed.answers[id], straight ? 0 : 1);
  }
}

TEST(Determinism, SameEventsSameActions) {
  const auto run = [] {
    Bed a;
    Bed beside(site(), fleet(), 3);
    std::string trace;
    for (int i = 0; i < 200; ++i) {
      beside.serve(static_cast<std::uint64_t>(i));
      const auto id = a.ask(static_cast<std::uint64_t>(i * 7 % 31));
      trace += std::to_string(a.sends[id].at(0).server.value) + ",";
      a.end(id, i % 9 ? AttemptResult::ok : AttemptResult::overloaded);
      a.advance(7 * kMillisecond);
      for (auto& s : a.sends[id]) trace += std::to_string(s.timeout) + ";";
    }
    return trace;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
