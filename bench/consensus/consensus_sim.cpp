// Durations of a version from its proposal until it is used everywhere, on the simulated network of
// the tests: 1 to 3 ms a way, a write to the disk in 0.5 ms, clocks up to 1% apart. One line a
// size: without faults, with one router paused, with the leader lost.
//   consensus_sim [ROUTERS...]
#include <cstdio>
#include <cstdlib>

#include "consensus/simulated_cluster.h"
#include "durations.h"

namespace {

using alderspur::consensus::kSecond;
using alderspur::consensus::SimulatedCluster;
using alderspur::consensus::Time;

constexpr std::uint64_t kSeeds = 5;
constexpr int kVersions = 8;
constexpr Time kIdleTime = 10 * kSecond;

class Measurement {
 public:
  explicit Measurement(std::size_t routers) : routers_(routers) {}

  void run(std::uint64_t seed) {
    SimulatedCluster cluster(seed * 104729 + routers_, routers_, 3);
    if (!cluster.wait_for_leader()) return;
    cluster.run_for(3 * kSecond);
    measure_idle(cluster);
    last_value_ = 0;
    for (int i = 0; i < kVersions; ++i) change(cluster, current_, &everywhere_);
    measure_with_paused_router(cluster);
    cluster.kill(cluster.leader());
    change(cluster, leader_lost_, nullptr);
    longest_stale_lease_ = std::max(longest_stale_lease_, cluster.longest_stale_lease());
    if (!cluster.violation().empty()) std::printf("VIOLATION %s\n", cluster.violation().c_str());
  }

  void print() {
    std::printf("%4zu routers: in force p50 %.0f p99 %.0f ms, ", routers_,
                current_.quantile_ms(0.5), current_.quantile_ms(0.99));
    std::printf("everywhere p50 %.0f p99 %.0f max %.0f ms; ", everywhere_.quantile_ms(0.5),
                everywhere_.quantile_ms(0.99), everywhere_.quantile_ms(1));
    std::printf("one stopped %.0f to %.0f ms; ", paused_.quantile_ms(0), paused_.quantile_ms(1));
    std::printf("leader lost %.0f to %.0f ms; ", leader_lost_.quantile_ms(0),
                leader_lost_.quantile_ms(1));
    std::printf("longest contradiction %lld ms; ",
                static_cast<long long>(longest_stale_lease_ / 1000));
    std::printf("at rest %.1f frames %.0f bytes a router and s, %.1f stores a s\n", idle_messages_,
                idle_bytes_, idle_writes_);
    std::fflush(stdout);
  }

 private:
  // Averages over all seeds, a second; messages and bytes a router.
  void measure_idle(SimulatedCluster& cluster) {
    const auto before = cluster.totals();
    cluster.run_for(kIdleTime);
    const auto after = cluster.totals();
    const double seconds = static_cast<double>(kIdleTime) / static_cast<double>(kSecond);
    const auto routers = static_cast<double>(routers_);
    const auto average = [&](std::uint64_t from, std::uint64_t to) {
      return static_cast<double>(to - from) / seconds / static_cast<double>(kSeeds);
    };
    idle_messages_ += average(before.messages, after.messages) / routers;
    idle_bytes_ += average(before.message_bytes, after.message_bytes) / routers;
    idle_writes_ += average(before.log_writes, after.log_writes);
  }

  void change(SimulatedCluster& cluster, Durations& until_current, Durations* until_everywhere) {
    const auto text = "v" + std::to_string(++last_value_);
    const Time from = cluster.now();
    const auto proposal = cluster.propose(SimulatedCluster::name(routers_ - 1), text);
    if (!cluster.wait_for_result(proposal)) return;
    if (cluster.result(proposal)->is_accepted) until_current.add(cluster.now() - from);
    const bool is_everywhere = cluster.run_until([&] { return cluster.all_use(text); });
    if (is_everywhere && until_everywhere) until_everywhere->add(cluster.now() - from);
  }

  void measure_with_paused_router(SimulatedCluster& cluster) {
    const auto paused = SimulatedCluster::name(routers_ > 3 ? routers_ - 2 : 1);
    if (cluster.leader() == paused) return;
    cluster.pause(paused);
    change(cluster, paused_, nullptr);
    cluster.resume(paused);
    cluster.run_for(3 * kSecond);
  }

  const std::size_t routers_;
  int last_value_ = 0;
  Durations current_;
  Durations everywhere_;
  Durations paused_;
  Durations leader_lost_;
  Time longest_stale_lease_ = 0;
  double idle_messages_ = 0;
  double idle_bytes_ = 0;
  double idle_writes_ = 0;
};

void measure(std::size_t routers) {
  Measurement measurement(routers);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) measurement.run(seed);
  measurement.print();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    for (const std::size_t routers : {3u, 5u, 30u}) measure(routers);
  }
  for (int i = 1; i < argc; ++i) measure(std::strtoul(argv[i], nullptr, 10));
}
