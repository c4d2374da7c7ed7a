// Bans by hand and purge floors that routers keep alike: what merging guarantees, and copies on a
// simulated network. A check that fails prints its seed, which replays it.
#include "replication/replica.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>

namespace {

using namespace alderspur;
using namespace alderspur::replication;
constexpr Time kSecond = 1'000'000;

std::size_t more() {  // ALDERSPUR_EXPLORE widens
  const char* n = std::getenv("ALDERSPUR_EXPLORE");
  return n ? static_cast<std::size_t>(std::atoi(n)) : 1;
}
Author author(std::size_t i) { return {"r" + std::to_string(i), 1}; }

// Copies made by random calls and joins, as they come about in a cluster.
std::vector<Bans> drawn(std::uint64_t seed, std::size_t n) {
  std::mt19937_64 random(seed);
  std::vector<Bans> all(n);
  for (int step = 0; step < 60; ++step) {
    const std::size_t i = random() % n;
    const auto server = "s-" + std::to_string(random() % 4);
    if (random() % 3 == 0)
      all[i].ban(author(i), {server, "c", step});
    else if (random() % 2)
      all[i].lift(server);
    else
      all[i].join(all[random() % n]);
  }
  return all;
}
Bans joined(const Bans& a, const Bans& b) {
  Bans out = a;
  out.join(b);
  return out;
}

TEST(Bans, JoiningInAnyOrderAndAnyNumberOfTimesIsTheSame) {
  for (std::uint64_t seed = 1; seed <= 300 * more(); ++seed) {
    const auto c = drawn(seed, 3);
    ASSERT_EQ(joined(c[0], c[1]), joined(c[1], c[0])) << seed;
    ASSERT_EQ(joined(joined(c[0], c[1]), c[2]), joined(c[0], joined(c[1], c[2]))) << seed;
    ASSERT_EQ(joined(c[0], c[0]), c[0]) << seed;
    const auto all = joined(joined(c[0], c[1]), c[2]);
    ASSERT_EQ(joined(all, c[1]), all) << seed;
    ASSERT_EQ(all.digest(), joined(c[2], joined(c[1], c[0])).digest());
  }
}

// Whatever is sent as a difference makes of the other copy what the whole would have made of it.
TEST(Bans, ADifferenceDoesWhatTheWholeWouldHaveDone) {
  for (std::uint64_t seed = 1; seed <= 300 * more(); ++seed) {
    auto c = drawn(seed, 2);
    auto base = c[0];
    auto other = joined(c[1], base);
    const auto change = seed % 2 ? c[0].ban(author(0), {"s-9", "c", 1}) : c[0].lift("s-1");
    auto by_change = other, by_whole = other;
    by_change.join(change), by_whole.join(c[0]);
    ASSERT_EQ(by_change, by_whole) << seed;
  }
}

TEST(Bans, OfABanAndALiftThatHaveNotSeenEachOtherTheBanHolds) {
  Bans a, b;
  a.ban(author(0), {"s-1", "disk", 1});
  b.join(a);
  b.lift("s-1");
  a.ban(author(1), {"s-1", "again", 2});  // concurrent with the lift
  a.join(b);
  b.join(a);
  EXPECT_TRUE(a.banned("s-1"));
  EXPECT_EQ(a, b);
  a.lift("s-1");
  b.join(a);
  EXPECT_FALSE(b.banned("s-1"));
  Bans old;  // a copy from before comes back and brings nothing back
  old.ban(author(0), {"s-1", "disk", 1});
  b.join(old);
  EXPECT_FALSE(b.banned("s-1"));
  EXPECT_TRUE(b.ban(author(0), {"s-1", "x", 3}).banned("s-1")) << "a new one is one";
}

TEST(Bans, AreReadAsTheyWereWrittenAndSpoiltBytesMakeNone) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto c = drawn(seed, 3)[0];
    const auto bytes = c.encode();
    Bans back;
    ASSERT_TRUE(Bans::decode(bytes, back));
    ASSERT_EQ(back, c);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
      Bans none;
      ASSERT_FALSE(Bans::decode(std::string_view(bytes).substr(0, cut), none)) << cut;
      ASSERT_TRUE(none.empty());
    }
  }
}

TEST(Floors, TheLaterWinsInAnyOrderAndSumsTellWhetherTwoAreTheSame) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<Floor> all;
    for (int i = 0; i < 200; ++i)
      all.push_back({random() % 2 == 0, random() % 60, static_cast<Time>(1 + random() % 1000)});
    Floors a, b;
    for (const auto& f : all) a.raise(f);
    std::shuffle(all.begin(), all.end(), random);
    for (const auto& f : all) b.raise(f), b.raise(f);
    ASSERT_EQ(a, b);
    ASSERT_EQ(a.sums(), b.sums());
    b.raise({true, 7, 5000});
    ASSERT_NE(a.sums(), b.sums());
  }
}

// Beyond the bound nothing is forgotten: what was forbidden stays forbidden.
TEST(Floors, BeyondTheBoundTheyGrowWiderAndNeverLess) {
  Floors f(100);
  std::mt19937_64 random(4);
  std::map<std::uint64_t, Time> true_ones;
  for (int i = 0; i < 2000; ++i) {
    const Floor x{true, random() % 500, static_cast<Time>(1 + random() % 100'000)};
    f.raise(x);
    true_ones[x.id] = std::max(true_ones[x.id], x.at);
    ASSERT_LE(f.size(), 100u);
    for (const auto& [id, at] : true_ones) ASSERT_GE(f.at(true, id), at);
  }
  EXPECT_GT(f.all(), 0);
}

// ---- Copies on a network

class Net {
 public:
  struct Node {
    std::unique_ptr<Replica> replica;
    std::set<std::string> out;  // as its router was told
    std::map<std::uint64_t, Time> forbidden;
    std::uint64_t epoch = 0;
  };
  Net(std::uint64_t seed, std::size_t n) : random(seed) {
    for (std::size_t i = 0; i < n; ++i) start("r" + std::to_string(i));
    tell();
  }
  void start(const std::string& name) {
    Node& node = nodes[name];
    ReplicaSettings s;
    s.self = {name, ++node.epoch};
    node.out.clear(), node.forbidden.clear();
    node.replica = std::make_unique<Replica>(s, random());
  }
  void tell() {  // who is there
    for (auto& [name, node] : nodes) {
      Others o;
      for (const auto& [other, x] : nodes)
        if (other != name && x.replica) o.names.push_back(other);
      if (node.replica) give(name, o);
    }
  }
  void kill(const std::string& name) { nodes[name].replica.reset(), tell(); }
  void back(const std::string& name) { start(name), tell(); }
  void give(const std::string& name, const Event& e) {
    Node& node = nodes[name];
    if (!node.replica) return;
    std::vector<Action> actions;
    node.replica->handle(now, e, actions);
    for (auto& a : actions) {
      if (auto* s = std::get_if<SendFrame>(&a)) {
        bytes += s->bytes.size(), ++frames;
        if (lost(name, s->to)) continue;
        queue.emplace(now + 500 + static_cast<Time>(random() % 4000),
                      std::pair(s->to, Frame{name, s->bytes}));
      } else if (auto* b = std::get_if<Bind>(&a)) {
        b->out ? void(node.out.insert(b->server)) : void(node.out.erase(b->server));
      } else if (auto* f = std::get_if<Forbid>(&a)) {
        node.forbidden[f->floor.id] = f->floor.at;
      }
    }
  }
  void ban(const std::string& at, const std::string& server) {
    give(at, CallBan{server, "hand", now}), nodes[at].out.insert(server);
  }
  void lift(const std::string& at, const std::string& server) {
    give(at, CallLift{server}), nodes[at].out.erase(server);
  }
  void purge(const std::string& at, std::uint64_t id) { give(at, Purged{{true, id, now}}); }
  void run(Time time) {
    for (const Time end = now + time; now < end; now += 1000) {
      while (!queue.empty() && queue.begin()->first <= now) {
        const auto [to, frame] = queue.begin()->second;
        queue.erase(queue.begin());
        give(to, frame);
      }
      for (auto& [name, node] : nodes)
        if (node.replica && node.replica->next() <= now) give(name, Tick{});
    }
  }
  bool until(const std::function<bool()>& holds, Time most) {
    for (const Time end = now + most; now < end; run(10'000))
      if (holds()) return true;
    return holds();
  }
  bool all_equal() {
    const Replica* first = nullptr;
    for (auto& [name, node] : nodes) {
      if (!node.replica) continue;
      if (!first) first = node.replica.get();
      if (!(node.replica->bans() == first->bans()) || !(node.replica->floors() == first->floors()))
        return false;
    }
    return true;
  }
  bool all_out(const std::string& server, bool out) {
    return std::all_of(nodes.begin(), nodes.end(), [&](auto& n) {
      return !n.second.replica || (n.second.out.contains(server) == out &&
                                   n.second.replica->bans().banned(server) == out);
    });
  }
  std::mt19937_64 random;
  std::map<std::string, Node> nodes;
  std::multimap<Time, std::pair<std::string, Frame>> queue;
  std::function<bool(const std::string&, const std::string&)> lost = [](auto&, auto&) {
    return false;
  };
  Time now = 1'000'000'000;
  std::uint64_t bytes = 0, frames = 0;
};

TEST(Replica, ABanAndAPurgeReachAllAndTheLiftToo) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Net net(seed, 30);
    net.run(2 * kSecond);
    net.ban("r3", "s-1");
    net.purge("r4", 77);
    ASSERT_TRUE(net.until([&] { return net.all_out("s-1", true) && net.all_equal(); }, 4 * kSecond))
        << seed;
    for (auto& [name, node] : net.nodes)
      ASSERT_TRUE(name == "r4" || node.forbidden[77] > 0) << name;
    net.lift("r20", "s-1");
    ASSERT_TRUE(
        net.until([&] { return net.all_out("s-1", false) && net.all_equal(); }, 4 * kSecond))
        << seed;
  }
}

TEST(Replica, AFifthOfAllFramesLostOnlyCostsTime) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Net net(seed, 20);
    net.lost = [&](auto&, auto&) { return net.random() % 5 == 0; };
    net.run(2 * kSecond);
    net.ban("r0", "s-1");
    for (std::uint64_t i = 0; i < 50; ++i) net.purge("r" + std::to_string(i % 20), i);
    ASSERT_TRUE(
        net.until([&] { return net.all_out("s-1", true) && net.all_equal(); }, 15 * kSecond))
        << seed;
  }
}

TEST(Replica, BannedOnOneSideOfACutAndLiftedOnTheOtherTheBanHolds) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Net net(seed, 6);
    net.ban("r0", "s-1");
    ASSERT_TRUE(net.until([&] { return net.all_out("s-1", true); }, 4 * kSecond));
    const auto low = [](const std::string& n) { return n < "r3"; };
    net.lost = [&](auto& a, auto& b) { return low(a) != low(b); };
    net.ban("r1", "s-1");  // a second, with a cause of its own
    net.lift("r4", "s-1");
    net.run(5 * kSecond);
    EXPECT_TRUE(net.nodes["r0"].out.contains("s-1"));
    EXPECT_FALSE(net.nodes["r5"].out.contains("s-1"));
    net.lost = [](auto&, auto&) { return false; };
    ASSERT_TRUE(net.until([&] { return net.all_out("s-1", true) && net.all_equal(); }, 6 * kSecond))
        << seed;
    net.lift("r5", "s-1");
    ASSERT_TRUE(
        net.until([&] { return net.all_out("s-1", false) && net.all_equal(); }, 6 * kSecond))
        << seed;
  }
}

// One that heard a purge, told one other, and died.
TEST(Replica, WhatOneHeardAndPassedOnOnceOutlivesIt) {
  Net net(5, 8);
  net.run(2 * kSecond);
  net.lost = [](auto& a, auto& b) { return a == "r0" && b != "r1"; };
  for (std::uint64_t i = 0; i < 40; ++i) net.purge("r0", i);  // some reach r1
  net.run(kSecond);
  net.kill("r0");
  ASSERT_TRUE(net.until([&] { return net.all_equal(); }, 6 * kSecond));
  EXPECT_GT(net.nodes["r7"].replica->floors().size(), 0u);
}

// Away for a thousand purges, a ban and a lift: back without a memory, caught up at once, and it
// knows when.
TEST(Replica, WhoWasAwayIsCaughtUpByTheDifferenceAndSaysSoOnlyThen) {
  Net net(6, 5);
  net.ban("r0", "s-1");
  net.ban("r0", "s-2");
  net.run(3 * kSecond);
  net.kill("r4");
  for (std::uint64_t i = 0; i < 1000; ++i) net.purge("r" + std::to_string(i % 4), i);
  net.lift("r1", "s-2");
  ASSERT_TRUE(net.until([&] { return net.all_equal(); }, 5 * kSecond));
  net.back("r4");
  EXPECT_FALSE(net.nodes["r4"].replica->caught_up());
  ASSERT_TRUE(net.until([&] { return net.nodes["r4"].replica->caught_up(); }, kSecond));
  EXPECT_TRUE(net.all_equal());
  EXPECT_TRUE(net.all_out("s-1", true) && net.all_out("s-2", false));
  // One more is found by bytes for one, not for a thousand.
  net.run(3 * kSecond);
  net.lost = [](auto&, auto& b) { return b == "r4"; };
  net.purge("r0", 5000);
  net.run(3 * kSecond);
  net.lost = [](auto&, auto&) { return false; };
  const auto before = net.bytes;
  ASSERT_TRUE(net.until([&] { return net.all_equal(); }, 5 * kSecond));
  EXPECT_LT(net.bytes - before, 60'000u) << "a whole copy is 20,000 and many of them";
}

TEST(Replica, OneAloneIsCaughtUpAfterAWhileAndNotBefore) {
  Net net(7, 1);
  net.run(2 * kSecond);
  EXPECT_FALSE(net.nodes["r0"].replica->caught_up());
  net.run(2 * kSecond);
  EXPECT_TRUE(net.nodes["r0"].replica->caught_up());
}

// Others of an earlier program are there and never answer; or changes never rest, so that no two
// copies are the same at any moment. A router that waits for the word would never be ready.
TEST(Replica, AmongSilentOrBusyOthersItIsCaughtUpAfterAWhile) {
  Net silent(11, 4);
  silent.lost = [](auto& a, auto&) { return a != "r0"; };
  silent.run(2 * kSecond);
  EXPECT_FALSE(silent.nodes["r0"].replica->caught_up());
  silent.run(2 * kSecond);
  EXPECT_TRUE(silent.nodes["r0"].replica->caught_up());
  Net busy(12, 4);
  std::uint64_t id = 0;
  const auto load = [&](Time time) {
    for (const Time end = busy.now + time; busy.now < end; busy.run(2'000))
      busy.purge("r" + std::to_string(id % 3), id), ++id;
  };
  load(3 * kSecond);
  busy.back("r3");
  load(4 * kSecond);
  EXPECT_TRUE(busy.nodes["r3"].replica->caught_up());
  EXPECT_GE(busy.nodes["r3"].replica->floors().size() + 50,
            busy.nodes["r0"].replica->floors().size());
}

TEST(Replica, FramesThatAreNoneAreCountedAndChangeNothing) {
  Net net(8, 2);
  net.ban("r0", "s-1");
  net.run(2 * kSecond);
  const auto digest = net.nodes["r1"].replica->bans().digest();
  std::mt19937_64 random(9);
  for (int i = 0; i < 3000; ++i) {
    std::string bytes(random() % 60, ' ');
    for (auto& c : bytes) c = static_cast<char>(random());
    if (!bytes.empty() && i % 2) bytes[0] = static_cast<char>(0x90 | (1 + random() % 4));
    net.give("r1", Frame{"r0", bytes});
  }
  EXPECT_EQ(net.nodes["r1"].replica->bans().digest(), digest);
  EXPECT_GT(net.nodes["r1"].replica->counts().refused, 2000u);
}

// Whatever is lost, cut, killed and called in whatever order: after quiet all copies are equal,
// what each router was told is what its copy says, and nothing that was forbidden is allowed again.
TEST(Replica, AfterAnyScheduleAndQuietAllCopiesAreEqualAndNothingForbiddenIsLost) {
  for (std::uint64_t seed = 1; seed <= 60 * more(); ++seed) {
    const std::size_t n = 3 + seed % 6;
    Net net(seed * 7919, n);
    std::set<std::pair<std::string, std::string>> cut;
    std::uint64_t loss = 0;
    net.lost = [&](auto& a, auto& b) { return cut.contains({a, b}) || net.random() % 100 < loss; };
    std::set<std::string> dead;
    for (int step = 0; step < 40; ++step) {
      const auto a = "r" + std::to_string(net.random() % n),
                 b = "r" + std::to_string(net.random() % n);
      const auto server = "s-" + std::to_string(net.random() % 3);
      const auto pick = net.random() % 9;
      if (pick < 2 && !dead.contains(a)) net.ban(a, server);
      if (pick == 2 && !dead.contains(a)) net.lift(a, server);
      if (pick == 3 && !dead.contains(a)) net.purge(a, net.random() % 30);
      if (pick == 4 && dead.size() + 2 < n && dead.insert(a).second) net.kill(a);
      if (pick == 5 && dead.erase(a)) net.back(a);
      if (pick == 6) cut.insert({a, b});
      if (pick == 7) cut.clear();
      if (pick == 8) loss = net.random() % 40;
      net.run(static_cast<Time>(net.random() % 1'000'000));
    }
    cut.clear(), loss = 0;
    for (const auto& d : dead) net.back(d);
    ASSERT_TRUE(net.until([&] { return net.all_equal(); }, 20 * kSecond)) << "seed " << seed;
    for (auto& [name, node] : net.nodes) {
      const auto held = node.replica->bans().servers();
      ASSERT_EQ(node.out, std::set<std::string>(held.begin(), held.end()))
          << "seed " << seed << " " << name;
    }
    for (std::uint64_t id = 0; id < 30; ++id) {
      Time most = 0;
      for (auto& [name, node] : net.nodes) most = std::max(most, node.forbidden[id]);
      ASSERT_GE(net.nodes["r0"].replica->floors().at(true, id), most) << "seed " << seed;
    }
  }
}

}  // namespace
