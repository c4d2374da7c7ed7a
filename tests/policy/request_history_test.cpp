// Tests what a router remembers of a request across the tries of its client. They guard against a
// request that runs twice because its first try has ended when the client tries again.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

constexpr std::uint64_t kObject = 7;
/// The dedup window of kKeyedClass.
constexpr Time kWindow = 5 * kSecond;

class RequestHistoryTest : public ::testing::Test {
 protected:
  explicit RequestHistoryTest(const Settings& settings = test_settings()) : fixture(settings) {}

  /// Passes a try of the request with this key to the router. Returns the id of the try.
  RequestId send_try(std::uint64_t key, std::uint32_t class_id, bool is_retry = false,
                     std::uint64_t content = 1) {
    Request request{{fixture.next_request_id++}, {kObject}, {5}, {class_id}, 0, 100, 10 * kSecond};
    request.identity = RequestIdentity{class_id, key};
    request.content_hash = content;
    request.is_retry = is_retry;
    actions = fixture.handle(request);
    return request.id;
  }
  /// The client of a try leaves, and the abort of its attempt arrives.
  void leave(RequestId id) {
    fixture.handle(ClientGone{id});
    fixture.finish_attempt(id, AttemptResult::cancelled);
  }
  bool is_failed() const { return has<Fail>(); }
  bool is_rejected() const { return has<Reject>(); }
  std::size_t send_count(RequestId id) { return fixture.sends[id].size(); }

  RouterFixture fixture;
  std::vector<Action> actions;  // of the last try

 private:
  template <class ActionType>
  bool has() const {
    return std::ranges::any_of(
        actions, [](const Action& action) { return std::holds_alternative<ActionType>(action); });
  }
};

// A request of a class that must not repeat ran twice when it came again after its client had left.
TEST_F(RequestHistoryTest, DoesNotSendNonIdempotentRequestAgainAfterItsClientHasLeft) {
  leave(send_try(1, kNonIdempotentClass));
  fixture.advance(kSecond);
  const auto again = send_try(1, kNonIdempotentClass);
  EXPECT_EQ(send_count(again), 0u);
  EXPECT_TRUE(is_failed());
  EXPECT_FALSE(is_rejected()) << "the client would try once more";
  EXPECT_EQ(send_count(send_try(2, kNonIdempotentClass)), 1u) << "another request";
}

TEST_F(RequestHistoryTest, DoesNotSendNonIdempotentRequestAgainAfterItWasServed) {
  const auto first = send_try(1, kNonIdempotentClass);
  fixture.finish_attempt(first, AttemptResult::ok);
  EXPECT_EQ(send_count(send_try(1, kNonIdempotentClass)), 0u);
  EXPECT_TRUE(is_failed());
}

TEST_F(RequestHistoryTest, SendsAgainWhatProvablyNeverRan) {
  for (const std::uint32_t class_id : {kKeyedClass, kNonIdempotentClass}) {
    const auto first = send_try(1, class_id);
    fixture.handle(ClientGone{first});
    fixture.finish_attempt(first, AttemptResult::not_sent);
    fixture.advance(2 * kWindow);
    const auto again = send_try(1, class_id, true);
    EXPECT_EQ(send_count(again), 1u) << "class " << class_id;
    fixture.finish_attempt(again, AttemptResult::overloaded);
    EXPECT_EQ(send_count(again), 2u) << "class " << class_id << ": the retry is free as well";
    fixture.finish_attempt(again, AttemptResult::ok, FillOutcome::none, 1);
  }
}

// The retry of a keyed request's client began a new dedup window (review/6).
TEST_F(RequestHistoryTest, CountsDedupWindowFromFirstAttemptOfAllTries) {
  leave(send_try(1, kKeyedClass));
  fixture.advance(kWindow - kSecond);
  const auto again = send_try(1, kKeyedClass, true);
  ASSERT_EQ(send_count(again), 1u) << "within the window";
  EXPECT_FALSE(fixture.router.may_send(fixture.now + kSecond, again, {0})) << "it waits too long";
  fixture.advance(kSecond);
  fixture.finish_attempt(again, AttemptResult::reset);
  EXPECT_EQ(send_count(again), 1u) << "the window of the first try has ended";
}

TEST_F(RequestHistoryTest, RetriesKeyedRequestOnlyInCellOfFirstTry) {
  for (std::uint64_t key = 1; key < 30; ++key) {
    const auto first = send_try(key, kKeyedClass);
    leave(first);
    const auto again = send_try(key, kKeyedClass, true);
    ASSERT_EQ(send_count(again), 1u);
    EXPECT_EQ(fixture.sends[again][0].server.value % 2, fixture.sends[first][0].server.value % 2);
    fixture.finish_attempt(again, AttemptResult::ok);
  }
}

// An attempt that is being aborted may arrive after the attempt of the client's next try.
TEST_F(RequestHistoryTest, StartsTryOnlyWhenAttemptOfEarlierTryHasEnded) {
  const auto first = send_try(1, kKeyedClass);
  fixture.handle(ClientGone{first});
  const auto again = send_try(1, kKeyedClass, true);
  const auto third = send_try(1, kKeyedClass, true);
  EXPECT_EQ(send_count(again), 0u);
  fixture.finish_attempt(first, AttemptResult::cancelled);
  EXPECT_EQ(send_count(again), 1u);
  EXPECT_EQ(send_count(third), 0u);
  fixture.handle(ClientGone{third});
  fixture.finish_attempt(again, AttemptResult::ok);
  EXPECT_EQ(send_count(third), 0u) << "its client has left while it waited";
  EXPECT_EQ(send_count(send_try(1, kKeyedClass, true)), 1u);
}

TEST_F(RequestHistoryTest, FailsTryThatWaitsUntilItsDeadline) {
  const auto first = send_try(1, kKeyedClass);
  const auto again = send_try(1, kKeyedClass, true);
  fixture.advance(11 * kSecond);
  EXPECT_EQ(fixture.final_responses[first], 1);
  EXPECT_EQ(fixture.final_responses[again], 1);
  EXPECT_EQ(send_count(again), 0u);
}

// The first try went to another router or to a process that has been replaced.
TEST_F(RequestHistoryTest, SendsRetryOfUnknownTryOnceAndAtOnce) {
  const auto retry = send_try(1, kKeyedClass, true);
  ASSERT_EQ(send_count(retry), 1u);
  EXPECT_TRUE(fixture.router.may_send(fixture.now, retry, {0}));
  EXPECT_FALSE(fixture.router.may_send(fixture.now + 100 * kMillisecond, retry, {0}));
  fixture.advance(100 * kMillisecond);
  const auto end = fixture.finish_attempt(retry, AttemptResult::overloaded);
  EXPECT_EQ(send_count(retry), 1u);
  EXPECT_TRUE(std::ranges::any_of(
      end, [](const Action& action) { return std::holds_alternative<Fail>(action); }));
}

TEST_F(RequestHistoryTest, FailsRequestWithKeyOfAnotherOne) {
  leave(send_try(1, kKeyedClass, false, 1));
  const auto other = send_try(1, kKeyedClass, false, 2);
  EXPECT_EQ(send_count(other), 0u);
  EXPECT_TRUE(is_failed());
}

class FullRequestHistoryTest : public RequestHistoryTest {
 protected:
  static constexpr std::size_t kMaxRequests = 100;
  static Settings settings() {
    Settings settings = test_settings();
    settings.max_remembered_requests = kMaxRequests;
    settings.classes[kNonIdempotentClass].client_timeout = 3 * kSecond;
    return settings;
  }
  FullRequestHistoryTest() : RequestHistoryTest(settings()) {}
};

// Ever new ids must neither use up the memory nor make the router forget what may have run.
TEST_F(FullRequestHistoryTest, RejectsNewRequestsInsteadOfForgettingThoseThatMayHaveRun) {
  std::size_t sent = 0;
  for (std::uint64_t key = 1; key <= 10 * kMaxRequests; ++key) {
    const auto id = send_try(key, kNonIdempotentClass);
    if (send_count(id) == 0) {
      EXPECT_TRUE(is_rejected()) << key;
      continue;
    }
    ++sent;
    leave(id);
  }
  EXPECT_EQ(sent, kMaxRequests);
  EXPECT_EQ(fixture.router.remembered_requests(), kMaxRequests);
  EXPECT_EQ(send_count(send_try(1, kNonIdempotentClass)), 0u);
  EXPECT_TRUE(is_failed());
  fixture.advance(3 * kSecond);
  EXPECT_EQ(send_count(send_try(5000, kNonIdempotentClass)), 1u) << "clients have given up";
}

TEST_F(FullRequestHistoryTest, ForgetsRequestsThatNeverRanFirst) {
  leave(send_try(1, kNonIdempotentClass));
  for (std::uint64_t key = 2; key <= 10 * kMaxRequests; ++key) {
    const auto id = send_try(key, kNonIdempotentClass);
    ASSERT_EQ(send_count(id), 1u) << key;
    fixture.handle(ClientGone{id});
    fixture.finish_attempt(id, AttemptResult::not_sent);
  }
  EXPECT_EQ(send_count(send_try(1, kNonIdempotentClass)), 0u);
  EXPECT_LE(fixture.router.remembered_requests(), kMaxRequests);
  fixture.advance(61 * kSecond);
  EXPECT_EQ(fixture.router.remembered_requests(), 0u);
}

}  // namespace
