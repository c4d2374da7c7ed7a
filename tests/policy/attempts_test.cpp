// Tests the attempts of a request, and that each request gets exactly one final answer.
#include <gtest/gtest.h>

#include <limits>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(AttemptsTest, RespondsOnceWhenOutcomesAreRepeated) {
  RouterFixture fixture;
  const auto id = fixture.send_request(1);
  for (std::uint32_t i = 0; i < 6 && i < fixture.sends[id].size(); ++i) {
    fixture.finish_attempt(id, AttemptResult::error, FillOutcome::none, i);
    fixture.finish_attempt(id, AttemptResult::error, FillOutcome::none, i);
  }
  fixture.advance(10 * kSecond);
  EXPECT_EQ(fixture.final_responses[id], 1);
}

TEST(AttemptsTest, RespondsByDeadlineWhenServerIsUnresponsive) {
  RouterFixture fixture;
  const auto id = fixture.send_request(1);
  fixture.advance(5 * kSecond + 2 * kMillisecond);
  EXPECT_EQ(fixture.final_responses[id], 1);
  EXPECT_EQ(fixture.finish_attempt(id, AttemptResult::timeout).size(), 0u);
}

TEST(AttemptsTest, RejectsWithRetryAfterWhenThereAreNoEndpoints) {
  RouterFixture fixture(test_settings(), {});
  std::vector<Action> actions;
  actions = fixture.handle(
      Request{{50}, {1}, {0}, {0}, 0, std::numeric_limits<double>::quiet_NaN(), kSecond, false});
  bool rejected = false;
  for (auto& action : actions) {
    if (auto* reject = std::get_if<Reject>(&action)) rejected = reject->retry_after > 0;
  }
  EXPECT_TRUE(rejected);
}

TEST(AttemptsTest, IgnoresEventsWhenIdIsUnknown) {
  RouterFixture fixture;
  AttemptOutcome outcome;
  outcome.id = {999};
  EXPECT_TRUE(fixture.handle(outcome).empty());
  EXPECT_TRUE(fixture.handle(TimerExpired{{12345}}).empty());
  EXPECT_TRUE(fixture.handle(ClientGone{{999}}).empty());
  EXPECT_TRUE(fixture.handle(ResponseStarted{{999}, {0}}).empty());
  EXPECT_TRUE(fixture.handle(HealthCheckResult{{999}, true, 0, {}}).empty());
}

TEST(AttemptsTest, KeepsOneAttemptInFlightWhenServerIsSlow) {
  RouterFixture fixture;
  const auto id = fixture.send_request(1);
  fixture.advance(4 * kSecond);
  EXPECT_EQ(fixture.sends[id].size(), 1u);
}

TEST(AttemptsTest, KeepsAttemptWhenSlowCacheRespondsToOthers) {
  RouterFixture fixture;
  std::uint64_t object = 1;
  while (fixture.serve_request(object) == 0) ++object;
  const auto slow = fixture.send_request(object);
  EXPECT_EQ(fixture.sends[slow][0].timeout, 5 * kSecond);
  fixture.advance(100 * kMillisecond);
  const auto home = fixture.sends[slow][0].server;
  std::uint64_t other = object + 1;
  while (fixture.sends[fixture.send_request(other)][0].server != home) ++other;
  // The same cache responds to the other request.
  fixture.finish_attempt(RequestId{fixture.next_request_id - 1}, AttemptResult::ok,
                         FillOutcome::hit);
  fixture.advance(3 * kSecond);
  EXPECT_EQ(fixture.sends[slow].size(), 1u);
}

TEST(AttemptsTest, KeepsAttemptWhenCachesAreUsuallySlow) {
  RouterFixture fixture;
  // Each response takes more than twice its objective, so that this is the usual response time.
  for (std::uint64_t object = 1; object < 60; ++object) {
    const auto id = fixture.send_request(object);
    fixture.advance(1400 * kMillisecond);
    if (fixture.final_responses[id] || fixture.sends[id].size() > 1) continue;
    fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::none, 0, 1400 * kMillisecond);
  }
  std::size_t retries = 0;
  for (std::uint64_t object = 100; object < 110; ++object) {
    const auto id = fixture.send_request(object);
    fixture.advance(1200 * kMillisecond);
    retries += fixture.sends[id].size() > 1;
    fixture.finish_attempt(id, AttemptResult::ok, FillOutcome::hit);
  }
  EXPECT_EQ(retries, 0u);
}

// Guards against a late attempt that counts as two failures of its server, which would eject a
// server after a single one.
TEST(AttemptsTest, CountsALateAttemptOnceWhetherOrNotItCanBeCancelled) {
  for (const bool can_cancel : {true, false}) {
    Settings settings = test_settings();
    settings.can_cancel_attempts = can_cancel;
    RouterFixture fixture(settings);
    std::uint64_t object = 1;
    while (fixture.serve_request(object) == 0) ++object;
    fixture.advance(kMillisecond);  // the server has not responded since
    const auto late = fixture.send_request(object);
    const auto server = fixture.sends[late].at(0).server;
    fixture.advance(5 * kSecond);
    EXPECT_EQ(fixture.final_responses[late], 1);
    fixture.finish_attempt(late, can_cancel ? AttemptResult::cancelled : AttemptResult::timeout,
                           FillOutcome::none, 0, 5 * kSecond);
    const auto next = fixture.send_request(object);
    EXPECT_EQ(fixture.sends[next].at(0).server, server) << "can cancel: " << can_cancel;
  }
}

}  // namespace
