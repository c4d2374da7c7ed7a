// Tests limits and retry budgets: single cases, and properties over random traffic.
#include "limits/limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <random>

#include "limits/retry_budget.h"

namespace {

using namespace alderspur::limits;
using alderspur::core::Time;
constexpr Time kSecond = 1'000'000;

/// Claims a limit on the number of requests in flight.
Claim in_flight_limit(const char* name, std::uint32_t max_in_flight) {
  return {name, {max_in_flight, {}, {}}};
}

/// Claims a limit on the rate.
Claim rate_limit(const char* name, double requests_per_second, std::uint32_t burst) {
  return {name, {{}, requests_per_second, burst}};
}

TEST(LimitsTest, ReturnsRetryAfterWhenRejecting) {
  Limits limits;
  auto first = limits.acquire({in_flight_limit("route r", 2)}, 0);
  auto second = limits.acquire({in_flight_limit("route r", 2)}, 0);
  auto third = limits.acquire({in_flight_limit("route r", 2)}, 0);
  EXPECT_TRUE(first.is_admitted && second.is_admitted);
  ASSERT_FALSE(third.is_admitted);
  EXPECT_EQ(third.rejected_by, "route r");
  first.reservation.release(400'000);
  first.reservation.release(400'000);  // a second release has no effect
  EXPECT_EQ(limits.in_flight("route r"), 1u);
  auto fourth = limits.acquire({in_flight_limit("route r", 2)}, 400'000);
  EXPECT_TRUE(fourth.is_admitted);
  EXPECT_EQ(limits.acquire({in_flight_limit("route r", 2)}, 400'000).retry_after, 200'000)
      << "two requests of 0.4 s each: one of them ends after 0.2 s";
  EXPECT_EQ(limits.acquire({in_flight_limit("route r", 1)}, 400'000).retry_after, 400'000)
      << "the limit was lowered, so that two requests have to end";

  auto first_of_pool = limits.acquire({rate_limit("pool p", 10, 1)}, 0);
  EXPECT_TRUE(first_of_pool.is_admitted);
  EXPECT_EQ(limits.acquire({rate_limit("pool p", 10, 1)}, 40'000).retry_after, 60'000);
  EXPECT_TRUE(limits.acquire({rate_limit("pool p", 10, 1)}, 100'000).is_admitted);
  EXPECT_FALSE(limits.acquire({rate_limit("pool p", 10, 1)}, 50'000).is_admitted)
      << "no tokens are added when the clock is set back";
}

TEST(LimitsTest, ChargesNoLimitWhenOneRejects) {
  Limits limits;
  auto held = limits.acquire({in_flight_limit("route r", 1)}, 0);
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(
        limits.acquire({rate_limit("pool p", 1, 1), in_flight_limit("route r", 1)}, 0).is_admitted);
  }
  EXPECT_EQ(limits.in_flight("pool p"), 0u);
  EXPECT_TRUE(limits.acquire({rate_limit("pool p", 1, 1)}, 0).is_admitted)
      << "the rejected requests took no token";
  EXPECT_EQ(limits.counters("route r").rejected_in_flight, 5u);
}

TEST(LimitsTest, KeepsCapacityOfOtherRoutesWhenOneIsFlooded) {
  Limits limits;
  std::vector<Reservation> held;
  int admitted_of_flood = 0;
  int admitted_of_other = 0;
  for (Time now = 0; now < kSecond; now += 100) {
    auto flood =
        limits.acquire({in_flight_limit("route flood", 20), in_flight_limit("pool p", 40)}, now);
    if (flood.is_admitted) {
      held.push_back(std::move(flood.reservation));
      ++admitted_of_flood;
    }
    if (now % 10'000 == 0) {
      auto other =
          limits.acquire({in_flight_limit("route other", 20), in_flight_limit("pool p", 40)}, now);
      EXPECT_TRUE(other.is_admitted) << now;
      other.reservation.release(now + 1'000);
      ++admitted_of_other;
    }
  }
  EXPECT_EQ(admitted_of_flood, 20);
  EXPECT_EQ(admitted_of_other, 100);
}

TEST(LimitsTest, RemovesLimitsOfReplacedTableOnceTheyAreUnused) {
  Limits limits;
  auto old = limits.acquire({in_flight_limit("route old", 5), in_flight_limit("pool p", 5)}, 0);
  limits.retain({"pool p"});
  EXPECT_EQ(limits.size(), 2u) << "a request of the old route is still in flight";
  old.reservation.release(1);
  limits.retain({"pool p"});
  EXPECT_EQ(limits.size(), 1u);
  { const auto destroyed = limits.acquire({in_flight_limit("pool p", 5)}, 2); }
  EXPECT_EQ(limits.in_flight("pool p"), 0u) << "a destroyed reservation is released";
}

TEST(LimitsTest, KeepsRetriesWithinTheirBudget) {
  RetryBudget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.on_request();
    for (int tries = 0; tries < 8 && budget.try_retry(); ++tries) ++retries;
  }
  EXPECT_LE(retries, 10'000 / 10 + 20);
  EXPECT_GE(retries, 10'000 / 10 - 20);
}

// For any traffic, the number of requests in flight never exceeds its limit, the number of requests
// admitted in any window never exceeds what rate and burst allow, and no request is in flight after
// all reservations are released.
RC_GTEST_PROP(LimitsTest, HoldForAnyTrafficAndReleaseWhatTheyReserve, ()) {
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  const std::uint32_t max_in_flight = 1 + random() % 8;
  const std::uint32_t burst = 1 + random() % 5;
  const auto requests_per_second = static_cast<double>(1 + random() % 200);
  Limits limits;
  std::vector<Reservation> held;
  std::deque<Time> admitted_at;
  Time now = kSecond;
  for (int i = 0; i < 400; ++i) {
    now += static_cast<Time>(random() % 20'000);
    if (random() % 3 == 0 && !held.empty()) {
      const std::size_t index = random() % held.size();
      if (random() % 2) held[index].release(now);
      held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
    }
    auto admission = limits.acquire(
        {{"low", {max_in_flight, requests_per_second, burst}}, in_flight_limit("high", 1000)}, now);
    RC_ASSERT(admission.is_admitted == (admission.retry_after == 0));
    if (admission.is_admitted) {
      held.push_back(std::move(admission.reservation));
      admitted_at.push_back(now);
    }
    RC_ASSERT(held.size() <= max_in_flight);
    RC_ASSERT(limits.in_flight("low") == held.size() && limits.in_flight("high") == held.size());
    // Checks each window that begins at one of the last 40 admissions.
    const std::size_t count = admitted_at.size();
    for (std::size_t from = count > 40 ? count - 40 : 0; from < count; ++from) {
      const double window = static_cast<double>(now - admitted_at[from]) / kSecond;
      RC_ASSERT(static_cast<double>(count - from) <= burst + window * requests_per_second + 1e-6);
    }
  }
  held.clear();
  RC_ASSERT(limits.in_flight("low") == 0u && limits.in_flight("high") == 0u);
}

}  // namespace
