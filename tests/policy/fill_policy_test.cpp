// Tests from which source a cache fills an object.
#include <gtest/gtest.h>

#include <set>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(FillPolicyTest, ChoosesSameParentForObjectInEveryLocation) {
  RouterFixture fixture;
  auto other_settings = test_settings();
  other_settings.location = {4};
  auto other_endpoints = test_endpoints();
  for (auto& server : other_endpoints) {
    if (server.role != Role::cache) continue;
    server.location = {4};
    server.id.value += 100;
  }
  RouterFixture other(other_settings, other_endpoints, 99);
  std::set<std::uint64_t> parents;
  for (std::uint64_t object = 1; object <= 40; ++object) {
    const auto parent = fixture.sends[fixture.send_request(object)].at(0).fill->source;
    EXPECT_EQ(parent, other.sends[other.send_request(object)].at(0).fill->source);
    parents.insert(parent.value);
  }
  EXPECT_EQ(parents, (std::set<std::uint64_t>{20, 21}));
}

TEST(FillPolicyTest, FillsFromOriginWhenThereAreNoParents) {
  RouterFixture fixture(test_settings(),
                        {make_cache(1), make_cache(2), make_upstream(30, Role::origin)});
  EXPECT_EQ(fixture.sends[fixture.send_request(1)].at(0).fill->source.value, 30u);
}

// Guards against sending writes through an overloaded parent. The parent could only forward them to
// the origin, and they would wait and fail in its queue.
TEST(FillPolicyTest, FillsFromOriginWhenClassIsNeverCached) {
  auto settings = test_settings();
  settings.classes[kKeyedClass].never_cached = true;
  RouterFixture fixture(settings);
  for (std::uint64_t object = 1; object <= 20; ++object) {
    const auto id = fixture.send_request(object, kKeyedClass);
    ASSERT_EQ(fixture.sends[id].size(), 1u);
    EXPECT_EQ(fixture.sends[id][0].fill->source, ServerId{30});
    fixture.finish_attempt(id, AttemptResult::ok);
  }
}

TEST(FillPolicyTest, RetriesAfterOriginFailureOnlyWhenStaleCopyIsAllowed) {
  RouterFixture fixture;
  const auto part_request = fixture.send_request(1, kPartClass);
  const auto page_request = fixture.send_request(2, kPageClass);
  fixture.finish_attempt(part_request, AttemptResult::overloaded, FillOutcome::origin_failed);
  EXPECT_EQ(fixture.sends[part_request].size(), 1u);
  EXPECT_EQ(fixture.final_responses[part_request], 1);
  fixture.finish_attempt(page_request, AttemptResult::overloaded, FillOutcome::origin_failed);
  ASSERT_EQ(fixture.sends[page_request].size(), 2u);
  EXPECT_EQ(fixture.sends[page_request][1].fill->max_age, 38 * kSecond);
  fixture.finish_attempt(page_request, AttemptResult::overloaded, FillOutcome::origin_failed, 1);
  EXPECT_EQ(fixture.sends[page_request].size(), 2u);
}

}  // namespace
