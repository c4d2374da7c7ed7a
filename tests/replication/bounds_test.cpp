// Tests of replicas that reach a limit on the size of their state. The traffic must stay bounded,
// and the limit must be reported.
#include <gtest/gtest.h>

#include "replication/frame_codec.h"
#include "replication/replica.h"
#include "replication/seen_changes.h"
#include "replication/simulated_replicas.h"

namespace {

using alderspur::replication::encode_full_bans;
using alderspur::replication::kMaxAuthors;
using alderspur::replication::kMaxBans;
using alderspur::replication::kMaxDetachedDots;
using alderspur::replication::kMaxRangesPerFrame;
using alderspur::replication::kRanges;
using simulation::BanSet;
using simulation::Bound;
using simulation::exploration_factor;
using simulation::kSecond;
using simulation::load_stored;
using simulation::Network;
using simulation::replica_name;
using simulation::Time;

// Separates replicas that are caught up, so that a test can fill their states differently, and then
// measures the traffic after they are connected again.
class ReplicasAtBound : public ::testing::Test {
 protected:
  static constexpr std::size_t kMaxFloors = 50;
  static constexpr Time kMeasuredTime = 5 * kSecond;

  void separate(Network& network) {
    network.run(4 * kSecond);
    network.set_loss([](const auto&, const auto&) { return true; });
  }
  // Returns the maximum traffic of one comparison: digests, one full set of bans in each direction,
  // and bucket digests and floors.
  static std::uint64_t max_bytes_per_comparison(Network& network) {
    std::size_t bans = 0;
    std::size_t floors = 0;
    for (auto& [name, node] : network.nodes()) {
      bans = std::max(bans, encode_full_bans(node.replica->bans()).size());
      floors = std::max(floors, node.replica->floors().size());
    }
    constexpr std::size_t kMaxNumberBytes = 9;
    constexpr std::size_t kMaxDigestsBytes = (kRanges + 4) * kMaxNumberBytes;
    const std::size_t bucket_digests = std::min(floors, kMaxRangesPerFrame) * kMaxDigestsBytes;
    const std::size_t floor_lists = 2 * floors * (3 * kMaxNumberBytes + 1) + 2 * kMaxNumberBytes;
    return kMaxDigestsBytes + 2 * bans + bucket_digests + floor_lists;
  }
  // Connects the replicas again. Expects at most the traffic of one comparison per replica and
  // interval, and of `max_immediate_comparisons` that follow a transfer of floors at once.
  static void expect_bounded_traffic(Network& network, std::uint64_t max_immediate_comparisons) {
    network.stop_losses();
    const auto bytes_before = network.bytes_sent();
    network.run(kMeasuredTime);
    const Time interval = simulation::ReplicaSettings().compare_interval;
    const auto rounds = static_cast<std::uint64_t>(kMeasuredTime / interval) + 1;
    const auto comparisons = rounds * network.nodes().size() + max_immediate_comparisons;
    EXPECT_LE(network.bytes_sent() - bytes_before, comparisons * max_bytes_per_comparison(network));
  }
  static void expect_reported_once(Network& network, Bound bound) {
    for (auto& [name, node] : network.nodes()) {
      EXPECT_EQ(node.bound_reports[bound], 1U) << name << " must report the limit once";
    }
  }
};

// Guards against replicas that answer full sets with full sets forever.
TEST_F(ReplicasAtBound, ExchangeBansOncePerComparisonAtTheBanLimit) {
  Network network(5, 2);
  separate(network);
  for (std::size_t i = 0; i < kMaxBans; ++i) {
    network.ban("r0", "a-" + std::to_string(i));
    network.ban("r1", "b-" + std::to_string(i));
  }
  expect_bounded_traffic(network, 0);
  expect_reported_once(network, Bound::bans);
  for (auto& [name, node] : network.nodes()) {
    EXPECT_EQ(node.replica->counters().bounds_reached, 1U);
    EXPECT_TRUE(node.replica->reached_bounds().contains(Bound::bans));
  }
  for (std::size_t i = 0; i < kMaxBans; ++i) network.lift("r0", "a-" + std::to_string(i));
  ASSERT_TRUE(network.run_until([&] { return network.all_equal(); }, 5 * kSecond))
      << "the replicas must become equal once the set has capacity";
}

BanSet changes_of_authors(const std::string& name, std::size_t count) {
  return BanSet::decode(seen_changes::encode_of_authors(name, count)).value();
}

BanSet changes_beyond_a_gap(const std::string& name, std::size_t count) {
  return BanSet::decode(seen_changes::encode_beyond_a_gap(name, count)).value();
}

TEST_F(ReplicasAtBound, ExchangeBansOncePerComparisonAtTheAuthorLimit) {
  Network network(6, 2);
  separate(network);
  load_stored(network, "r0", changes_of_authors("a", kMaxAuthors));
  load_stored(network, "r1", changes_of_authors("b", kMaxAuthors));
  expect_bounded_traffic(network, 0);
  expect_reported_once(network, Bound::authors);
}

// Guards against a ban that takes effect at one router and is not replicated, without any report.
TEST_F(ReplicasAtBound, ReportABanThatCannotBeReplicatedAtTheAuthorLimit) {
  Network network(8, 2);
  network.run(4 * kSecond);
  load_stored(network, "r0", changes_of_authors("a", kMaxAuthors));
  EXPECT_FALSE(network.replica("r0").has_room_for_ban());
  network.ban("r0", "s-1");
  EXPECT_TRUE(network.node("r0").refused_bans.contains("s-1"));
  EXPECT_EQ(network.replica("r0").counters().bans_refused, 1U);
  network.ban("r1", "s-1");
  EXPECT_TRUE(network.node("r1").refused_bans.empty());
}

TEST_F(ReplicasAtBound, ExchangeBansOncePerComparisonAtTheDetachedDotLimit) {
  Network network(7, 2);
  separate(network);
  load_stored(network, "r0", changes_beyond_a_gap("a", kMaxDetachedDots));
  load_stored(network, "r1", changes_beyond_a_gap("b", kMaxDetachedDots));
  expect_bounded_traffic(network, 0);
  expect_reported_once(network, Bound::detached_dots);
}

TEST_F(ReplicasAtBound, FoldFloorsAndBecomeEqualAtTheFloorLimit) {
  for (std::uint64_t seed = 1; seed <= 20 * exploration_factor(); ++seed) {
    Network network(seed, 2, kMaxFloors);
    separate(network);
    for (std::uint64_t i = 0; i < 2 * kMaxFloors; ++i) {
      network.run(1000);
      network.purge(replica_name(network.draw(2)), network.draw(4 * kMaxFloors));
    }
    constexpr std::uint64_t kMaxImmediateComparisons = 4;
    expect_bounded_traffic(network, kMaxImmediateComparisons);
    EXPECT_TRUE(network.all_equal()) << "seed " << seed;
  }
}

// Combines random states near the limits. The traffic must stay bounded.
TEST_F(ReplicasAtBound, SendBoundedTrafficAfterAnySchedule) {
  for (std::uint64_t seed = 1; seed <= 6 * exploration_factor(); ++seed) {
    Network network(seed, 2 + seed % 2, kMaxFloors);
    separate(network);
    for (auto& [name, node] : network.nodes()) {
      const auto kind = network.draw(3);
      if (kind == 0) {
        load_stored(network, name, changes_of_authors(name, kMaxAuthors - network.draw(3)));
      } else if (kind == 1) {
        const auto count = kMaxDetachedDots - network.draw(3);
        load_stored(network, name, changes_beyond_a_gap("gap-" + name, count));
      }
      const std::size_t bans = network.draw(2) == 0 ? kMaxBans - network.draw(3) : network.draw(20);
      for (std::size_t i = 0; i < bans; ++i) network.ban(name, name + "-" + std::to_string(i));
      for (std::size_t i = 0; i < kMaxFloors; ++i) network.purge(name, network.draw(100));
    }
    constexpr std::uint64_t kMaxImmediateComparisons = 12;
    expect_bounded_traffic(network, kMaxImmediateComparisons);
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
}

}  // namespace
