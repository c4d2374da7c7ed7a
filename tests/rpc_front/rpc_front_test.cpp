// Tests of RpcFront with clients and caches on the loopback interface.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "support/edge_router_fixture.h"

namespace {

using namespace alderspur;
using loopback::CacheCommand;
using loopback::decode_responses;
using loopback::encode_request;
using loopback::FakeCache;
using loopback::kIdempotencyKey;

class RpcFrontTest : public loopback::DiscoveryTest {};

TEST_F(RpcFrontTest, ForwardsRequestUnchangedAndReturnsWholeBodyWhenBytesArriveOneByOne) {
  auto client = connect_client(client_front->address());
  const std::string message = encode_request(
      1, "plan-accept", {{"unique", kIdempotencyKey}, {"slice", "3"}, {"seen", "ab"}}, "pay\r\nme");
  for (const char byte : message) {
    client->write(std::string_view(&byte, 1));
    ev_run(loop.raw(), EVRUN_NOWAIT);
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  const CacheCommand command = *fetch_command();
  EXPECT_EQ(command.id, "9b1f03aa5c7e2d41");
  EXPECT_EQ(command.body, "pay\r\nme");
  const std::map<std::string, std::string> expected_fields{
      {"lane", "plan-accept"}, {"name", "7f3a9c21e0b4d655"},
      {"piece", "3"},          {"dedupe", kIdempotencyKey},
      {"next", "s-o"},         {"cached", "ab"}};
  for (const auto& [name, value] : expected_fields) {
    EXPECT_EQ(command.fields.at(name), value) << name;
  }
  EXPECT_LT(std::stoi(command.fields.at("ttl")), 20000);
  const std::string body(240'000, 'x');
  FakeCache::respond(command, "served", body);
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  EXPECT_EQ(decode_responses(client->received)[0].body, body);
  client->write(encode_request(2, "asset", {{"seen", "ab"}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  FakeCache::respond(command.id == fetch_command(2)->id ? *fetch_command(1) : *fetch_command(2),
                     "still_good", {}, loopback::fresh_copy_fields("ab"));
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 2; }));
  EXPECT_EQ(decode_responses(client->received)[1].fields["current"], "1");
}

TEST_F(RpcFrontTest, AbortsAttemptAndSendsNoResponseWhenCallIsCancelled) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  client->write(loopback::encode_cancel(1));
  ASSERT_TRUE(run_until([&] { return cache_of(*fetch_command()).count("abort") == 1; }));
  FakeCache::respond(*fetch_command(), "served", "late");
  run_briefly();
  EXPECT_TRUE(decode_responses(client->received).empty());
  EXPECT_EQ(engine->counters().late_responses, 1u);
}

// A cache closes its connection when it cannot parse a request, which fails the other requests on
// that connection. So invalid input of a client must never be forwarded.
TEST_F(RpcFrontTest, ClosesOnlyTheConnectionWithUnreadableFrameAndFailsRequestsWithInvalidFields) {
  auto bad = connect_client(client_front->address());
  auto good = connect_client(client_front->address());
  bad->write("\xc1garbage");
  ASSERT_TRUE(run_until([&] { return bad->is_closed; }));
  good->write(
      encode_request(1, "no-such-class", {}) + encode_request(2, "asset", {}, "a body") +
      encode_request(3, "plan-accept", {}) +
      encode_request(4, "plan-accept", {{"unique", kIdempotencyKey}}, std::string(48'001, 'x')));
  unsigned id = 4;
  for (const auto& [field, values] : std::map<std::string, std::vector<std::string>>{
           {"item", {"", "not hex", "7f", "7F3A9C21E0B4D655"}},
           {"txn", {"", "a,b=c", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d4 "}},
           {"limit", {"", "0", "-5", "nan", "soon", "30002", "99999999999999999999999"}},
           {"slice", {"", "-1", "1e12", "4000000000"}},
           {"set", {"", "256", "x", "-1"}},
           {"ram", {"inf", "-1", "1e300"}},
           {"unique", {kIdempotencyKey}}}) {
    for (const auto& value : values) good->write(encode_request(++id, "asset", {{field, value}}));
  }
  ASSERT_TRUE(run_until([&] { return decode_responses(good->received).size() == id; }));
  for (const auto& response : decode_responses(good->received)) {
    EXPECT_EQ(response.error, "Failed") << response.id;
  }
  // Every invalid request is counted as admitted and failed, although none was forwarded.
  EXPECT_EQ(engine->counters().admitted, id);
  EXPECT_EQ(engine->counters().failed, id);
  EXPECT_EQ(engine->counters().forwarded, 0u);
}

TEST_F(RpcFrontTest, RejectsSecondRequestWhenOpenIdNamesAnotherObject) {
  auto normal = connect_client(client_front->address());
  auto bad = connect_client(client_front->address());
  normal->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  bad->write(encode_request(1, "asset", {{"item", "0000000000000001"}}));
  ASSERT_TRUE(run_until([&] { return decode_responses(bad->received).size() == 1; }));
  EXPECT_EQ(decode_responses(bad->received)[0].error, "Failed");
  FakeCache::respond(*fetch_command(), "served", "complete");
  ASSERT_TRUE(run_until([&] { return decode_responses(normal->received).size() == 1; }));
  EXPECT_EQ(decode_responses(normal->received)[0].body, "complete");
  bad->write(
      encode_request(2, "asset", {{"item", "0000000000000001"}, {"txn", "9b1f03aa5c7e2d41"}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }))
      << "the id can be reused once its request is complete";
}

TEST_F(RpcFrontTest, RejectsWithRetryAfterWhenClientHasTooManyOpenCalls) {
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 40; ++i) client->write(encode_request(i, "asset", {}));
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 8; }));
  for (const auto& response : decode_responses(client->received)) {
    EXPECT_EQ(response.error + response.fields.at("later"), "Busy500");
  }
}

// Guards against clients that occupy a connection slot but send nothing, only a partial message, or
// only one request.
TEST_F(RpcFrontTest, ClosesSilentClientsAfterTimeoutAndIdleClientsWhenConnectionSlotsRunOut) {
  const auto started_at = net::unix_now();
  auto silent = connect_client(client_front->address());
  auto partial = connect_client(client_front->address());
  auto idle = connect_client(client_front->address());
  partial->write(encode_request(1, "asset", {}).substr(0, 30));
  idle->write(encode_request(1, "no-such-class", {}));
  ASSERT_TRUE(run_until([&] { return silent->is_closed; }));
  EXPECT_GT(net::unix_now(), started_at + 1'500'000);
  EXPECT_FALSE(idle->is_closed);
  EXPECT_FALSE(partial->is_closed) << "its client still waits for the response";
  run_for(500'000);
  std::vector<std::unique_ptr<loopback::TestSocket>> new_clients;
  new_clients.reserve(70);
  for (int i = 0; i < 70; ++i) {
    // The front has 64 connection slots.
    new_clients.push_back(connect_client(client_front->address()));
  }
  auto& last = *new_clients.back();
  last.write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  FakeCache::respond(*fetch_command(), "served", "in time");
  ASSERT_TRUE(run_until([&] { return decode_responses(last.received).size() == 1; }));
  EXPECT_TRUE(idle->is_closed);
  EXPECT_TRUE(partial->is_closed) << "it is silent, and its slot is needed";
  EXPECT_GE(std::count_if(new_clients.begin(), new_clients.end(),
                          [](auto& socket) { return socket->is_closed; }),
            6);
}

TEST_F(RpcFrontTest, RespondsWhenClientHasHalfClosed) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  client->half_close();
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  FakeCache::respond(*fetch_command(), "served", "still here");
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  ASSERT_EQ(decode_responses(client->received).size(), 1u);
  EXPECT_EQ(decode_responses(client->received)[0].body, "still here");
}

TEST_F(RpcFrontTest, ClosesAnsweredClientsImmediatelyWhenConnectionSlotsRunOut) {
  std::vector<std::unique_ptr<loopback::TestSocket>> bad;
  auto normal = connect_client(client_front->address());
  normal->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  polled_sockets.assign(1, normal.get());
  for (int i = 0; i < 400; ++i) {
    bad.push_back(loopback::connect_to(client_front->address()));
    bad.back()->write(encode_request(1, i % 2 ? "no-such-class" : "status", {}));
    if (i % 16 != 15) continue;
    ASSERT_TRUE(run_until(
        [&] { return engine->counters().invalid_requests == (static_cast<unsigned>(i) + 1) / 2; }));
  }
  auto last = connect_client(client_front->address());
  last->write(
      encode_request(1, "asset", {{"item", "0000000000000002"}, {"txn", "0000000000000001"}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  EXPECT_EQ(engine->counters().deferred_accepts, 0u);
  EXPECT_FALSE(normal->is_closed);
}

// Guards against a listener that spins, or never accepts the waiting clients, while every
// connection slot has an open request.
TEST_F(RpcFrontTest, DefersAcceptsUntilClientsDisconnectWhenAllConnectionSlotsAreBusy) {
  std::vector<std::unique_ptr<loopback::TestSocket>> clients;
  for (int i = 0; i < 64; ++i) {
    clients.push_back(connect_client(client_front->address()));
    const auto txn = "00000000000000" + std::to_string(10 + i);
    clients.back()->write(encode_request(1, "asset", {{"ram", "9"}, {"txn", txn}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 64; }));
  clients.push_back(connect_client(client_front->address()));
  auto& last = *clients.back();
  last.write(encode_request(2, "asset", {{"ram", "9"}}));
  run_briefly();
  EXPECT_GT(engine->counters().deferred_accepts, 0u);
  EXPECT_LT(engine->counters().deferred_accepts, 40u)
      << "the listener must pause between attempts to accept";
  polled_sockets.assign(1, &last);
  for (int i = 0; i < 20; ++i) clients[static_cast<std::size_t>(i)]->reset();
  ASSERT_TRUE(run_until([&] { return fetch_count() == 65; }));
}

// Guards against a slow reader that delays other clients or loses bytes of its own responses.
TEST_F(RpcFrontTest, DeliversAllResponsesWithoutDelayingOtherClientsWhenReaderIsSlow) {
  auto slow = connect_client(client_front->address());
  auto quick = connect_client(client_front->address());
  polled_sockets.assign(1, quick.get());
  const std::string body(240'000, 'y');
  for (unsigned i = 1; i <= 24; ++i) slow->write(encode_request(i, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 24; }));
  for (std::size_t i = 1; i <= 24; ++i) {
    const CacheCommand command = *fetch_command(i);
    const std::string head =
        command.id + " served " + loopback::fresh_copy_fields("t") + " 240000\r\n";
    // The cache writes as much as the kernel accepts at a time, and the router reads meanwhile.
    std::string encoded_response = head + body + "\r\n";
    ASSERT_TRUE(write_all(*command.connection, encoded_response));
  }
  quick->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 25; }));
  for (auto& cache : caches) {
    if (!cache.commands.empty() && cache.commands.back().connection) {
      FakeCache::respond(cache.commands.back(), "served", "quick");
    }
  }
  ASSERT_TRUE(run_until([&] { return decode_responses(quick->received).size() == 1; }));
  polled_sockets.push_back(slow.get());
  ASSERT_TRUE(run_until([&] {
    return slow->received.size() > 24 * body.size() &&
           decode_responses(slow->received).size() == 24;
  }));
  for (const auto& response : decode_responses(slow->received)) EXPECT_EQ(response.body, body);
}

}  // namespace
