// Tests which caches serve an object.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(CacheSelectionTest, KeepsHomeOfObjectWhenAnotherCacheIsLost) {
  RouterFixture fixture;
  std::map<std::uint64_t, std::uint64_t> home;
  std::set<std::uint64_t> used;
  for (std::uint64_t object = 1; object <= 60; ++object) {
    used.insert(home[object] =
                    fixture.serve_request(object, 100, static_cast<std::uint32_t>(object)));
  }
  EXPECT_EQ(used.size(), 4u);
  for (std::uint64_t object = 1; object <= 60; ++object) {
    EXPECT_EQ(fixture.serve_request(object, 100, 99), home[object])
        << "all parts of an object have the same home";
  }
  RouterFixture without_fourth(test_settings(),
                               {make_cache(1), make_cache(2), make_cache(3),
                                make_upstream(20, Role::parent), make_upstream(30, Role::origin)});
  for (std::uint64_t object = 1; object <= 60; ++object) {
    if (home[object] != 4) {
      EXPECT_EQ(without_fourth.serve_request(object), home[object]);
    }
  }
}

TEST(CacheSelectionTest, ReplicatesToHalfOfTheCachesWhileObjectIsHot) {
  RouterFixture fixture;
  std::map<std::uint64_t, int> requests_by_server;
  for (int i = 0; i < 240; ++i) {
    ++requests_by_server[fixture.serve_request(777, 400)];
    fixture.serve_request(1000 + static_cast<std::uint64_t>(i % 50), 100);
    fixture.advance(50 * kMillisecond);
  }
  EXPECT_EQ(requests_by_server.size(), 2u);
  requests_by_server.clear();
  for (int i = 0; i < 20; ++i) ++requests_by_server[fixture.serve_request(777, 400)];
  for (auto& [server, count] : requests_by_server) EXPECT_NEAR(count, 10, 3) << server;
  for (int i = 0; i < 40; ++i) {
    fixture.serve_request(1000 + static_cast<std::uint64_t>(i % 50), 100);
    fixture.advance(500 * kMillisecond);
  }
  requests_by_server.clear();
  for (int i = 0; i < 4; ++i) ++requests_by_server[fixture.serve_request(777, 1)];
  EXPECT_EQ(requests_by_server.size(), 1u);
}

// Checks the threshold. Each of four caches has a base load of 3000 KB, and the hot object adds x
// KB to the load of its home. The loads relative to the base are then S = (3000 + x) / 3000 at the
// home and 1 elsewhere, so W = 1 - a = 3000 / (3000 + x) and the threshold is T = 0.25 W. The share
// of the object, x / (3000 + x), exceeds T if x > 750.
TEST(CacheSelectionTest, AddsReplicaWhenShareExceedsThreshold) {
  RouterFixture fixture;
  std::map<std::uint64_t, int> filled;
  // Each object is served only three times, which is too few for it to be hot.
  for (std::uint64_t object = 1; object < 4000; ++object) {
    const auto id = fixture.send_request(object);
    const auto home = fixture.sends[id][0].server.value;
    if (filled[home] == 10) {
      fixture.handle(ClientGone{id});
      fixture.finish_attempt(id, AttemptResult::cancelled);
      continue;
    }
    ++filled[home];
    fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::hit);
    fixture.serve_request(object);
    fixture.serve_request(object);
    if (filled[1] + filled[2] + filled[3] + filled[4] == 40) break;
  }
  ASSERT_EQ(filled[1] + filled[2] + filled[3] + filled[4], 40);
  const std::uint64_t hot = 99999;
  const std::uint64_t home = fixture.serve_request(hot);
  for (int i = 2; i <= 8; ++i) {
    EXPECT_EQ(fixture.serve_request(hot), home) << "x is at most 700 before request " << i;
  }
  EXPECT_NE(fixture.serve_request(hot), home)
      << "at x = 800 the replica set contains a second cache";
}

TEST(CacheSelectionTest, KeepsOneHomeWhenObjectIsNotHot) {
  RouterFixture fixture;
  std::map<std::uint64_t, std::set<std::uint64_t>> homes;
  for (int i = 0; i < 600; ++i) {
    const auto object = 1 + static_cast<std::uint64_t>(i % 60);
    homes[object].insert(fixture.serve_request(object));
    fixture.advance(20 * kMillisecond);
  }
  for (auto& [object, servers] : homes) EXPECT_EQ(servers.size(), 1u) << object;
}

TEST(CacheSelectionTest, UsesNextCacheWhenHomeHasTooMuchInFlight) {
  RouterFixture fixture;
  std::set<std::uint64_t> used;
  for (int i = 0; i < 40; ++i) {
    used.insert(fixture.sends[fixture.send_request(77, kPartClass, 400)][0].server.value);
  }
  EXPECT_GT(used.size(), 1u);
}

}  // namespace
