// Figures of the membership on a simulated network: times to form, to know of a death and to heal,
// false failures under loss, and the load of a member by the number of members. CPU and memory are
// of the whole simulation, by member: more than a member's own. Usage: membership_sim MEMBERS
// [SECONDS OF LOSS [PERCENT]]
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cluster/codec.h"
#include "cluster/network.h"
#include "cluster/seal.h"

namespace {

using namespace alderspur;
using network::kSecond;
using network::Network;

std::string name(std::size_t i) { return "n" + std::to_string(i); }
void start_all(Network& net, std::size_t n) {
  for (std::size_t i = 0; i < n; ++i) net.start(name(i), {"at-n0", "at-n1", "at-n2"});
}
double seconds(network::Time t) { return static_cast<double>(t) / 1e6; }
double part(std::vector<double> v, double p) {
  std::sort(v.begin(), v.end());
  return v.empty() ? 0
                   : v[std::min(v.size() - 1,
                                static_cast<std::size_t>(p * static_cast<double>(v.size())))];
}

double cpu() {  // seconds of this process
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec) / 1e6;
}
std::size_t peak_kb() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<std::size_t>(used.ru_maxrss);
}

void deaths(std::size_t n) {
  std::vector<double> first, all, formed, healed;
  for (std::uint64_t seed = 1; seed <= (n > 300 ? 1u : n > 100 ? 3u : 10u); ++seed) {
    Network net(seed);
    start_all(net, n);
    const auto began = net.now;
    net.run_until([&] { return net.all_whole(); }, 60 * kSecond);
    formed.push_back(seconds(net.now - began));
    net.run(5 * kSecond);
    for (int k = 0; k < (n > 300 ? 10 : 20); ++k) {
      const auto victim = name(3 + net.random() % (n - 3));
      if (!net.nodes.contains("at-" + victim)) continue;
      const auto at = net.now;
      std::size_t know = 0;
      network::Time earliest = 0, latest = 0;
      net.changed = [&](auto&, const cluster::Changed& c) {
        if (c.now.identity.name != victim || c.now.state != cluster::State::failed) return;
        if (!know++) earliest = net.now;
        latest = net.now;
      };
      net.kill("at-" + victim);
      net.run_until([&] { return know >= net.nodes.size(); }, 30 * kSecond);
      first.push_back(seconds(earliest - at)), all.push_back(seconds(latest - at));
      net.changed = [](auto&, const cluster::Changed&) {};
      net.run(3 * kSecond);
    }
    const std::size_t half = n / 2;
    const auto low = [&](const std::string& a) {
      return std::atoi(a.c_str() + 4) < static_cast<int>(half);
    };
    net.lost = [&](auto& a, auto& b) { return low(a) != low(b); };
    net.run(15 * kSecond);
    net.lost = [](auto&, auto&) { return false; };
    const auto end_of_cut = net.now;
    net.run_until([&] { return net.agreed(); }, 60 * kSecond);
    healed.push_back(seconds(net.now - end_of_cut));
  }
  std::printf(
      "%zu members: formed p50 %.1f max %.1f s; death known by the first p50 %.1f p99 %.1f max "
      "%.1f s, by "
      "all "
      "p50 %.1f p99 %.1f max %.1f s; healed after halves p50 %.1f max %.1f s\n",
      n, part(formed, 0.5), part(formed, 1), part(first, 0.5), part(first, 0.99), part(first, 1),
      part(all, 0.5), part(all, 0.99), part(all, 1), part(healed, 0.5), part(healed, 1));
}

void loss(std::size_t n, unsigned percent, network::Time time) {
  Network net(77);
  cluster::Seal seal("bench", std::string(32, 's'), 1);
  std::uint64_t bytes = 0, datagrams = 0;
  start_all(net, n);
  net.run_until([&] { return net.all_whole(); }, 60 * kSecond);
  net.run((n > 300 ? 400 : 90) * kSecond);  // until the news of the start have been told
  net.lost = [&](auto&, auto&) { return net.random() % 100 < percent; };
  net.carried = [&](auto&, const cluster::Message& m) {
    ++datagrams;
    bytes += cluster::encode(m).size() + cluster::kSealBytes;
  };
  const auto counted = [&](auto what) {
    std::uint64_t sum = 0;
    for (auto& [a, node] : net.nodes) sum += node.member->counts().*what;
    return sum;
  };
  const auto suspected = counted(&cluster::Counts::suspicions),
             failed = counted(&cluster::Counts::failures);
  const double before = cpu();
  net.run(time);
  const double spent = cpu() - before;
  const double member_seconds = seconds(time) * static_cast<double>(n);
  std::printf(
      "%zu members, %u%% lost, %.0f s: failures %llu, suspicions %.2f a member and hour; a member "
      "and second "
      "%.1f datagrams, %.0f bytes, %.0f us of CPU; %.0f KB a member\n",
      n, percent, seconds(time),
      static_cast<unsigned long long>(counted(&cluster::Counts::failures) - failed),
      static_cast<double>(counted(&cluster::Counts::suspicions) - suspected) / member_seconds *
          3600,
      static_cast<double>(datagrams) / member_seconds, static_cast<double>(bytes) / member_seconds,
      spent / member_seconds * 1e6, static_cast<double>(peak_kb()) / static_cast<double>(n));
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);  // a long run that is ended leaves what it has
  const auto n = static_cast<std::size_t>(argc > 1 ? std::atoi(argv[1]) : 30);
  const auto time = (argc > 2 ? std::atoi(argv[2]) : 120) * kSecond;
  if (n < 4 || n > 1000) return std::fprintf(stderr, "membership_sim: 4 to 1000 members\n"), 2;
  if (argc > 3) return loss(n, static_cast<unsigned>(std::atoi(argv[3])), time), 0;
  deaths(n);
  for (const unsigned percent : {0u, 5u, 20u}) loss(n, percent, time);
}
