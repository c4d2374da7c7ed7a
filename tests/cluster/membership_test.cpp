// Membership between routers on a simulated network. A check that fails prints its seed, which
// replays it.
#include <gtest/gtest.h>

#include <cstdlib>

#include "network.h"

namespace {

using namespace alderspur;
using cluster::State;
using cluster::Whole;
using network::kSecond;
using network::Network;

std::string name(std::size_t i) { return "n" + std::to_string(i); }
void start_all(Network& net, std::size_t n,
               const std::vector<std::string>& seeds = {"at-n0", "at-n1", "at-n2"}) {
  for (std::size_t i = 0; i < n; ++i) net.start(name(i), seeds);
}
std::size_t failures(Network& net) {
  std::size_t n = 0;
  for (auto& [address, node] : net.nodes) n += node.member->counts().failures;
  return n;
}
bool all_hold(Network& net, const std::string& who, State state) {
  for (auto& [address, node] : net.nodes) {
    const auto* seen = node.member->find(who);
    if (!seen || seen->member.state != state) return false;
  }
  return true;
}

class Cluster : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  Cluster() { RecordProperty("seed", static_cast<int>(GetParam())); }
  Network net{GetParam()};
};

TEST_P(Cluster, AFleetThatStartsAtOnceFormsOne) {
  start_all(net, 30);
  EXPECT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
}

TEST_P(Cluster, TwoOfThreeSeedsMayBeDownAtTheStart) {
  for (std::size_t i = 2; i < 7; ++i) net.start(name(i), {"at-n0", "at-n1", "at-n2"});
  EXPECT_TRUE(net.run_until([&] { return net.agreed(); }, 8 * kSecond));
}

TEST_P(Cluster, OneThatDiesIsKnownByAllAndOneBackIsNew) {
  start_all(net, 7);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  const auto before = net.member("n4").self().epoch;
  net.kill("at-n4");
  EXPECT_TRUE(net.run_until([&] { return all_hold(net, "n4", State::failed); }, 6 * kSecond));
  EXPECT_EQ(net.member("n0").whole(), Whole::degraded);
  net.start("n4", {"at-n0"});
  EXPECT_TRUE(net.run_until([&] { return net.all_whole(); }, 6 * kSecond));
  EXPECT_GT(net.member("n0").find("n4")->member.identity.epoch, before);
}

// One that is stopped for long is failed, accuses nobody when it goes on, and refutes.
TEST_P(Cluster, OneThatStandsStillAccusesNobodyWhenItGoesOn) {
  start_all(net, 5);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.stop("at-n3");
  net.run(10 * kSecond);
  EXPECT_EQ(net.member("n0").find("n3")->member.state, State::failed);
  const auto before = failures(net);
  net.go_on("at-n3");
  EXPECT_TRUE(net.run_until([&] { return net.all_whole(); }, 6 * kSecond));
  net.run(10 * kSecond);
  EXPECT_EQ(failures(net), before);
  EXPECT_GE(net.member("n3").counts().stalls, 1u);
}

TEST_P(Cluster, TwoSidesOfACutSayWhatTheySeeAndFindEachOtherAgain) {
  start_all(net, 5);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  const std::set<std::string> small = {"at-n0", "at-n1"};
  net.lost = [&](auto& a, auto& b) { return small.contains(a) != small.contains(b); };
  net.run(15 * kSecond);
  for (const auto& n : {"n0", "n1"}) EXPECT_EQ(net.member(n).whole(), Whole::cut);
  for (const auto& n : {"n2", "n3", "n4"}) EXPECT_EQ(net.member(n).whole(), Whole::degraded);
  net.lost = [](auto&, auto&) { return false; };
  EXPECT_TRUE(net.run_until([&] { return net.all_whole(); }, 10 * kSecond));
}

TEST_P(Cluster, OneAloneSaysSo) {
  start_all(net, 3);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.lost = [](auto& a, auto& b) { return a == "at-n1" || b == "at-n1"; };
  EXPECT_TRUE(
      net.run_until([&] { return net.member("n1").whole() == Whole::alone; }, 10 * kSecond));
}

// A hears B, B does not hear A: the others carry what does not come through, and nobody is held for
// failed.
TEST_P(Cluster, AOneWayCutBetweenTwoIsBridgedByTheOthers) {
  start_all(net, 5);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.lost = [](auto& a, auto& b) { return a == "at-n1" && b == "at-n2"; };
  net.run(60 * kSecond);
  EXPECT_EQ(failures(net), 0u);
  EXPECT_TRUE(net.agreed());
}

// Only neighbours hear each other. Nobody can be probed beyond one helper: who is not reached by
// any is failed, and a chain of four still knows of each other through the middle.
TEST_P(Cluster, InAChainOfThreeTheMiddleHoldsTheEndsTogether) {
  start_all(net, 3);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.lost = [](auto& a, auto& b) { return a != "at-n1" && b != "at-n1"; };
  net.run(60 * kSecond);
  EXPECT_EQ(failures(net), 0u);
  EXPECT_TRUE(net.agreed());
}

TEST_P(Cluster, AFlappingLinkFailsNobody) {
  start_all(net, 5);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.lost = [&](auto& a, auto& b) {
    const bool link = (a == "at-n0" && b == "at-n1") || (a == "at-n1" && b == "at-n0");
    return link && (net.now / kSecond) % 2 == 0;
  };
  net.run(120 * kSecond);
  EXPECT_EQ(failures(net), 0u);
}

TEST_P(Cluster, AFifthOfAllMessagesLostForTwoMinutesFailsNobody) {
  start_all(net, 7);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.lost = [&](auto&, auto&) { return net.random() % 5 == 0; };
  net.run(120 * kSecond);
  EXPECT_EQ(failures(net), 0u);
}

TEST_P(Cluster, AllKilledAndBackAtOnceFormOneAgain) {
  start_all(net, 10);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  for (std::size_t i = 0; i < 10; ++i) net.kill("at-" + name(i));
  net.run(kSecond);
  start_all(net, 10);
  EXPECT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
}

TEST_P(Cluster, BackAtAnothersAddressTheTwoAreKeptApart) {
  start_all(net, 5);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.kill("at-n3");
  net.kill("at-n4");
  net.start("n3", {"at-n0"}, "at-n4");  // at once, where n4 was; n4 is gone
  EXPECT_TRUE(net.run_until(
      [&] {
        const auto* a = net.member("n0").find("n3");
        const auto* b = net.member("n0").find("n4");
        return a && a->member.state == State::alive && a->member.identity.address == "at-n4" && b &&
               b->member.state == State::failed;
      },
      8 * kSecond));
  net.run(5 * kSecond);
  EXPECT_EQ(net.member("n1").find("n3")->member.state, State::alive);
}

TEST_P(Cluster, OfTwoUnderOneNameTheLaterHoldsAndTheOtherIsTold) {
  start_all(net, 4);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.start("n2", {"at-n0"}, "elsewhere");
  EXPECT_TRUE(net.run_until([&] { return net.at("at-n2").superseded; }, 8 * kSecond));
  EXPECT_FALSE(net.at("elsewhere").superseded);
  EXPECT_TRUE(net.run_until(
      [&] {
        const auto* s = net.member("n0").find("n2");
        return s && s->member.identity.address == "elsewhere" && s->member.state == State::alive;
      },
      5 * kSecond));
  std::size_t named = 0;
  for (auto& [a, n] : net.nodes) named += n.conflicts.size();
  EXPECT_GE(named, 1u);
}

TEST_P(Cluster, LeavingInOrderIsSaidAndNotSuspected) {
  start_all(net, 7);
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.deliver("at-n5", cluster::Leave{});
  ASSERT_TRUE(net.run_until([&] { return net.at("at-n5").left; }, 2 * kSecond));
  net.kill("at-n5");
  EXPECT_TRUE(net.run_until([&] { return all_hold(net, "n5", State::left); }, 2 * kSecond));
  net.run(10 * kSecond);
  EXPECT_EQ(failures(net), 0u);
  EXPECT_TRUE(net.all_whole()) << "who left in order is missed by nobody";
}

// Old messages and rumours of one that is long forgotten do not bring it back; a message of a
// stranger alone does not bring in anybody.
TEST_P(Cluster, TheForgottenAreNotRevivedByWhatWasKeptOfThem) {
  start_all(net, 5);
  std::vector<std::pair<std::string, cluster::Message>> kept;
  net.carried = [&](auto& to, auto& m) {
    if (m.from.name == "n3" && kept.size() < 300) kept.emplace_back(to, m);
  };
  ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
  net.run(5 * kSecond);
  net.kill("at-n3");
  net.run(75 * kSecond);
  EXPECT_EQ(net.member("n0").find("n3"), nullptr) << "forgotten";
  for (const auto& [to, m] : kept) net.deliver(to, cluster::Received{m, "at-n3"});
  net.run(10 * kSecond);
  for (auto& [address, n] : net.nodes) EXPECT_EQ(n.member->find("n3"), nullptr) << address;
  EXPECT_TRUE(net.all_whole());
}

INSTANTIATE_TEST_SUITE_P(Seeds, Cluster, ::testing::Range(std::uint64_t{1}, std::uint64_t{13}));

// Random faults of all kinds at once; then quiet, and all views are equal and right.
TEST(ClusterMixed, AfterAnyFaultsAndQuietAllViewsAreEqualAndRight) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    Network net(seed);
    const std::size_t n = 3 + seed % 7;
    start_all(net, n);
    std::set<std::pair<std::string, std::string>> cut;
    std::uint64_t loss = 0;
    net.lost = [&](auto& a, auto& b) { return cut.contains({a, b}) || net.random() % 100 < loss; };
    std::set<std::string> stopped, dead;
    std::string schedule;
    for (int step = 0; step < 25; ++step) {
      const auto who = "at-" + name(net.random() % n), other = "at-" + name(net.random() % n);
      const auto pick = net.random() % 7;
      schedule += std::to_string(pick) + who + other + ' ';
      if (pick == 0 && !dead.contains(who)) net.kill(who), dead.insert(who), stopped.erase(who);
      if (pick == 1 && dead.erase(who)) net.start(who.substr(3), {"at-n0", "at-n1", "at-n2"});
      if (pick == 2 && !dead.contains(who)) net.stop(who), stopped.insert(who);
      if (pick == 3 && stopped.erase(who)) net.go_on(who);
      if (pick == 4) cut.insert({who, other});
      if (pick == 5) cut.clear();
      if (pick == 6) loss = net.random() % 40;
      net.run(static_cast<network::Time>(net.random() % (6 * kSecond)));
    }
    cut.clear(), loss = 0;
    for (const auto& s : stopped) net.go_on(s);
    for (const auto& d : dead) net.start(d.substr(3), {"at-n0", "at-n1", "at-n2"});
    ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 40 * kSecond))
        << "seed " << seed << ", " << n << " members: " << schedule;
  }
}

// The load of a member does not grow with the number of members.
TEST(ClusterLoad, IsTheSameForThirtyAndForOneHundredAndFifty) {
  const auto load = [](std::size_t n) {
    Network net(5);
    start_all(net, n);
    EXPECT_TRUE(net.run_until([&] { return net.all_whole(); }, 30 * kSecond, kSecond / 4)) << n;
    net.run(60 * kSecond);  // the news of the start have been told
    std::uint64_t before = 0, after = 0;
    for (auto& [a, node] : net.nodes) before += node.bytes;
    net.run(10 * kSecond);
    for (auto& [a, node] : net.nodes) after += node.bytes;
    return static_cast<double>(after - before) / static_cast<double>(n);
  };
  const double small = load(30), large = load(150);
  EXPECT_LT(large, 1.2 * small);
  EXPECT_GT(small, 1000);
}

// All of it, in a small case: three members; one of the first messages is lost, one comes late, and
// one member starts anew at one of some moments. Properties, in each of the schedules: what a
// member holds of another never goes back in (epoch, incarnation, state); nobody but the one that
// started anew is ever failed; after quiet all are whole and know the new start. ALDERSPUR_EXPLORE
// widens it (10 by default: 10 x 10 x 6 x 3 schedules).
TEST(ClusterExplored, WithOneLostOneLateAndOneRestartNothingGoesBackAndAllComeTogether) {
  const char* wide = std::getenv("ALDERSPUR_EXPLORE");
  const std::uint64_t most = wide ? std::strtoull(wide, nullptr, 10) : 24;
  std::uint64_t schedules = 0;
  for (std::uint64_t lost = 0; lost < most; ++lost)
    for (std::uint64_t late = 0; late < most; ++late)
      for (network::Time at = 0; at < 600'000; at += 100'000)
        for (std::size_t who = 0; who < 3; ++who, ++schedules) {
          SCOPED_TRACE("lost " + std::to_string(lost) + " late " + std::to_string(late) +
                       " restart of " + name(who) + " after " + std::to_string(at) + " us");
          Network net(3);
          start_all(net, 3);
          ASSERT_TRUE(net.run_until([&] { return net.all_whole(); }, 8 * kSecond));
          std::map<std::pair<std::string, std::string>, cluster::GossipUpdate> held;
          bool back = false, wrong = false;
          net.changed = [&](network::Network::Node& n, const cluster::Changed& c) {
            auto [it, fresh] = held.try_emplace({n.address, c.now.identity.name}, c.now);
            back |= !fresh && !cluster::overrides(c.now, it->second);
            it->second = c.now;
            wrong |= c.now.state == State::failed && c.now.identity.name != name(who);
          };
          std::uint64_t message = 0;
          net.lost = [&](auto&, auto&) { return message++ == lost; };
          net.way = [&]() -> network::Time { return message - 1 == late ? 900'000 : 1'000; };
          net.run(at);
          net.kill("at-" + name(who));
          std::erase_if(held, [&](auto& e) {
            return e.first.first == "at-" + name(who);
          });  // it knows nothing
          net.start(name(who), {"at-n0", "at-n1", "at-n2"});
          const auto epoch = net.member(name(who)).self().epoch;
          const bool whole = net.run_until(
              [&] {
                return net.now > static_cast<network::Time>(epoch) + 2'000'000 && net.all_whole();
              },
              12 * kSecond);
          ASSERT_TRUE(whole);
          ASSERT_FALSE(back);
          ASSERT_FALSE(wrong);
          for (std::size_t i = 0; i < 3; ++i)
            if (i != who) {
              ASSERT_EQ(net.member(name(i)).find(name(who))->member.identity.epoch, epoch);
            }
        }
  RecordProperty("schedules", static_cast<int>(schedules));
}

}  // namespace
