// Tests the memory for responses: what does not fit is rejected, and what was admitted is answered.
#include <algorithm>
#include <string>

#include "support/event_races_fixture.h"

namespace {

using namespace event_races;
using loopback::TestSocket;

constexpr std::size_t kBodyBytes = 240'000;
/// The share of this process is 8 MB of memory and 8 connection slots.
constexpr std::uint32_t kProcesses = 24;
constexpr std::size_t kMemoryBytes = std::size_t{8} << 20;
constexpr unsigned kClients = 4;
constexpr unsigned kCallsPerClient = 30;
constexpr std::uint64_t kAllCalls = std::uint64_t{kClients} * kCallsPerClient;

class ResponseMemoryTest : public EventRacesTest {
 protected:
  void SetUp() override {
    settings_json += R"(,"flow_bytes_per_s":310000)";
    EventRacesTest::SetUp();
    client_front->set_process_count(kProcesses);
  }
  /// Each client sends all its calls at once and reads nothing until all caches have responded to
  /// what was forwarded.
  void send_burst(const std::map<std::string, std::string>& fields) {
    for (unsigned i = 0; i < kClients; ++i) {
      clients.push_back(connect_client(client_front->address()));
      for (unsigned k = 1; k <= kCallsPerClient; ++k) {
        const unsigned number = i * kCallsPerClient + k;
        auto call_fields = fields;
        call_fields.emplace("item", object(number));
        call_fields.emplace("txn", object(number));
        clients.back()->write(encode_request(k, "asset", call_fields));
      }
    }
    polled_sockets.clear();
    ASSERT_TRUE(run_until([&] { return engine->counters().admitted == kAllCalls; }));
    ASSERT_TRUE(run_until([&] { return fetch_count() == engine->open_request_count(); }));
    const std::string body(kBodyBytes, 'x');
    for (auto& cache : caches) {
      for (const auto& command : cache.commands) {
        const std::string head = command.id + " served " + loopback::fresh_copy_fields("t") + ' ' +
                                 std::to_string(kBodyBytes) + "\r\n";
        ASSERT_TRUE(write_all(*command.connection, head + body + "\r\n"));
        max_held_bytes = std::max(max_held_bytes, loop.buffers().held);
      }
    }
    ASSERT_TRUE(run_until([&] { return engine->open_request_count() == 0; }));
  }
  /// Lets all clients read until the router has sent everything.
  void read_all_responses() {
    for (auto& client : clients) polled_sockets.push_back(client.get());
    EXPECT_TRUE(run_until([&] { return client_front->is_idle(); }));
    run_briefly();
  }

  std::vector<std::unique_ptr<TestSocket>> clients;
  std::size_t max_held_bytes = 0;
};

// Guards against a burst that is admitted whole, and paid for with the connections of clients whose
// admitted calls are then never answered.
TEST_F(ResponseMemoryTest, RejectsCallsWhoseResponsesDoNotFitAndClosesNoClient) {
  send_burst({{"ram", "6967"}});  // 240 KB at the transfer rate
  EXPECT_GE(engine->counters().rejected, 1U);
  EXPECT_GE(engine->counters().served, 8U) << "a quarter of the memory is for responses";
  EXPECT_EQ(engine->counters().slow_readers, 0U);
  EXPECT_LE(max_held_bytes, kMemoryBytes);
  read_all_responses();
  for (auto& client : clients) {
    const auto responses = decode_responses(client->received);
    EXPECT_EQ(responses.size(), kCallsPerClient);
    EXPECT_TRUE(std::all_of(responses.begin(), responses.end(), [](const auto& response) {
      return response.error == "Busy" || response.body.size() == kBodyBytes;
    }));
  }
}

// Guards against the same if the sizes of the responses are not known before: a response that does
// not fit fails, and the counters agree with what the clients get.
TEST_F(ResponseMemoryTest, FailsCallsWhoseResponsesAreLargerThanExpectedAndClosesNoClient) {
  send_burst({});
  EXPECT_EQ(engine->counters().slow_readers, 0U);
  EXPECT_LE(max_held_bytes, kMemoryBytes);
  std::size_t served = 0;
  std::size_t failed = 0;
  read_all_responses();
  for (auto& client : clients) {
    const auto responses = decode_responses(client->received);
    EXPECT_EQ(responses.size(), kCallsPerClient);
    for (const auto& response : responses) {
      served += response.error.empty();
      failed += response.error == "Failed";
    }
  }
  EXPECT_GE(failed, 1U);
  EXPECT_EQ(engine->counters().served, served);
  EXPECT_EQ(engine->counters().failed, failed);
  EXPECT_EQ(engine->class_counters()[0].served, served);
  EXPECT_EQ(engine->class_counters()[0].failed, failed);
}

// Guards against admitted calls that fail, or clients that are closed, because another process of
// the router has started meanwhile and halved the memory of this one.
TEST_F(ResponseMemoryTest, AnswersWhatWasAdmittedBeforeTheMemoryWasHalved) {
  auto client = connect_client(client_front->address());
  polled_sockets.clear();
  constexpr unsigned kCalls = 8;  // a quarter of the memory
  for (unsigned i = 1; i <= kCalls; ++i) {
    client->write(encode_request(i, "asset", {{"ram", "6967"}, {"item", object(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == kCalls; }));
  client_front->set_process_count(2 * kProcesses);
  const std::string body(kBodyBytes, 'x');
  for (std::size_t i = 1; i <= kCalls; ++i) {
    const auto command = *fetch_command(i);
    const std::string head = command.id + " served " + loopback::fresh_copy_fields("t") + ' ' +
                             std::to_string(kBodyBytes) + "\r\n";
    ASSERT_TRUE(write_all(*command.connection, head + body + "\r\n"));
  }
  ASSERT_TRUE(run_until([&] { return engine->counters().served == kCalls; }));
  polled_sockets.push_back(client.get());
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == kCalls; }));
  EXPECT_EQ(engine->counters().failed + engine->counters().slow_readers, 0U);
}

}  // namespace
