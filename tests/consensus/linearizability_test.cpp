// Tests of the linearizability checker, and of the histories of two clients on the simulated
// network.
#include "linearizability.h"

#include <gtest/gtest.h>

#include <array>
#include <optional>

#include "consensus/simulated_cluster.h"

namespace alderspur::consensus {
namespace {

using linearizability::is_linearizable;
using linearizability::kNoResponse;
using linearizability::Operation;
using linearizability::Timestamp;

Operation read(Timestamp called_at, Timestamp answered_at, std::uint64_t number) {
  return {Operation::Kind::read, called_at, answered_at, 0, number, false};
}
Operation change(Timestamp called_at, Timestamp answered_at, std::uint64_t base,
                 std::uint64_t number) {
  return {Operation::Kind::change, called_at, answered_at, base, number, false};
}

TEST(LinearizabilityTest, AcceptsExactlyTheLinearizableHistories) {
  EXPECT_TRUE(is_linearizable(
      {change(0, 10, 0, 1), read(11, 12, 1), change(13, 20, 1, 2), read(14, 19, 1)}));
  EXPECT_TRUE(is_linearizable({change(0, 10, 0, 1), read(5, 6, 0), read(7, 8, 1)}));
  EXPECT_FALSE(is_linearizable({change(0, 10, 0, 1), read(11, 12, 0)}))
      << "a read after the response of the change does not return the change";
  EXPECT_FALSE(is_linearizable({change(0, 10, 0, 1), read(5, 6, 1), read(7, 8, 0)}))
      << "the second read returns an older value than the first";
  EXPECT_FALSE(is_linearizable({change(0, 10, 0, 1), change(0, 10, 0, 2)}))
      << "two changes have the same base";
  EXPECT_TRUE(is_linearizable({change(0, kNoResponse, 0, 0), read(5, 6, 3), change(7, 9, 3, 4)}));
  EXPECT_FALSE(is_linearizable({change(8, kNoResponse, 0, 0), read(5, 6, 3)}))
      << "a read returns the change before it was called";
}

// A client that reads and proposes at random routers, one operation at a time. Only reads at the
// leader are recorded, because other routers do not guarantee to return the newest version.
class Client {
 public:
  Client(SimulatedCluster& cluster, std::vector<Operation>& history)
      : cluster_(cluster), history_(history) {}

  void step(int& last_value) {
    if (open_change_) {
      handle_response();
      return;
    }
    const auto name = SimulatedCluster::name(cluster_.random()() % 5);
    const auto& router = cluster_.router(name);
    if (!cluster_.is_running(name) || router.is_paused) return;
    if (router.node->is_leader(cluster_.clock_of(router))) {
      known_number_ = router.node->applied_state().current().number;
      history_.push_back(read(cluster_.now(), cluster_.now(), known_number_));
      ++reads_;
    }
    if (cluster_.random()() % 3 != 0) return;
    open_change_ = history_.size();
    history_.push_back(change(cluster_.now(), kNoResponse, known_number_, 0));
    give_up_at_ = cluster_.now() + 25 * kSecond;
    nonce_ = cluster_.propose(name, "v" + std::to_string(++last_value), known_number_);
  }
  std::size_t accepted() const { return accepted_; }
  std::size_t reads() const { return reads_; }

 private:
  // Records the result of the open change if there is one. A change without a definite result stays
  // in the history without a response.
  void handle_response() {
    const ProposalResult* result = cluster_.result(nonce_);
    if (result) {
      const bool is_unknown = !result->is_accepted && result->reason.starts_with("no answer");
      if (!is_unknown) {
        Operation& operation = history_[*open_change_];
        operation.answered_at = cluster_.now();
        operation.number = result->version_number;
        operation.is_rejected = !result->is_accepted;
      }
      if (result->is_accepted) {
        known_number_ = result->version_number;
        ++accepted_;
      }
    }
    // If there is no result by then, the proposal was lost with its router.
    if (result || cluster_.now() > give_up_at_) open_change_.reset();
  }

  SimulatedCluster& cluster_;
  std::vector<Operation>& history_;
  std::optional<std::size_t> open_change_;  // index in the history
  std::uint64_t nonce_ = 0;
  std::uint64_t known_number_ = 0;  // the base of the next change
  Time give_up_at_ = 0;
  std::size_t accepted_ = 0;
  std::size_t reads_ = 0;
};

// Injects one random fault, or ends one, at each step. At most one router is killed and one paused
// at a time.
class RandomFaults {
 public:
  explicit RandomFaults(SimulatedCluster& cluster) : cluster_(cluster) {}

  void step() {
    const auto name = SimulatedCluster::name(cluster_.random()() % 5);
    switch (cluster_.random()() % 14) {
      case 0:
        if (killed_.empty() && name != paused_) {
          cluster_.kill(name);
          killed_ = name;
        }
        return;
      case 1:
        if (!killed_.empty()) cluster_.start(std::exchange(killed_, ""));
        return;
      case 2:
        if (paused_.empty() && name != killed_) {
          cluster_.pause(name);
          paused_ = name;
        }
        return;
      case 3:
        if (!paused_.empty()) cluster_.resume(std::exchange(paused_, ""));
        return;
      case 4:
        return cluster_.partition({name, SimulatedCluster::name(cluster_.random()() % 5)});
      case 5:
      case 6:
        return cluster_.restore_links();
      default:
        return;
    }
  }

 private:
  SimulatedCluster& cluster_;
  std::string killed_;  // empty: none
  std::string paused_;
};

TEST(LinearizabilityTest, ProposalsAndReadsOfTwoClientsAreLinearizable) {
  const std::size_t seeds = 12 * exploration_factor();
  std::size_t accepted = 0;
  std::size_t reads = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulatedCluster cluster(seed * 15485863, 5, 3);
    std::vector<Operation> history;
    std::array<Client, 2> clients{Client(cluster, history), Client(cluster, history)};
    RandomFaults faults(cluster);
    int last_value = 0;
    for (int step = 0; step < 60 && cluster.violation().empty(); ++step) {
      faults.step();
      for (int round = 0; round < 10; ++round) {
        for (auto& client : clients) client.step(last_value);
        cluster.run_for(static_cast<Time>(cluster.random()() % 60'000));
      }
    }
    ASSERT_NO_VIOLATION(cluster);
    ASSERT_TRUE(is_linearizable(history)) << "seed " << seed << "\n"
                                          << linearizability::describe(history);
    for (const auto& client : clients) {
      accepted += client.accepted();
      reads += client.reads();
    }
  }
  EXPECT_GT(accepted, seeds * 3);
  EXPECT_GT(reads, seeds * 10);
}

}  // namespace
}  // namespace alderspur::consensus
