// Versions agreed by several processes of the program, with faults between them and under their
// disks, judged by what the stand-in boxes receive and by each process's own view.
#include "router_fleet.h"

namespace {

using fleet::kMaxStaleTime, fleet::kDiskFull, fleet::kHangs, fleet::kNoFault, fleet::kSyncFails,
    fleet::kSyncIgnored;
using rig::kSecond;
using rig::Time;
namespace consensus = alderspur::consensus;
namespace net = alderspur::net;
constexpr Time kMachine = 2 * kSecond;  // for one that is busy with other tests

class Versions : public ::testing::Test, protected fleet::RouterFleet {
 protected:
  void begin(std::size_t n, std::vector<std::size_t> voters) {
    ASSERT_TRUE(RouterFleet::start(n, std::move(voters)));
  }
};

TEST_F(Versions, ARemovedBoxGetsNothingFromAnybodyOnceItsVersionIsInForce) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  is_sending = true;
  cluster->run(kSecond);
  EXPECT_GT(requests_received_[2], 10u);
  const auto n = propose(4, "ab");
  ASSERT_EQ(n, 1u) << last_result;
  const Time in_force = net::unix_now();
  ASSERT_TRUE(cluster->until([&] { return all_use(n, cluster->all()); }));
  cluster->run(kMaxStaleTime);
  const auto before = requests_received_[2];
  cluster->run(kSecond);
  EXPECT_EQ(requests_received_[2], before);
  EXPECT_LE(last_request_at_[2], in_force + kMaxStaleTime + kMachine);
  EXPECT_GT(requests_received_[0], 50u);
  EXPECT_EQ(propose(0, "abc", "?base=0"), 0u) << "made from what was before";
  EXPECT_NE(last_result.find("made from 0"), std::string::npos) << last_result;
  EXPECT_EQ(propose(0, ""), 0u) << "no server: refused where it is proposed";
  EXPECT_NE(last_result.find("refused here"), std::string::npos) << last_result;
}

TEST_F(Versions, TheLeaderKilledAtAnyStepOfAChangeLosesNothingThatWasPromised) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  std::uint64_t last = 0;
  const char* lists[] = {"ab", "abc", "bc", "abc"};
  for (int round = 0; round < 4; ++round) {
    const auto old = leader();
    ASSERT_LT(old, 5u);
    const auto nonce = cluster->put(4, "/control/versions",
                                    consensus::encode({{"servers", endpoint_list(lists[round])}}));
    cluster->run(round * 15'000);  // offered, agreed, in force: whatever it has come to
    cluster->kill(old);
    std::string word;
    ASSERT_TRUE(cluster->until([&] {
      word = proposal_result(4, nonce);
      return word.starts_with("yes") || word.starts_with("no");
    }));
    cluster->start(old);
    ASSERT_TRUE(cluster->until([&] { return cluster->whole(cluster->all()) && leader() < 5; }));
    if (word.starts_with("yes")) {
      const auto n = std::stoull(word.substr(4));
      EXPECT_GT(n, last) << "numbers never go back";
      last = n;
      EXPECT_TRUE(cluster->until([&] { return all_use(n, cluster->all()); })) << round;
    }
  }
  const auto n = propose_with_retries(3, "ab");
  EXPECT_GT(n, last) << last_result;
  EXPECT_TRUE(cluster->until([&] { return all_use(n, cluster->all()); }));
}

TEST_F(Versions, ALeaderStoppedBeyondItsLeaseNeitherLeadsNorSendsToARemovedBox) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  is_sending = true;
  const auto old = leader();
  cluster->signal(old, SIGSTOP);
  const auto other = (old + 1) % 5 == 0 ? 4 : (old + 1) % 5;
  ASSERT_TRUE(cluster->until([&] { return leader() < 5 && leader() != old; }));
  const auto n = propose_with_retries(other > 2 ? other : 4, "ab");
  ASSERT_GT(n, 0u) << last_result;
  ASSERT_TRUE(cluster->until([&] { return all_use(n, all_except(old)); }));
  cluster->run(kSecond);
  cluster->signal(old, SIGCONT);
  cluster->run(200'000);
  EXPECT_FALSE(status(old).is_leader);
  ASSERT_TRUE(cluster->until([&] { return all_use(n, cluster->all()); }));
  const Time since = net::unix_now();
  cluster->run(kSecond);
  EXPECT_LE(last_request_at_[2], since + kMachine);
}

TEST_F(Versions, TheSmallerSideOfACutChangesNothingAndServesWithCare) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2, 3, 4}));
  is_sending = true;
  const auto first = propose(0, "abc");
  ASSERT_TRUE(cluster->until([&] { return first && all_use(first, cluster->all()); }))
      << last_result;
  cluster->cut({0, 1}, {2, 3, 4});
  cluster->run(kMaxStaleTime + 300'000);
  EXPECT_TRUE(cluster->until([&] { return status(0).is_conservative && status(1).is_conservative; },
                             kMachine));
  const auto n = propose_with_retries(3, "ab");
  EXPECT_GT(n, first) << last_result;
  EXPECT_EQ(status(0).active_number, first);
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30) << "clients of both sides are served";
  cluster->cut({0, 1}, {2, 3, 4}, false);
  EXPECT_TRUE(cluster->until([&] { return all_use(n, cluster->all()); }));
}

TEST_F(Versions, AOneWayCutToTheLeaderAndAStalledLinkHoldTheOthersNoLongerThanT) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  const auto l = leader();
  cluster->way(4, l).cut = true;
  cluster->way(3, l).stall = cluster->way(l, 3).stall = true;
  cluster->run(300'000);
  const Time from = net::unix_now();
  const auto n = propose_with_retries(l == 0 ? 1 : 0, "ab");
  EXPECT_GT(n, 0u) << last_result;
  EXPECT_LE(net::unix_now() - from, kMaxStaleTime + 3 * kMachine);
  // They hear of it from others, and take the careful union with it.
  for (const std::size_t i : {std::size_t{3}, std::size_t{4}})
    EXPECT_TRUE(cluster->until([&] {
      const auto v = status(i);
      return v.active_number == n || v.newer_versions > 0;
    })) << i;
  cluster->way(4, l).cut = false;
  cluster->way(3, l).stall = cluster->way(l, 3).stall = false;
  EXPECT_TRUE(cluster->until([&] { return all_use(n, cluster->all()); }));
}

TEST_F(Versions, VotersAreReplacedInServiceUntilNoneOfTheFirstIsLeft) {
  ASSERT_NO_FATAL_FAILURE(begin(6, {0, 1, 2}));
  ASSERT_EQ(propose(5, "ab"), 1u) << last_result;
  const std::vector<std::string> steps = {"n3\nn1\nn2\n", "n3\nn4\nn2\n", "n3\nn4\nn5\n"};
  for (std::size_t k = 0; k < steps.size(); ++k) {
    const auto nonce = cluster->put(5, "/control/versions/voters", steps[k]);
    ASSERT_TRUE(cluster->until([&] { return proposal_result(5, nonce).starts_with("yes"); })) << k;
    ASSERT_TRUE(cluster->until([&] {
      return status(k).role == "follower" && status(k + 3).role == "voter" && leader() < 6;
    })) << k
        << " " << status(k).role << " " << status(k + 3).role;
  }
  cluster->kill(0), cluster->kill(1), cluster->kill(2);
  const auto n = propose_with_retries(5, "abc");
  EXPECT_EQ(n, 2u) << last_result;
}

// All lose their power at once; one disk had lied, one is empty.
TEST_F(Versions, AllLosePowerAndOneDiskLiedOrIsLostOrFlippedOrOld) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  const auto whole_again = [&](std::uint64_t n, const char* what) {
    ASSERT_TRUE(
        cluster->until([&] { return leader() < 4 && all_use(n, cluster->all()); }, 40 * kSecond))
        << what << "\n"
        << cluster->log(0).substr(cluster->log(0).size() / 2);
    ASSERT_TRUE(cluster->until([&] {
      return status(0).role == "voter" && status(1).role == "voter" && status(2).role == "voter";
    })) << what;
  };
  const auto all_down = [&] {
    for (std::size_t i = 0; i < 4; ++i) cluster->lose_power(i);
  };
  // One whose syncs said yes and did nothing.
  cluster->lie(1, kSyncIgnored);
  const auto two = propose_with_retries(3, "abc");
  ASSERT_GT(two, 1u) << last_result;
  all_down();
  cluster->lie(1, kNoFault);
  cluster->start_all();
  whole_again(two, "unsynced");
  // One bit of its log flipped; another's folder gone.
  all_down();
  std::fstream db(cluster->state(1) + "/agree.db", std::ios::in | std::ios::out | std::ios::binary);
  db.seekp(4096 * 2 + 3000);
  db.put('\x5a');
  db.close();
  cluster->start_all();
  whole_again(two, "flipped");
  all_down();
  std::filesystem::remove_all(cluster->state(2));
  cluster->start_all();
  whole_again(two, "lost");
  // An old copy of the log brought back, beside a newer mark.
  std::filesystem::copy_file(cluster->state(0) + "/agree.db", cluster->state(0) + "/old");
  const auto three = propose_with_retries(3, "ab");
  ASSERT_GT(three, two) << last_result;
  cluster->kill(0);
  std::filesystem::rename(cluster->state(0) + "/old", cluster->state(0) + "/agree.db");
  cluster->start(0);
  whole_again(three, "old");
  EXPECT_NE(cluster->log(0).find("log_spoilt"), std::string::npos);
}

TEST_F(Versions, AHungOrFailingDiskHoldsNeitherRequestsNorTheOthers) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  is_sending = true;
  cluster->run(500'000);
  cluster->lie(2, kHangs);
  const auto two = propose_with_retries(3, "abc");
  EXPECT_GT(two, 1u) << last_result;
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30) << "its clients too";
  cluster->lie(2, kNoFault);
  EXPECT_TRUE(cluster->until([&] { return all_use(two, cluster->all()); }));
  cluster->lie(2, kSyncFails);
  const auto three = propose_with_retries(3, "ab");
  EXPECT_GT(three, two) << last_result;
  cluster->lie(2, kNoFault);
  EXPECT_TRUE(cluster->until(
      [&] { return all_use(three, cluster->all()) && status(2).role == "voter"; }, 40 * kSecond));
}

// Half of the routers, the leader among them, are gone at once: what they might do is done by the
// others, and not before their leases have run out.
TEST_F(Versions, TheSharesOfHalfThatWereKilledAreUsedAgainAndNeverTwice) {
  ASSERT_NO_FATAL_FAILURE(begin(6, {0, 1, 2}));
  is_sending = true;
  const auto sum = [&] {
    double all = 0;
    for (const auto i : cluster->all()) all += status(i).share;
    return all;
  };
  double most = 0;
  const auto used = [&] {
    const double s = sum();
    most = std::max(most, s);
    return s;
  };
  ASSERT_TRUE(cluster->until([&] { return used() > 0.84; })) << most;
  std::vector<std::size_t> lost = {leader()};
  for (const std::size_t i : {std::size_t{5}, std::size_t{4}, std::size_t{3}})
    if (lost.size() < 3) lost.push_back(i);
  for (const auto i : lost) cluster->kill(i);
  const Time at = net::unix_now();
  EXPECT_LT(used(), 0.8);
  ASSERT_TRUE(cluster->until([&] { return used() >= 0.8; })) << most;
  EXPECT_LE(net::unix_now() - at, 15 * kSecond);
  EXPECT_LE(most, 0.8501);
}

// A list that holds for one router first: taken back by a word, by the failures that router sees,
// and let go on.
TEST_F(Versions, ATrialHoldsForTheNamedRouterOnlyAndIsTakenBackByHarm) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "abc"), 1u) << last_result;
  is_sending = true;
  ASSERT_TRUE(cluster->until([&] { return all_use(1, cluster->all()); }));
  const auto rule = [&](const std::string& what) {
    const auto nonce = cluster->put(0, "/control/versions/rollout", what);
    cluster->until([&] {
      return (last_result = proposal_result(0, nonce)).starts_with("yes") ||
             last_result.starts_with("no");
    });
    return last_result.starts_with("yes");
  };
  ASSERT_EQ(propose(3, "ab", "?first=n3&hold=600&harm=0.5"), 2u) << last_result;
  ASSERT_TRUE(cluster->until([&] { return all_use(2, {3}); }));
  cluster->run(2 * kSecond);
  EXPECT_TRUE(all_use(1, {0, 1, 2})) << "all others as before, under their leases";
  EXPECT_FALSE(rule("go 7")) << last_result;
  ASSERT_TRUE(rule("back 2")) << last_result;
  ASSERT_TRUE(
      cluster->until([&] { return all_use(3, cluster->all()); }, kMaxStaleTime + 2 * kMachine));
  // The one that it holds for first finds its only box broken.
  is_cache_broken_[2] = true;
  ASSERT_EQ(propose(3, "c", "?first=n3&hold=600&then=go"), 4u) << last_result;
  ASSERT_TRUE(cluster->until([&] { return all_use(5, cluster->all()); }));
  EXPECT_NE(cluster->get(status(0).is_leader   ? 0
                         : status(1).is_leader ? 1
                                               : 2,
                         "/control/versions")
                .find("ended badly"),
            std::string::npos);
  is_cache_broken_[2] = false;
  cluster->run(4 * kSecond);  // its door opens again
  const auto good = propose(3, "ab", "?first=n3,n0&hold=3&harm=0.5&then=go");
  ASSERT_EQ(good, 6u) << last_result;
  EXPECT_TRUE(cluster->until([&] { return all_use(6, cluster->all()); }));
}

TEST_F(Versions, AFullDiskHoldsNobodyUpAndItsRouterComesBackWithRoom) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  is_sending = true;
  cluster->lie(2, kDiskFull);
  const auto two = propose_with_retries(3, "abc");
  EXPECT_GT(two, 1u) << last_result;
  EXPECT_TRUE(cluster->until([&] { return all_use(two, all_except(2)); }));
  const auto before = served_count;
  cluster->run(2 * kSecond);
  EXPECT_GT(served_count, before + 60) << "its clients too";
  EXPECT_TRUE(status(2).is_conservative) << "it holds nothing that it could not keep";
  cluster->lie(2, kNoFault);
  EXPECT_TRUE(cluster->until(
      [&] { return all_use(two, cluster->all()) && status(2).role == "voter"; }, 40 * kSecond));
}

// A box that has just started may be sent, by all routers together, a stated part of what it can
// do. Half of the routers are killed while it warms up, the leader among them. The box counts:
// never more than its budget, and within the stated time four fifths of it again, by the others
// alone.
TEST_F(Versions, AColdBoxGetsNoMoreThanItsBudgetAndItIsUsedAgainWithHalfOfTheRoutersGone) {
  constexpr double kFrom = 0.2, kSpan = 60, kUsed = 0.75, kBurst = 0.25,
                   kSending = 90.0 / 9000;  // s an answer
  obligations_ =
      R"("weights":"nominal","obligations":{"cold-from":0.2,"cold":60000000,"fall":1000000},)";
  initial_servers_ = "ab", server_weight_ = 1;
  ASSERT_NO_FATAL_FAILURE(begin(6, {0, 1, 2}));
  is_sending = true;
  cluster->run(2 * kSecond);  // shares follow what each takes
  const auto n = propose_with_retries(5, "abc");
  ASSERT_GT(n, 0u) << last_result;
  const Time born = net::unix_now();  // no router has it before this but by the time of a call
  const auto budget =
      [&](Time at) {  // requests a second, of all routers: what the settings leave, of one weight
        const double share = kFrom + (1 - kFrom) * static_cast<double>(at - born) / 1e6 / kSpan;
        return kUsed * share / kSending;
      };
  ASSERT_TRUE(cluster->until([&] { return all_use(n, cluster->all()); }));
  const auto count = [&](Time time) {  // at the box, a second, and what its budget was
    const auto got = requests_received_[2];
    const Time from = net::unix_now();
    cluster->run(time);
    const double s = static_cast<double>(net::unix_now() - from) / 1e6;
    return std::pair(static_cast<double>(requests_received_[2] - got) / s,
                     budget(from + (net::unix_now() - from) / 2));
  };
  // What is saved up for a burst, and the one request that each may overdraw, come on top in a
  // short window.
  const auto within = [&](const std::pair<double, double>& c, double s) {
    EXPECT_LE(c.first, c.second * (1 + kBurst / s) + 6 / s);
    return c.first / c.second;
  };
  EXPECT_GT(within(count(2 * kSecond), 2), 0.5) << "its budget binds";
  std::vector<std::size_t> lost = {leader()};
  for (const std::size_t i : {std::size_t{5}, std::size_t{4}, std::size_t{3}})
    if (lost.size() < 3) lost.push_back(i);
  for (const auto i : lost) cluster->kill(i);
  const Time at = net::unix_now();
  double least = 1, used = 0;
  while (net::unix_now() < at + 20 * kSecond && used < 0.8) {
    used = within(count(kSecond), 1);
    least = std::min(least, used);
  }
  EXPECT_LE(net::unix_now() - at, 15 * kSecond);
  EXPECT_LT(least, 0.7) << "what the lost ones had stays unused until their leases have run out";
  const double steady = within(count(5 * kSecond), 5);
  EXPECT_GE(steady, 0.8);
  EXPECT_LE(steady, 1.0);
}

// Guards against leases, deadlines and timers by a clock that somebody sets.
TEST_F(Versions, WallClocksAnHourApartAndJumpingChangeNothing) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  is_sending = true;
  constexpr std::int64_t kHour = 3600LL * 1'000'000;
  cluster->lie(0, kNoFault, kHour), cluster->lie(1, kNoFault, -kHour);
  ASSERT_EQ(propose(3, "ab"), 1u) << last_result;
  for (int i = 0; i < 4; ++i) {
    cluster->lie(static_cast<std::size_t>(i % 4), kNoFault, i % 2 ? 5 * kHour : -2 * kHour);
    cluster->run(400'000);
  }
  EXPECT_TRUE(cluster->until(
      [&] { return leader() < 4 && all_use(1, cluster->all()) && cluster->whole(cluster->all()); },
      5 * kSecond));
  const auto before = served_count;
  cluster->run(kSecond);
  EXPECT_GT(served_count, before + 30);
  EXPECT_EQ(propose(3, "abc"), 2u) << last_result;
}

}  // namespace
