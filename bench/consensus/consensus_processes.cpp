// Figures of agreed versions between processes of the program: from the proposal until a version is
// in force and until it is used everywhere, with one router paused, with the leader killed;
// requests served while nobody leads; durations of requests while versions change; versions a
// second; a router that comes back after many versions; what a cache that has just started gets of
// its slow start budget, and a parent, with leased shares and with a told number of routers.
//   consensus_processes PROCESSES
//       [VERSIONS A ROUTER IS AWAY FOR | leased | told | leased-parent | told-parent]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "consensus/router_fleet.h"
#include "durations.h"

namespace {

namespace consensus = alderspur::consensus;
namespace net = alderspur::net;
using rig::kSecond;
using rig::Time;

constexpr std::size_t kMinProcesses = 3;
constexpr std::size_t kMaxProcesses = 60;
constexpr Time kMaxChangeTime = 25 * kSecond;

double to_ms(Time duration) { return static_cast<double>(duration) / 1000; }
double to_seconds(Time duration) { return static_cast<double>(duration) / 1e6; }

class Measurement : public fleet::RouterFleet {
 public:
  explicit Measurement(std::size_t processes) : processes_(processes) {}
  bool start() { return RouterFleet::start(processes_, {0, 1, 2}); }

  void measure_changes() {
    Durations until_current;
    Durations until_everywhere;
    for (int i = 0; i < 12; ++i) {
      const Time from = net::unix_now();
      const Time duration = change(processes_ - 1);
      if (duration == 0) continue;
      until_current.add(duration);
      wait_until_used_everywhere(from + kMaxChangeTime);
      until_everywhere.add(net::unix_now() - from);
    }
    std::printf("%zu processes: in force p50 %.0f p99 %.0f max %.0f ms, ", processes_,
                until_current.quantile_ms(0.5), until_current.quantile_ms(0.99),
                until_current.quantile_ms(1));
    std::printf("everywhere p50 %.0f p99 %.0f max %.0f ms\n", until_everywhere.quantile_ms(0.5),
                until_everywhere.quantile_ms(0.99), until_everywhere.quantile_ms(1));
    const Time from = net::unix_now();
    int accepted = 0;
    while (net::unix_now() < from + 10 * kSecond) accepted += change(processes_ - 1) > 0 ? 1 : 0;
    std::printf("  one after another: %.1f a second\n",
                accepted / to_seconds(net::unix_now() - from));
  }

  void measure_requests() {
    Durations idle;
    Durations changing;
    Durations* measured = &idle;
    on_response = [&](std::size_t, Time duration, bool) { measured->add(duration); };
    is_sending = true;
    cluster->run(8 * kSecond);
    measured = &changing;
    const Time end = net::unix_now() + 8 * kSecond;
    while (net::unix_now() < end) {
      change(processes_ - 1);
      cluster->run(300'000);
    }
    on_response = {};
    std::printf("  requests: p99 %.2f ms at rest (%zu), ", idle.quantile_ms(0.99), idle.count());
    std::printf("%.2f ms while versions change (%zu)\n", changing.quantile_ms(0.99),
                changing.count());
  }

  void measure_faults() {
    const std::size_t last = processes_ - 1;
    const std::size_t paused = processes_ > 3 ? processes_ - 2 : (leader() + 1) % 3;
    cluster->signal(paused, SIGSTOP);
    std::printf("  with one stopped: %.0f ms", to_ms(change(paused == last ? 0 : last)));
    cluster->signal(paused, SIGCONT);
    cluster->until([&] { return is_settled(); });
    const std::size_t old_leader = leader();
    cluster->kill(old_leader);
    std::printf("; with the leader killed: %.0f ms\n",
                to_ms(change(old_leader == last ? 0 : last)));
    cluster->start(old_leader);
    cluster->until([&] { return leader() < processes_ && is_settled(); });
    measure_without_leader();
  }

  // Two of three voters are gone: nobody leads.
  void measure_without_leader() {
    is_sending = true;
    cluster->run(2 * kSecond);
    cluster->kill(0);
    cluster->kill(1);
    cluster->run(4 * kSecond);
    const auto served_before = served_count;
    const auto rejected_before = rejected_count;
    cluster->run(10 * kSecond);
    std::printf("  nobody leads for 10 s: %llu served, %llu refused by the %zu that are left, %s\n",
                static_cast<unsigned long long>(served_count - served_before),
                static_cast<unsigned long long>(rejected_count - rejected_before), processes_ - 2,
                status(processes_ - 1).is_conservative ? "careful" : "NOT careful");
    cluster->start(0);
    cluster->start(1);
    cluster->until([&] { return leader() < processes_ && all_use(last_version_, cluster->all()); });
  }

  // The first half of the routers takes three times as many requests as the other; then all but
  // three are killed. False if no cluster comes about.
  bool measure_slow_start(bool has_told_numbers, bool of_parent) {
    obligations =
        R"("weights":"nominal","obligations":{"cold-from":0.2,"cold":60000000,"fall":1000000},)";
    if (of_parent) {
      domain = R"("upper-kind":1,"source-kind":2,"upper-cold-from":0.2,"upper-cold":60000000,)";
    }
    initial_servers = of_parent ? "abcp" : "ab";
    server_weight = 1;
    has_no_consensus = has_told_numbers;
    if (!start()) return false;
    request_interval = [this](std::size_t router) {
      return router < processes_ / 2 ? Time{12'000} : Time{36'000};
    };
    is_sending = true;
    cluster->run(4 * kSecond);
    add_server(of_parent ? "abcpq" : "abc", has_told_numbers);
    const Time added_at = net::unix_now();
    cluster->run(kSecond);
    const double before = used_budget(8 * kSecond, added_at, of_parent);
    for (std::size_t i = 3; i < processes_; ++i) cluster->kill(i);
    std::printf("%zu processes, %s: of its budget a cold %s gets %.2f; with all but three lost",
                processes_, has_told_numbers ? "told numbers" : "leased parts",
                of_parent ? "parent" : "box", before);
    for (int i = 0; i < 5; ++i) std::printf(" %.2f", used_budget(2 * kSecond, added_at, of_parent));
    std::printf(" in steps of 2 s\n");
    return true;
  }

  void measure_absence(int versions) {
    const std::size_t absent = processes_ - 1;
    cluster->kill(absent);
    int accepted = 0;
    for (int i = 0; i < versions; ++i) accepted += change(0) > 0 ? 1 : 0;
    const Time from = net::unix_now();
    cluster->start(absent);
    cluster->until([&] { return status(absent).has_answered; });
    const Time answered_at = net::unix_now();
    cluster->until([&] { return all_use(last_version_, {absent}); });
    std::printf("  away for %d versions: acts on the newest %.0f ms after its start ", accepted,
                to_ms(net::unix_now() - from));
    std::printf("(it answers after %.0f)\n", to_ms(answered_at - from));
  }

 private:
  // The time until the result; 0: it was rejected, or there was none.
  Time change(std::size_t router) {
    is_even_ = !is_even_;
    return change(router, is_even_ ? "ab" : "abc");
  }
  Time change(std::size_t router, const std::string& servers) {
    const auto body = consensus::encode({{"servers", endpoint_list(servers)}});
    const Time from = net::unix_now();
    const auto nonce = cluster->put(router, "/control/versions", body);
    std::string result;
    while (net::unix_now() < from + kMaxChangeTime) {
      result = proposal_result(router, nonce);
      if (result.starts_with("yes") || result.starts_with("no")) break;
      cluster->run(5'000);
    }
    if (!result.starts_with("yes")) return 0;
    last_version_ = std::stoull(result.substr(4));
    return net::unix_now() - from;
  }
  void wait_until_used_everywhere(Time end) {
    while (!all_use(last_version_, cluster->all()) && net::unix_now() < end) cluster->run(5'000);
  }
  bool is_settled() {
    return cluster->whole(cluster->all()) && all_use(last_version_, cluster->all());
  }

  void add_server(const std::string& servers, bool has_told_numbers) {
    if (!has_told_numbers) {
      change(processes_ - 1, servers);
      return;
    }
    for (const std::size_t router : cluster->all()) {
      cluster->write_list(router, endpoint_list(servers, 2));
    }
  }

  // The part of the new server's budget that it gets in the next while.
  double used_budget(Time duration, Time added_at, bool of_parent) {
    constexpr double kInitialShare = 0.2;
    constexpr double kRampSeconds = 60;
    constexpr double kUtilization = 0.75;
    constexpr double kSecondsPerAnswer = 90.0 / 9000;
    const auto count = [&] { return of_parent ? fills_from_second_parent : requests_received[2]; };
    const auto before = count();
    const Time from = net::unix_now();
    cluster->run(duration);
    const double seconds = to_seconds(net::unix_now() - from);
    const double middle = to_seconds(from - added_at) + seconds / 2;
    const double share = kInitialShare + (1 - kInitialShare) * middle / kRampSeconds;
    const double budget = kUtilization * share / kSecondsPerAnswer;
    return static_cast<double>(count() - before) / seconds / budget;
  }

  const std::size_t processes_;
  bool is_even_ = false;
  std::uint64_t last_version_ = 0;
};

int fail(const char* reason) {
  std::fprintf(stderr, "consensus_processes: %s\n", reason);
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::size_t processes = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 5;
  const std::string mode = argc > 2 ? argv[2] : "";
  if (processes < kMinProcesses || processes > kMaxProcesses) {
    fail("3 to 60 processes");
    return 2;
  }
  Measurement measurement(processes);
  if (mode.starts_with("leased") || mode.starts_with("told")) {
    const bool is_ok =
        measurement.measure_slow_start(mode.starts_with("told"), mode.ends_with("-parent"));
    return is_ok ? 0 : 1;
  }
  if (!measurement.start()) return fail("no cluster came about");
  if (const int versions = std::atoi(mode.c_str()); versions != 0) {
    measurement.measure_absence(versions);
    return 0;
  }
  measurement.measure_changes();
  measurement.measure_requests();
  measurement.measure_faults();
}
