// Tests concurrent events at the connections of clients: cancels, closes and lingering closes.
#include <algorithm>
#include <string>

#include "net/lingering.h"
#include "support/event_races_fixture.h"

namespace {

using namespace event_races;
using loopback::CacheCommand;
using loopback::kIdempotencyKey;

// ---- Clients that close their connection

// Guards against a cancel or a close by a client that the router does not process because the
// client does not read its responses.
TEST_F(EventRacesTest, CancelsRequestsWhenClientDoesNotRead) {
  auto client = connect_client(client_front->address());
  polled_sockets.clear();  // the client reads nothing
  for (unsigned i = 1; i <= 32; ++i) {
    client->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 32; }));
  const std::string body(240'000, 'x');
  std::size_t sent = 0;
  for (std::size_t i = 1; i <= 30; ++i) {  // the last two requests stay open
    const CacheCommand command = *fetch_command(i);
    std::string response =
        command.id + " served " + loopback::fresh_copy_fields("t") + " 240000\r\n" + body + "\r\n";
    ASSERT_TRUE(write_all(*command.connection, response));
    ++sent;
  }
  ASSERT_TRUE(run_until([&] { return engine->counters().served == sent; }));
  const CacheCommand cancelled = *fetch_command(31);
  const CacheCommand left_open = *fetch_command(32);
  const unsigned id = static_cast<unsigned>(std::stoul(cancelled.fields.at("name"), nullptr, 16));
  client->write(loopback::encode_cancel(id));
  ASSERT_TRUE(run_until([&] { return abort_count() == 1; })) << "cancel";
  client->reset();
  ASSERT_TRUE(run_until([&] { return abort_count() == 2; })) << "reset";
  EXPECT_EQ(engine->open_request_count(), 0u);
}

TEST_F(EventRacesTest, SendsNothingWhenCancelIsReadWithItsRequest) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {{"item", object(1)}}) + loopback::encode_cancel(1) +
                encode_request(2, "asset", {{"item", object(2)}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  EXPECT_EQ(fetch_command()->fields["name"], object(2));
  client->write(loopback::encode_cancel(1) +
                loopback::encode_cancel(77));  // a request that has ended, and an unknown one
  respond_to_all("bytes");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  run_briefly();
  EXPECT_EQ(engine->counters().forwarded, 1u);
}

TEST_F(EventRacesTest, AdmitsNothingWhenClientClosesWithinAMessage) {
  auto half_closing = connect_client(client_front->address());
  auto resetting = connect_client(client_front->address());
  for (auto* client : {half_closing.get(), resetting.get()}) {
    client->write(encode_request(1, "asset", {}).substr(0, 30));
  }
  run_briefly();
  half_closing->half_close();
  resetting->reset();
  ASSERT_TRUE(run_until([&] { return half_closing->is_closed; }));
  run_briefly();
  EXPECT_EQ(engine->counters().admitted, 0u);
}

// A client writes its request and closes its connection before a slot is free for it.
TEST_F(EventRacesTest, AdmitsNothingWhenClientClosesInTheListenersQueue) {
  std::vector<std::unique_ptr<loopback::TestSocket>> clients;
  for (unsigned i = 1; i <= 64; ++i) {  // occupies all slots
    clients.push_back(connect_client(client_front->address()));
    clients.back()->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 64; }));
  auto leaving = loopback::connect_to(client_front->address());
  auto staying = connect_client(client_front->address());
  leaving->write(encode_request(100, "asset", {{"item", object(100)}}));
  staying->write(encode_request(101, "asset", {{"item", object(101)}}));
  leaving->close();
  run_briefly();  // longer than the 0.1 s in which its request might still be admitted
  ASSERT_GT(engine->counters().deferred_accepts, 0u);
  polled_sockets.assign(1, staying.get());
  clients[0]->reset();
  clients[1]->reset();
  ASSERT_TRUE(run_until([&] { return fetch_count() == 65; }));
  run_briefly();
  EXPECT_EQ(fetch_count(), 65u);
  EXPECT_EQ(engine->counters().admitted, 65u);
}

// Guards against further attempts for a client that has closed its connection.
TEST_F(EventRacesTest, StartsNoFurtherAttemptWhenClientHasHalfClosed) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  client->half_close();
  run_briefly();  // longer than the 0.1 s in which an attempt may start
  FakeCache::respond(*fetch_command(), "overload");
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  ASSERT_EQ(decode_responses(client->received).size(), 1u)
      << "one response, in case the client still reads";
  EXPECT_EQ(decode_responses(client->received)[0].error, "Busy");
  EXPECT_EQ(fetch_count(), 1u);
}
TEST_F(PendingConnectTest, SendsNothingWhenClientHalfCloses) {
  auto client = connect_client(client_front->address());
  send_until_connect_hangs(*client);
  client->half_close();
  ASSERT_TRUE(run_until([&] { return client->is_closed; }))
      << "rejected immediately, because no attempt is in flight";
  EXPECT_EQ(decode_responses(client->received).size(), 1u);
  expect_nothing_sent_after_connect();
}
TEST_F(PendingConnectTest, SendsNothingWhenRequestIsCancelled) {
  auto client = connect_client(client_front->address());
  send_until_connect_hangs(*client);
  client->write(loopback::encode_cancel(1));
  ASSERT_TRUE(run_until([&] { return engine->open_request_count() == 0; }));
  expect_nothing_sent_after_connect();
  EXPECT_TRUE(decode_responses(client->received).empty());
}

TEST_F(EventRacesTest, AbortsAllAttemptsWhenManyClientsResetAtOnce) {
  std::vector<std::unique_ptr<loopback::TestSocket>> clients;
  for (unsigned i = 1; i <= 60; ++i) {
    clients.push_back(connect_client(client_front->address()));
    clients.back()->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 60; }));
  polled_sockets.clear();
  for (auto& client : clients) client->reset();
  ASSERT_TRUE(run_until([&] { return abort_count() == 60; }));
  EXPECT_EQ(engine->open_request_count(), 0u);
}

// Guards against two attempts in flight with the same id when a request is repeated while it is
// open. The repeat of a non-idempotent request fails, so that the client does not retry it.
class RepeatedRequestTest : public EventRacesTest, public ::testing::WithParamInterface<bool> {
 protected:
  void SetUp() override {
    if (!GetParam()) replace_setting("repeat", "\"safe\"", "\"unsafe\"");
    EventRacesTest::SetUp();
  }
};
INSTANTIATE_TEST_SUITE_P(IsIdempotent, RepeatedRequestTest, ::testing::Bool());
TEST_P(RepeatedRequestTest, RejectsRepeatWhileRequestIsOpen) {
  auto first = connect_client(client_front->address());
  auto repeating = connect_client(client_front->address());
  first->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  repeating->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return decode_responses(repeating->received).size() == 1; }));
  EXPECT_EQ(decode_responses(repeating->received)[0].error, GetParam() ? "Busy" : "Failed");
  EXPECT_EQ(fetch_count(), 1u);
  respond_to_all("bytes");
  ASSERT_TRUE(run_until([&] { return decode_responses(first->received).size() == 1; }));
  repeating->write(encode_request(2, "asset", {{"txn", "9b1f03aa5c7e2d41"}}));
  if (GetParam()) {
    ASSERT_TRUE(run_until([&] { return engine->counters().forwarded == 2; }))
        << "the id can be used again";
  } else {
    ASSERT_TRUE(run_until([&] { return decode_responses(repeating->received).size() == 2; }));
    EXPECT_EQ(decode_responses(repeating->received)[1].error, "Failed") << "it has run";
    EXPECT_EQ(engine->counters().forwarded, 1u);
  }
}

// Guards against closing a slow connection while a large request still arrives on it. The
// connection of a client that stops sending is closed once its client waits no longer.
class SlowMessageTest : public EventRacesTest {
 protected:
  static constexpr core::Time kRequestTimeout = 4'000'000;
  void SetUp() override {
    for (int i = 0; i < 2; ++i) replace_setting("give-up", "30000000", "4000000");
    EventRacesTest::SetUp();
  }
};
TEST_F(SlowMessageTest, AcceptsLargeRequestWhenItArrivesSlowly) {
  const core::Time started_at = net::unix_now();
  auto slow_client = connect_client(client_front->address());
  auto stopping_client = connect_client(client_front->address());
  const std::string request = encode_request(
      1, "plan-accept", {{"unique", kIdempotencyKey}, {"limit", "4000"}}, std::string(40'000, 'w'));
  stopping_client->write(request.substr(0, 20'000));
  // Sends five parts, which takes longer than the timeout of 2 s.
  for (std::size_t offset = 0; offset < request.size(); offset += 10'000) {
    slow_client->write(request.substr(offset, 10'000));
    run_for(700'000);
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  EXPECT_FALSE(slow_client->is_closed);
  EXPECT_FALSE(stopping_client->is_closed) << "its client still waits";
  EXPECT_EQ(fetch_command()->body.size(), 40'000u);
  ASSERT_TRUE(run_until([&] { return stopping_client->is_closed; }));
  EXPECT_GE(net::unix_now(), started_at + kRequestTimeout);
  EXPECT_LT(net::unix_now(), started_at + kRequestTimeout + 1'000'000);
}

// ---- Closing

// Guards against closing a connection that has unread input, which would reset the connection and
// lose responses.
TEST_F(EventRacesTest, DeliversResponseWhenClosingWithUnreadInput) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "no-such-class", {}) + "\xc1 garbage" +
                std::string(200'000, 'z'));
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  ASSERT_EQ(decode_responses(client->received).size(), 1u);
  EXPECT_EQ(decode_responses(client->received)[0].error, "Failed");
  EXPECT_FALSE(client->was_reset);
}

// A lingering close waits for its peer for a limited time, and its slot is available to other
// clients.
TEST_F(EventRacesTest, FreesSlotsWhenPeersKeepClosedConnectionsOpen) {
  std::vector<std::unique_ptr<loopback::TestSocket>> peers;
  for (int i = 0; i < 64; ++i) {
    peers.push_back(connect_client(client_front->address()));
    peers.back()->write("\xc1");
  }
  ASSERT_TRUE(run_until([&] {
    return std::all_of(peers.begin(), peers.end(), [](auto& peer) { return peer->is_closed; });
  }));
  EXPECT_EQ(loop.lingering().size(), 64u);
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  ASSERT_TRUE(run_until([&] { return loop.lingering().size() == 0; }))
      << "no peer has closed its side of the connection";
}

// Idle clients are closed without a reset, and a client that has just connected gets a response.
TEST_F(EventRacesTest, RespondsToNewClientWhenSignedFrontShutsDown) {
  auto idle = connect_client(http_front->address());
  idle->write("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return idle->received.starts_with("HTTP/1.1 404"); }));
  run_briefly();
  auto new_client = connect_client(http_front->address());
  // The kernel has completed this connection, but the front has not accepted it yet.
  new_client->write("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
  http_front->drain();
  EXPECT_FALSE(http_front->is_drained()) << "the new client gets a response";
  ASSERT_TRUE(run_until([&] { return idle->is_closed && new_client->is_closed; }));
  EXPECT_TRUE(new_client->received.starts_with("HTTP/1.1 404"));
  EXPECT_FALSE(idle->was_reset || new_client->was_reset);
  ASSERT_TRUE(run_until([&] { return http_front->is_drained(); }));
}

}  // namespace
