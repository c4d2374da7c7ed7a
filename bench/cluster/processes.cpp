// Figures of the membership between processes of the program, each link through a gate of the rig:
// times to form, to know of a death and to heal, and what a member sends, computes and holds at
// rest. Times are to 0.1 s, as views are asked. Usage: cluster_processes PROCESSES...
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cluster/rig.h"

namespace {

using namespace alderspur;
using rig::kSecond;
using rig::Rig;
using rig::Time;

struct Used {
  double cpu = 0;  // seconds
  std::size_t kb = 0;
};
Used used(pid_t pid) {
  Used u;
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  for (int i = 0; i < 13; ++i) in >> word;  // the name has no space
  double user = 0, system = 0;
  in >> user >> system;
  u.cpu = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream pages("/proc/" + std::to_string(pid) + "/statm");
  std::size_t size = 0, resident = 0;
  pages >> size >> resident;
  u.kb = resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / 1024;
  return u;
}
double seconds(Time t) { return static_cast<double>(t) / 1e6; }
double part(std::vector<double> v, double p) {
  std::sort(v.begin(), v.end());
  return v.empty() ? -1
                   : v[std::min(v.size() - 1,
                                static_cast<std::size_t>(p * static_cast<double>(v.size())))];
}

void deaths(Rig& r, std::size_t n) {
  std::vector<double> first, all;
  for (int k = 0; k < 6; ++k) {
    const auto victim = n - 1 - static_cast<std::size_t>(k) % (n > 5 ? 5 : n - 1);
    r.kill(victim);
    const Time at = net::unix_now();
    double earliest = 0;
    r.until([&] {
      std::size_t know = 0;
      for (const auto i : r.all())
        if (i != victim) know += r.view(i).states["n" + std::to_string(victim)] == "failed";
      if (know && earliest == 0) earliest = seconds(net::unix_now() - at);
      return know + 1 == n;
    });
    first.push_back(earliest), all.push_back(seconds(net::unix_now() - at));
    r.start(victim);
    r.until([&] { return r.whole(r.all()); });
  }
  std::printf("  death known by the first p50 %.1f max %.1f s, by all p50 %.1f max %.1f s\n",
              part(first, 0.5), part(first, 1), part(all, 0.5), part(all, 1));
}

void rest(Rig& r, std::size_t n) {
  r.run(30 * kSecond);  // the news of the start have been told
  struct Sum {
    double cpu = 0, datagrams = 0, bytes = 0;
    std::size_t kb = 0;
  };
  const auto sum = [&] {
    Sum s;
    for (const auto i : r.all()) {
      const auto u = used(r.pid(i));
      auto v = r.view(i);
      s.cpu += u.cpu, s.kb = std::max(s.kb, u.kb);
      s.datagrams += static_cast<double>(v.counts["datagrams_out"]);
      s.bytes += static_cast<double>(v.counts["bytes_out"]);
    }
    return s;
  };
  const auto a = sum();
  const Time from = net::unix_now();
  r.run(20 * kSecond);
  const auto b = sum();
  const double each = seconds(net::unix_now() - from) * static_cast<double>(n);
  std::printf(
      "  a member and second at rest: %.1f datagrams, %.0f bytes, %.2f ms of CPU; resident at most "
      "%.1f MB\n",
      (b.datagrams - a.datagrams) / each, (b.bytes - a.bytes) / each, (b.cpu - a.cpu) / each * 1e3,
      static_cast<double>(b.kb) / 1024);
}

void play(std::size_t n) {
  Rig r(n);
  rig::Setup s;
  s.period = "300 ms";
  for (const auto i : r.all()) r.configure(i, s);
  const Time began = net::unix_now();
  r.start_all();
  const bool formed = r.until([&] { return r.whole(r.all()); }, 60 * kSecond);
  std::printf("%zu processes: formed in %.1f s%s\n", n, seconds(net::unix_now() - began),
              formed ? "" : " (NOT)");
  rest(r, n);
  deaths(r, n);
  std::vector<std::size_t> low, high;
  for (const auto i : r.all()) (i < n / 2 ? low : high).push_back(i);
  r.cut(low, high);
  r.run(15 * kSecond);
  r.cut(low, high, false);
  const Time healed = net::unix_now();
  const bool whole = r.until([&] { return r.whole(r.all()); }, 60 * kSecond);
  std::printf("  healed after halves in %.1f s%s\n", seconds(net::unix_now() - healed),
              whole ? "" : " (NOT)");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const int n = std::atoi(argv[i]);
    if (n < 3 || n > 60) return std::fprintf(stderr, "cluster_processes: 3 to 60 processes\n"), 2;
    play(static_cast<std::size_t>(n));
  }
}
