// Operators' bans and purges replicated by several processes of the program, with faults injected
// between them, judged by what the stand-in caches receive and by each process's own view.
#include "consensus/fleet.h"

namespace {

using fleet::kHangs, fleet::kHonest, fleet::kUnsynced;
using rig::kSecond;
using rig::Time;
namespace net = alderspur::net;

class ReplicatedProcesses : public ::testing::Test, protected fleet::Fleet {
 protected:
  void begin(std::size_t n) {
    alone_ = true;  // each has its list; nothing is agreed
    ASSERT_TRUE(Fleet::begin(n, {}));
    ASSERT_TRUE(r->until([&] { return all_caught_up(); }));
    loading = true;
    ASSERT_TRUE(r->until([&] { return got_[2] > 20; }));
  }
  struct ReplicaView {
    bool has_answered = false;
    bool is_caught_up = false;
    std::multiset<std::string> banned;  // servers, once for each ban
  };
  ReplicaView replica_view(std::size_t router) {
    ReplicaView view;
    if (!r->runs(router)) return view;
    rapidjson::Document status;
    status.Parse(r->get(router, "/control/cluster").c_str());
    if (status.HasParseError() || !status.IsObject() || !status.HasMember("replica")) return view;
    view.has_answered = true;
    view.is_caught_up = status["replica"]["caught_up"].GetBool();
    for (const auto& ban : status["replica"]["bans"].GetArray()) {
      view.banned.insert(ban["server"].GetString());
    }
    return view;
  }
  bool all_caught_up() {
    for (const auto router : r->all()) {
      if (!replica_view(router).is_caught_up) return false;
    }
    return true;
  }
  bool banned_at(const std::vector<std::size_t>& routers, bool is_banned) {
    for (const auto router : routers) {
      const auto view = replica_view(router);
      if (!view.has_answered || view.banned.contains("s-2") != is_banned) return false;
    }
    return true;
  }
  std::string stored_bans(std::size_t router) {
    std::ifstream file(r->state(router) + "/replica.bans", std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // `change`: "offline" bans the cache s-2, "online" lifts its bans.
  std::string request_change(std::size_t router, const char* change) {
    return r->put(router, std::string("/control/caches/s-2/") + change, "");
  }
  // How many requests the cache s-2 receives in that time, from all routers.
  std::uint64_t requests_within(Time duration) {
    const auto before = got_[2];
    r->run(duration);
    return got_[2] - before;
  }
};

TEST_F(ReplicatedProcesses, BansAtAllRoutersWhenOneIsAskedAndLiftsWhenAnotherIs) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  EXPECT_NE(request_change(0, "offline").find("is out"), std::string::npos);
  ASSERT_TRUE(r->until([&] { return banned_at(r->all(), true); }, 15 * kSecond));
  r->run(kSecond);  // requests in flight end
  EXPECT_EQ(requests_within(2 * kSecond), 0u);
  EXPECT_NE(request_change(3, "online").find("may serve"), std::string::npos);
  ASSERT_TRUE(r->until([&] { return banned_at(r->all(), false); }, 15 * kSecond));
  EXPECT_TRUE(r->until([&] { return requests_within(500'000) > 0; }));
}

TEST_F(ReplicatedProcesses, KeepsTheBanWhenItIsRenewedAndLiftedOnTwoSidesOfAPartition) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  request_change(0, "offline");
  ASSERT_TRUE(r->until([&] { return banned_at(r->all(), true); }, 15 * kSecond));
  r->cut({0, 1}, {2, 3});
  ASSERT_TRUE(r->until([&] { return r->view(0).alive() == 1 && r->view(3).alive() == 1; }));
  request_change(3, "online");
  ASSERT_TRUE(r->until([&] { return banned_at({2, 3}, false); }, 15 * kSecond));
  request_change(1, "online");
  request_change(1, "offline");  // a ban of its own, which the lift over there has not seen
  r->run(kSecond);
  r->cut({0, 1}, {2, 3}, false);
  ASSERT_TRUE(r->until([&] { return r->whole(r->all()) && banned_at(r->all(), true); }));
  r->run(kSecond);
  EXPECT_EQ(requests_within(2 * kSecond), 0u);
  request_change(2, "online");
  EXPECT_TRUE(r->until([&] { return banned_at(r->all(), false); }, 15 * kSecond));
}

// One router alone learns of the purge. A request at any router must ask for no older copy, also
// after that router has stopped, and at one that was away.
TEST_F(ReplicatedProcesses, AppliesAPurgeEverywhereAfterItsOnlyReceiverStopped) {
  with_boards_ = true;
  ASSERT_NO_FATAL_FAILURE(begin(3));
  ASSERT_TRUE(r->until([&] { return boards_[0].watched(); }));
  r->kill(2);
  const std::string item = "00000000000000aa";
  boards_[0].watcher->write(R"({"rev":1,"flush":{"asset":")" + item + R"(","ms":)" +
                            std::to_string(net::unix_now() / 1000) + "}}\n");
  const auto asks = [&](std::size_t router) {  // with what bound on the copy's age, in milliseconds
    limited_.erase(item);
    auto s = loopback::dial(r->clients(router));
    s->write(loopback::request(1, "asset",
                               {{"txn", item}, {"item", item}, {"limit", "3000"}, {"ram", "90"}}));
    r->until([&] { return s->poll(), !loopback::answers(s->in).empty(); }, 10 * kSecond);
    return limited_.contains(item) ? std::stoi(limited_[item]) : 0;
  };
  ASSERT_TRUE(r->until([&] { return asks(1) > 0; }, 10 * kSecond))
      << "learnt from the other router";
  r->kill(0);
  r->start(2);
  ASSERT_TRUE(r->until([&] { return replica_view(2).is_caught_up; }));
  const int bound = asks(2);
  EXPECT_GT(bound, 0) << "a router that was away";
  EXPECT_LT(bound, 60'000);
}

// The ban's author stops; a router that was away during the lift returns with the ban on its disk.
TEST_F(ReplicatedProcesses, KeepsABanWithoutItsAuthorAndDeliversALiftAfterAnAbsence) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  request_change(0, "offline");
  ASSERT_TRUE(r->until([&] { return banned_at(r->all(), true); }, 15 * kSecond));
  r->run(500'000);  // until it is on the disks
  r->kill(0);
  r->kill(2);
  EXPECT_EQ(requests_within(kSecond), 0u);
  r->start(0);
  ASSERT_TRUE(r->until([&] { return replica_view(0).is_caught_up; }));
  EXPECT_TRUE(banned_at({0, 1, 3}, true));
  request_change(1, "online");
  ASSERT_TRUE(r->until([&] { return banned_at({0, 1, 3}, false); }, 15 * kSecond));
  r->start(2);
  ASSERT_TRUE(r->until([&] { return replica_view(2).is_caught_up; }));
  EXPECT_TRUE(r->until([&] { return banned_at(r->all(), false); }, 15 * kSecond));
  r->run(2 * kSecond);
  EXPECT_TRUE(banned_at(r->all(), false)) << "nothing came back";
}

// All lose power at once: one disk had not synced, one is lost, one holds a corrupt file.
TEST_F(ReplicatedProcesses, KeepsTheBanAfterAPowerLossWithUnsyncedLostAndCorruptDisks) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  r->lie(0, kUnsynced);
  request_change(1, "offline");
  ASSERT_TRUE(r->until([&] { return banned_at(r->all(), true); }, 15 * kSecond));
  r->run(500'000);
  for (const auto i : r->all()) r->lose_power(i);
  r->lie(0, kHonest);
  std::filesystem::remove_all(r->state(2));
  std::ofstream(r->state(3) + "/replica.bans", std::ios::trunc) << "torn";
  r->start_all();
  ASSERT_TRUE(r->until([&] { return r->whole(r->all()) && all_caught_up(); }));
  EXPECT_TRUE(r->until([&] { return banned_at(r->all(), true); }, 15 * kSecond));
  EXPECT_NE(r->log(3).find("event=not_read"), std::string::npos);
  const auto before = got_[2];
  r->run(2 * kSecond);
  EXPECT_EQ(got_[2], before);
}

TEST_F(ReplicatedProcesses, IsReadyOnlyWhenCaughtUpOrAloneForTheTimeout) {
  ASSERT_NO_FATAL_FAILURE(begin(3));
  request_change(0, "offline");
  ASSERT_TRUE(r->until([&] { return banned_at(r->all(), true); }, 15 * kSecond));
  // A ban from another router holds at once and is on the disk a moment later.
  ASSERT_TRUE(r->until([&] { return stored_bans(2).find("s-2") != std::string::npos; }));
  r->kill(2);
  r->cut({2}, {0, 1});
  r->start(2);
  ASSERT_TRUE(r->until([&] { return replica_view(2).has_answered; }));
  EXPECT_FALSE(replica_view(2).is_caught_up);
  EXPECT_EQ(r->get(2, "/control/ready"), "not ready\n");
  ASSERT_TRUE(r->until([&] { return replica_view(2).is_caught_up; }, 8 * kSecond))
      << "after the timeout";
  EXPECT_TRUE(banned_at({2}, true)) << "by what it has stored";
  EXPECT_EQ(r->get(2, "/control/ready"), "ready\n");
}

TEST_F(ReplicatedProcesses, SpreadsABanDespiteAHungDiskAndLossyLinks) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  r->lie(3, kHangs);
  r->each_way([](rig::Fault& f) {
    f.loss = 20;
    f.jitter = 20'000;
  });
  r->way(0, 1).stall = true;
  r->way(1, 0).stall = true;
  request_change(0, "offline");
  ASSERT_TRUE(r->until([&] { return banned_at(r->all(), true); }, 10 * kSecond));
  const auto before = served;
  r->run(kSecond);
  EXPECT_GT(served, before + 30) << "clients are served";
  r->lie(3, kHonest);
}

}  // namespace
