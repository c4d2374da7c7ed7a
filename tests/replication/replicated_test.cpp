// Bans by hand kept alike by several processes of the program, with faults between them, judged by
// what the stand-in boxes receive and by each process's own view.
#include "consensus/router_fleet.h"

namespace {

using fleet::kHangs, fleet::kNoFault, fleet::kSyncIgnored;
using rig::kSecond;
using rig::Time;
namespace net = alderspur::net;

class Replicated : public ::testing::Test, protected fleet::RouterFleet {
 protected:
  void begin(std::size_t n) {
    has_no_consensus = true;  // each has its list; nothing is agreed
    ASSERT_TRUE(RouterFleet::start(n, {}));
    ASSERT_TRUE(cluster->until([&] { return all_caught_up(); }));
    is_sending = true;
    ASSERT_TRUE(cluster->until([&] { return requests_received[2] > 20; }));
  }
  struct Copy {
    bool answered = false, caught_up = false;
    std::multiset<std::string> bans;  // by server, one for each that holds
  };
  Copy copy(std::size_t i) {
    Copy c;
    if (!cluster->runs(i)) return c;
    rapidjson::Document j;
    j.Parse(cluster->get(i, "/control/cluster").c_str());
    if (j.HasParseError() || !j.IsObject() || !j.HasMember("replica")) return c;
    c.answered = true, c.caught_up = j["replica"]["caught_up"].GetBool();
    for (const auto& b : j["replica"]["bans"].GetArray()) c.bans.insert(b["server"].GetString());
    return c;
  }
  bool all_caught_up() {
    for (const auto i : cluster->all())
      if (!copy(i).caught_up) return false;
    return true;
  }
  bool banned_at(const std::vector<std::size_t>& of, bool is) {
    for (const auto i : of)
      if (const auto c = copy(i); !c.answered || c.bans.contains("s-2") != is) return false;
    return true;
  }
  std::string on_disk(std::size_t i) {
    std::ifstream in(cluster->state(i) + "/replica.bans", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  std::string hand(std::size_t at, const char* what) {
    return cluster->put(at, std::string("/control/caches/s-2/") + what, "");
  }
  // What the box gets in that time, from anybody.
  std::uint64_t gets(Time time) {
    const auto before = requests_received[2];
    cluster->run(time);
    return requests_received[2] - before;
  }
};

TEST_F(Replicated, ABanCalledAtOneRouterBindsAllAndALiftAtAnotherEndsIt) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  EXPECT_NE(hand(0, "offline").find("is out"), std::string::npos);
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->run(kSecond);  // what was out ends
  EXPECT_EQ(gets(2 * kSecond), 0u);
  EXPECT_NE(hand(3, "online").find("may serve"), std::string::npos);
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), false); }, 15 * kSecond));
  EXPECT_TRUE(cluster->until([&] { return gets(500'000) > 0; }));
}

TEST_F(Replicated, BannedAgainOnOneSideOfACutAndLiftedOnTheOtherTheBanHolds) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  hand(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->cut({0, 1}, {2, 3});
  ASSERT_TRUE(cluster->until(
      [&] { return cluster->view(0).alive() == 1 && cluster->view(3).alive() == 1; }));
  hand(3, "online");
  ASSERT_TRUE(cluster->until([&] { return banned_at({2, 3}, false); }, 15 * kSecond));
  hand(1, "online"),
      hand(1, "offline");  // a ban of its own, which the lift over there has not seen
  cluster->run(kSecond);
  cluster->cut({0, 1}, {2, 3}, false);
  ASSERT_TRUE(cluster->until(
      [&] { return cluster->whole(cluster->all()) && banned_at(cluster->all(), true); }));
  cluster->run(kSecond);
  EXPECT_EQ(gets(2 * kSecond), 0u);
  hand(2, "online");
  EXPECT_TRUE(cluster->until([&] { return banned_at(cluster->all(), false); }, 15 * kSecond));
}

// A purge that the board of one router tells, and of nobody else: a request anywhere asks for no
// older copy, also after the one that heard it has died, and at one that was away.
TEST_F(Replicated, APurgeHeardByOneRouterBindsAllAndOutlivesIt) {
  has_discovery = true;
  ASSERT_NO_FATAL_FAILURE(begin(3));
  ASSERT_TRUE(cluster->until([&] { return discovery_servers[0].is_watched(); }));
  cluster->kill(2);
  const std::string item = "00000000000000aa";
  discovery_servers[0].send(R"({"rev":1,"flush":{"asset":")" + item + R"(","ms":)" +
                            std::to_string(net::unix_now() / 1000) + "}}\n");
  const auto asks = [&](std::size_t router) {  // with what bound on the copy's age, in milliseconds
    age_limits.erase(item);
    auto s = loopback::dial(cluster->clients(router));
    s->write(loopback::request(1, "asset",
                               {{"txn", item}, {"item", item}, {"limit", "3000"}, {"ram", "90"}}));
    cluster->until([&] { return s->poll(), !loopback::answers(s->in).empty(); }, 10 * kSecond);
    return age_limits.contains(item) ? std::stoi(age_limits[item]) : 0;
  };
  ASSERT_TRUE(cluster->until([&] { return asks(1) > 0; }, 10 * kSecond))
      << "it is told by the other";
  cluster->kill(0);
  cluster->start(2);
  ASSERT_TRUE(cluster->until([&] { return copy(2).caught_up; }));
  const int bound = asks(2);
  EXPECT_GT(bound, 0) << "one that was away";
  EXPECT_LT(bound, 60'000);
}

// Whoever made a ban dies; one that was away while it was lifted comes back with the ban on its
// disk.
TEST_F(Replicated, ABanOutlivesItsAuthorAndALiftReachesWhoWasAway) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  hand(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->run(500'000);  // it is on the disks
  cluster->kill(0), cluster->kill(2);
  EXPECT_EQ(gets(kSecond), 0u);
  cluster->start(0);
  ASSERT_TRUE(cluster->until([&] { return copy(0).caught_up; }));
  EXPECT_TRUE(banned_at({0, 1, 3}, true));
  hand(1, "online");
  ASSERT_TRUE(cluster->until([&] { return banned_at({0, 1, 3}, false); }, 15 * kSecond));
  cluster->start(2);
  ASSERT_TRUE(cluster->until([&] { return copy(2).caught_up; }));
  EXPECT_TRUE(cluster->until([&] { return banned_at(cluster->all(), false); }, 15 * kSecond));
  cluster->run(2 * kSecond);
  EXPECT_TRUE(banned_at(cluster->all(), false)) << "nothing came back";
}

// All lose their power at once: one disk had lied, one is lost, one is spoilt.
TEST_F(Replicated, AllLosePowerWithOneDiskLyingOneLostAndOneSpoiltAndTheBanHolds) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  cluster->lie(0, kSyncIgnored);
  hand(1, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->run(500'000);
  for (const auto i : cluster->all()) cluster->lose_power(i);
  cluster->lie(0, kNoFault);
  std::filesystem::remove_all(cluster->state(2));
  std::ofstream(cluster->state(3) + "/replica.bans", std::ios::trunc) << "torn";
  cluster->start_all();
  ASSERT_TRUE(cluster->until([&] { return cluster->whole(cluster->all()) && all_caught_up(); }));
  EXPECT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  EXPECT_NE(cluster->log(3).find("event=not_read"), std::string::npos);
  const auto before = requests_received[2];
  cluster->run(2 * kSecond);
  EXPECT_EQ(requests_received[2], before);
}

TEST_F(Replicated, AReadyRouterHasWhatIsInForceOrWasAloneForAWhile) {
  ASSERT_NO_FATAL_FAILURE(begin(3));
  hand(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  // What came from another router binds at once and is on the disk a moment later.
  ASSERT_TRUE(cluster->until([&] { return on_disk(2).find("s-2") != std::string::npos; }));
  cluster->kill(2);
  cluster->cut({2}, {0, 1});
  cluster->start(2);
  ASSERT_TRUE(cluster->until([&] { return copy(2).answered; }));
  EXPECT_FALSE(copy(2).caught_up);
  EXPECT_EQ(cluster->get(2, "/control/ready"), "not ready\n");
  ASSERT_TRUE(cluster->until([&] { return copy(2).caught_up; }, 8 * kSecond))
      << "alone for its while";
  EXPECT_TRUE(banned_at({2}, true)) << "and then on the careful side: by its disk";
  EXPECT_EQ(cluster->get(2, "/control/ready"), "ready\n");
}

TEST_F(Replicated, AHungDiskAndALossyLinkHoldNoBan) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  cluster->lie(3, kHangs);
  cluster->each_way([](rig::Fault& f) { f.loss = 20, f.jitter = 20'000; });
  cluster->way(0, 1).stall = cluster->way(1, 0).stall = true;
  hand(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 10 * kSecond));
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30) << "clients are served";
  cluster->lie(3, kNoFault);
}

}  // namespace
