// Versions under every placing of one crash and one cut, and histories of two clients judged for
// linearizability, on the simulated network.
#include <gtest/gtest.h>

#include <cstdlib>
#include <unordered_set>

#include "linearizability.h"
#include "simulated_cluster.h"

namespace {

using namespace simulation;
using linearizability::Operation;

std::size_t more() {  // ALDERSPUR_EXPLORE widens
  const char* n = std::getenv("ALDERSPUR_EXPLORE");
  return n ? static_cast<std::size_t>(std::atoi(n)) : 1;
}

// Who acts on what and how, who leads, and what is under way, as one number: a state of the whole.
std::uint64_t state_of(SimulatedCluster& w) {
  std::uint64_t h = 1469598103934665603ULL;
  const auto mix = [&](std::uint64_t x) { h = (h ^ x) * 1099511628211ULL; };
  for (auto& [n, r] : w.routers()) {
    mix(r.node != nullptr);
    if (!r.node) continue;
    const auto* pending = r.node->applied_state().pending();
    mix(r.active.version.number), mix(r.active.is_conservative),
        mix(r.active.newer_contents.size());
    mix(r.node->is_leader(w.clock_of(r))), mix(pending ? pending->number : 0);
    mix(r.node->applied_state().accepted().has_value()),
        mix(r.node->applied_state().current().number);
  }
  return h;
}

// Two voters, two followers, two versions; one of the four is killed at one of some moments of the
// second and comes back sooner or later; one cut begins at one of some moments and ends by itself.
// Properties, at all times: at most one leads; nobody goes back; nobody under a lease acts on an
// older version for over T; shares never pass what is to be shared; after all is well again all act
// on one. A schedule that fails is printed, and plays again as it was. ALDERSPUR_EXPLORE=4 has 16
// times as many.
TEST(AgreementExplored, OneCrashAndOneCutAtAnyMomentBreakNothing) {
  const std::vector<std::set<std::string>> cuts = {{"r0"},       {"r1"},       {"r2"},      {"r3"},
                                                   {"r0", "r1"}, {"r0", "r2"}, {"r0", "r3"}};
  const Time window = 1'200'000;  // a version comes in force within it
  const auto step = window / static_cast<Time>(3 * more());
  std::unordered_set<std::uint64_t> states;
  std::size_t schedules = 0, held = 0;
  for (std::size_t who = 0; who < 4; ++who)
    for (Time crash = step / 2; crash < window; crash += step)
      for (const Time back : {Time{300'000}, Time{2'500'000}})
        for (const auto& side : cuts)
          for (Time cut = step / 3; cut < window; cut += step) {
            const std::string schedule =
                "r" + std::to_string(who) + " killed at " + std::to_string(crash / 1000) +
                " ms, back after " + std::to_string(back / 1000) + "; " + *side.begin() + " and " +
                std::to_string(side.size() - 1) + " more cut off at " + std::to_string(cut / 1000);
            ++schedules;
            SimulatedCluster w(11, 4, 2);
            ASSERT_TRUE(w.start_with("r3", "one")) << schedule;
            const auto look = [&] { states.insert(state_of(w)); };
            const auto two = w.propose(who == 2 ? "r3" : "r2", "two");
            const Time from = w.now;
            struct Event {
              Time at;
              std::function<void()> then;
            };
            std::vector<Event> events = {
                {crash, [&] { w.kill(SimulatedCluster::name(who)); }},
                {crash + back, [&] { w.start(SimulatedCluster::name(who)); }},
                {cut, [&] { w.partition(side); }},
                {cut + 2'000'000, [&] { w.restore_links(); }}};
            std::sort(events.begin(), events.end(), [](auto& a, auto& b) { return a.at < b.at; });
            for (const auto& e : events) {
              while (w.now < from + e.at)
                w.run_for(std::min<Time>(20'000, from + e.at - w.now)), look();
              e.then();
            }
            const auto* said = w.result(two);
            std::uint64_t last = two;
            ASSERT_TRUE(w.run_until(
                [&] {
                  look();
                  if (w.result(last) && !w.result(last)->is_accepted) last = w.propose("r3", "two");
                  return w.result(last) && w.all_use("two");
                },
                40 * kSecond))
                << schedule << "\n"
                << w.describe();
            ASSERT_EQ(w.violation, "") << schedule;
            held += said && said->is_accepted;
          }
  RecordProperty("schedules", static_cast<int>(schedules));
  RecordProperty("states", static_cast<int>(states.size()));
  std::printf("%zu schedules, %zu states, %zu proposals answered yes in spite of both\n", schedules,
              states.size(), held);
  EXPECT_GT(states.size(), 50u);
  EXPECT_GT(held, 0u);
}

// The judge itself: what it must take, and what it must not.
TEST(History, TheJudgeTakesWhatAnOrderExplainsAndNothingElse) {
  using K = Operation::Kind;
  const auto read = [](std::int64_t a, std::int64_t b, std::uint64_t n) {
    return Operation{K::read, a, b, 0, n, false};
  };
  const auto change = [](std::int64_t a, std::int64_t b, std::uint64_t base, std::uint64_t n) {
    return Operation{K::change, a, b, base, n, false};
  };
  EXPECT_TRUE(linearizability::is_linearizable(
      {change(0, 10, 0, 1), read(11, 12, 1), change(13, 20, 1, 2), read(14, 19, 1)}));
  EXPECT_TRUE(
      linearizability::is_linearizable({change(0, 10, 0, 1), read(5, 6, 0), read(7, 8, 1)}));
  EXPECT_FALSE(linearizability::is_linearizable({change(0, 10, 0, 1), read(11, 12, 0)}))
      << "read after its answer, and not there";
  EXPECT_FALSE(
      linearizability::is_linearizable({change(0, 10, 0, 1), read(5, 6, 1), read(7, 8, 0)}))
      << "it went back";
  EXPECT_FALSE(linearizability::is_linearizable({change(0, 10, 0, 1), change(0, 10, 0, 2)}))
      << "both from one base";
  EXPECT_TRUE(linearizability::is_linearizable(
      {change(0, linearizability::kNoResponse, 0, 0), read(5, 6, 3), change(7, 9, 3, 4)}));
  EXPECT_FALSE(linearizability::is_linearizable(
      {change(8, linearizability::kNoResponse, 0, 0), read(5, 6, 3)}))
      << "before it was called";
}

// Two clients that propose and read, each at whichever router, while routers are killed, stopped
// and cut off. Reads count where the router says that it leads: nobody else promises the newest.
TEST(History, WhatTwoClientsSawOfProposalsAndReadsHasAnOrder) {
  const std::size_t seeds = 12 * more();
  std::size_t yes = 0, reads = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulatedCluster w(seed * 15485863, 5, 3);
    auto& random = w.random;
    std::vector<Operation> all;
    struct Client {
      std::size_t change = ~std::size_t{0};  // in `all`, that waits for its answer
      std::uint64_t nonce = 0, known = 0;
      Time until = 0;
    } clients[2];
    int value = 0;
    const auto play = [&](Client& c) {
      if (c.change != ~std::size_t{0}) {
        const auto* said = w.result(c.nonce);
        if (said) {
          Operation& o = all[c.change];
          const bool unsure = !said->is_accepted && said->reason.starts_with("no answer");
          if (!unsure)
            o.answered_at = w.now, o.number = said->version_number,
            o.is_rejected = !said->is_accepted;
          if (said->is_accepted) c.known = said->version_number, ++yes;
        }
        if (said || w.now > c.until) c.change = ~std::size_t{0};  // gone with its router
        return;
      }
      const auto n = SimulatedCluster::name(random() % 5);
      if (!w.is_running(n) || w.routers().at(n).is_paused) return;
      auto& r = w.routers().at(n);
      if (r.node->is_leader(w.clock_of(r))) {
        all.push_back({Operation::Kind::read, w.now, w.now, 0,
                       r.node->applied_state().current().number, false});
        c.known = all.back().number, ++reads;
      }
      if (random() % 3) return;
      all.push_back(
          {Operation::Kind::change, w.now, linearizability::kNoResponse, c.known, 0, false});
      c.change = all.size() - 1, c.until = w.now + 25 * kSecond;
      c.nonce = w.propose(n, "v" + std::to_string(++value), c.known);
    };
    std::set<std::string> stopped, dead;
    for (int step = 0; step < 60 && w.violation.empty(); ++step) {
      const auto n = SimulatedCluster::name(random() % 5);
      const auto pick = random() % 14;
      if (pick == 0 && dead.empty() && !stopped.contains(n)) w.kill(n), dead.insert(n);
      if (pick == 1)
        for (const auto& d : std::exchange(dead, {})) w.start(d);
      if (pick == 2 && stopped.empty() && !dead.contains(n)) w.pause(n), stopped.insert(n);
      if (pick == 3)
        for (const auto& s : std::exchange(stopped, {})) w.resume(s);
      if (pick == 4) w.partition({n, SimulatedCluster::name(random() % 5)});
      if (pick == 5 || pick == 6) w.restore_links();
      for (int k = 0; k < 10; ++k) {
        for (auto& c : clients) play(c);
        w.run_for(static_cast<Time>(random() % 60'000));
      }
    }
    ASSERT_EQ(w.violation, "");
    ASSERT_TRUE(linearizability::is_linearizable(all)) << "seed " << seed << "\n"
                                                       << linearizability::describe(all);
  }
  EXPECT_GT(yes, seeds * 3);
  EXPECT_GT(reads, seeds * 10);
}

}  // namespace
