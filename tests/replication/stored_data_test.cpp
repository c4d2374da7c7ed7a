// Compatibility tests with the version before the identifiers of the code were renamed. The files
// under tests/data/replication, which that version wrote, must be read with the same result and
// written to the same bytes.
#include <gtest/gtest.h>

#include <deque>
#include <fstream>
#include <sstream>

#include "replication/simulated_replicas.h"
#include "store/state_file.h"
#include "support/test_data.h"

namespace {

using alderspur::replication::Ban;
using alderspur::replication::Dot;
using simulation::Action;
using simulation::ApplyPurge;
using simulation::BanRequested;
using simulation::BanSet;
using simulation::Event;
using simulation::FrameReceived;
using simulation::kSecond;
using simulation::LiftRequested;
using simulation::PeersChanged;
using simulation::PurgeObserved;
using simulation::Replica;
using simulation::ReplicaSettings;
using simulation::SendFrame;
using simulation::SetBan;
using simulation::Tick;
using simulation::Time;

TEST(StoredData, ReadsBansWrittenBeforeTheRename) {
  const auto file =
      alderspur::store::load_file(test_data::path("replication/replica.bans"), 1 << 20);
  ASSERT_TRUE(file.payload) << (file.error ? to_string(*file.error) : "no such file");
  const auto stored = BanSet::decode(*file.payload);
  ASSERT_TRUE(stored);
  const alderspur::replication::Author first{"router-1", 1'700'000'000'000'001};
  const alderspur::replication::Author second{"router-2", 1'700'000'000'000'002};
  const std::map<Dot, Ban> expected = {
      {{first, 1}, {"cache-1", "disk failed", 1'700'000'001'000'000}},
      {{second, 2}, {"cache-3", "by hand", 1'700'000'003'000'000}},
  };
  EXPECT_EQ(stored->bans(), expected);
  EXPECT_EQ(stored->banned_servers(), (std::vector<std::string>{"cache-1", "cache-3"}));
  EXPECT_TRUE(stored->context().contains({first, 2})) << "the ban of cache-2, which was lifted";
  EXPECT_FALSE(stored->context().contains({second, 1})) << "a change that was never received";
  EXPECT_EQ(stored->context().last_contiguous(first), 2U);
  EXPECT_EQ(stored->context().detached(), (std::set<Dot>{{second, 2}}));
  EXPECT_EQ(stored->digest(), 7'100'837'665'757'508'307U);
  EXPECT_EQ(stored->encode(), *file.payload) << "the set must be written to the same bytes";
}

constexpr Time kStart = 1'700'000'000'000'000;  // Unix time in microseconds

// Runs two replicas and records their frames and actions as lines of text.
class RecordedPair {
 public:
  RecordedPair() {
    deliver(1, PeersChanged{{"r2"}});
    deliver(2, PeersChanged{{"r1"}});
  }
  void deliver(int to, const Event& event) {
    std::vector<Action> actions;
    (to == 1 ? first_ : second_).handle(now_, event, actions);
    for (const auto& action : actions) record(to, action);
  }
  /// Delivers an event and loses each frame that the replica sends in response.
  void deliver_and_lose_frames(int to, const Event& event) {
    const auto in_flight = in_flight_;
    deliver(to, event);
    in_flight_ = in_flight;
  }
  void run_until_quiet() {
    while (!in_flight_.empty()) {
      const auto [to, frame] = in_flight_.front();
      in_flight_.pop_front();
      wait(1000);
      deliver(to, frame);
    }
  }
  void wait(Time duration) { now_ += duration; }
  std::string transcript() const { return transcript_.str(); }
  bool is_converged() const {
    return first_.bans() == second_.bans() && first_.floors() == second_.floors();
  }

 private:
  void record(int by, const Action& action) {
    transcript_ << by << " ";
    if (const auto* frame = std::get_if<SendFrame>(&action)) {
      transcript_ << frame->to << " " << test_data::to_hex(frame->bytes) << "\n";
      const FrameReceived received{by == 1 ? "r1" : "r2", frame->bytes};
      in_flight_.emplace_back(frame->to == "r1" ? 1 : 2, received);
    } else if (const auto* ban = std::get_if<SetBan>(&action)) {
      transcript_ << "ban " << ban->server << " " << ban->is_banned << "\n";
    } else {
      const auto& floor = std::get<ApplyPurge>(action).floor;
      transcript_ << "purge " << floor.is_object << " " << floor.id << " " << floor.at << "\n";
    }
  }
  static ReplicaSettings settings_of(const std::string& name) {
    ReplicaSettings settings;
    settings.self = {name, 1};
    return settings;
  }

  Replica first_{settings_of("r1"), 1};
  Replica second_{settings_of("r2"), 2};
  Time now_ = 1'000'000'000;
  std::deque<std::pair<int, FrameReceived>> in_flight_;
  std::ostringstream transcript_;
};

TEST(StoredData, ReplicasSendTheSameFramesAsBeforeTheRename) {
  RecordedPair pair;
  pair.deliver(1, BanRequested{"s-1", "by hand", kStart});
  pair.deliver(2, PurgeObserved{{true, 77, kStart + 1}});
  pair.run_until_quiet();
  pair.deliver_and_lose_frames(1, BanRequested{"s-2", "by hand", kStart + 2});
  pair.deliver_and_lose_frames(2, LiftRequested{"s-1"});
  for (std::uint64_t id = 0; id < 3; ++id) {
    pair.deliver_and_lose_frames(
        1, PurgeObserved{{id % 2 == 0, id, kStart + 3 + static_cast<Time>(id)}});
  }
  pair.deliver_and_lose_frames(2, PurgeObserved{{false, 9, kStart + 9}});
  for (int round = 0; round < 3; ++round) {
    pair.wait(kSecond);
    pair.deliver(1, Tick{});
    pair.run_until_quiet();
    pair.wait(1000);
    pair.deliver(2, Tick{});
    pair.run_until_quiet();
  }
  EXPECT_TRUE(pair.is_converged());
  std::ifstream file(test_data::path("replication/frames.txt"));
  const std::string expected{std::istreambuf_iterator<char>(file), {}};
  ASSERT_FALSE(expected.empty());
  EXPECT_EQ(pair.transcript(), expected);
}

}  // namespace
