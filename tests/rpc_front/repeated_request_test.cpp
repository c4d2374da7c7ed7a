// Tests that a request which may have run is not sent again when its client comes back, whatever
// has become of the client's earlier connection.
#include <string>

#include "support/event_races_fixture.h"

namespace {

using namespace event_races;
using loopback::idempotency_key;
using loopback::TestSocket;

/// Longer than an abort takes until the router counts it as arrived.
constexpr core::Time kAfterAbort = 200'000;

/// How the client of the first try leaves.
enum class Departure { close, reset, cancellation };

class ReturningClientTest : public EventRacesTest, public ::testing::WithParamInterface<Departure> {
 protected:
  void SetUp() override {
    replace_setting("repeat", "\"safe\"", "\"unsafe\"");
    EventRacesTest::SetUp();
  }
  /// Sends the request and leaves while its attempt is in flight. Returns when the attempt has
  /// ended, which after a close it does with a response that nobody receives.
  void send_and_leave(TestSocket& client, const std::string& request) {
    client.write(request);
    ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
    switch (GetParam()) {
      case Departure::close:
        client.close();
        run_briefly();
        FakeCache::respond(*fetch_command(), "served", "late");
        break;
      case Departure::reset:
        client.reset();
        break;
      case Departure::cancellation:
        client.write(loopback::encode_cancel(1));
        break;
    }
    ASSERT_TRUE(run_until([&] { return engine->open_request_count() == 0; }));
  }
  /// Sends the request once more and returns the error that its client gets.
  std::string send_again(const std::string& request) {
    auto client = connect_client(client_front->address());
    client->write(request);
    EXPECT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
    const auto responses = decode_responses(client->received);
    polled_sockets.pop_back();
    return responses.empty() ? "" : responses[0].error;
  }
};
INSTANTIATE_TEST_SUITE_P(Departures, ReturningClientTest,
                         ::testing::Values(Departure::close, Departure::reset,
                                           Departure::cancellation));

// A request that must not repeat ran twice when its client left and sent it again 0.6 s later.
TEST_P(ReturningClientTest, DoesNotMakeRequestRunTwice) {
  const std::string request = encode_request(1, "asset", {});
  auto client = connect_client(client_front->address());
  send_and_leave(*client, request);
  EXPECT_EQ(send_again(request), "Failed");
  run_for(kAfterAbort);
  EXPECT_EQ(send_again(request), "Failed");
  EXPECT_EQ(fetch_count(), 1u);
}

// A limit of the front must not answer with Busy, after which clients try again, for a request that
// may have run.
TEST_P(ReturningClientTest, IsNotToldThatRetryIsHarmlessWhileRouterDrains) {
  const std::string request = encode_request(1, "asset", {});
  auto client = connect_client(client_front->address());
  send_and_leave(*client, request);
  run_for(kAfterAbort);
  auto again = connect_client(client_front->address());
  auto other = connect_client(client_front->address());
  run_briefly();
  again->write(request);
  other->write(encode_request(2, "asset", {}));
  client_front->drain();
  ASSERT_TRUE(run_until([&] {
    return !decode_responses(again->received).empty() && !decode_responses(other->received).empty();
  }));
  EXPECT_EQ(decode_responses(again->received)[0].error, "Failed");
  EXPECT_EQ(decode_responses(other->received)[0].error, "Busy") << "it was never sent";
}

class KeyedRetryTest : public EventRacesTest {
 protected:
  static std::string encode_try(unsigned id, bool is_retry) {
    std::map<std::string, std::string> fields{{"unique", idempotency_key(1)}};
    if (is_retry) fields["second"] = "1";
    return encode_request(id, "plan-accept", std::move(fields), "plan");
  }
  void SetUp() override {
    replace_setting("dedup-window", "20000000", "1000000");
    EventRacesTest::SetUp();
  }
};

// The client's retry of a keyed request was sent to a second cache after the dedup window of the
// first try (review/6).
TEST_F(KeyedRetryTest, IsSentOnlyWithinWindowOfFirstTry) {
  auto client = connect_client(client_front->address());
  client->write(encode_try(1, false));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  run_for(500'000);
  client->write(loopback::encode_cancel(1));
  client->write(encode_try(2, true));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; })) << "the window is still open";
  run_for(600'000);
  fetch_command(2)->connection->reset();
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  EXPECT_EQ(decode_responses(client->received)[0].error, "Busy");
  EXPECT_EQ(fetch_count(), 2u);
}

// The process that had the first try has been replaced, so its attempts are not known.
TEST_F(KeyedRetryTest, IsSentOnceWhenFirstTryIsUnknown) {
  auto client = connect_client(client_front->address());
  client->write(encode_try(1, true));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  run_for(kAfterAbort);
  fetch_command(1)->connection->reset();
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  EXPECT_EQ(fetch_count(), 1u);
}

}  // namespace
