// Tests of the properties of PurgeFloors: merging, digests and folding.
#include "replication/purge_floors.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace {

using alderspur::replication::PurgeFloor;
using alderspur::replication::PurgeFloors;
using alderspur::replication::Time;

TEST(PurgeFloors, KeepTheLatestInAnyOrderAndDigestsDetectDifferences) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<PurgeFloor> floors;
    floors.reserve(200);
    for (int i = 0; i < 200; ++i) {
      floors.push_back({random() % 2 == 0, random() % 60, static_cast<Time>(1 + random() % 1000)});
    }
    PurgeFloors in_order;
    for (const auto& floor : floors) in_order.raise(floor);
    std::shuffle(floors.begin(), floors.end(), random);
    PurgeFloors shuffled_and_twice;
    for (const auto& floor : floors) {
      shuffled_and_twice.raise(floor);
      shuffled_and_twice.raise(floor);
    }
    ASSERT_EQ(in_order, shuffled_and_twice);
    ASSERT_EQ(in_order.range_digests(), shuffled_and_twice.range_digests());
    shuffled_and_twice.raise({true, 7, 5000});
    ASSERT_NE(in_order.range_digests(), shuffled_and_twice.range_digests());
  }
}

// Folding floors must not lower the floor of any object.
TEST(PurgeFloors, NeverLowerAFloorWhenTheyAreFolded) {
  PurgeFloors floors(100);
  std::mt19937_64 random(4);
  std::map<std::uint64_t, Time> expected;
  for (int i = 0; i < 2000; ++i) {
    const PurgeFloor floor{true, random() % 500, static_cast<Time>(1 + random() % 100'000)};
    floors.raise(floor);
    expected[floor.id] = std::max(expected[floor.id], floor.at);
    ASSERT_LE(floors.size(), 100U);
    for (const auto& [id, at] : expected) ASSERT_GE(floors.floor_of(true, id), at);
  }
  EXPECT_GT(floors.global_floor(), 0);
}

}  // namespace
