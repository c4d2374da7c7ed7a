// Durations of a version from proposal to everywhere, on the simulated network of the tests: 1 to 3
// ms a way, a store of 0.5 ms, clocks up to 1% apart. One line a size: plain, with one router
// stopped, with the leader lost.
//   agreement_sim [ROUTERS...]
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "consensus/simulated_cluster.h"
#include "durations.h"

namespace {

using namespace simulation;

void play(std::size_t n) {
  Durations force, everywhere, stopped, lost;
  Time longest = 0;
  double rest_frames = 0, rest_bytes = 0, rest_stores = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedCluster w(seed * 104729 + n, n, 3);
    if (!w.run_until([&] { return !w.leader().empty(); })) continue;
    w.run_for(3 * kSecond);
    const auto frames = w.messages_sent, bytes = w.bytes_sent, stores = w.log_writes;
    w.run_for(10 * kSecond);
    rest_frames += static_cast<double>(w.messages_sent - frames) / 10 / static_cast<double>(n) / 5;
    rest_bytes += static_cast<double>(w.bytes_sent - bytes) / 10 / static_cast<double>(n) / 5;
    rest_stores += static_cast<double>(w.log_writes - stores) / 10 / 5;
    int value = 0;
    const auto change = [&](Durations& settled, Durations* all) {
      const auto text = "v" + std::to_string(++value);
      const auto from = w.now;
      const auto p = w.propose(SimulatedCluster::name(n - 1), text);
      if (!w.run_until([&] { return w.result(p) != nullptr; })) return;
      if (w.result(p)->is_accepted) settled.all.push_back(w.now - from);
      if (w.run_until([&] { return w.all_use(text); }) && all) all->all.push_back(w.now - from);
    };
    for (int i = 0; i < 8; ++i) change(force, &everywhere);
    const auto still = SimulatedCluster::name(n > 3 ? n - 2 : 1);
    if (w.leader() != still) {
      w.pause(still);
      change(stopped, nullptr);
      w.resume(still);
      w.run_for(3 * kSecond);
    }
    w.kill(w.leader());
    change(lost, nullptr);
    longest = std::max(longest, w.longest_stale_lease);
    if (!w.violation.empty()) std::printf("BROKEN %s\n", w.violation.c_str());
  }
  std::printf(
      "%4zu routers: in force p50 %.0f p99 %.0f ms, everywhere p50 %.0f p99 %.0f max %.0f ms; one "
      "stopped "
      "%.0f to %.0f ms; "
      "leader lost %.0f to %.0f ms; longest contradiction %lld ms; at rest %.1f frames %.0f bytes "
      "a router "
      "and s, %.1f stores a s\n",
      n, force.ms(0.5), force.ms(0.99), everywhere.ms(0.5), everywhere.ms(0.99), everywhere.ms(1),
      stopped.ms(0), stopped.ms(1), lost.ms(0), lost.ms(1), static_cast<long long>(longest / 1000),
      rest_frames, rest_bytes, rest_stores);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2)
    for (const std::size_t n : {std::size_t{3}, std::size_t{5}, std::size_t{30}}) play(n);
  for (int i = 1; i < argc; ++i) play(static_cast<std::size_t>(std::atoi(argv[i])));
}
