// Tests of the replication of operators' bans and purges between several processes of the program,
// with injected faults. The checks use the requests that the test's caches receive and the view
// that each process reports.
#include "consensus/router_fleet.h"
#include "replication/ban_set.h"
#include "replication/seen_changes.h"
#include "store/state_file.h"

namespace {

using fleet::kHangs, fleet::kNoFault, fleet::kSyncIgnored;
using rig::kSecond;
using rig::Time;
namespace net = alderspur::net;

class ReplicatedProcesses : public ::testing::Test, protected fleet::RouterFleet {
 protected:
  void begin(std::size_t router_count) {
    has_no_consensus = true;  // each router uses the endpoint list of its own file
    ASSERT_TRUE(RouterFleet::start(router_count, {}));
    ASSERT_TRUE(cluster->until([&] { return all_caught_up(); }));
    is_sending = true;
    ASSERT_TRUE(cluster->until([&] { return requests_received[2] > 20; }));
  }
  struct ReplicaView {
    bool has_answered = false;
    bool is_caught_up = false;
    std::multiset<std::string> banned;  // the server of each ban
  };
  ReplicaView replica_view(std::size_t router) {
    ReplicaView view;
    if (!cluster->runs(router)) return view;
    rapidjson::Document status;
    status.Parse(cluster->get(router, "/control/cluster").c_str());
    if (status.HasParseError() || !status.IsObject() || !status.HasMember("replica")) return view;
    view.has_answered = true;
    view.is_caught_up = status["replica"]["caught_up"].GetBool();
    for (const auto& ban : status["replica"]["bans"].GetArray()) {
      view.banned.insert(ban["server"].GetString());
    }
    return view;
  }
  bool all_caught_up() {
    for (const auto router : cluster->all()) {
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
    std::ifstream file(cluster->state(router) + "/replica.bans", std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Returns the number of authors of this router whose changes its own file contains.
  std::size_t authors_of(std::size_t router) {
    const auto path = cluster->state(router) + "/replica.bans";
    const auto file = alderspur::store::load_file(path, 1 << 20);
    const auto bans = alderspur::replication::BanSet::decode(file.payload.value_or(""));
    if (!bans) return 0;
    const auto& authors = bans->context().contiguous();
    return static_cast<std::size_t>(std::count_if(
        authors.begin(), authors.end(),
        [&](const auto& author) { return author.first.name == "n" + std::to_string(router); }));
  }
  // Bans and lifts at a router, and waits until both hold at the other one.
  void ban_and_lift(std::size_t router, std::size_t other) {
    request_change(router, "offline");
    ASSERT_TRUE(cluster->until([&] { return banned_at({other}, true); }, 15 * kSecond));
    request_change(router, "online");
    ASSERT_TRUE(cluster->until([&] { return banned_at({other}, false); }, 15 * kSecond));
  }
  void restart(std::size_t router, int signal_number) {
    cluster->signal(router, signal_number);
    ASSERT_TRUE(cluster->until([&] { return !cluster->runs(router); }, 15 * kSecond));
    cluster->start(router);
    ASSERT_TRUE(cluster->until(
        [&] { return cluster->whole(cluster->all()) && replica_view(router).is_caught_up; }));
  }
  // Sends an operator's request: the change "offline" bans the cache s-2, and "online" lifts its
  // bans. Returns the body of the response.
  std::string request_change(std::size_t router, const char* change) {
    return cluster->put(router, std::string("/control/caches/s-2/") + change, "");
  }
  // Runs for `duration` and returns the number of requests that the cache s-2 receives.
  std::uint64_t requests_within(Time duration) {
    const auto before = requests_received[2];
    cluster->run(duration);
    return requests_received[2] - before;
  }
};

TEST_F(ReplicatedProcesses, ReplicatesABanFromOneRouterAndALiftFromAnother) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  EXPECT_NE(request_change(0, "offline").find("is banned"), std::string::npos);
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->run(kSecond);  // until the requests in flight have ended
  EXPECT_EQ(requests_within(2 * kSecond), 0u);
  EXPECT_NE(request_change(3, "online").find("is not banned"), std::string::npos);
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), false); }, 15 * kSecond));
  EXPECT_TRUE(cluster->until([&] { return requests_within(500'000) > 0; }));
}

TEST_F(ReplicatedProcesses, KeepsABanThatIsRenewedAndLiftedOnTwoSidesOfAPartition) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  request_change(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->cut({0, 1}, {2, 3});
  ASSERT_TRUE(cluster->until(
      [&] { return cluster->view(0).alive() == 1 && cluster->view(3).alive() == 1; }));
  request_change(3, "online");
  ASSERT_TRUE(cluster->until([&] { return banned_at({2, 3}, false); }, 15 * kSecond));
  request_change(1, "online");
  request_change(1, "offline");  // a new ban, which the lift on the other side does not cover
  cluster->run(kSecond);
  cluster->cut({0, 1}, {2, 3}, false);
  ASSERT_TRUE(cluster->until(
      [&] { return cluster->whole(cluster->all()) && banned_at(cluster->all(), true); }));
  cluster->run(kSecond);
  EXPECT_EQ(requests_within(2 * kSecond), 0u);
  request_change(2, "online");
  EXPECT_TRUE(cluster->until([&] { return banned_at(cluster->all(), false); }, 15 * kSecond));
}

// Only one router receives the purge from its source. Each router must then request only copies
// that are newer than the purge, also after that router has stopped, and after a router has
// restarted.
TEST_F(ReplicatedProcesses, AppliesAPurgeEverywhereAfterItsOnlyReceiverStopped) {
  has_discovery = true;
  ASSERT_NO_FATAL_FAILURE(begin(3));
  ASSERT_TRUE(cluster->until([&] { return discovery_servers[0].is_watched(); }));
  cluster->kill(2);
  const std::string item = "00000000000000aa";
  discovery_servers[0].send(R"({"rev":1,"flush":{"asset":")" + item + R"(","ms":)" +
                            std::to_string(net::unix_now() / 1000) + "}}\n");
  // Sends a request to a router and returns the maximum age of the copy, in milliseconds, that the
  // router requests from a cache; 0 if it requests none.
  const auto requested_max_age = [&](std::size_t router) {
    age_limits.erase(item);
    auto client = loopback::connect_to(cluster->client_address(router));
    client->write(loopback::encode_request(
        1, "asset", {{"txn", item}, {"item", item}, {"limit", "3000"}, {"ram", "90"}}));
    cluster->until(
        [&] { return client->poll(), !loopback::decode_responses(client->received).empty(); },
        10 * kSecond);
    return age_limits.contains(item) ? std::stoi(age_limits[item]) : 0;
  };
  ASSERT_TRUE(cluster->until([&] { return requested_max_age(1) > 0; }, 10 * kSecond))
      << "router 1 must receive the purge from router 0";
  cluster->kill(0);
  cluster->start(2);
  ASSERT_TRUE(cluster->until([&] { return replica_view(2).is_caught_up; }));
  const int max_age = requested_max_age(2);
  EXPECT_GT(max_age, 0) << "router 2 was down during the purge";
  EXPECT_LT(max_age, 60'000);
}

// The author of the ban stops. A router that was down during the lift restarts with the ban on its
// disk.
TEST_F(ReplicatedProcesses, KeepsABanWithoutItsAuthorAndDeliversALiftAfterARestart) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  request_change(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->run(500'000);  // until the ban is on the disks
  cluster->kill(0);
  cluster->kill(2);
  EXPECT_EQ(requests_within(kSecond), 0u);
  cluster->start(0);
  ASSERT_TRUE(cluster->until([&] { return replica_view(0).is_caught_up; }));
  EXPECT_TRUE(banned_at({0, 1, 3}, true));
  request_change(1, "online");
  ASSERT_TRUE(cluster->until([&] { return banned_at({0, 1, 3}, false); }, 15 * kSecond));
  cluster->start(2);
  ASSERT_TRUE(cluster->until([&] { return replica_view(2).is_caught_up; }));
  EXPECT_TRUE(cluster->until([&] { return banned_at(cluster->all(), false); }, 15 * kSecond));
  cluster->run(2 * kSecond);
  EXPECT_TRUE(banned_at(cluster->all(), false)) << "the lifted ban must not return";
}

// All processes lose power at once. One disk had not synced, one is lost and one has a corrupt
// file.
TEST_F(ReplicatedProcesses, KeepsTheBanAfterAPowerLossWithUnsyncedLostAndCorruptDisks) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  cluster->set_faults(0, kSyncIgnored);
  request_change(1, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  cluster->run(500'000);
  for (const auto i : cluster->all()) cluster->lose_power(i);
  cluster->set_faults(0, kNoFault);
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

TEST_F(ReplicatedProcesses, IsReadyOnlyWhenCaughtUpOrIsolatedForTheTimeout) {
  ASSERT_NO_FATAL_FAILURE(begin(3));
  request_change(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  // A ban from another router takes effect at once and is written to the disk shortly afterwards.
  ASSERT_TRUE(cluster->until([&] { return stored_bans(2).find("s-2") != std::string::npos; }));
  cluster->kill(2);
  cluster->cut({2}, {0, 1});
  cluster->start(2);
  ASSERT_TRUE(cluster->until([&] { return replica_view(2).has_answered; }));
  EXPECT_FALSE(replica_view(2).is_caught_up);
  EXPECT_EQ(cluster->get(2, "/control/ready"), "not ready\n");
  ASSERT_TRUE(cluster->until([&] { return replica_view(2).is_caught_up; }, 8 * kSecond))
      << "the router must count as caught up after the timeout";
  EXPECT_TRUE(banned_at({2}, true)) << "the router must apply the ban that it has stored";
  EXPECT_EQ(cluster->get(2, "/control/ready"), "ready\n");
}

TEST_F(ReplicatedProcesses, ReplicatesABanDespiteAHungDiskAndLossyLinks) {
  ASSERT_NO_FATAL_FAILURE(begin(4));
  cluster->set_faults(3, kHangs);
  cluster->each_way([](rig::Fault& fault) {
    fault.loss = 20;
    fault.jitter = 20'000;
  });
  cluster->way(0, 1).stall = true;
  cluster->way(1, 0).stall = true;
  request_change(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 10 * kSecond));
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30) << "clients must still be served";
  cluster->set_faults(3, kNoFault);
}

// Guards against a success response for a ban that the other routers never receive.
TEST_F(ReplicatedProcesses, ReportsABanThatHoldsAtOneRouterOnly) {
  ASSERT_NO_FATAL_FAILURE(begin(2));
  for (const auto i : cluster->all()) cluster->kill(i);
  const auto stored =
      seen_changes::encode_of_authors("router", alderspur::replication::kMaxAuthors);
  for (const std::size_t i : {0, 1}) {
    const auto path = cluster->state(i) + "/replica.bans";
    ASSERT_FALSE(alderspur::store::replace_file(path, stored));
  }
  cluster->start_all();
  ASSERT_TRUE(cluster->until([&] { return cluster->whole(cluster->all()) && all_caught_up(); }));
  for (int call = 0; call < 2; ++call) {
    const auto reply = request_change(0, "offline");
    EXPECT_NE(reply.find("is in effect on this router only"), std::string::npos) << reply;
  }
  EXPECT_NE(cluster->log(0).find("event=ban_not_replicated"), std::string::npos);
  EXPECT_NE(cluster->log(0).find("event=bound_reached"), std::string::npos);
  EXPECT_TRUE(banned_at({1}, false));
  EXPECT_NE(request_change(0, "online").find("is not banned"), std::string::npos);
}

// Guards against a log line for each event while bans cannot be written to the disk.
TEST_F(ReplicatedProcesses, LogsOnceThatBansCannotBeWritten) {
  ASSERT_NO_FATAL_FAILURE(begin(2));
  cluster->set_faults(0, fleet::kDiskFull);
  request_change(0, "offline");
  ASSERT_TRUE(cluster->until([&] { return banned_at({1}, true); }, 15 * kSecond));
  cluster->run(4 * kSecond);
  const auto log = cluster->log(0);
  const auto first = log.find("event=not_written");
  ASSERT_NE(first, std::string::npos);
  EXPECT_EQ(log.find("event=not_written", first + 1), std::string::npos) << log;
  cluster->set_faults(0, kNoFault);
  EXPECT_TRUE(cluster->until(
      [&] {
        return stored_bans(0).find("s-2") != std::string::npos &&
               cluster->log(0).find("event=written") != std::string::npos;
      },
      15 * kSecond));
}

// Guards against authors that accumulate with each restart of a router, until no ban is replicated.
TEST_F(ReplicatedProcesses, ContinuesItsAuthorAfterAShutdownButNotAfterAKill) {
  ASSERT_NO_FATAL_FAILURE(begin(2));
  for (int start = 0; start < 3; ++start) {
    ASSERT_NO_FATAL_FAILURE(ban_and_lift(0, 1));
    ASSERT_NO_FATAL_FAILURE(restart(0, SIGTERM));
  }
  EXPECT_EQ(authors_of(0), 1U);
  ASSERT_NO_FATAL_FAILURE(ban_and_lift(0, 1));
  ASSERT_NO_FATAL_FAILURE(restart(0, SIGKILL));
  ASSERT_NO_FATAL_FAILURE(ban_and_lift(0, 1));
  ASSERT_NO_FATAL_FAILURE(restart(0, SIGTERM));
  EXPECT_EQ(authors_of(0), 2U) << "the killed process may have sent changes that are not stored";
}

// Guards against a success response for a change that is not replicated, because the stored bans
// are still being read.
TEST_F(ReplicatedProcesses, ReportsAChangeThatHoldsAtOneRouterOnlyUntilTheBansAreRead) {
  ASSERT_NO_FATAL_FAILURE(begin(2));
  ASSERT_NO_FATAL_FAILURE(ban_and_lift(0, 1));  // so that there is a file
  cluster->kill(0);
  cluster->set_faults(0, fleet::kBansHang);
  cluster->start(0);
  ASSERT_TRUE(cluster->until([&] { return replica_view(0).has_answered; }));
  for (const char* change : {"offline", "online", "offline"}) {
    const auto reply = request_change(0, change);
    EXPECT_NE(reply.find("on this router only"), std::string::npos) << change << ": " << reply;
  }
  EXPECT_TRUE(banned_at({1}, false));
  cluster->set_faults(0, kNoFault);
  ASSERT_TRUE(cluster->until([&] { return banned_at(cluster->all(), true); }, 15 * kSecond));
  EXPECT_NE(request_change(0, "offline").find("is banned"), std::string::npos);
}

}  // namespace
