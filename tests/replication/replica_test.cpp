// Tests of replicas on a simulated network. A failed check prints its seed, which reproduces the
// run.
#include "replication/replica.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "msgpack_codec/writer.h"
#include "replication/frame_codec.h"
#include "replication/simulated_replicas.h"
#include "support/mangled_frames.h"
#include "support/test_data.h"

namespace {

using alderspur::replication::encode_ban_delta;
using alderspur::replication::encode_bucket_digests;
using alderspur::replication::encode_digests;
using alderspur::replication::encode_floor_updates;
using alderspur::replication::encode_floors;
using alderspur::replication::encode_full_bans;
using alderspur::replication::FrameKind;
using simulation::Action;
using simulation::ApplyGlobalPurge;
using simulation::author;
using simulation::BanRequested;
using simulation::BanSet;
using simulation::exploration_factor;
using simulation::FrameReceived;
using simulation::kSecond;
using simulation::LiftRequested;
using simulation::load_stored;
using simulation::Network;
using simulation::PeersChanged;
using simulation::PurgeFloor;
using simulation::PurgeFloors;
using simulation::PurgeObserved;
using simulation::Replica;
using simulation::replica_name;
using simulation::Time;

TEST(Replica, ReplicatesABanAPurgeAndALiftToAllPeers) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Network network(seed, 30);
    network.run(2 * kSecond);
    network.ban("r3", "s-1");
    network.purge("r4", 77);
    const auto is_banned_everywhere = [&] {
      return network.all_have_banned("s-1", true) && network.all_equal();
    };
    ASSERT_TRUE(network.run_until(is_banned_everywhere, 4 * kSecond)) << seed;
    for (auto& [name, node] : network.nodes()) {
      ASSERT_TRUE(name == "r4" || node.purge_floors[77] > 0) << name;
    }
    network.lift("r20", "s-1");
    const auto is_lifted_everywhere = [&] {
      return network.all_have_banned("s-1", false) && network.all_equal();
    };
    ASSERT_TRUE(network.run_until(is_lifted_everywhere, 4 * kSecond)) << seed;
  }
}

TEST(Replica, ConvergesWhileAFifthOfAllFramesIsLost) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Network network(seed, 20);
    network.set_loss([&](const auto&, const auto&) { return network.draw(5) == 0; });
    network.run(2 * kSecond);
    network.ban("r0", "s-1");
    for (std::uint64_t i = 0; i < 50; ++i) network.purge(replica_name(i % 20), i);
    const auto has_converged = [&] {
      return network.all_have_banned("s-1", true) && network.all_equal();
    };
    ASSERT_TRUE(network.run_until(has_converged, 15 * kSecond)) << seed;
  }
}

TEST(Replica, KeepsTheBanWhenItIsLiftedOnTheOtherSideOfAPartition) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Network network(seed, 6);
    network.ban("r0", "s-1");
    ASSERT_TRUE(
        network.run_until([&] { return network.all_have_banned("s-1", true); }, 4 * kSecond));
    const auto is_first_half = [](const std::string& name) { return name < "r3"; };
    network.set_loss(
        [&](const auto& from, const auto& to) { return is_first_half(from) != is_first_half(to); });
    network.ban("r1", "s-1");  // a second ban of the same server, by another author
    network.lift("r4", "s-1");
    network.run(5 * kSecond);
    EXPECT_TRUE(network.node("r0").banned.contains("s-1"));
    EXPECT_FALSE(network.node("r5").banned.contains("s-1"));
    network.stop_losses();
    const auto is_banned_everywhere = [&] {
      return network.all_have_banned("s-1", true) && network.all_equal();
    };
    ASSERT_TRUE(network.run_until(is_banned_everywhere, 6 * kSecond)) << seed;
    network.lift("r5", "s-1");
    const auto is_lifted_everywhere = [&] {
      return network.all_have_banned("s-1", false) && network.all_equal();
    };
    ASSERT_TRUE(network.run_until(is_lifted_everywhere, 6 * kSecond)) << seed;
  }
}

TEST(Replica, KeepsAChangeThatOnePeerReceivedBeforeItsAuthorStopped) {
  Network network(5, 8);
  network.run(2 * kSecond);
  network.set_loss([](const auto& from, const auto& to) { return from == "r0" && to != "r1"; });
  for (std::uint64_t i = 0; i < 40; ++i) network.purge("r0", i);  // some reach r1
  network.run(kSecond);
  network.stop("r0");
  ASSERT_TRUE(network.run_until([&] { return network.all_equal(); }, 6 * kSecond));
  EXPECT_GT(network.replica("r7").floors().size(), 0U);
}

TEST(Replica, CatchesUpAfterARestartAndReportsItOnlyThen) {
  Network network(6, 5);
  network.ban("r0", "s-1");
  network.ban("r0", "s-2");
  network.run(3 * kSecond);
  network.stop("r4");
  for (std::uint64_t i = 0; i < 1000; ++i) network.purge(replica_name(i % 4), i);
  network.lift("r1", "s-2");
  ASSERT_TRUE(network.run_until([&] { return network.all_equal(); }, 5 * kSecond));
  network.restart("r4");
  EXPECT_FALSE(network.replica("r4").is_caught_up());
  ASSERT_TRUE(network.run_until([&] { return network.replica("r4").is_caught_up(); }, kSecond));
  EXPECT_TRUE(network.all_equal());
  EXPECT_TRUE(network.all_have_banned("s-1", true) && network.all_have_banned("s-2", false));
  // The traffic for one more purge must be that of one purge, not that of a thousand.
  network.run(3 * kSecond);
  network.set_loss([](const auto& /*from*/, const auto& to) { return to == "r4"; });
  network.purge("r0", 5000);
  network.run(3 * kSecond);
  network.stop_losses();
  const auto bytes_before = network.bytes_sent();
  ASSERT_TRUE(network.run_until([&] { return network.all_equal(); }, 5 * kSecond));
  EXPECT_LT(network.bytes_sent() - bytes_before, 60'000U)
      << "sending all floors takes 20,000 bytes for each copy";
}

TEST(Replica, IsCaughtUpAfterATimeoutIfThereAreNoPeers) {
  Network network(7, 1);
  network.run(2 * kSecond);
  EXPECT_FALSE(network.replica("r0").is_caught_up());
  network.run(2 * kSecond);
  EXPECT_TRUE(network.replica("r0").is_caught_up());
}

// Peers of an earlier version never answer, and while changes never stop, no two copies are equal
// at any time. A router that waits for a peer's confirmation would never become ready.
TEST(Replica, IsCaughtUpAfterATimeoutAmongSilentOrBusyPeers) {
  Network silent(11, 4);
  silent.set_loss([](const auto& from, const auto& /*to*/) { return from != "r0"; });
  silent.run(2 * kSecond);
  EXPECT_FALSE(silent.replica("r0").is_caught_up());
  silent.run(2 * kSecond);
  EXPECT_TRUE(silent.replica("r0").is_caught_up());

  Network busy(12, 4);
  std::uint64_t object = 0;
  const auto run_with_purges = [&](Time duration) {
    for (const Time end = busy.now() + duration; busy.now() < end; busy.run(2'000)) {
      busy.purge(replica_name(object % 3), object);
      ++object;
    }
  };
  run_with_purges(3 * kSecond);
  busy.restart("r3");
  run_with_purges(4 * kSecond);
  EXPECT_TRUE(busy.replica("r3").is_caught_up());
  EXPECT_GE(busy.replica("r3").floors().size() + 50, busy.replica("r0").floors().size());
}

TEST(Replica, CountsUnreadableFramesAndChangesNothing) {
  Network network(8, 2);
  network.ban("r0", "s-1");
  network.run(2 * kSecond);
  const auto digest = network.replica("r1").bans().digest();
  std::mt19937_64 random(9);
  for (int i = 0; i < 3000; ++i) {
    std::string bytes(random() % 60, ' ');
    for (auto& byte : bytes) byte = static_cast<char>(random());
    if (!bytes.empty() && i % 2 != 0) bytes[0] = static_cast<char>(0x90 | (1 + random() % 4));
    network.deliver("r1", FrameReceived{"r0", bytes});
  }
  EXPECT_EQ(network.replica("r1").bans().digest(), digest);
  EXPECT_GT(network.replica("r1").counters().rejected, 2000U);
}

// Guards against a malformed list of requested buckets that is decoded as an empty list.
TEST(Replica, RejectsFloorsFrameWhenListOfBucketsIsMalformed) {
  alderspur::msgpack_codec::Writer frame;
  frame.array(4).number(static_cast<std::uint64_t>(FrameKind::floors)).number(0).array(0).number(7);
  Replica replica({.self = author(0)}, 1);
  std::vector<Action> actions;
  replica.handle(kSecond, FrameReceived{"r1", frame.str()}, actions);
  EXPECT_EQ(replica.counters().rejected, 1U);
}

// Guards against a rejected frame that raises the global floor and so invalidates all copies.
TEST(Replica, KeepsGlobalFloorWhenFrameIsRejected) {
  for (const FrameKind kind : {FrameKind::bucket_digests, FrameKind::floors}) {
    alderspur::msgpack_codec::Writer frame;
    frame.array(3).number(static_cast<std::uint64_t>(kind)).number(kSecond).number(7);
    Replica replica({.self = author(0)}, 1);
    std::vector<Action> actions;
    replica.handle(kSecond, FrameReceived{"r1", frame.str()}, actions);
    EXPECT_EQ(replica.counters().rejected, 1U);
    EXPECT_EQ(replica.floors().global_floor(), 0) << static_cast<std::uint64_t>(kind);
  }
}

// Returns the frames of a recorded run in which two replicas exchange all kinds of frames.
std::vector<std::string> recorded_frames() {
  std::vector<std::string> frames;
  std::ifstream file(test_data::path("replication/frames.txt"));
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::string by;
    std::string kind;
    std::string hex;
    words >> by >> kind >> hex;
    if (kind != "ban" && kind != "purge") frames.push_back(test_data::from_hex(hex));
  }
  return frames;
}

// Returns a replica with a ban, a lifted ban and a floor, whose only peer is r1.
Replica replica_with_state() {
  Replica replica({.self = author(0)}, 1);
  std::vector<Action> actions;
  replica.handle(kSecond, PeersChanged{{"r1"}}, actions);
  replica.handle(kSecond, BanRequested{"s-7", "by hand", kSecond}, actions);
  replica.handle(kSecond, BanRequested{"s-8", "by hand", kSecond}, actions);
  replica.handle(kSecond, LiftRequested{"s-8"}, actions);
  replica.handle(kSecond, PurgeObserved{{true, 5, kSecond}}, actions);
  return replica;
}

// The effect of a frame on the replica of replica_with_state().
struct FrameEffect {
  bool has_changed_state = false;
  std::size_t action_count = 0;
  std::uint64_t rejected = 0;
};

FrameEffect effect_of(const std::string& frame) {
  Replica replica = replica_with_state();
  const auto bans = replica.bans();
  const auto floors = replica.floors();
  std::vector<Action> actions;
  replica.handle(2 * kSecond, FrameReceived{"r1", frame}, actions);
  const bool is_same = replica.bans() == bans && replica.floors() == floors;
  return {!is_same, actions.size(), replica.counters().rejected};
}

// Guards against handlers that act on a part of a frame, and against elements of a wrong type that
// are decoded as empty.
TEST(Replica, ChangesNothingForAnyMangledFrame) {
  std::set<char> kinds;
  for (const auto& frame : recorded_frames()) {
    kinds.insert(frame.at(1));
    ASSERT_EQ(effect_of(frame).rejected, 0U) << test_data::to_hex(frame);
    for (const auto& copy : mangled::unacceptable_copies(frame)) {
      const auto effect = effect_of(copy);
      ASSERT_EQ(effect.rejected, 1U) << test_data::to_hex(copy);
      ASSERT_FALSE(effect.has_changed_state) << test_data::to_hex(copy);
      ASSERT_EQ(effect.action_count, 0U) << test_data::to_hex(copy);
    }
    for (const auto& copy : mangled::Mangler(frame).with_dropped_elements()) {
      const auto effect = effect_of(copy);
      if (effect.rejected == 0) continue;  // a valid frame with a shorter list
      ASSERT_FALSE(effect.has_changed_state) << test_data::to_hex(copy);
      ASSERT_EQ(effect.action_count, 0U) << test_data::to_hex(copy);
    }
  }
  EXPECT_EQ(kinds, (std::set<char>{1, 2, 3, 4, 5, 6, 7})) << "the run must contain all kinds";
}

std::vector<Time> global_purges(const std::vector<Action>& actions) {
  std::vector<Time> times;
  for (const auto& action : actions) {
    if (const auto* purge = std::get_if<ApplyGlobalPurge>(&action)) times.push_back(purge->at);
  }
  return times;
}

// Guards against a router that continues to serve copies from before a global purge.
TEST(Replica, NotifiesItsRouterOfAGlobalFloorFromAPeer) {
  PurgeFloors folded;
  folded.raise_global(5 * kSecond);
  for (const auto& frame :
       {encode_floors(folded.global_floor(), {}, {}), encode_digests({}, folded),
        encode_bucket_digests(folded.global_floor(), {})}) {
    Replica replica({.self = author(0)}, 1);
    std::vector<Action> actions;
    replica.handle(kSecond, FrameReceived{"r1", frame}, actions);
    EXPECT_EQ(replica.floors().global_floor(), 5 * kSecond);
    EXPECT_EQ(global_purges(actions), std::vector<Time>{5 * kSecond});
    replica.handle(kSecond, FrameReceived{"r1", frame}, actions);
    EXPECT_EQ(global_purges(actions), std::vector<Time>{5 * kSecond})
        << "the router must be notified once";
  }
}

// Guards against a router that serves copies from before a purge because it was down while its
// peers folded their floors.
TEST(Replica, NotifiesARestartedRouterOfAllFoldedPurges) {
  constexpr std::size_t kMaxFloors = 16;
  for (std::uint64_t seed = 1; seed <= 20 * exploration_factor(); ++seed) {
    Network network(seed, 3, kMaxFloors);
    network.run(2 * kSecond);
    network.stop("r2");
    std::map<std::uint64_t, Time> purged_at;
    for (std::uint64_t object = 0; object <= kMaxFloors; ++object) {
      network.run(2'000);
      purged_at[object] = network.now();
      network.purge(replica_name(network.draw(2)), object);
    }
    network.run(2 * kSecond);
    network.restart("r2");
    ASSERT_TRUE(network.run_until([&] { return network.all_equal(); }, 5 * kSecond)) << seed;
    ASSERT_GT(network.replica("r2").floors().global_floor(), 0) << "floors were folded";
    auto& node = network.node("r2");
    for (const auto& [object, at] : purged_at) {
      ASSERT_GE(std::max(node.global_floor, node.purge_floors[object]), at)
          << "seed " << seed << ", object " << object;
    }
  }
}

// Returns a set with one ban that was made at this time.
BanSet bans_made_at(Time at) {
  BanSet bans;
  bans.add(author(1), {"s-1", "by hand", at});
  return bans;
}

// Guards against floors in the far future, which would never be lowered again. A frame of any kind
// that contains such a time must be rejected as a whole and not be forwarded.
TEST(Replica, RejectsTimesBeyondTheClockSkew) {
  constexpr Time kFarFuture = Time{1} << 61;
  PurgeFloors folded;
  folded.raise_global(kFarFuture);
  const PurgeFloor future{true, 7, kFarFuture};
  const PurgeFloor past{true, 8, kSecond};
  const auto frames = {
      encode_floor_updates({past, future}),      encode_floors(0, {past, future}, {}),
      encode_floors(kFarFuture, {past}, {}),     encode_digests({}, folded),
      encode_bucket_digests(kFarFuture, {}),     encode_ban_delta(bans_made_at(kFarFuture)),
      encode_full_bans(bans_made_at(kFarFuture))};
  for (const auto& frame : frames) {
    Network network(4, 3);
    network.run(2 * kSecond);
    network.deliver("r0", FrameReceived{"r1", frame});
    EXPECT_EQ(network.node("r0").clock_skews["r1"], 1U);
    EXPECT_EQ(network.replica("r0").counters().rejected, 1U);
    EXPECT_EQ(network.replica("r0").counters().clock_skews, 1U);
    network.run(3 * kSecond);
    for (auto& [name, node] : network.nodes()) {
      EXPECT_EQ(node.replica->floors().floor_of(true, 7), 0) << name;
      EXPECT_EQ(node.replica->floors().floor_of(true, 8), 0) << name;
      EXPECT_TRUE(node.replica->bans().empty()) << name;
    }
  }
}

TEST(Replica, AcceptsTimesWithinTheClockSkewAndRejectsLocalTimesBeyondIt) {
  const Time skew = simulation::ReplicaSettings().max_clock_skew;
  Network network(4, 2);
  network.run(2 * kSecond);
  network.deliver("r0", PurgeObserved{{true, 7, network.now() + skew}});
  ASSERT_TRUE(network.run_until(
      [&] { return network.replica("r1").floors().floor_of(true, 7) > 0; }, 3 * kSecond));
  network.deliver("r0", PurgeObserved{{true, 8, network.now() + skew + 1}});
  EXPECT_EQ(network.replica("r0").floors().floor_of(true, 8), 0);
  load_stored(network, "r1", bans_made_at(network.now() + 2 * skew));
  EXPECT_TRUE(network.replica("r1").bans().empty());
  load_stored(network, "r1", bans_made_at(network.now()));
  EXPECT_TRUE(network.replica("r1").bans().is_banned("s-1"));
}

// A router whose clock is behind rejects the changes of the other routers, and catches up once its
// clock is correct.
TEST(Replica, ConvergesOnceAClockThatWasBehindIsCorrect) {
  Network network(9, 3);
  network.run(2 * kSecond);
  network.node("r2").clock_error = -600 * kSecond;
  network.purge("r0", 5);
  network.ban("r0", "s-1");
  network.run(5 * kSecond);
  EXPECT_EQ(network.replica("r2").floors().floor_of(true, 5), 0);
  network.node("r2").clock_error = 0;
  EXPECT_TRUE(network.run_until([&] { return network.all_equal(); }, 5 * kSecond));
}

// A known failure (KNOWN-RED.txt): a router whose clock is ahead bans a server, all other routers
// reject the ban, and nothing reports that at the router where the operator made it.
TEST(Replica, ReportsARejectedBanAtTheRouterWhoseClockIsAhead) {
  constexpr Time kClockError = 120 * kSecond;
  Network network(9, 3);
  network.run(2 * kSecond);
  network.node("r0").clock_error = kClockError;
  network.deliver("r0", BanRequested{"s-1", "by hand", network.now() + kClockError});
  network.run(5 * kSecond);
  ASSERT_FALSE(network.replica("r1").bans().is_banned("s-1"));
  const auto& node = network.node("r0");
  EXPECT_FALSE(node.refused_bans.empty() && node.clock_skews.empty());
}

// Runs replicas through random losses, partitions, stops, restarts and changes.
class RandomSchedule {
 public:
  explicit RandomSchedule(std::uint64_t seed) : size_(3 + seed % 6), network_(seed * 7919, size_) {
    network_.set_loss([this](const auto& from, const auto& to) {
      return cut_links_.contains({from, to}) || network_.draw(100) < loss_percent_;
    });
  }

  void run_steps(int count) {
    for (int step = 0; step < count; ++step) {
      const auto one = replica_name(network_.draw(size_));
      const auto other = replica_name(network_.draw(size_));
      const auto server = "s-" + std::to_string(network_.draw(3));
      take_step(network_.draw(9), one, other, server);
      network_.run(static_cast<Time>(network_.draw(kSecond)));
    }
  }
  void end_all_faults() {
    cut_links_.clear();
    loss_percent_ = 0;
    for (const auto& name : stopped_) network_.restart(name);
  }
  Network& network() { return network_; }

 private:
  void take_step(std::uint64_t kind, const std::string& one, const std::string& other,
                 const std::string& server) {
    const bool is_running = !stopped_.contains(one);
    if (kind < 2 && is_running) network_.ban(one, server);
    if (kind == 2 && is_running) network_.lift(one, server);
    if (kind == 3 && is_running) network_.purge(one, network_.draw(30));
    if (kind == 4 && stopped_.size() + 2 < size_ && stopped_.insert(one).second) network_.stop(one);
    if (kind == 5 && stopped_.erase(one) > 0) network_.restart(one);
    if (kind == 6) cut_links_.insert({one, other});
    if (kind == 7) cut_links_.clear();
    if (kind == 8) loss_percent_ = network_.draw(40);
  }

  const std::size_t size_;
  Network network_;
  std::set<std::pair<std::string, std::string>> cut_links_;  // one direction each
  std::uint64_t loss_percent_ = 0;
  std::set<std::string> stopped_;
};

TEST(Replica, ConvergesAfterAnyScheduleAndLosesNoPurge) {
  for (std::uint64_t seed = 1; seed <= 60 * exploration_factor(); ++seed) {
    RandomSchedule schedule(seed);
    schedule.run_steps(40);
    schedule.end_all_faults();
    Network& network = schedule.network();
    ASSERT_TRUE(network.run_until([&] { return network.all_equal(); }, 20 * kSecond))
        << "seed " << seed;
    for (auto& [name, node] : network.nodes()) {
      const auto banned = node.replica->bans().banned_servers();
      ASSERT_EQ(node.banned, std::set<std::string>(banned.begin(), banned.end()))
          << "seed " << seed << " " << name;
    }
    for (std::uint64_t object = 0; object < 30; ++object) {
      Time latest = 0;
      for (auto& [name, node] : network.nodes()) {
        latest = std::max(latest, node.purge_floors[object]);
      }
      ASSERT_GE(network.replica("r0").floors().floor_of(true, object), latest) << "seed " << seed;
    }
  }
}

}  // namespace
