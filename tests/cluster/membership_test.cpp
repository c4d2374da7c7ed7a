// Tests of the membership protocol between routers on a simulated network. A failed check prints
// its seed, which reproduces the run.
#include "cluster/membership.h"

#include <gtest/gtest.h>

#include <cstdlib>

#include "simulated_network.h"

namespace {

namespace cluster = alderspur::cluster;
using cluster::ClusterHealth;
using cluster::MemberState;
using simulation::address_of;
using simulation::kSecond;
using simulation::Network;
using simulation::Node;
using simulation::node_name;
using simulation::Time;

constexpr Time kFormTimeout = 8 * kSecond;

std::uint64_t failure_count(Network& network) {
  std::uint64_t count = 0;
  for (auto& [address, node] : network.nodes()) count += node.membership->counters().failures;
  return count;
}

bool all_see(Network& network, const std::string& name, MemberState state) {
  for (auto& [address, node] : network.nodes()) {
    const auto* view = node.membership->find(name);
    if (view == nullptr || view->update.state != state) return false;
  }
  return true;
}

class MembershipTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  MembershipTest() { RecordProperty("seed", static_cast<int>(GetParam())); }
  void form(std::size_t size) {
    network_.start_all(size);
    ASSERT_TRUE(network_.run_until([this] { return network_.all_whole(); }, kFormTimeout));
  }
  Network& network() { return network_; }

 private:
  Network network_{GetParam()};
};

TEST_P(MembershipTest, FormsOneClusterWhenAllStartAtOnce) {
  Network& network = this->network();
  network.start_all(30);
  EXPECT_TRUE(network.run_until([&] { return network.all_whole(); }, kFormTimeout));
}

TEST_P(MembershipTest, FormsOneClusterWhenTwoOfThreeSeedsAreDown) {
  Network& network = this->network();
  for (std::size_t i = 2; i < 7; ++i) network.start(node_name(i), Network::default_seeds());
  EXPECT_TRUE(network.run_until([&] { return network.all_see_each_other(); }, kFormTimeout));
}

TEST_P(MembershipTest, DetectsAFailureAndARestart) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(7));
  const auto epoch_before = network.member("n4").self().epoch;
  network.kill("at-n4");
  EXPECT_TRUE(
      network.run_until([&] { return all_see(network, "n4", MemberState::failed); }, 6 * kSecond));
  EXPECT_EQ(network.member("n0").health(), ClusterHealth::degraded);
  network.start("n4", {"at-n0"});
  EXPECT_TRUE(network.run_until([&] { return network.all_whole(); }, 6 * kSecond));
  EXPECT_GT(network.member("n0").find("n4")->update.identity.epoch, epoch_before);
}

// The other members declare the stopped process failed; it refutes this once it resumes.
TEST_P(MembershipTest, SuspectsNoMemberAfterItsOwnProcessWasStopped) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(5));
  network.stop("at-n3");
  network.run(10 * kSecond);
  EXPECT_EQ(network.member("n0").find("n3")->update.state, MemberState::failed);
  const auto failures_before = failure_count(network);
  network.resume("at-n3");
  EXPECT_TRUE(network.run_until([&] { return network.all_whole(); }, 6 * kSecond));
  network.run(10 * kSecond);
  EXPECT_EQ(failure_count(network), failures_before);
  EXPECT_GE(network.member("n3").counters().stalls, 1U);
}

TEST_P(MembershipTest, ReportsAPartitionOnBothSidesAndMergesAfterwards) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(5));
  const std::set<std::string> minority = {"at-n0", "at-n1"};
  network.set_loss([&](const auto& from, const auto& to) {
    return minority.contains(from) != minority.contains(to);
  });
  network.run(15 * kSecond);
  for (const auto* name : {"n0", "n1"}) {
    EXPECT_EQ(network.member(name).health(), ClusterHealth::partitioned);
  }
  for (const auto* name : {"n2", "n3", "n4"}) {
    EXPECT_EQ(network.member(name).health(), ClusterHealth::degraded);
  }
  network.stop_losses();
  EXPECT_TRUE(network.run_until([&] { return network.all_whole(); }, 10 * kSecond));
}

TEST_P(MembershipTest, ReportsThatItIsIsolated) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(3));
  network.set_loss(
      [](const auto& from, const auto& to) { return from == "at-n1" || to == "at-n1"; });
  EXPECT_TRUE(network.run_until(
      [&] { return network.member("n1").health() == ClusterHealth::isolated; }, 10 * kSecond));
}

// Indirect probes by the other members replace the messages that are lost.
TEST_P(MembershipTest, DeclaresNoFailureWhenOneDirectionOfALinkIsCut) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(5));
  network.set_loss(
      [](const auto& from, const auto& to) { return from == "at-n1" && to == "at-n2"; });
  network.run(60 * kSecond);
  EXPECT_EQ(failure_count(network), 0U);
  EXPECT_TRUE(network.all_see_each_other());
}

// Only neighbours reach each other. The member in the middle probes on behalf of the other two.
TEST_P(MembershipTest, DeclaresNoFailureInAChainOfThreeMembers) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(3));
  network.set_loss(
      [](const auto& from, const auto& to) { return from != "at-n1" && to != "at-n1"; });
  network.run(60 * kSecond);
  EXPECT_EQ(failure_count(network), 0U);
  EXPECT_TRUE(network.all_see_each_other());
}

TEST_P(MembershipTest, DeclaresNoFailureWhenALinkFlaps) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(5));
  network.set_loss([&](const auto& from, const auto& to) {
    const bool is_flapping_link =
        (from == "at-n0" && to == "at-n1") || (from == "at-n1" && to == "at-n0");
    return is_flapping_link && (network.now() / kSecond) % 2 == 0;
  });
  network.run(120 * kSecond);
  EXPECT_EQ(failure_count(network), 0U);
}

TEST_P(MembershipTest, DeclaresNoFailureWhenAFifthOfAllMessagesIsLostForTwoMinutes) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(7));
  network.set_loss([&](const auto&, const auto&) { return network.draw(5) == 0; });
  network.run(120 * kSecond);
  EXPECT_EQ(failure_count(network), 0U);
}

TEST_P(MembershipTest, FormsOneClusterAgainAfterAllMembersWereKilled) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(10));
  for (std::size_t i = 0; i < 10; ++i) network.kill(address_of(node_name(i)));
  network.run(kSecond);
  network.start_all(10);
  EXPECT_TRUE(network.run_until([&] { return network.all_whole(); }, kFormTimeout));
}

TEST_P(MembershipTest, DistinguishesMembersWhenOneTakesTheAddressOfAnother) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(5));
  network.kill("at-n3");
  network.kill("at-n4");
  network.start("n3", {"at-n0"}, "at-n4");  // at once, at the address of n4
  const auto are_distinguished = [&] {
    const auto* moved = network.member("n0").find("n3");
    const auto* killed = network.member("n0").find("n4");
    if (moved == nullptr || killed == nullptr) return false;
    return moved->update.state == MemberState::alive && moved->update.identity.address == "at-n4" &&
           killed->update.state == MemberState::failed;
  };
  EXPECT_TRUE(network.run_until(are_distinguished, 8 * kSecond));
  network.run(5 * kSecond);
  EXPECT_EQ(network.member("n1").find("n3")->update.state, MemberState::alive);
}

// Guards against a process that goes on as a member because it never receives the update on its
// successor, once other members no longer repeat that update.
TEST_P(MembershipTest, SendsAnOutdatedSenderTheUpdateOnItsSuccessor) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(4));
  cluster::Message outdated;
  outdated.sender = network.member("n2").self();
  network.kill("at-n2");
  network.start("n2", {"at-n0"}, "elsewhere");
  const auto& successor = network.node("elsewhere").membership->self();
  const auto knows_successor = [&] {
    const auto* view = network.member("n0").find("n2");
    return view != nullptr && view->update.identity.epoch == successor.epoch;
  };
  ASSERT_TRUE(network.run_until(knows_successor, 8 * kSecond));
  network.run(10 * kSecond);  // until the update is no longer queued
  std::vector<cluster::Action> actions;
  network.member("n0").handle(network.now(), cluster::MessageReceived{outdated, "at-n2"}, actions);
  const auto has_successor = [&](const cluster::Action& action) {
    const auto* sent = std::get_if<cluster::SendMessage>(&action);
    if (sent == nullptr || sent->address != "at-n2") return false;
    return std::any_of(sent->message.updates.begin(), sent->message.updates.end(),
                       [&](const auto& update) { return update.identity == successor; });
  };
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), has_successor));
}

TEST_P(MembershipTest, KeepsTheLaterOfTwoProcessesWithTheSameName) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(4));
  network.start("n2", {"at-n0"}, "elsewhere");
  EXPECT_TRUE(network.run_until([&] { return network.node("at-n2").is_superseded; }, 8 * kSecond));
  EXPECT_FALSE(network.node("elsewhere").is_superseded);
  const auto has_later_process = [&] {
    const auto* view = network.member("n0").find("n2");
    return view != nullptr && view->update.identity.address == "elsewhere" &&
           view->update.state == MemberState::alive;
  };
  EXPECT_TRUE(network.run_until(has_later_process, 5 * kSecond));
  std::size_t conflicts = 0;
  for (auto& [address, node] : network.nodes()) conflicts += node.conflicts.size();
  EXPECT_GE(conflicts, 1U);
}

TEST_P(MembershipTest, DoesNotSuspectAMemberThatLeaves) {
  Network& network = this->network();
  ASSERT_NO_FATAL_FAILURE(form(7));
  network.deliver("at-n5", cluster::Leave{});
  ASSERT_TRUE(network.run_until([&] { return network.node("at-n5").has_left; }, 2 * kSecond));
  network.kill("at-n5");
  EXPECT_TRUE(
      network.run_until([&] { return all_see(network, "n5", MemberState::left); }, 2 * kSecond));
  network.run(10 * kSecond);
  EXPECT_EQ(failure_count(network), 0U);
  EXPECT_TRUE(network.all_whole()) << "a member that has left does not degrade the cluster";
}

TEST_P(MembershipTest, IgnoresReplayedMessagesOfAForgottenMember) {
  Network& network = this->network();
  network.start_all(5);
  std::vector<std::pair<std::string, cluster::Message>> recorded;
  network.observe_messages([&](const auto& to, const auto& message) {
    if (message.sender.name == "n3" && recorded.size() < 300) recorded.emplace_back(to, message);
  });
  ASSERT_TRUE(network.run_until([&] { return network.all_whole(); }, kFormTimeout));
  network.run(5 * kSecond);
  network.kill("at-n3");
  network.run(75 * kSecond);
  EXPECT_EQ(network.member("n0").find("n3"), nullptr) << "n3 is removed from the table";
  for (const auto& [to, message] : recorded) {
    network.deliver(to, cluster::MessageReceived{message, "at-n3"});
  }
  network.run(10 * kSecond);
  for (auto& [address, node] : network.nodes()) {
    EXPECT_EQ(node.membership->find("n3"), nullptr) << address;
  }
  EXPECT_TRUE(network.all_whole());
}

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipTest,
                         ::testing::Range(std::uint64_t{1}, std::uint64_t{13}));

// A cluster that suffers random kills, stops, partitions and losses.
class RandomFaults {
 public:
  explicit RandomFaults(std::uint64_t seed) : size_(3 + seed % 7), network_(seed) {
    network_.start_all(size_);
    network_.set_loss([this](const auto& from, const auto& to) {
      return cut_links_.contains({from, to}) || network_.draw(100) < loss_percent_;
    });
  }

  void run_steps(int count) {
    for (int step = 0; step < count; ++step) {
      const auto one = address_of(node_name(network_.draw(size_)));
      const auto other = address_of(node_name(network_.draw(size_)));
      take_step(network_.draw(7), one, other);
      network_.run(static_cast<Time>(network_.draw(6 * kSecond)));
    }
  }
  void end_all() {
    cut_links_.clear();
    loss_percent_ = 0;
    for (const auto& address : stopped_) network_.resume(address);
    for (const auto& address : killed_) start_again(address);
  }
  Network& network() { return network_; }
  std::string description() const { return std::to_string(size_) + " members: " + description_; }

 private:
  void take_step(std::uint64_t kind, const std::string& one, const std::string& other) {
    description_ += std::to_string(kind) + one + other + ' ';
    if (kind == 0 && killed_.insert(one).second) {
      network_.kill(one);
      stopped_.erase(one);
    }
    if (kind == 1 && killed_.erase(one) > 0) start_again(one);
    if (kind == 2 && !killed_.contains(one)) {
      network_.stop(one);
      stopped_.insert(one);
    }
    if (kind == 3 && stopped_.erase(one) > 0) network_.resume(one);
    if (kind == 4) cut_links_.insert({one, other});
    if (kind == 5) cut_links_.clear();
    if (kind == 6) loss_percent_ = network_.draw(40);
  }
  void start_again(const std::string& address) {
    network_.start(address.substr(address_of("").size()), Network::default_seeds());
  }

  const std::size_t size_;
  Network network_;
  std::set<std::pair<std::string, std::string>> cut_links_;  // one direction each
  std::uint64_t loss_percent_ = 0;
  std::set<std::string> stopped_;
  std::set<std::string> killed_;
  std::string description_;
};

TEST(MembershipExploration, ConvergesAfterRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    RandomFaults faults(seed);
    faults.run_steps(25);
    faults.end_all();
    ASSERT_TRUE(
        faults.network().run_until([&] { return faults.network().all_whole(); }, 40 * kSecond))
        << "seed " << seed << ", " << faults.description();
  }
}

// Returns the average number of bytes that a member sends in ten seconds, measured after the
// updates of the start have been sent.
double load_per_member(std::size_t size) {
  Network network(5);
  network.start_all(size);
  EXPECT_TRUE(network.run_until([&] { return network.all_whole(); }, 30 * kSecond, kSecond / 4))
      << size;
  network.run(60 * kSecond);
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (auto& [address, node] : network.nodes()) before += node.bytes_sent;
  network.run(10 * kSecond);
  for (auto& [address, node] : network.nodes()) after += node.bytes_sent;
  return static_cast<double>(after - before) / static_cast<double>(size);
}

TEST(MembershipLoad, DoesNotGrowWithTheNumberOfMembers) {
  const double small = load_per_member(30);
  const double large = load_per_member(150);
  EXPECT_LT(large, 1.2 * small);
  EXPECT_GT(small, 1000);
}

// One schedule of the exhaustive exploration. Of the messages sent after the cluster has formed,
// one is lost and one is delayed, and one member is killed and restarted.
class RestartSchedule {
 public:
  RestartSchedule(std::uint64_t lost_message, std::uint64_t late_message, std::size_t restarted)
      : restarted_(node_name(restarted)) {
    network_.start_all(3);
    EXPECT_TRUE(network_.run_until([&] { return network_.all_whole(); }, kFormTimeout));
    network_.observe_changes([this](const Node& node, const cluster::MemberChanged& change) {
      check(node, change.update);
    });
    network_.set_loss(
        [=, this](const auto&, const auto&) { return message_count_++ == lost_message; });
    network_.set_delay(
        [=, this]() -> Time { return message_count_ - 1 == late_message ? 900'000 : 1'000; });
  }

  void run_and_restart(Time restart_after) {
    network_.run(restart_after);
    const auto address = address_of(restarted_);
    network_.kill(address);
    // The new process has an empty table.
    std::erase_if(known_, [&](const auto& entry) { return entry.first.first == address; });
    network_.start(restarted_, Network::default_seeds());
  }
  bool run_until_whole() {
    const auto quiet_after = static_cast<Time>(restarted_epoch()) + 2 * kSecond;
    return network_.run_until([&] { return network_.now() > quiet_after && network_.all_whole(); },
                              12 * kSecond);
  }
  std::uint64_t restarted_epoch() { return network_.member(restarted_).self().epoch; }
  std::uint64_t epoch_known_to(std::size_t index) {
    return network_.member(node_name(index)).find(restarted_)->update.identity.epoch;
  }
  bool has_regressed() const { return has_regressed_; }
  bool has_failed_another() const { return has_failed_another_; }

 private:
  void check(const Node& node, const cluster::GossipUpdate& update) {
    auto [known, is_new] = known_.try_emplace({node.address, update.identity.name}, update);
    if (!is_new && !cluster::overrides(update, known->second)) has_regressed_ = true;
    known->second = update;
    const bool is_restarted = update.identity.name == restarted_;
    if (update.state == MemberState::failed && !is_restarted) has_failed_another_ = true;
  }

  Network network_{3};
  const std::string restarted_;
  std::uint64_t message_count_ = 0;
  // The latest update on each member, by the address of the reporting process and the member's
  // name.
  std::map<std::pair<std::string, std::string>, cluster::GossipUpdate> known_;
  bool has_regressed_ = false;       // a process has replaced an update by a lesser one
  bool has_failed_another_ = false;  // a member other than the restarted one was declared failed
};

void check_restart_schedule(std::uint64_t lost, std::uint64_t late, Time restart_after,
                            std::size_t restarted) {
  SCOPED_TRACE("lost " + std::to_string(lost) + " late " + std::to_string(late) + " restart of " +
               node_name(restarted) + " after " + std::to_string(restart_after) + " us");
  RestartSchedule schedule(lost, late, restarted);
  ASSERT_FALSE(::testing::Test::HasFailure());
  schedule.run_and_restart(restart_after);
  ASSERT_TRUE(schedule.run_until_whole());
  ASSERT_FALSE(schedule.has_regressed());
  ASSERT_FALSE(schedule.has_failed_another());
  for (std::size_t i = 0; i < 3; ++i) {
    if (i != restarted) {
      ASSERT_EQ(schedule.epoch_known_to(i), schedule.restarted_epoch());
    }
  }
}

// Explores a small case exhaustively: three members, of whose first messages one is lost and one is
// delayed, and one member that is restarted at one of six moments. In each schedule, a member's
// update on another member never decreases in (epoch, incarnation, state), no member but the
// restarted one is declared failed, and in the end the cluster is whole and all members have the
// epoch of the restarted one. ALDERSPUR_EXPLORE sets the number of first messages (24 by default:
// 24 x 24 x 6 x 3 schedules).
TEST(MembershipExploration, UpdatesNeverRegressWithOneLossOneDelayAndOneRestart) {
  const char* configured = std::getenv("ALDERSPUR_EXPLORE");
  const std::uint64_t messages =
      configured != nullptr ? std::strtoull(configured, nullptr, 10) : 24;
  std::uint64_t schedules = 0;
  for (std::uint64_t lost = 0; lost < messages; ++lost) {
    for (std::uint64_t late = 0; late < messages; ++late) {
      for (Time restart_after = 0; restart_after < 600'000; restart_after += 100'000) {
        for (std::size_t restarted = 0; restarted < 3; ++restarted) {
          ASSERT_NO_FATAL_FAILURE(check_restart_schedule(lost, late, restart_after, restarted));
          ++schedules;
        }
      }
    }
  }
  RecordProperty("schedules", static_cast<int>(schedules));
}

}  // namespace
