// Figures of the membership between processes of the program, each link through a gate of the rig:
// times to form a cluster, to learn of a failure and to heal, and what a member sends, computes and
// holds at rest. Times are to 0.1 s, as views are polled. Usage: cluster_processes PROCESSES...
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cluster/rig.h"
#include "support/figures.h"

namespace {

namespace net = alderspur::net;
using figures::in_seconds;
using rig::kSecond;
using rig::Rig;
using rig::Time;

constexpr std::size_t kMinProcesses = 3;
constexpr std::size_t kMaxProcesses = 60;
constexpr std::size_t kFailures = 6;
constexpr std::size_t kMaxVictims = 5;     // different processes that are killed
constexpr int kFieldsBeforeUserTime = 13;  // of /proc/PID/stat; the program's name has no space

constexpr double kNoFigure = -1;  // where nothing was measured

double quantile(const std::vector<double>& values, double fraction) {
  return figures::quantile(values, fraction, kNoFigure);
}

double cpu_seconds(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) stat >> skipped;
  double user = 0;
  double system = 0;
  stat >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t resident_kb(pid_t pid) {
  std::ifstream pages("/proc/" + std::to_string(pid) + "/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  pages >> size >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1024;
}

std::size_t count_informed(Rig& cluster, std::size_t victim) {
  const auto name = "n" + std::to_string(victim);
  std::size_t informed = 0;
  for (const auto i : cluster.all()) {
    if (i != victim && cluster.view(i).states[name] == "failed") ++informed;
  }
  return informed;
}

void print_failure_times(Rig& cluster, std::size_t size) {
  std::vector<double> known_by_first;
  std::vector<double> known_by_all;
  const std::size_t victims = size > kMaxVictims ? kMaxVictims : size - 1;
  for (std::size_t i = 0; i < kFailures; ++i) {
    const std::size_t victim = size - 1 - i % victims;
    cluster.kill(victim);
    const Time killed_at = net::unix_now();
    double first = 0;
    cluster.until([&] {
      const std::size_t informed = count_informed(cluster, victim);
      if (informed > 0 && first == 0) first = in_seconds(net::unix_now() - killed_at);
      return informed + 1 == size;
    });
    known_by_first.push_back(first);
    known_by_all.push_back(in_seconds(net::unix_now() - killed_at));
    cluster.start(victim);
    cluster.until([&] { return cluster.whole(cluster.all()); });
  }
  std::printf("  death known by the first p50 %.1f max %.1f s, by all p50 %.1f max %.1f s\n",
              quantile(known_by_first, 0.5), quantile(known_by_first, 1),
              quantile(known_by_all, 0.5), quantile(known_by_all, 1));
}

struct Usage {
  double cpu_seconds = 0;  // of all, as the following
  double datagrams = 0;
  double bytes = 0;
  std::size_t max_resident_kb = 0;  // of one
};

Usage usage_of(Rig& cluster) {
  Usage usage;
  for (const auto i : cluster.all()) {
    auto view = cluster.view(i);
    usage.cpu_seconds += cpu_seconds(cluster.pid(i));
    usage.max_resident_kb = std::max(usage.max_resident_kb, resident_kb(cluster.pid(i)));
    usage.datagrams += static_cast<double>(view.counts["datagrams_out"]);
    usage.bytes += static_cast<double>(view.counts["bytes_out"]);
  }
  return usage;
}

void print_load_at_rest(Rig& cluster, std::size_t size) {
  cluster.run(30 * kSecond);  // until the updates of the start have been told
  const auto before = usage_of(cluster);
  const Time started_at = net::unix_now();
  cluster.run(20 * kSecond);
  const auto after = usage_of(cluster);
  const double member_seconds =
      in_seconds(net::unix_now() - started_at) * static_cast<double>(size);
  std::printf(
      "  a member and second at rest: %.1f datagrams, %.0f bytes, %.2f ms of CPU; resident at most "
      "%.1f MB\n",
      (after.datagrams - before.datagrams) / member_seconds,
      (after.bytes - before.bytes) / member_seconds,
      (after.cpu_seconds - before.cpu_seconds) / member_seconds * 1e3,
      static_cast<double>(after.max_resident_kb) / 1024);
}

void print_partition_time(Rig& cluster, std::size_t size) {
  std::vector<std::size_t> first_half;
  std::vector<std::size_t> second_half;
  for (const auto i : cluster.all()) (i < size / 2 ? first_half : second_half).push_back(i);
  cluster.cut(first_half, second_half);
  cluster.run(15 * kSecond);
  cluster.cut(first_half, second_half, false);
  const Time healed_at = net::unix_now();
  const bool is_whole = cluster.until([&] { return cluster.whole(cluster.all()); }, 60 * kSecond);
  std::printf("  healed after halves in %.1f s%s\n", in_seconds(net::unix_now() - healed_at),
              is_whole ? "" : " (NOT)");
}

void measure(std::size_t size) {
  Rig cluster(size);
  rig::Setup setup;
  setup.period = "300 ms";
  for (const auto i : cluster.all()) cluster.configure(i, setup);
  const Time started_at = net::unix_now();
  cluster.start_all();
  const bool has_formed = cluster.until([&] { return cluster.whole(cluster.all()); }, 60 * kSecond);
  std::printf("%zu processes: formed in %.1f s%s\n", size, in_seconds(net::unix_now() - started_at),
              has_formed ? "" : " (NOT)");
  print_load_at_rest(cluster, size);
  print_failure_times(cluster, size);
  print_partition_time(cluster, size);
  std::fflush(stdout);
}

int run(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::size_t size = std::strtoul(argv[i], nullptr, 10);
    if (size < kMinProcesses || size > kMaxProcesses) {
      std::fprintf(stderr, "cluster_processes: 3 to 60 processes\n");
      return 2;
    }
    measure(size);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) { return figures::run_main("cluster_processes", argc, argv, run); }
