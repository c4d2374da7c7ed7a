// Tests that a client gets the responses to its open calls whatever else happens on its connection.
#include <algorithm>
#include <string>

#include "support/event_races_fixture.h"

namespace {

using namespace event_races;
using loopback::CacheCommand;
using loopback::idempotency_key;
using loopback::TestSocket;

constexpr std::size_t kMaxBodyBytes = 240'000;
constexpr int kSlots = 64;

class OpenCallsTest : public EventRacesTest {
 protected:
  /// Connects a client and opens a call with this id, which is also the number of its object.
  std::unique_ptr<TestSocket> open_call(unsigned id) {
    auto client = connect_client(client_front->address());
    const std::size_t fetches = fetch_count();
    client->write(encode_request(id, "asset", {{"item", object(id)}}));
    EXPECT_TRUE(run_until([&] { return fetch_count() == fetches + 1; }));
    return client;
  }
  /// Returns a message of a call with a long body.
  static std::string long_message(unsigned id) {
    return encode_request(id, "plan-accept", {{"unique", idempotency_key(id)}},
                          std::string(40'000, 'w'));
  }
  /// Responds to all fetches and waits until the client has this number of responses.
  bool gets_responses(TestSocket& client, std::size_t count) {
    respond_to_all("bytes");
    return run_until([&] { return decode_responses(client.received).size() == count; });
  }
  /// Responds to the first `count` fetches with the largest bodies, whatever the kernel accepts at
  /// once. Returns false if the router does not take them.
  bool respond_with_largest_bodies(std::size_t count) {
    const std::string body(kMaxBodyBytes, 'x');
    for (std::size_t i = 1; i <= count; ++i) {
      const CacheCommand command = *fetch_command(i);
      const std::string head = command.id + " served " + loopback::fresh_copy_fields("t") + ' ' +
                               std::to_string(body.size()) + "\r\n";
      if (!write_all(*command.connection, head + body + "\r\n")) return false;
    }
    return run_until([&] { return engine->counters().served == count; });
  }
  /// Returns the fetch of this object.
  const CacheCommand& fetch_of(const std::string& object_name) {
    std::size_t number = 1;
    while (number < fetch_count() && fetch_command(number)->fields["name"] != object_name) ++number;
    return *fetch_command(number);
  }
  /// Occupies connection slots until `free` are left, each with a client that has an open call.
  std::vector<std::unique_ptr<TestSocket>> occupy_slots(int free) {
    std::vector<std::unique_ptr<TestSocket>> clients;
    constexpr unsigned kFirstId = 100;
    clients.reserve(kSlots);
    for (int i = 0; i < kSlots - free; ++i) {
      clients.push_back(open_call(kFirstId + static_cast<unsigned>(i)));
    }
    return clients;
  }
};

// Guards against a client whose open calls are never answered because its connection was quiet for
// 2 s within a later message.
TEST_F(OpenCallsTest, AreAnsweredWhenClientFallsSilentWithinAMessage) {
  auto client = open_call(1);
  const std::string message = long_message(2);
  client->write(message.substr(0, message.size() / 2));
  run_for(2'600'000);
  ASSERT_FALSE(client->is_closed);
  ASSERT_TRUE(gets_responses(*client, 1));
  run_for(500'000);
  client->write(message.substr(message.size() / 2));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; })) << "the rest of the message is read";
  EXPECT_TRUE(gets_responses(*client, 2));
}

// Guards against a client whose open calls are never answered because unreadable input follows.
TEST_F(OpenCallsTest, AreAnsweredWhenUnreadableInputFollows) {
  auto client = open_call(1);
  client->write("\xc1 garbage");
  run_briefly();
  client->write(std::string(50'000, 'z'));
  run_briefly();
  ASSERT_FALSE(client->is_closed);
  ASSERT_TRUE(gets_responses(*client, 1));
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  EXPECT_FALSE(client->was_reset);
}

// Guards against attempts for a client that disconnects after unreadable input.
TEST_F(OpenCallsTest, AreCancelledWhenClientResetsAfterUnreadableInput) {
  auto client = open_call(1);
  client->write("\xc1 garbage");
  run_briefly();
  client->reset();
  ASSERT_TRUE(run_until([&] { return abort_count() == 1; }));
  EXPECT_EQ(engine->open_request_count(), 0U);
}

// Guards against clients whose open calls are never answered because the incomplete messages of all
// clients together exceed their memory limit.
TEST_F(OpenCallsTest, AreAnsweredWhenMemoryForIncompleteMessagesRunsOut) {
  constexpr std::uint32_t kProcesses = 384;  // each has 512 KB, and 32 KB for incomplete messages
  auto first = open_call(1);
  auto second = open_call(2);
  client_front->set_process_count(kProcesses);
  const std::string part = long_message(3).substr(0, 20'000);
  first->write(part);
  run_briefly();
  auto other = connect_client(client_front->address());
  other->write(part);
  ASSERT_TRUE(run_until([&] { return other->is_closed; })) << "it has no open call";
  EXPECT_FALSE(first->is_closed);
  second->write(part);
  run_briefly();
  ASSERT_FALSE(first->is_closed || second->is_closed);
  ASSERT_TRUE(gets_responses(*first, 1));
  ASSERT_TRUE(gets_responses(*second, 1));
  EXPECT_TRUE(run_until([&] { return first->is_closed; })) << "its message was discarded";
  EXPECT_FALSE(first->was_reset || second->is_closed);
}

// Guards against a client that is closed while it waits for responses because it has read nothing
// for 5 s, or as idle at the moment when it has read the last of them.
TEST_F(OpenCallsTest, AreAnsweredWhenClientReadsNothingForLongerThanTheTimeoutOfSlowReaders) {
  auto client = connect_client(client_front->address());
  polled_sockets.clear();  // the client reads nothing
  constexpr unsigned kCalls = 24;
  for (unsigned i = 1; i <= kCalls; ++i) {
    client->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == kCalls; }));
  ASSERT_TRUE(respond_with_largest_bodies(kCalls));
  run_for(6'000'000);
  polled_sockets.push_back(client.get());
  ASSERT_TRUE(run_until([&] {
    return client->is_closed || (client->received.size() > kCalls * kMaxBodyBytes &&
                                 decode_responses(client->received).size() == kCalls);
  }));
  run_for(500'000);
  ASSERT_FALSE(client->is_closed) << "it has just got its last response";
  client->write(encode_request(kCalls + 1, "asset", {{"item", object(kCalls + 1)}}));
  EXPECT_TRUE(run_until([&] { return fetch_count() == kCalls + 1; }));
}

// Guards against a client that is closed as idle, 5 s after its last response, while it writes a
// message slowly.
TEST_F(OpenCallsTest, AreReadToTheEndWhenAMessageTakesLongerThanTheIdleTimeout) {
  auto client = open_call(1);
  ASSERT_TRUE(gets_responses(*client, 1));
  const std::string message = long_message(2);
  constexpr std::size_t kParts = 5;
  const std::size_t part_bytes = message.size() / kParts;
  for (std::size_t part = 0; part < kParts; ++part) {
    client->write(message.substr(part * part_bytes, part_bytes));
    run_for(1'300'000);
  }
  ASSERT_FALSE(client->is_closed);
  client->write(message.substr(kParts * part_bytes));
  EXPECT_TRUE(run_until([&] { return engine->counters().admitted == 2; }));
}

// Guards against a client that is closed in the middle of a message to make room for a new one.
TEST_F(OpenCallsTest, AreReadToTheEndWhenConnectionSlotsRunOut) {
  auto client = open_call(1);
  const CacheCommand command = *fetch_command();
  const auto others = occupy_slots(1);
  FakeCache::respond(command, "served", "bytes");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  run_for(300'000);  // longer than the time for which a client is spared after its last response
  const std::string message = long_message(2);
  client->write(message.substr(0, message.size() / 2));
  run_briefly();
  auto last = connect_client(client_front->address());
  run_briefly();
  EXPECT_GT(engine->counters().deferred_accepts, 0U);
  ASSERT_FALSE(client->is_closed);
  const auto admitted = engine->counters().admitted;
  client->write(message.substr(message.size() / 2));
  EXPECT_TRUE(run_until([&] { return engine->counters().admitted == admitted + 1; }));
}

// Guards against a client that reads slowly and is closed during a hand-over when the kernel has
// taken its responses: it cannot know, and the requests that it sends meanwhile are never answered.
TEST_F(OpenCallsTest, AreAnsweredDuringAHandoffWhenEarlierResponsesAreStillBeingRead) {
  auto client = connect_client(client_front->address());
  polled_sockets.clear();  // the client reads nothing
  constexpr unsigned kCalls = 4;
  for (unsigned i = 1; i <= kCalls; ++i) {
    client->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == kCalls; }));
  ASSERT_TRUE(respond_with_largest_bodies(kCalls));
  ASSERT_TRUE(run_until([&] { return client_front->is_idle(); }));
  client_front->start_handoff(net::unix_now() + 20'000'000);
  run_briefly();
  client->write(encode_request(kCalls + 1, "asset", {{"item", object(kCalls + 1)}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == kCalls + 1; }))
      << "the connection is still open";
  FakeCache::respond(fetch_of(object(kCalls + 1)), "served", "last");
  polled_sockets.push_back(client.get());
  EXPECT_TRUE(run_until([&] {
    return client->received.size() > kCalls * kMaxBodyBytes &&
           decode_responses(client->received).size() == kCalls + 1;
  }));
  EXPECT_TRUE(run_until([&] { return client->is_closed; })) << "it has all its responses now";
  EXPECT_FALSE(client->was_reset);
}

// Guards against a client that closes its sending side after its call, waits long to be accepted
// and then gets no response.
TEST_F(OpenCallsTest, AreRejectedWhenClientHasHalfClosedBeforeItWasAccepted) {
  auto others = occupy_slots(0);
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {{"item", object(1)}}));
  client->half_close();
  run_briefly();
  const std::size_t fetches = fetch_count();
  polled_sockets.assign(1, client.get());
  others[0]->reset();
  others[1]->reset();
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  ASSERT_EQ(decode_responses(client->received).size(), 1U);
  EXPECT_EQ(decode_responses(client->received)[0].error, "Busy");
  EXPECT_EQ(fetch_count(), fetches);
}

// Guards against a request that is never answered because its message fell quiet for 3 s on its way
// (review/9).
TEST_F(OpenCallsTest, AreAnsweredWhenTheirMessageFallsQuietForThreeSeconds) {
  auto first = connect_client(client_front->address());
  auto second = open_call(1);
  ASSERT_TRUE(gets_responses(*second, 1));
  const std::string message = encode_request(2, "asset", {{"item", object(2)}});
  for (auto* client : {first.get(), second.get()}) client->write(message.substr(0, 60));
  run_for(3'000'000);
  for (auto* client : {first.get(), second.get()}) {
    ASSERT_FALSE(client->is_closed);
    client->write(message.substr(60));
    ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
    EXPECT_TRUE(gets_responses(*client, client == first.get() ? 1 : 2));
  }
}

// Guards against a slow reader that always has a call open and is closed in a hand-over while the
// kernel still holds its responses (review/7). Its further calls reset the closed connection.
TEST_F(OpenCallsTest, AreDeliveredToSlowReaderThatIsNeverIdleInHandoff) {
  constexpr unsigned kResponses = 8;
  auto client = connect_client(client_front->address());
  unsigned id = 0;
  const auto send_call = [&] {
    ++id;
    client->write(encode_request(id, "asset", {{"item", object(id)}}));
  };
  while (id < kResponses) send_call();
  ASSERT_TRUE(run_until([&] { return fetch_count() == kResponses; }));
  polled_sockets.clear();
  ASSERT_TRUE(respond_with_largest_bodies(kResponses));
  send_call();
  ASSERT_TRUE(run_until([&] { return fetch_count() == kResponses + 1; }));
  client_front->start_handoff(engine->now() + 900'000);
  ASSERT_TRUE(run_until([&] { return engine->open_request_count() == 0; }));
  for (int i = 0; i < 15; ++i) {
    send_call();
    run_for(100'000);
  }
  polled_sockets.push_back(client.get());
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  EXPECT_FALSE(client->was_reset);
  const auto responses = decode_responses(client->received);
  EXPECT_EQ(std::ranges::count(responses, kMaxBodyBytes,
                               [](const auto& response) { return response.body.size(); }),
            kResponses);
  EXPECT_EQ(responses.size(), id) << "later calls are rejected";
}

}  // namespace
