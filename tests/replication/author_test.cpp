// Tests that a router continues the author of its earlier processes only if it knows all of its
// changes. A failed check prints its seed, which reproduces the schedule.
#include <gtest/gtest.h>

#include "replication/routers_with_disks.h"
#include "replication/stored_bans.h"
#include "support/mangled_frames.h"
#include "support/test_data.h"

namespace {

using alderspur::replication::decode_stored_bans;
using alderspur::replication::encode_final_bans;
using simulation::BanSet;
using simulation::exploration_factor;
using simulation::kMillisecond;
using simulation::kSecond;
using simulation::RoutersWithDisks;
using simulation::Time;

std::string random_server(RoutersWithDisks& routers) {
  return "s-" + std::to_string(routers.draw(3));
}

void change_at_random(RoutersWithDisks& routers, std::size_t router) {
  if (routers.draw(3) == 0) {
    routers.lift(router, random_server(routers));
  } else {
    routers.ban(router, random_server(routers));
  }
}

// Ends a process, or starts one after something may have happened to the disk.
void restart_at_random(RoutersWithDisks& routers, std::size_t router) {
  if (routers.is_running(router)) {
    return routers.draw(3) == 0 ? routers.crash(router) : routers.end_in_order(router);
  }
  const auto fault = routers.draw(8);
  if (fault == 0) routers.lose_disk(router);
  if (fault == 1) routers.restore_earlier_file(router);
  const bool has_earlier_form = router == 0 && routers.draw(2) == 0;
  routers.start(router, has_earlier_form);
}

void play_step(RoutersWithDisks& routers) {
  const auto router = routers.draw(routers.size());
  const auto kind = routers.draw(12);
  if (kind < 5 && routers.is_running(router)) {
    change_at_random(routers, router);
  } else if (kind < 9) {
    restart_at_random(routers, router);
  } else if (kind == 9) {
    routers.cut_at_random();
  } else if (kind == 10) {
    routers.heal();
  } else {
    routers.hang_disk(router, routers.draw(2) == 0);
  }
  constexpr Time kPauses[] = {1, 5, 30, 300, 1500};
  routers.run(kPauses[routers.draw(std::size(kPauses))] * kMillisecond);
}

// Guards against a lifted ban that returns, a ban that is lost, two changes with the same dot, and
// a number of authors that grows with each restart.
TEST(ContinuedAuthor, KeepsCopiesEqualToTheModelAfterAnySchedule) {
  for (std::uint64_t seed = 1; seed <= 300 * exploration_factor(); ++seed) {
    RoutersWithDisks routers(seed, 2 + seed % 3);
    for (int step = 0; step < 60 && !testing::Test::HasFailure(); ++step) play_step(routers);
    routers.end_faults();
    EXPECT_TRUE(routers.run_until_equal(30 * kSecond));
    routers.expect_equal_to_model();
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
  }
}

// Guards against authors that accumulate with each start of a router, until no ban is replicated.
TEST(ContinuedAuthor, IsTheOnlyOneOfARouterWhoseProcessesEndInOrder) {
  RoutersWithDisks routers(1, 2);
  for (int start = 0; start < 200; ++start) {
    routers.ban(0, "s-1");
    routers.run(20 * kMillisecond);
    routers.lift(0, "s-1");
    routers.end_in_order(0);
    routers.start(0);
  }
  ASSERT_TRUE(routers.run_until_equal(10 * kSecond));
  routers.expect_equal_to_model();
}

BanSet set_with_own_change() {
  BanSet bans;
  bans.add({"r0", 5}, {"s-1", "disk", 1});
  bans.lift("s-1");
  bans.add({"r0", 5}, {"s-2", "disk", 2});
  return bans;
}

TEST(StoredBans, AreContinuedOnlyAfterTheProcessThatWroteThemLast) {
  const BanSet bans = set_with_own_change();
  const auto payload = encode_final_bans(bans, 7);
  const auto next = decode_stored_bans(payload, 7);
  ASSERT_TRUE(next);
  EXPECT_EQ(*next, bans);
  EXPECT_EQ(next->last_own_change(), bans.last_own_change());
  for (const auto previous : {std::optional<std::uint64_t>(6), std::optional<std::uint64_t>(8),
                              std::optional<std::uint64_t>()}) {
    const auto later = decode_stored_bans(payload, previous);
    ASSERT_TRUE(later);
    EXPECT_EQ(*later, bans);
    EXPECT_FALSE(later->last_own_change());
  }
  const auto unfinished = decode_stored_bans(bans.encode(), 7);
  ASSERT_TRUE(unfinished);
  EXPECT_FALSE(unfinished->last_own_change());
}

// Guards against a file that an earlier version cannot read.
TEST(StoredBans, AreReadAsASetWithoutTheLastOwnChange) {
  const BanSet bans = set_with_own_change();
  const auto read = BanSet::decode(encode_final_bans(bans, 7));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, bans);
}

// Guards against a malformed last own change that is continued.
TEST(StoredBans, AreNotContinuedWhenMangled) {
  const auto payload = encode_final_bans(set_with_own_change(), 7);
  for (const auto& copy : mangled::unacceptable_copies(payload)) {
    const auto decoded = decode_stored_bans(copy, 7);
    EXPECT_FALSE(decoded && decoded->last_own_change()) << test_data::to_hex(copy);
  }
}

}  // namespace
