// Tests how much work all routers together send to a server that has just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

// Returns the work that was sent to a server, or that was to be filled from it if `as_source`, in
// seconds of transfer time. Each request has 100 KB, which take 0.1 s.
double sent_work(RouterFixture& fixture, std::uint64_t server, bool as_source) {
  double total = 0;
  for (auto& [id, sends] : fixture.sends) {
    for (auto& send : sends) {
      total += (as_source ? send.fill->source.value : send.server.value) == server ? 0.1 : 0;
    }
  }
  return total;
}

TEST(SlowStartTest, LimitsBurstWhenCacheHasJustStarted) {
  RouterFixture fixture;
  fixture.advance(30 * kSecond);
  fixture.handle(EndpointUpdate{false, false, {make_cache(1, ServerStatus::gone)}});
  fixture.handle(EndpointUpdate{false, false, {make_cache(1, ServerStatus::ready, fixture.now)}});
  for (int i = 0; i < 150; ++i) {
    for (std::uint64_t object = 1; object <= 8; ++object) {
      fixture.send_request(object + static_cast<std::uint64_t>(i) * 8);
    }
    fixture.advance(10 * kMillisecond);
  }
  // The limit is 2 x 0.2 x 4 transfers x 1.5 s = 2.4 s, and rises as the fraction of the capacity
  // rises from 0.2 to 0.26.
  EXPECT_LT(sent_work(fixture, 1, false), 2.4);
  EXPECT_GT(sent_work(fixture, 1, false), 0.3);
}

// The largest amount of work that all notified routers together sent within one overload window to
// a server that had restarted.
struct PeakWork {
  // The work as a fraction of the limit, which is twice the capacity of the server in the window.
  double fraction_of_limit = 0;
  // The number of requests above the capacity of the server and a margin for random variation.
  double requests_over_budget = -1e9;
};

// What happens to the routers while the server restarts: nothing; most of them restart too, and
// their load is uneven; or they are notified of the restart at different times.
enum class Scenario { plain, uneven_with_restarts, notified_late };

// Simulates many routers, each of which gets a small part of the load, and one server that
// restarts.
class SlowStartTrial {
 public:
  SlowStartTrial(std::size_t routers, bool sizes_known, bool is_parent, double capacity,
                 Scenario scenario)
      : routers_(routers),
        sizes_known_(sizes_known),
        is_parent_(is_parent),
        capacity_(capacity),
        scenario_(scenario) {
    settings_.router_count = static_cast<std::uint32_t>(routers);
    settings_.router_count_by_location = {0, 0, 0, static_cast<std::uint32_t>(routers)};
    settings_.weights = sizes_known ? WeightKind::nominal : WeightKind::none;
    for (auto& server : servers_) {
      server.weight = sizes_known && server.role != Role::origin ? capacity : 1;
    }
    for (std::size_t i = 0; i < routers; ++i) {
      fixtures_.emplace_back(settings_, servers_, 1000 + 77 * i);
    }
  }
  PeakWork run() {
    for (Time elapsed = 0; elapsed < 40 * kSecond; elapsed += kStep) {
      for (auto& fixture : fixtures_) fixture.advance(kStep);
      if (elapsed == kRestart) restarted_at_ = fixtures_[0].now;
      if (elapsed >= kRestart && elapsed <= kRestart + 2 * kSecond) notify_of_restart(elapsed);
      if (scenario_ == Scenario::uneven_with_restarts && elapsed == kRestart + kSecond) {
        restart_seven_in_ten_routers();
      }
      for (requests_due_ += rate() * 0.005; requests_due_ >= 1; --requests_due_) {
        send_request(elapsed);
      }
    }
    return peak_work();
  }

 private:
  struct Sent {
    Time at = 0;
    double work = 0;
  };
  static constexpr Time kStep = 5 * kMillisecond;
  static constexpr Time kRestart = 30 * kSecond;

  std::uint64_t restarted_server() const { return is_parent_ ? 20 : 1; }
  // The transfer time of a request in seconds.
  double work_per_request() const { return sizes_known_ ? 0.2 : 0.1; }
  // The request rate of all routers together, in requests per second: 0.6 times the capacity of the
  // servers when they are warmed up.
  double rate() const { return 0.6 * capacity_ * (is_parent_ ? 2 : 4) / work_per_request(); }
  Time notified_at(std::size_t router) const {
    return kRestart + (scenario_ == Scenario::notified_late
                           ? static_cast<Time>(router * 7919 % 400) * 5 * kMillisecond
                           : 0);
  }
  void notify_of_restart(Time elapsed) {
    for (std::size_t i = 0; i < routers_; ++i) {
      for (auto server : servers_) {
        if (server.id.value != restarted_server() || notified_at(i) != elapsed) continue;
        server.started_at = restarted_at_;
        fixtures_[i].handle(EndpointUpdate{false, false, {server}});
      }
    }
  }
  void restart_seven_in_ten_routers() {
    auto servers = servers_;
    for (auto& server : servers) {
      if (server.id.value == restarted_server()) server.started_at = restarted_at_;
    }
    std::vector<RouterFixture> fixtures;
    for (std::size_t i = 0; i < routers_; ++i) {
      if (i % 10 < 3) {
        fixtures.push_back(std::move(fixtures_[i]));
        continue;
      }
      fixtures.emplace_back(settings_, std::vector<Server>{}, 5000 + 31 * i).now = fixtures_[i].now;
      fixtures.back().next_request_id = 1'000'000;
      fixtures.back().handle(EndpointUpdate{true, false, servers});
    }
    fixtures_.swap(fixtures);
  }
  std::size_t draw_router() {
    random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    if (scenario_ != Scenario::uneven_with_restarts) return (random_state_ >> 33) % routers_;
    // The square of a uniform number gives a tenth of the routers about a third of the load.
    const double uniform = static_cast<double>(random_state_ >> 33) / 2147483648.0;
    return static_cast<std::size_t>(uniform * uniform * static_cast<double>(routers_));
  }
  void send_request(Time elapsed) {
    const std::size_t router = draw_router();
    RouterFixture& fixture = fixtures_[router];
    const auto id = fixture.send_request(random_state_ >> 20, kPartClass,
                                         sizes_known_ ? 1000 * work_per_request() : 0);
    if (fixture.sends[id].empty()) return;
    const Send first = fixture.sends[id][0];
    const bool reaches_server =
        (is_parent_ ? first.fill->source : first.server).value == restarted_server();
    if (restarted_at_ && reaches_server && elapsed >= notified_at(router)) {
      sent_.push_back({fixture.now, work_per_request()});
    }
    fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::filled);
  }
  PeakWork peak_work() const {
    PeakWork largest;
    for (std::size_t i = 0; i < sent_.size(); ++i) {
      const Time begin = sent_[i].at;
      double sum = 0;
      for (std::size_t k = i; k < sent_.size() && sent_[k].at <= begin + settings_.overload_window;
           ++k) {
        sum += sent_[k].work;
      }
      const double initial_fraction =
          is_parent_ ? settings_.parent_slow_start_fraction : settings_.cache_slow_start_fraction;
      const double ramp =
          static_cast<double>(begin - restarted_at_) / static_cast<double>(20 * kSecond);
      const double budget = (initial_fraction + (1 - initial_fraction) * ramp) * capacity_ * 1.5;
      const double requests = budget / work_per_request();
      largest.fraction_of_limit = std::max(largest.fraction_of_limit, sum / (2 * budget));
      largest.requests_over_budget =
          std::max(largest.requests_over_budget,
                   sum / work_per_request() - (requests + 2 * std::sqrt(requests) + 2));
    }
    return largest;
  }

  const std::size_t routers_;
  const bool sizes_known_;
  const bool is_parent_;
  const double capacity_;
  const Scenario scenario_;
  Settings settings_ = test_settings();
  std::vector<Server> servers_ = test_endpoints();
  std::vector<RouterFixture> fixtures_;
  std::vector<Sent> sent_;
  double requests_due_ = 0;
  std::uint64_t random_state_ = 5;
  Time restarted_at_ = 0;
};

PeakWork run_slow_start_trial(std::size_t routers, bool sizes_known, bool is_parent,
                              double capacity, Scenario scenario = Scenario::plain) {
  return SlowStartTrial(routers, sizes_known, is_parent, capacity, scenario).run();
}

TEST(SlowStartTest, LimitsHundredsOfRoutersWhenParentHasJustStarted) {
  for (const bool sizes_known : {true, false}) {
    const double fraction_of_limit =
        run_slow_start_trial(300, sizes_known, true, 40).fraction_of_limit;
    EXPECT_LT(fraction_of_limit, 1) << sizes_known;
    EXPECT_GT(fraction_of_limit, 0.15) << sizes_known;
  }
}

TEST(SlowStartTest, LimitsDozenRoutersWhenCacheHasJustStarted) {
  for (const bool sizes_known : {true, false}) {
    const double fraction_of_limit =
        run_slow_start_trial(12, sizes_known, false, 12).fraction_of_limit;
    EXPECT_LT(fraction_of_limit, 1) << sizes_known;
    EXPECT_GT(fraction_of_limit, 0.15) << sizes_known;
  }
}

TEST(SlowStartTest, LimitsUnevenlyLoadedRoutersWhenMostOfThemRestart) {
  for (const bool sizes_known : {true, false}) {
    const double parent_fraction =
        run_slow_start_trial(300, sizes_known, true, 40, Scenario::uneven_with_restarts)
            .fraction_of_limit;
    const double cache_fraction =
        run_slow_start_trial(12, sizes_known, false, 12, Scenario::uneven_with_restarts)
            .fraction_of_limit;
    EXPECT_LT(parent_fraction, 1) << sizes_known;
    EXPECT_LT(cache_fraction, 1) << sizes_known;
    EXPECT_GT(std::min(parent_fraction, cache_fraction), 0.1) << sizes_known;
  }
}

// Guards against routers that each round up a small share, which exceeds the budget with twenty or
// thirty of them. Covers known sizes and capacities, and a budget that is estimated from the load
// of warmed-up servers.
class SlowStartPeakTest : public ::testing::TestWithParam<std::tuple<std::size_t, Scenario>> {};

TEST_P(SlowStartPeakTest, StaysWithinBudgetWhenServerHasJustStarted) {
  const auto [routers, scenario] = GetParam();
  for (const bool is_parent : {true, false}) {
    for (const auto& [sizes_known, capacity] :
         {std::pair{true, 40}, {true, 6}, {false, 40}, {false, 6}}) {
      SCOPED_TRACE((is_parent ? "parent of " : "cache of ") + std::to_string(capacity) +
                   (sizes_known ? ", sizes known" : ""));
      const auto peak = run_slow_start_trial(routers, sizes_known, is_parent, capacity, scenario);
      EXPECT_LE(peak.requests_over_budget, 0);
      EXPECT_GT(peak.fraction_of_limit, capacity > 10 ? 0.1 : 0.04)
          << "the routers must use a part of the budget";
    }
  }
}

INSTANTIATE_TEST_SUITE_P(RouterCounts, SlowStartPeakTest,
                         ::testing::Combine(::testing::Values(3, 20, 30, 300),
                                            ::testing::Values(Scenario::plain,
                                                              Scenario::uneven_with_restarts,
                                                              Scenario::notified_late)));

TEST(SlowStartTest, CountsFillsWhenParentHasJustStarted) {
  RouterFixture fixture;
  fixture.advance(30 * kSecond);
  fixture.handle(EndpointUpdate{false, false, {make_upstream(20, Role::parent, fixture.now)}});
  for (int i = 0; i < 150; ++i) {
    for (std::uint64_t object = 1; object <= 8; ++object) {
      fixture.send_request(object + static_cast<std::uint64_t>(i) * 8);
    }
    fixture.advance(10 * kMillisecond);
  }
  // The limit of this router is half of 2 x 0.1 x 10 transfers x 1.5 s, because there are two
  // routers.
  EXPECT_LT(sent_work(fixture, 20, true), 1.5);
}

TEST(SlowStartTest, AppliesToCacheWhenItRespondsAfterBeingUnresponsive) {
  RouterFixture fixture;
  std::uint64_t object = 1;
  while (fixture.serve_request(object) != 1) ++object;
  for (int i = 0; i < 3; ++i) {  // the cache is listed but unreachable
    const auto id = fixture.send_request(object);
    if (fixture.sends[id][0].server.value == 1) {
      fixture.finish_attempt(id, AttemptResult::connect_failed);
    }
  }
  EXPECT_NE(fixture.sends[fixture.send_request(object)][0].server.value, 1u);
  fixture.advance(9 * kSecond);
  bool tested = false;
  for (int i = 0; i < 5 && !tested; ++i) {
    tested = fixture.serve_request(object) == 1;  // the cache is on probation
    EXPECT_TRUE(tested);
  }
  fixture.sends.clear();
  for (int i = 0; i < 400; ++i) fixture.send_request(5000 + static_cast<std::uint64_t>(i));
  EXPECT_LT(sent_work(fixture, 1, false), 2.4);
}

TEST(SlowStartTest, IsSkippedWhenRestartIsSuspectedAndNoOtherCacheCanServe) {
  auto settings = test_settings();
  settings.weights = WeightKind::none;
  RouterFixture fixture(
      settings, {make_cache(1), make_upstream(20, Role::parent), make_upstream(30, Role::origin)});
  for (int i = 0; i < 2; ++i) {
    fixture.finish_attempt(fixture.send_request(1), AttemptResult::connect_failed);
  }
  fixture.advance(9 * kSecond);
  fixture.serve_request(1);  // the cache passes its probation, but may have restarted meanwhile
  for (int i = 0; i < 20; ++i) EXPECT_EQ(fixture.serve_request(static_cast<std::uint64_t>(i)), 1u);
}

// Returns how many of 800 requests per router all routers together send to caches that have just
// started. `shares` contains one budget share for each router, or is empty.
double count_sends(const Settings& settings, std::size_t routers,
                   const std::vector<BudgetShare>& shares) {
  std::size_t send_count = 0;
  for (std::size_t i = 0; i < routers; ++i) {
    RouterFixture fixture(settings, test_endpoints(), 7 + i);
    for (std::uint64_t id = 1; id <= 4; ++id) {
      fixture.handle(
          EndpointUpdate{false, false, {make_cache(id, ServerStatus::ready, fixture.now)}});
    }
    if (!shares.empty()) fixture.handle(shares[i]);
    for (std::uint64_t object = 0; object < 800; ++object) {
      const auto id = fixture.send_request(object, kPartClass, 200);
      if (fixture.sends.contains(id)) {
        ++send_count;
        fixture.handle(fixture.outcome(id, AttemptResult::ok, FillOutcome::hit));
      }
      fixture.advance(5 * kMillisecond);
    }
  }
  return static_cast<double>(send_count);
}

// Guards against two processes of one router that each use the whole slow start quota of the
// router.
TEST(SlowStartTest, LimitsTwoProcessesToBudgetOfOneWhenSharesAreSet) {
  const auto sends_with_shares = [](const std::vector<double>& fractions) {
    std::vector<BudgetShare> shares;
    shares.reserve(fractions.size());
    for (const double fraction : fractions) shares.push_back({fraction, 0});
    return count_sends(test_settings(), fractions.size(), shares);
  };
  const double one = sends_with_shares({1});
  const double two = sends_with_shares({0.5, 0.5});
  const double uneven = sends_with_shares({0.9, 0.1});
  EXPECT_GT(one, 20);
  // Each process may overdraw the quota of each cache by one request.
  EXPECT_LT(two, 1.25 * one);
  EXPECT_LT(uneven, 1.25 * one);
  EXPECT_GT(two, 0.6 * one);
  EXPECT_GT(sends_with_shares({1, 1}), 1.6 * one)
      << "two processes without reduced shares must exceed the budget, or the test shows nothing";
}

// Guards against relying on the configured number of routers. If five of ten routers are lost, the
// other five would use only half of the quota. If ten unknown routers are added, the twenty routers
// would use twice the quota.
TEST(SlowStartTest, UsesLeasedSharesWhenConfiguredRouterCountIsWrong) {
  auto settings = test_settings();
  settings.router_count = 10;
  settings.router_count_by_location.assign(settings.location.value + 1, 10);
  const auto sends_with_leases = [&](std::size_t routers, const std::vector<double>& fractions) {
    std::vector<BudgetShare> shares;
    shares.reserve(fractions.size());
    for (const double fraction : fractions) shares.push_back({1, 0, fraction, fraction});
    return count_sends(settings, routers, shares);
  };
  const double all = sends_with_leases(10, {});
  const double half = sends_with_leases(5, {});
  const double leased = sends_with_leases(5, {0.17, 0.17, 0.17, 0.17, 0.17});
  const double uneven = sends_with_leases(4, {0.5, 0.2, 0.1, 0.05});
  const double twice = sends_with_leases(20, {});
  const double full_quota = sends_with_leases(1, {1});  // a single router may use the whole quota
  EXPECT_LT(half, 0.7 * all);
  EXPECT_GT(leased, 0.8 * all);
  EXPECT_LT(leased, full_quota);
  EXPECT_LT(uneven, full_quota);
  EXPECT_GT(twice, full_quota) << "with a wrong configured number, routers exceed the quota";
}

// Guards against clearing the initial debts when there is no other process. The debts spread the
// first requests of many routers, and another process of the router would have served its own.
TEST(SlowStartTest, KeepsInitialDebtWhenProcessIsAlone) {
  const auto sends_first_request = [](const std::vector<Event>& events, std::uint64_t seed) {
    RouterFixture fixture(test_settings(), {}, seed);
    fixture.handle(EndpointUpdate{
        true,
        false,
        {make_cache(1, ServerStatus::ready, fixture.now), make_upstream(30, Role::origin)}});
    for (const auto& event : events) fixture.handle(event);
    fixture.advance(10 * kMillisecond);
    return fixture.sends.contains(fixture.send_request(1, kPartClass, 200));
  };
  std::size_t refused_count = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EXPECT_EQ(sends_first_request({BudgetShare{1, 0}}, seed), sends_first_request({}, seed))
        << seed;
    EXPECT_TRUE(sends_first_request({BudgetShare{0.5, 0}}, seed))
        << "another process already had the debt, seed " << seed;
    refused_count += !sends_first_request({}, seed);
  }
  EXPECT_GT(refused_count, 10u);
}

}  // namespace
