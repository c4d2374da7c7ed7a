// Tests what a router is told about its own bans that others reject because of a wrong clock.
#include <gtest/gtest.h>

#include "replication/simulated_replicas.h"

namespace {

using namespace simulation;

constexpr Time kClockError = 120 * kSecond;
using Peers = std::vector<std::string>;

// Guards against an operator's call that says yes for a ban that all other routers reject, because
// the clock of its router is ahead. The ban is replicated once the others accept its time.
TEST(ClockSkewTest, TellsARouterThatIsAheadWhoRejectsItsBanUntilTheyAcceptIt) {
  Network network(9, 3);
  network.run(2 * kSecond);
  network.node("r0").clock_error = kClockError;
  network.deliver("r0", BanRequested{"s-1", "by hand", network.now() + kClockError});
  network.run(kSecond / 10);
  EXPECT_EQ(network.replica("r0").peers_rejecting("s-1"), (Peers{"r1", "r2"}));
  EXPECT_TRUE(network.replica("r0").peers_rejecting("s-2").empty());
  EXPECT_GE(network.replica("r0").counters().rejected_by_peers, 2U);
  network.run(kClockError / 2);
  EXPECT_TRUE(network.run_until([&] { return network.replica("r2").bans().is_banned("s-1"); },
                                5 * kSecond));
  EXPECT_TRUE(network.replica("r0").peers_rejecting("s-1").empty());
  network.node("r0").clock_error = 0;
  EXPECT_TRUE(network.run_until([&] { return network.all_equal(); }, 5 * kSecond));
}

// One router is behind, so every other one is ahead of it. Only that router rejects their bans.
TEST(ClockSkewTest, TellsARouterThatOnlyTheOneThatIsBehindRejectsItsBan) {
  Network network(9, 3);
  network.run(2 * kSecond);
  network.node("r2").clock_error = -kClockError;
  network.ban("r0", "s-1");
  network.run(10 * kSecond);
  EXPECT_TRUE(network.replica("r1").bans().is_banned("s-1"));
  EXPECT_FALSE(network.replica("r2").bans().is_banned("s-1"));
  EXPECT_EQ(network.replica("r0").peers_rejecting("s-1"), Peers{"r2"});
  EXPECT_EQ(network.node("r0").rejected_bans["s-1"], std::set<std::string>{"r2"});
  EXPECT_TRUE(network.node("r1").rejected_bans.empty()) << "the ban is not its own";
  network.node("r2").clock_error = 0;
  EXPECT_TRUE(network.run_until([&] { return network.all_equal(); }, 5 * kSecond));
  EXPECT_TRUE(network.run_until(
      [&] { return network.replica("r0").peers_rejecting("s-1").empty(); }, 5 * kSecond));
}

// Guards against two replicas with different clocks that answer each other's rejections without
// end.
TEST(ClockSkewTest, SendsAtMostOneRejectionForEachRejectedFrame) {
  Network network(9, 2);
  network.run(2 * kSecond);
  network.node("r0").clock_error = kClockError;
  network.deliver("r0", BanRequested{"s-1", "by hand", network.now() + kClockError});
  constexpr std::uint64_t kSeconds = 20;
  network.run(kSeconds * kSecond);
  const auto rejected = network.replica("r1").counters().rejected;
  EXPECT_GE(rejected, 1U);
  EXPECT_LE(rejected, 1 + 2 * (kSeconds + 1))
      << "one for the change, and one for each comparison that either side has opened";
  EXPECT_LE(network.replica("r0").counters().rejected_by_peers, rejected);
}

}  // namespace
