// Versions agreed by several processes of the program, with faults between them and under their
// disks, judged by what the stand-in boxes receive and by each process's own view.
#include "fleet.h"

namespace {

using fleet::kBound, fleet::kFull, fleet::kHangs, fleet::kHonest, fleet::kSyncFails,
    fleet::kUnsynced;
using rig::kSecond;
using rig::Time;
namespace consensus = alderspur::consensus;
namespace net = alderspur::net;
constexpr Time kMachine = 2 * kSecond;  // for one that is busy with other tests

class Versions : public ::testing::Test, protected fleet::Fleet {
 protected:
  void begin(std::size_t n, std::vector<std::size_t> voters) {
    ASSERT_TRUE(Fleet::begin(n, std::move(voters)));
  }
};

TEST_F(Versions, ARemovedBoxGetsNothingFromAnybodyOnceItsVersionIsInForce) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  loading = true;
  r->run(kSecond);
  EXPECT_GT(got_[2], 10u);
  const auto n = propose(4, "ab");
  ASSERT_EQ(n, 1u) << said;
  const Time in_force = net::unix_now();
  ASSERT_TRUE(r->until([&] { return all_act(n, r->all()); }));
  r->run(kBound);
  const auto before = got_[2];
  r->run(kSecond);
  EXPECT_EQ(got_[2], before);
  EXPECT_LE(last_[2], in_force + kBound + kMachine);
  EXPECT_GT(got_[0], 50u);
  EXPECT_EQ(propose(0, "abc", "?base=0"), 0u) << "made from what was before";
  EXPECT_NE(said.find("made from 0"), std::string::npos) << said;
  EXPECT_EQ(propose(0, ""), 0u) << "no server: refused where it is proposed";
  EXPECT_NE(said.find("refused here"), std::string::npos) << said;
}

TEST_F(Versions, TheLeaderKilledAtAnyStepOfAChangeLosesNothingThatWasPromised) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  std::uint64_t last = 0;
  const char* lists[] = {"ab", "abc", "bc", "abc"};
  for (int round = 0; round < 4; ++round) {
    const auto old = leader();
    ASSERT_LT(old, 5u);
    const auto nonce =
        r->put(4, "/control/versions", consensus::encode({{"servers", servers(lists[round])}}));
    r->run(round * 15'000);  // offered, agreed, in force: whatever it has come to
    r->kill(old);
    std::string word;
    ASSERT_TRUE(r->until([&] {
      word = word_on(4, nonce);
      return word.starts_with("yes") || word.starts_with("no");
    }));
    r->start(old);
    ASSERT_TRUE(r->until([&] { return r->whole(r->all()) && leader() < 5; }));
    if (word.starts_with("yes")) {
      const auto n = std::stoull(word.substr(4));
      EXPECT_GT(n, last) << "numbers never go back";
      last = n;
      EXPECT_TRUE(r->until([&] { return all_act(n, r->all()); })) << round;
    }
  }
  const auto n = propose_until(3, "ab");
  EXPECT_GT(n, last) << said;
  EXPECT_TRUE(r->until([&] { return all_act(n, r->all()); }));
}

TEST_F(Versions, ALeaderStoppedBeyondItsLeaseNeitherLeadsNorSendsToARemovedBox) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  loading = true;
  const auto old = leader();
  r->signal(old, SIGSTOP);
  const auto other = (old + 1) % 5 == 0 ? 4 : (old + 1) % 5;
  ASSERT_TRUE(r->until([&] { return leader() < 5 && leader() != old; }));
  const auto n = propose_until(other > 2 ? other : 4, "ab");
  ASSERT_GT(n, 0u) << said;
  ASSERT_TRUE(r->until([&] { return all_act(n, but(old)); }));
  r->run(kSecond);
  r->signal(old, SIGCONT);
  r->run(200'000);
  EXPECT_FALSE(view(old).leads);
  ASSERT_TRUE(r->until([&] { return all_act(n, r->all()); }));
  const Time since = net::unix_now();
  r->run(kSecond);
  EXPECT_LE(last_[2], since + kMachine);
}

TEST_F(Versions, TheSmallerSideOfACutChangesNothingAndServesWithCare) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2, 3, 4}));
  loading = true;
  const auto first = propose(0, "abc");
  ASSERT_TRUE(r->until([&] { return first && all_act(first, r->all()); })) << said;
  r->cut({0, 1}, {2, 3, 4});
  r->run(kBound + 300'000);
  EXPECT_TRUE(r->until([&] { return view(0).careful && view(1).careful; }, kMachine));
  const auto n = propose_until(3, "ab");
  EXPECT_GT(n, first) << said;
  EXPECT_EQ(view(0).acting, first);
  const auto before = served;
  r->run(kSecond);
  EXPECT_GT(served, before + 30) << "clients of both sides are served";
  r->cut({0, 1}, {2, 3, 4}, false);
  EXPECT_TRUE(r->until([&] { return all_act(n, r->all()); }));
}

TEST_F(Versions, AOneWayCutToTheLeaderAndAStalledLinkHoldTheOthersNoLongerThanT) {
  ASSERT_NO_FATAL_FAILURE(begin(5, {0, 1, 2}));
  const auto l = leader();
  r->way(4, l).cut = true;
  r->way(3, l).stall = r->way(l, 3).stall = true;
  r->run(300'000);
  const Time from = net::unix_now();
  const auto n = propose_until(l == 0 ? 1 : 0, "ab");
  EXPECT_GT(n, 0u) << said;
  EXPECT_LE(net::unix_now() - from, kBound + 3 * kMachine);
  // They hear of it from others, and take the careful union with it.
  for (const std::size_t i : {std::size_t{3}, std::size_t{4}})
    EXPECT_TRUE(r->until([&] {
      const auto v = view(i);
      return v.acting == n || v.heard > 0;
    })) << i;
  r->way(4, l).cut = false;
  r->way(3, l).stall = r->way(l, 3).stall = false;
  EXPECT_TRUE(r->until([&] { return all_act(n, r->all()); }));
}

TEST_F(Versions, VotersAreReplacedInServiceUntilNoneOfTheFirstIsLeft) {
  ASSERT_NO_FATAL_FAILURE(begin(6, {0, 1, 2}));
  ASSERT_EQ(propose(5, "ab"), 1u) << said;
  const std::vector<std::string> steps = {"n3\nn1\nn2\n", "n3\nn4\nn2\n", "n3\nn4\nn5\n"};
  for (std::size_t k = 0; k < steps.size(); ++k) {
    const auto nonce = r->put(5, "/control/versions/voters", steps[k]);
    ASSERT_TRUE(r->until([&] { return word_on(5, nonce).starts_with("yes"); })) << k;
    ASSERT_TRUE(r->until([&] {
      return view(k).part == "follower" && view(k + 3).part == "voter" && leader() < 6;
    })) << k
        << " " << view(k).part << " " << view(k + 3).part;
  }
  r->kill(0), r->kill(1), r->kill(2);
  const auto n = propose_until(5, "abc");
  EXPECT_EQ(n, 2u) << said;
}

// All lose their power at once; one disk had lied, one is empty.
TEST_F(Versions, AllLosePowerAndOneDiskLiedOrIsLostOrFlippedOrOld) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << said;
  const auto whole_again = [&](std::uint64_t n, const char* what) {
    ASSERT_TRUE(r->until([&] { return leader() < 4 && all_act(n, r->all()); }, 40 * kSecond))
        << what << "\n"
        << r->log(0).substr(r->log(0).size() / 2);
    ASSERT_TRUE(r->until([&] {
      return view(0).part == "voter" && view(1).part == "voter" && view(2).part == "voter";
    })) << what;
  };
  const auto all_down = [&] {
    for (std::size_t i = 0; i < 4; ++i) r->lose_power(i);
  };
  // One whose syncs said yes and did nothing.
  r->lie(1, kUnsynced);
  const auto two = propose_until(3, "abc");
  ASSERT_GT(two, 1u) << said;
  all_down();
  r->lie(1, kHonest);
  r->start_all();
  whole_again(two, "unsynced");
  // One bit of its log flipped; another's folder gone.
  all_down();
  std::fstream db(r->state(1) + "/agree.db", std::ios::in | std::ios::out | std::ios::binary);
  db.seekp(4096 * 2 + 3000);
  db.put('\x5a');
  db.close();
  r->start_all();
  whole_again(two, "flipped");
  all_down();
  std::filesystem::remove_all(r->state(2));
  r->start_all();
  whole_again(two, "lost");
  // An old copy of the log brought back, beside a newer mark.
  std::filesystem::copy_file(r->state(0) + "/agree.db", r->state(0) + "/old");
  const auto three = propose_until(3, "ab");
  ASSERT_GT(three, two) << said;
  r->kill(0);
  std::filesystem::rename(r->state(0) + "/old", r->state(0) + "/agree.db");
  r->start(0);
  whole_again(three, "old");
  EXPECT_NE(r->log(0).find("log_spoilt"), std::string::npos);
}

TEST_F(Versions, AHungOrFailingDiskHoldsNeitherRequestsNorTheOthers) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << said;
  loading = true;
  r->run(500'000);
  r->lie(2, kHangs);
  const auto two = propose_until(3, "abc");
  EXPECT_GT(two, 1u) << said;
  const auto before = served;
  r->run(kSecond);
  EXPECT_GT(served, before + 30) << "its clients too";
  r->lie(2, kHonest);
  EXPECT_TRUE(r->until([&] { return all_act(two, r->all()); }));
  r->lie(2, kSyncFails);
  const auto three = propose_until(3, "ab");
  EXPECT_GT(three, two) << said;
  r->lie(2, kHonest);
  EXPECT_TRUE(
      r->until([&] { return all_act(three, r->all()) && view(2).part == "voter"; }, 40 * kSecond));
}

// Half of the routers, the leader among them, are gone at once: what they might do is done by the
// others, and not before their leases have run out.
TEST_F(Versions, TheSharesOfHalfThatWereKilledAreUsedAgainAndNeverTwice) {
  ASSERT_NO_FATAL_FAILURE(begin(6, {0, 1, 2}));
  loading = true;
  const auto sum = [&] {
    double all = 0;
    for (const auto i : r->all()) all += view(i).share;
    return all;
  };
  double most = 0;
  const auto used = [&] {
    const double s = sum();
    most = std::max(most, s);
    return s;
  };
  ASSERT_TRUE(r->until([&] { return used() > 0.84; })) << most;
  std::vector<std::size_t> lost = {leader()};
  for (const std::size_t i : {std::size_t{5}, std::size_t{4}, std::size_t{3}})
    if (lost.size() < 3) lost.push_back(i);
  for (const auto i : lost) r->kill(i);
  const Time at = net::unix_now();
  EXPECT_LT(used(), 0.8);
  ASSERT_TRUE(r->until([&] { return used() >= 0.8; })) << most;
  EXPECT_LE(net::unix_now() - at, 15 * kSecond);
  EXPECT_LE(most, 0.8501);
}

// A list that holds for one router first: taken back by a word, by the failures that router sees,
// and let go on.
TEST_F(Versions, ATrialHoldsForTheNamedRouterOnlyAndIsTakenBackByHarm) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "abc"), 1u) << said;
  loading = true;
  ASSERT_TRUE(r->until([&] { return all_act(1, r->all()); }));
  const auto rule = [&](const std::string& what) {
    const auto nonce = r->put(0, "/control/versions/rollout", what);
    r->until(
        [&] { return (said = word_on(0, nonce)).starts_with("yes") || said.starts_with("no"); });
    return said.starts_with("yes");
  };
  ASSERT_EQ(propose(3, "ab", "?first=n3&hold=600&harm=0.5"), 2u) << said;
  ASSERT_TRUE(r->until([&] { return all_act(2, {3}); }));
  r->run(2 * kSecond);
  EXPECT_TRUE(all_act(1, {0, 1, 2})) << "all others as before, under their leases";
  EXPECT_FALSE(rule("go 7")) << said;
  ASSERT_TRUE(rule("back 2")) << said;
  ASSERT_TRUE(r->until([&] { return all_act(3, r->all()); }, kBound + 2 * kMachine));
  // The one that it holds for first finds its only box broken.
  broken_[2] = true;
  ASSERT_EQ(propose(3, "c", "?first=n3&hold=600&then=go"), 4u) << said;
  ASSERT_TRUE(r->until([&] { return all_act(5, r->all()); }));
  EXPECT_NE(r->get(view(0).leads   ? 0
                   : view(1).leads ? 1
                                   : 2,
                   "/control/versions")
                .find("ended badly"),
            std::string::npos);
  broken_[2] = false;
  r->run(4 * kSecond);  // its door opens again
  const auto good = propose(3, "ab", "?first=n3,n0&hold=3&harm=0.5&then=go");
  ASSERT_EQ(good, 6u) << said;
  EXPECT_TRUE(r->until([&] { return all_act(6, r->all()); }));
}

TEST_F(Versions, AFullDiskHoldsNobodyUpAndItsRouterComesBackWithRoom) {
  ASSERT_NO_FATAL_FAILURE(begin(4, {0, 1, 2}));
  ASSERT_EQ(propose(3, "ab"), 1u) << said;
  loading = true;
  r->lie(2, kFull);
  const auto two = propose_until(3, "abc");
  EXPECT_GT(two, 1u) << said;
  EXPECT_TRUE(r->until([&] { return all_act(two, but(2)); }));
  const auto before = served;
  r->run(2 * kSecond);
  EXPECT_GT(served, before + 60) << "its clients too";
  EXPECT_TRUE(view(2).careful) << "it holds nothing that it could not keep";
  r->lie(2, kHonest);
  EXPECT_TRUE(
      r->until([&] { return all_act(two, r->all()) && view(2).part == "voter"; }, 40 * kSecond));
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
  first_ = "ab", weight_ = 1;
  ASSERT_NO_FATAL_FAILURE(begin(6, {0, 1, 2}));
  loading = true;
  r->run(2 * kSecond);  // shares follow what each takes
  const auto n = propose_until(5, "abc");
  ASSERT_GT(n, 0u) << said;
  const Time born = net::unix_now();  // no router has it before this but by the time of a call
  const auto budget =
      [&](Time at) {  // requests a second, of all routers: what the settings leave, of one weight
        const double share = kFrom + (1 - kFrom) * static_cast<double>(at - born) / 1e6 / kSpan;
        return kUsed * share / kSending;
      };
  ASSERT_TRUE(r->until([&] { return all_act(n, r->all()); }));
  const auto count = [&](Time time) {  // at the box, a second, and what its budget was
    const auto got = got_[2];
    const Time from = net::unix_now();
    r->run(time);
    const double s = static_cast<double>(net::unix_now() - from) / 1e6;
    return std::pair(static_cast<double>(got_[2] - got) / s,
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
  for (const auto i : lost) r->kill(i);
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
  loading = true;
  constexpr std::int64_t kHour = 3600LL * 1'000'000;
  r->lie(0, kHonest, kHour), r->lie(1, kHonest, -kHour);
  ASSERT_EQ(propose(3, "ab"), 1u) << said;
  for (int i = 0; i < 4; ++i) {
    r->lie(static_cast<std::size_t>(i % 4), kHonest, i % 2 ? 5 * kHour : -2 * kHour);
    r->run(400'000);
  }
  EXPECT_TRUE(r->until([&] { return leader() < 4 && all_act(1, r->all()) && r->whole(r->all()); },
                       5 * kSecond));
  const auto before = served;
  r->run(kSecond);
  EXPECT_GT(served, before + 30);
  EXPECT_EQ(propose(3, "abc"), 2u) << said;
}

}  // namespace
