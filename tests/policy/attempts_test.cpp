// The attempts of a request and its one final response.
#include <gtest/gtest.h>

#include <limits>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(Answers, ExactlyOneWhateverHappens) {
  Bed bed;
  const auto id = bed.ask(1);
  for (std::uint32_t i = 0; i < 6 && i < bed.sends[id].size(); ++i) {
    bed.end(id, AttemptResult::error, FillOutcome::none, i);
    bed.end(id, AttemptResult::error, FillOutcome::none, i);  // a repeated outcome is harmless
  }
  bed.advance(10 * kSecond);
  EXPECT_EQ(bed.answers[id], 1);
}

TEST(Answers, SilenceIsAnsweredByTheDeadline) {
  Bed bed;
  const auto id = bed.ask(1);
  bed.advance(5 * kSecond + 2 * kMillisecond);
  EXPECT_EQ(bed.answers[id], 1);
  EXPECT_EQ(bed.end(id, AttemptResult::timeout).size(), 0u);
}

TEST(Answers, EmptyFleetRefusesAtOnceWithAdvice) {
  Bed bed(site(), {});
  std::vector<Action> actions;
  actions = bed.tell(
      Request{{50}, {1}, {0}, {0}, 0, std::numeric_limits<double>::quiet_NaN(), kSecond, false});
  bool refused = false;
  for (auto& a : actions) {
    if (auto* r = std::get_if<Reject>(&a)) refused = r->retry_after > 0;
  }
  EXPECT_TRUE(refused);
}

TEST(Answers, UnknownThingsAreIgnored) {
  Bed bed;
  AttemptOutcome o;
  o.id = {999};
  EXPECT_TRUE(bed.tell(o).empty());
  EXPECT_TRUE(bed.tell(TimerExpired{{12345}}).empty());
  EXPECT_TRUE(bed.tell(ClientGone{{999}}).empty());
  EXPECT_TRUE(bed.tell(ResponseStarted{{999}, {0}}).empty());
  EXPECT_TRUE(bed.tell(HealthCheckResult{{999}, true, 0, {}}).empty());
}

TEST(Effects, NeverTwoAttemptsOut) {
  Bed bed;
  const auto id = bed.ask(1);
  bed.advance(4 * kSecond);
  EXPECT_EQ(bed.sends[id].size(), 1u);
}

TEST(Patience, ASlowButLivingCacheIsNeitherTimedOutNorDoubled) {
  Bed bed;
  std::uint64_t o = 1;
  while (bed.serve(o) == 0) ++o;
  const auto slow = bed.ask(o);
  EXPECT_EQ(bed.sends[slow][0].timeout, 5 * kSecond);
  bed.advance(100 * kMillisecond);
  const auto home = bed.sends[slow][0].server;
  std::uint64_t other = o + 1;
  while (bed.sends[bed.ask(other)][0].server != home) ++other;
  bed.end(RequestId{bed.next - 1}, AttemptResult::ok,
          FillOutcome::hit);  // the same cache answers something else
  bed.advance(3 * kSecond);
  EXPECT_EQ(bed.sends[slow].size(), 1u);
}

TEST(Patience, ARouterThatHearsLittleTakesSlowCachesForSlowNotForSilent) {
  Bed bed;
  for (std::uint64_t o = 1; o < 60;
       ++o) {  // everything takes twice the aim: that is how it is today
    const auto id = bed.ask(o);
    bed.advance(1400 * kMillisecond);
    if (bed.answers[id] || bed.sends[id].size() > 1) continue;
    bed.end(id, AttemptResult::ok, FillOutcome::none, 0, 1400 * kMillisecond);
  }
  std::size_t copies = 0;
  for (std::uint64_t o = 100; o < 110; ++o) {
    const auto id = bed.ask(o);
    bed.advance(1200 * kMillisecond);
    copies += bed.sends[id].size() > 1;
    bed.end(id, AttemptResult::ok, FillOutcome::hit);
  }
  EXPECT_EQ(copies, 0u);
}

}  // namespace
