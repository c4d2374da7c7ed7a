// Tests of the properties of BanSet, in particular of merging. A failed check prints its seed,
// which reproduces the run.
#include "replication/ban_set.h"

#include <gtest/gtest.h>

#include <random>
#include <tuple>

#include "replication/simulated_replicas.h"
#include "support/mangled_frames.h"
#include "support/test_data.h"

namespace {

using alderspur::replication::BanSet;
using simulation::author;
using simulation::exploration_factor;

// Returns copies that result from random bans, lifts and joins, as in a cluster.
std::vector<BanSet> random_copies(std::uint64_t seed, std::size_t size) {
  std::mt19937_64 random(seed);
  std::vector<BanSet> copies(size);
  for (int step = 0; step < 60; ++step) {
    const std::size_t i = random() % size;
    const auto server = "s-" + std::to_string(random() % 4);
    if (random() % 3 == 0) {
      copies[i].add(author(i), {server, "c", step});
    } else if (random() % 2 != 0) {
      copies[i].lift(server);
    } else {
      copies[i].join(copies[random() % size]);
    }
  }
  return copies;
}

BanSet joined(const BanSet& one, const BanSet& other) {
  BanSet result = one;
  result.join(other);
  return result;
}

TEST(BanSet, JoinIsCommutativeAssociativeAndIdempotent) {
  for (std::uint64_t seed = 1; seed <= 300 * exploration_factor(); ++seed) {
    const auto copies = random_copies(seed, 3);
    const auto& [a, b, c] = std::tie(copies[0], copies[1], copies[2]);
    ASSERT_EQ(joined(a, b), joined(b, a)) << seed;
    ASSERT_EQ(joined(joined(a, b), c), joined(a, joined(b, c))) << seed;
    ASSERT_EQ(joined(a, a), a) << seed;
    const auto all = joined(joined(a, b), c);
    ASSERT_EQ(joined(all, b), all) << seed;
    ASSERT_EQ(all.digest(), joined(c, joined(b, a)).digest());
  }
}

TEST(BanSet, JoiningADeltaHasTheEffectOfJoiningTheFullSet) {
  for (std::uint64_t seed = 1; seed <= 300 * exploration_factor(); ++seed) {
    auto copies = random_copies(seed, 2);
    const auto base = copies[0];
    const auto other = joined(copies[1], base);
    const auto delta =
        seed % 2 != 0 ? copies[0].add(author(0), {"s-9", "c", 1}) : copies[0].lift("s-1");
    auto by_delta = other;
    auto by_full_set = other;
    by_delta.join(delta);
    by_full_set.join(copies[0]);
    ASSERT_EQ(by_delta, by_full_set) << seed;
  }
}

TEST(BanSet, KeepsTheBanWhenABanAndALiftAreConcurrent) {
  BanSet a;
  BanSet b;
  a.add(author(0), {"s-1", "disk", 1});
  b.join(a);
  b.lift("s-1");
  a.add(author(1), {"s-1", "again", 2});  // concurrent with the lift
  a.join(b);
  b.join(a);
  EXPECT_TRUE(a.is_banned("s-1"));
  EXPECT_EQ(a, b);
  a.lift("s-1");
  b.join(a);
  EXPECT_FALSE(b.is_banned("s-1"));
  BanSet outdated;  // a copy from before the lift does not bring the ban back
  outdated.add(author(0), {"s-1", "disk", 1});
  b.join(outdated);
  EXPECT_FALSE(b.is_banned("s-1"));
  EXPECT_TRUE(b.add(author(0), {"s-1", "x", 3}).is_banned("s-1")) << "a new ban takes effect";
}

TEST(BanSet, DecodesAnEncodedSetAndRejectsTruncatedBytes) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto original = random_copies(seed, 3)[0];
    const auto bytes = original.encode();
    const auto decoded = BanSet::decode(bytes);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(*decoded, original);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      ASSERT_FALSE(BanSet::decode(std::string_view(bytes).substr(0, size))) << size;
    }
  }
}

// Guards against an element of a wrong type that is decoded as empty. A copy without that element
// would lift bans.
TEST(BanSet, RejectsMangledCopies) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto bytes = random_copies(seed, 3)[0].encode();
    for (const auto& copy : mangled::unacceptable_copies(bytes)) {
      ASSERT_FALSE(BanSet::decode(copy)) << "seed " << seed << " " << test_data::to_hex(copy);
    }
  }
}

// Guards against authors that accumulate with each epoch of a router, until no ban is replicated.
TEST(BanSet, TakesABanAfterAsManyAuthorsHaveEndedAsItHolds) {
  using alderspur::replication::kMaxAuthors;
  BanSet bans;
  for (std::uint64_t epoch = 1; epoch <= kMaxAuthors; ++epoch) {
    ASSERT_FALSE(bans.add({"r0", epoch}, {"s-1", "by hand", 1}).empty());
    bans.lift("s-1");
  }
  EXPECT_FALSE(bans.add({"r0", kMaxAuthors + 1}, {"s-1", "by hand", 1}).empty());
}

// Guards against a refused dot whose author is still added to the context. Two copies would then
// never become equal.
TEST(CausalContext, ChangesNothingWhenADotIsRefused) {
  using alderspur::replication::kMaxDetachedDots;
  alderspur::replication::CausalContext context;
  for (std::uint64_t i = 0; i < kMaxDetachedDots; ++i) {
    ASSERT_TRUE(context.add({author(0), i + 2})) << "dots beyond a gap, as the first is missing";
  }
  const auto before = context;
  ASSERT_FALSE(context.add({author(1), 2}));
  EXPECT_EQ(context, before);
}

}  // namespace
