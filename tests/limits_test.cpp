// Limits without I/O: a table of small cases and properties over random traffic.
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

Claim full(const char* gate, std::uint32_t most) { return {gate, {most, {}, {}}}; }
Claim rate(const char* gate, double a_second, std::uint32_t burst) {
  return {gate, {{}, a_second, burst}};
}

TEST(LimitsTest, ReturnsRetryAfterWhenRejecting) {
  Limits l;
  auto a = l.acquire({full("route r", 2)}, 0);
  auto b = l.acquire({full("route r", 2)}, 0);
  auto c = l.acquire({full("route r", 2)}, 0);
  EXPECT_TRUE(a.is_admitted && b.is_admitted);
  ASSERT_FALSE(c.is_admitted);
  EXPECT_EQ(c.rejected_by, "route r");
  a.reservation.release(400'000);
  a.reservation.release(400'000);  // a second release has no effect
  EXPECT_EQ(l.in_flight("route r"), 1u);
  auto d = l.acquire({full("route r", 2)}, 400'000);
  EXPECT_TRUE(d.is_admitted);
  EXPECT_EQ(l.acquire({full("route r", 2)}, 400'000).retry_after, 200'000)
      << "two requests of 0.4 s each: one ends in 0.2 s";
  EXPECT_EQ(l.acquire({full("route r", 1)}, 400'000).retry_after, 400'000)
      << "the limit was lowered: two have to end";

  auto first = l.acquire({rate("pool p", 10, 1)}, 0);
  EXPECT_TRUE(first.is_admitted);
  EXPECT_EQ(l.acquire({rate("pool p", 10, 1)}, 40'000).retry_after, 60'000);
  EXPECT_TRUE(l.acquire({rate("pool p", 10, 1)}, 100'000).is_admitted);
  EXPECT_FALSE(l.acquire({rate("pool p", 10, 1)}, 50'000).is_admitted)
      << "no tokens when the clock goes back";
}

TEST(LimitsTest, ChargesNoLimitWhenOneRejects) {
  Limits l;
  auto a = l.acquire({full("route r", 1)}, 0);
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(l.acquire({rate("pool p", 1, 1), full("route r", 1)}, 0).is_admitted);
  }
  EXPECT_EQ(l.in_flight("pool p"), 0u);
  EXPECT_TRUE(l.acquire({rate("pool p", 1, 1)}, 0).is_admitted) << "its token is still there";
  EXPECT_EQ(l.counters("route r").rejected_in_flight, 5u);
}

TEST(LimitsTest, KeepsCapacityOfOtherRoutesWhenOneIsFlooded) {
  Limits l;
  std::vector<Reservation> held;
  int flood = 0;
  int other = 0;
  for (Time now = 0; now < kSecond; now += 100) {
    auto v = l.acquire({full("route flood", 20), full("pool p", 40)}, now);
    if (v.is_admitted) {
      held.push_back(std::move(v.reservation));
      ++flood;
    }
    if (now % 10'000 == 0) {
      auto w = l.acquire({full("route other", 20), full("pool p", 40)}, now);
      EXPECT_TRUE(w.is_admitted) << now;
      w.reservation.release(now + 1'000);
      ++other;
    }
  }
  EXPECT_EQ(flood, 20);
  EXPECT_EQ(other, 100);
}

TEST(LimitsTest, ForgetsLimitsOfReplacedTableOnceTheyAreFree) {
  Limits l;
  auto a = l.acquire({full("route old", 5), full("pool p", 5)}, 0);
  l.retain({"pool p"});
  EXPECT_EQ(l.size(), 2u) << "something is still in flight";
  a.reservation.release(1);
  l.retain({"pool p"});
  EXPECT_EQ(l.size(), 1u);
  { const auto b = l.acquire({full("pool p", 5)}, 2); }
  EXPECT_EQ(l.in_flight("pool p"), 0u) << "a destroyed reservation is released";
}

TEST(LimitsTest, KeepsRetriesWithinTheirBudget) {
  RetryBudget budget(0.1);
  int further = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.on_request();
    for (int tries = 0; tries < 8 && budget.try_retry(); ++tries) ++further;
  }
  EXPECT_LE(further, 10'000 / 10 + 20);
  EXPECT_GE(further, 10'000 / 10 - 20);
}

// For any traffic: never more at once than allowed, never more in any window than rate and burst
// allow, and in the end nothing is in flight.
RC_GTEST_PROP(LimitsTest, HoldForAnyTrafficAndReleaseWhatTheyReserve, ()) {
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  const std::uint32_t most = 1 + random() % 8;
  const std::uint32_t burst = 1 + random() % 5;
  const auto a_second = static_cast<double>(1 + random() % 200);
  Limits l;
  std::vector<Reservation> held;
  std::deque<Time> admitted;
  Time now = kSecond;
  for (int i = 0; i < 400; ++i) {
    now += static_cast<Time>(random() % 20'000);
    if (random() % 3 == 0 && !held.empty()) {
      const std::size_t at = random() % held.size();
      if (random() % 2) held[at].release(now);
      held.erase(held.begin() + static_cast<std::ptrdiff_t>(at));
    }
    auto v = l.acquire({{"g", {most, a_second, burst}}, full("h", 1000)}, now);
    RC_ASSERT(v.is_admitted == (v.retry_after == 0));
    if (v.is_admitted) {
      held.push_back(std::move(v.reservation));
      admitted.push_back(now);
    }
    RC_ASSERT(held.size() <= most);
    RC_ASSERT(l.in_flight("g") == held.size() && l.in_flight("h") == held.size());
    for (std::size_t from = admitted.size() > 40 ? admitted.size() - 40 : 0; from < admitted.size();
         ++from) {
      const double window = static_cast<double>(now - admitted[from]) / kSecond;
      RC_ASSERT(static_cast<double>(admitted.size() - from) <= burst + window * a_second + 1e-6);
    }
  }
  held.clear();
  RC_ASSERT(l.in_flight("g") == 0u && l.in_flight("h") == 0u);
}

}  // namespace
