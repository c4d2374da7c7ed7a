// Figures of agreed versions between processes of the program: from proposal to in force and to
// everywhere, with one router stopped, with the leader killed; requests served while nobody leads;
// requests' times while versions change; versions a second; a router that comes back after many;
// what a box that has just started gets over its budget, and a parent, with leased parts and with
// told numbers. Usage: agree_processes PROCESSES [VERSIONS A ROUTER IS AWAY FOR | leased | told |
// leased-parent | told-parent]
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "consensus/router_fleet.h"
#include "durations.h"

namespace {

using namespace alderspur;
using rig::kSecond;
using rig::Time;

class Play : public fleet::RouterFleet {
 public:
  explicit Play(std::size_t n) : n_(n) {}
  bool begin() { return RouterFleet::start(n_, {0, 1, 2}); }

  // Time until the answer; 0: it was refused, or none came.
  Time change(std::size_t at, Time* everywhere = nullptr, const std::vector<std::size_t>& of = {}) {
    even_ = !even_;
    return change(at, even_ ? "ab" : "abc", everywhere, of);
  }
  Time change(std::size_t at, const std::string& which, Time* everywhere = nullptr,
              const std::vector<std::size_t>& of = {}) {
    const auto body = consensus::encode({{"servers", endpoint_list(which)}});
    const Time from = net::unix_now();
    const auto nonce = cluster->put(at, "/control/versions", body);
    std::string word;
    for (const Time end = from + 25 * kSecond; net::unix_now() < end; cluster->run(5'000))
      if ((word = proposal_result(at, nonce)).starts_with("yes") || word.starts_with("no")) break;
    if (!word.starts_with("yes")) return 0;
    const Time took = net::unix_now() - from;
    last_ = std::stoull(word.substr(4));
    if (everywhere) {
      while (!all_use(last_, of) && net::unix_now() < from + 25 * kSecond) cluster->run(5'000);
      *everywhere = net::unix_now() - from;
    }
    return took;
  }
  void changes() {
    Durations force, everywhere;
    for (int i = 0; i < 12; ++i) {
      Time all = 0;
      if (const Time t = change(n_ - 1, &all, cluster->all()))
        force.all.push_back(t), everywhere.all.push_back(all);
    }
    std::printf(
        "%zu processes: in force p50 %.0f p99 %.0f max %.0f ms, everywhere p50 %.0f p99 %.0f max "
        "%.0f ms\n",
        n_, force.ms(0.5), force.ms(0.99), force.ms(1), everywhere.ms(0.5), everywhere.ms(0.99),
        everywhere.ms(1));
    const Time from = net::unix_now();
    int made = 0;
    while (net::unix_now() < from + 10 * kSecond) made += change(n_ - 1) > 0;
    std::printf("  one after another: %.1f a second\n",
                made * 1e6 / static_cast<double>(net::unix_now() - from));
  }
  void requests() {
    Durations rest, changing;
    Durations* into = &rest;
    on_answer = [&](std::size_t, Time took, bool) { into->all.push_back(took); };
    is_sending = true;
    cluster->run(8 * kSecond);
    into = &changing;
    for (const Time end = net::unix_now() + 8 * kSecond; net::unix_now() < end;)
      change(n_ - 1), cluster->run(300'000);
    on_answer = {};
    std::printf("  requests: p99 %.2f ms at rest (%zu), %.2f ms while versions change (%zu)\n",
                rest.ms(0.99), rest.all.size(), changing.ms(0.99), changing.all.size());
  }
  void faults() {
    const auto still = n_ > 3 ? n_ - 2 : (leader() + 1) % 3;
    cluster->signal(still, SIGSTOP);
    const auto proposer = still == n_ - 1 ? 0 : n_ - 1;
    std::printf("  with one stopped: %.0f ms", static_cast<double>(change(proposer)) / 1000);
    cluster->signal(still, SIGCONT);
    cluster->until(
        [&] { return cluster->whole(cluster->all()) && all_use(last_, cluster->all()); });
    const auto old = leader();
    cluster->kill(old);
    std::printf("; with the leader killed: %.0f ms\n",
                static_cast<double>(change(old == n_ - 1 ? 0 : n_ - 1)) / 1000);
    cluster->start(old);
    cluster->until([&] {
      return cluster->whole(cluster->all()) && leader() < n_ && all_use(last_, cluster->all());
    });
    // Two of three voters gone for good: nobody leads.
    is_sending = true;
    cluster->run(2 * kSecond);
    cluster->kill(0), cluster->kill(1);
    cluster->run(4 * kSecond);
    const auto before = served_count, bad = rejected_count;
    cluster->run(10 * kSecond);
    std::printf("  nobody leads for 10 s: %llu served, %llu refused by the %zu that are left, %s\n",
                static_cast<unsigned long long>(served_count - before),
                static_cast<unsigned long long>(rejected_count - bad), n_ - 2,
                status(n_ - 1).is_conservative ? "careful" : "NOT careful");
    cluster->start(0), cluster->start(1);
    cluster->until([&] { return leader() < n_ && all_use(last_, cluster->all()); });
  }
  // All routers take three times as much as the last half of them; then all but three are killed.
  bool cold(bool told, bool parent) {
    constexpr double kFrom = 0.2, kSpan = 60, kUsed = 0.75, kSending = 90.0 / 9000;
    obligations_ =
        R"("weights":"nominal","obligations":{"cold-from":0.2,"cold":60000000,"fall":1000000},)";
    if (parent)
      domain_ = R"("upper-kind":1,"source-kind":2,"upper-cold-from":0.2,"upper-cold":60000000,)";
    initial_servers_ = parent ? "abcp" : "ab", server_weight_ = 1, has_no_consensus_ = told;
    const std::string then = parent ? "abcpq" : "abc";
    if (!RouterFleet::start(n_, {0, 1, 2})) return false;
    request_interval_ = [this](std::size_t i) { return i < n_ / 2 ? Time{12'000} : Time{36'000}; };
    is_sending = true;
    cluster->run(4 * kSecond);
    if (told)
      for (const auto i : cluster->all()) cluster->write_list(i, endpoint_list(then, 2));
    else
      change(n_ - 1, then);
    const Time born = net::unix_now();
    cluster->run(kSecond);
    const auto counted = [&] { return parent ? fills_from_second_parent_ : requests_received_[2]; };
    const auto used = [&](Time time) {
      const auto got = counted();
      const Time from = net::unix_now();
      cluster->run(time);
      const double s = static_cast<double>(net::unix_now() - from) / 1e6;
      const double at = static_cast<double>(from - born) / 1e6 + s / 2;
      return static_cast<double>(counted() - got) / s /
             (kUsed * (kFrom + (1 - kFrom) * at / kSpan) / kSending);
    };
    const double whole = used(8 * kSecond);
    for (std::size_t i = 3; i < n_; ++i) cluster->kill(i);
    std::vector<double> after;
    for (int i = 0; i < 5; ++i) after.push_back(used(2 * kSecond));
    std::printf(
        "%zu processes, %s: of its budget a cold %s gets %.2f; with all but three lost %.2f %.2f "
        "%.2f %.2f "
        "%.2f in "
        "steps of 2 s\n",
        n_, told ? "told numbers" : "leased parts", parent ? "parent" : "box", whole, after[0],
        after[1], after[2], after[3], after[4]);
    return true;
  }
  void away(int versions) {
    const auto out = n_ - 1;
    cluster->kill(out);
    int made = 0;
    for (int i = 0; i < versions; ++i) made += change(0) > 0;
    const Time from = net::unix_now();
    cluster->start(out);
    cluster->until([&] { return status(out).has_answered; });
    const Time up = net::unix_now();
    cluster->until([&] { return all_use(last_, {out}); });
    std::printf(
        "  away for %d versions: acts on the newest %.0f ms after its start (it answers after "
        "%.0f)\n",
        made, static_cast<double>(net::unix_now() - from) / 1000,
        static_cast<double>(up - from) / 1000);
  }

 private:
  const std::size_t n_;
  bool even_ = false;
  std::uint64_t last_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const int n = argc > 1 ? std::atoi(argv[1]) : 5, versions = argc > 2 ? std::atoi(argv[2]) : 0;
  if (n < 3 || n > 60) return std::fprintf(stderr, "agree_processes: 3 to 60 processes\n"), 2;
  Play p(static_cast<std::size_t>(n));
  const std::string word = argc > 2 ? argv[2] : "";
  if (word.starts_with("leased") || word.starts_with("told"))
    return p.cold(word.starts_with("told"), word.ends_with("-parent")) ? 0 : 1;
  if (!p.begin()) return std::fprintf(stderr, "agree_processes: no cluster came about\n"), 1;
  if (versions) return p.away(versions), 0;
  p.changes();
  p.requests();
  p.faults();
}
