// Figures of the membership on a simulated network: times to form a cluster, to learn of a failure
// and to heal, unfounded failures under loss, and the load of a member by the number of members.
// CPU and memory are of the whole simulation, divided by the members: more than a member's own.
// Usage: membership_sim MEMBERS [SECONDS OF LOSS [PERCENT]]
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "cluster/codec.h"
#include "cluster/frame_authenticator.h"
#include "cluster/simulated_network.h"
#include "support/figures.h"

namespace {

namespace cluster = alderspur::cluster;
using cluster::MembershipCounters;
using figures::in_seconds;
using simulation::address_of;
using simulation::kSecond;
using simulation::Network;
using simulation::node_name;
using simulation::Time;

constexpr std::size_t kMinMembers = 4;
constexpr std::size_t kMaxMembers = 1000;
constexpr std::size_t kDefaultMembers = 30;
constexpr Time kDefaultLossSeconds = 120;
constexpr std::size_t kLargeCluster = 300;   // members; more are measured less often
constexpr std::size_t kMediumCluster = 100;  // members

constexpr double kNoFigure = 0;  // where nothing was measured

double quantile(const std::vector<double>& values, double fraction) {
  return figures::quantile(values, fraction, kNoFigure);
}

double cpu_seconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec) / 1e6;
}

std::size_t peak_memory_kb() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<std::size_t>(used.ru_maxrss);
}

// All in seconds.
struct FailureTimes {
  std::vector<double> formed;
  std::vector<double> known_by_first;
  std::vector<double> known_by_all;
  std::vector<double> healed;
};

void measure_failure(Network& network, const std::string& victim, FailureTimes& times) {
  const auto killed_at = network.now();
  std::size_t informed = 0;
  Time first_at = 0;
  Time last_at = 0;
  network.observe_changes([&](auto&, const cluster::MemberChanged& change) {
    if (change.update.identity.name != victim) return;
    if (change.update.state != cluster::MemberState::failed) return;
    if (informed == 0) first_at = network.now();
    ++informed;
    last_at = network.now();
  });
  network.kill(address_of(victim));
  network.run_until([&] { return informed >= network.nodes().size(); }, 30 * kSecond);
  times.known_by_first.push_back(in_seconds(first_at - killed_at));
  times.known_by_all.push_back(in_seconds(last_at - killed_at));
  network.observe_changes([](auto&, const cluster::MemberChanged&) {});
  network.run(3 * kSecond);
}

void measure_partition(Network& network, std::size_t members, FailureTimes& times) {
  const auto is_first_half = [members](const std::string& address) {
    const std::size_t index = std::strtoul(address.c_str() + address_of("n").size(), nullptr, 10);
    return index < members / 2;
  };
  network.set_loss(
      [&](const auto& from, const auto& to) { return is_first_half(from) != is_first_half(to); });
  network.run(15 * kSecond);
  network.stop_losses();
  const auto ended_at = network.now();
  network.run_until([&] { return network.all_see_each_other(); }, 60 * kSecond);
  times.healed.push_back(in_seconds(network.now() - ended_at));
}

std::uint64_t run_count(std::size_t members) {
  if (members > kLargeCluster) return 1;
  return members > kMediumCluster ? 3 : 10;
}

void print_failure_times(std::size_t members) {
  FailureTimes times;
  const int failures = members > kLargeCluster ? 10 : 20;
  for (std::uint64_t seed = 1; seed <= run_count(members); ++seed) {
    Network network(seed);
    network.start_all(members);
    const auto started_at = network.now();
    network.run_until([&] { return network.all_whole(); }, 60 * kSecond);
    times.formed.push_back(in_seconds(network.now() - started_at));
    network.run(5 * kSecond);
    for (int i = 0; i < failures; ++i) {
      const auto victim = node_name(3 + network.draw(members - 3));  // no seed
      if (network.nodes().contains(address_of(victim))) measure_failure(network, victim, times);
    }
    measure_partition(network, members, times);
  }
  std::printf(
      "%zu members: formed p50 %.1f max %.1f s; death known by the first p50 %.1f p99 %.1f max "
      "%.1f s, by "
      "all p50 %.1f p99 %.1f max %.1f s; healed after halves p50 %.1f max %.1f s\n",
      members, quantile(times.formed, 0.5), quantile(times.formed, 1),
      quantile(times.known_by_first, 0.5), quantile(times.known_by_first, 0.99),
      quantile(times.known_by_first, 1), quantile(times.known_by_all, 0.5),
      quantile(times.known_by_all, 0.99), quantile(times.known_by_all, 1),
      quantile(times.healed, 0.5), quantile(times.healed, 1));
}

std::uint64_t total(Network& network, std::uint64_t MembershipCounters::*counter) {
  std::uint64_t sum = 0;
  for (auto& [address, node] : network.nodes()) sum += node.membership->counters().*counter;
  return sum;
}

void print_load(std::size_t members, unsigned loss_percent, Time duration) {
  Network network(77);
  std::uint64_t bytes = 0;
  std::uint64_t datagrams = 0;
  network.start_all(members);
  network.run_until([&] { return network.all_whole(); }, 60 * kSecond);
  // Until the updates of the start have been told.
  network.run((members > kLargeCluster ? 400 : 90) * kSecond);
  network.set_loss([&](const auto&, const auto&) { return network.draw(100) < loss_percent; });
  network.observe_messages([&](const auto&, const cluster::Message& message) {
    ++datagrams;
    bytes += cluster::encode(message).size() + cluster::kFrameOverhead;
  });
  const auto suspicions_before = total(network, &MembershipCounters::suspicions);
  const auto failures_before = total(network, &MembershipCounters::failures);
  const double cpu_before = cpu_seconds();
  network.run(duration);
  const double cpu_spent = cpu_seconds() - cpu_before;
  const auto failures = total(network, &MembershipCounters::failures) - failures_before;
  const auto suspicions = total(network, &MembershipCounters::suspicions) - suspicions_before;
  const double member_seconds = in_seconds(duration) * static_cast<double>(members);
  std::printf(
      "%zu members, %u%% lost, %.0f s: failures %llu, suspicions %.2f a member and hour; a member "
      "and second "
      "%.1f datagrams, %.0f bytes, %.0f us of CPU; %.0f KB a member\n",
      members, loss_percent, in_seconds(duration), static_cast<unsigned long long>(failures),
      static_cast<double>(suspicions) / member_seconds * 3600,
      static_cast<double>(datagrams) / member_seconds, static_cast<double>(bytes) / member_seconds,
      cpu_spent / member_seconds * 1e6,
      static_cast<double>(peak_memory_kb()) / static_cast<double>(members));
}

int run(int argc, char** argv) {
  // By lines: a long run that is ended leaves what it has.
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::size_t members = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : kDefaultMembers;
  const Time seconds = argc > 2 ? std::strtol(argv[2], nullptr, 10) : kDefaultLossSeconds;
  if (members < kMinMembers || members > kMaxMembers) {
    std::fprintf(stderr, "membership_sim: 4 to 1000 members\n");
    return 2;
  }
  if (argc > 3) {
    print_load(members, static_cast<unsigned>(std::strtoul(argv[3], nullptr, 10)),
               seconds * kSecond);
    return 0;
  }
  print_failure_times(members);
  for (const unsigned loss_percent : std::array{0U, 5U, 20U}) {
    print_load(members, loss_percent, seconds * kSecond);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) { return figures::run_main("membership_sim", argc, argv, run); }
