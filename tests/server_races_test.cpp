// Tests concurrent events at the connections of caches and discovery servers.
#include <algorithm>
#include <string>

#include "support/event_races_fixture.h"
namespace {

using namespace event_races;
using loopback::CacheCommand;
using loopback::idempotency_key;

// ---- Endpoint updates while requests wait to be sent

// Guards against a request that was assigned to a server before its drain and is sent after it.
TEST_F(PendingConnectTest, MovesRequestWhenItsServerDrains) {
  auto client = connect_client(client_front->address());
  send_until_connect_hangs(*client);
  watch_->write(encode_event(3, "s-b", caches[1].address(), "in_service") +
                encode_event(4, "s-a", listener.address(), "terminating"));
  ASSERT_TRUE(run_until([&] { return caches[1].count("fetch") == 1; }))
      << "the request is moved immediately";
  respond_to_all("bytes");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  expect_nothing_sent_after_connect();
}
TEST_F(PendingConnectTest, DoesNotNameSourceWhenItDrains) {
  auto client = connect_client(client_front->address());
  send_until_connect_hangs(*client);
  watch_->write(encode_event(3, "s-o", origin.address(), "terminating", false, "hub", "origin"));
  ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 3; }));
  ASSERT_TRUE(let_connect_complete());
  ASSERT_TRUE(run_until([&] { return listener.has_received("fetch"); }));
  EXPECT_FALSE(listener.has_received("next=s-o"));
}
// The address belongs to another server when the connect completes.
TEST_F(PendingConnectTest, SendsNothingWhenAnotherServerHasTheAddress) {
  auto client = connect_client(client_front->address());
  send_until_connect_hangs(*client);
  watch_->write(encode_event(3, "s-a", listener.address(), "terminated"));
  ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 3; }));
  // The kernel retries a connect after one second. A request that still waited for it would be sent
  // then.
  run_until([&, end = net::unix_now() + 2'500'000] {
    return listener.has_received("fetch") || net::unix_now() > end;
  });
  EXPECT_FALSE(listener.has_received("fetch"));
  ASSERT_EQ(decode_responses(client->received).size(), 1u) << "no other cache is available";
  EXPECT_EQ(decode_responses(client->received)[0].error, "Busy");
}

// Guards against sending queued commands to a cache that drains without reading its input. If they
// were checked only when they were queued, they would be written after the drain.
class QueuedCommandsTest : public EventRacesTest {
 protected:
  void SetUp() override {
    settings_json += R"(,"limits":{"memory_mb":1024})";
    replace_setting("streams-per-conn", "32", "1000");
    EventRacesTest::SetUp();
  }
};
TEST_F(QueuedCommandsTest, SendsNoFurtherCommandsWhenCacheDrainsWithoutReading) {
  auto watch = accept_watch();
  watch->write(encode_event(2, "s-b", caches[1].address(), "terminating"));
  ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 2; }));
  caches[0].use_small_receive_buffer();
  caches[0].is_reading = false;
  std::vector<std::unique_ptr<loopback::TestSocket>> clients;
  const std::string body(48'000, 'w');
  unsigned request_count = 0;
  for (int client = 0; client < 40; ++client) {
    watch->write("2\n");  // as each second; a silent watch would be replaced
    clients.push_back(connect_client(client_front->address()));
    for (int i = 0; i < 30; ++i) {
      ++request_count;
      std::string request = encode_request(
          request_count, "plan-accept",
          {{"unique", idempotency_key(request_count)}, {"item", object(request_count)}}, body);
      ASSERT_TRUE(write_all(*clients.back(), request));
    }
    ASSERT_TRUE(run_until([&] { return engine->counters().admitted == request_count; }));
  }
  watch->write("2\n");
  run_briefly();
  const auto sent = engine->counters().forwarded;
  ASSERT_GT(engine->open_request_count(), sent + 20)
      << "the connections are full, and many requests wait";
  watch->write(encode_event(3, "s-a", caches[0].address(), "terminating"));
  ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 3; }));
  caches[0].is_reading = true;
  ASSERT_TRUE(run_until([&] { return caches[0].count("fetch") >= sent; }));
  run_briefly();
  EXPECT_LE(caches[0].count("fetch"), sent + 6)
      << "one command for each connection had been written partially";
}

// Guards against a retry that is decided within the deduplication window but written after its end.
class ShortDedupWindowTest : public PendingConnectTest {
 protected:
  void SetUp() override {
    replace_setting("dedup-window", "20000000", "300000");
    PendingConnectTest::SetUp();
    watch_->write(encode_event(3, "s-b", caches[1].address(), "in_service"));
    ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 3; }));
  }
};
TEST_F(ShortDedupWindowTest, SendsNoRetryWhenWindowEndsDuringConnect) {
  auto client = connect_client(client_front->address());
  unsigned request_count = 0;
  // Sends requests until an object has caches[1] as its first cache.
  while (caches[1].count("fetch") == 0) {
    ASSERT_LT(++request_count, 20u);
    client->write(encode_request(
        request_count, "plan-accept",
        {{"unique", idempotency_key(request_count)}, {"item", object(request_count)}}));
    run_until([&, end = net::unix_now() + 100'000] {
      return caches[1].count("fetch") > 0 || net::unix_now() > end;
    });
  }
  const auto sent = engine->counters().forwarded;
  // The cache may have executed the request. The next attempt waits for the connect to the other
  // cache.
  caches[1].stop();
  const auto window_end = net::unix_now() + 320'000;
  ASSERT_TRUE(run_until([&] { return net::unix_now() > window_end; }));
  ASSERT_TRUE(let_connect_complete());
  run_briefly();
  EXPECT_FALSE(listener.has_received("dedupe=" + idempotency_key(request_count)) &&
               listener.has_received(object(request_count)));
  EXPECT_EQ(engine->counters().forwarded - sent,
            listener.has_received("fetch") ? request_count - 1 : 0u);
}

// Guards against a late event that fills a gap in the revisions and reverts a newer change.
class EventGapTest : public EventRacesTest, public ::testing::WithParamInterface<bool> {};
TEST_P(EventGapTest, KeepsNewerChangeWhenOlderEventFillsGap) {
  const bool is_complete = GetParam();
  auto watch = accept_watch();
  ASSERT_TRUE(run_until([&] { return watch->received == "watch 1\n"; }));
  watch->write(encode_event(3, "s-a", caches[0].address(), "terminating"));  // event 2 is missing
  auto new_watch = accept_watch();
  ASSERT_TRUE(run_until([&] { return new_watch->received == "watch 1\n"; }))
      << "requests the missing event";
  new_watch->write(encode_event(2, "s-a", caches[0].address(), "in_service", is_complete) +
                   encode_event(3, "s-a", caches[0].address(), "terminating") +
                   encode_event(4, "s-x", caches[1].address(), "terminated"));
  ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 4; }));
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 8; ++i) {
    client->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(
      run_until([&] { return fetch_count() + decode_responses(client->received).size() >= 8; }));
  EXPECT_EQ(caches[0].count("fetch"), 0u);
  EXPECT_EQ(caches[1].count("fetch"), is_complete ? 0u : 8u)
      << "a complete list that does not contain the cache removes it";
}
INSTANTIATE_TEST_SUITE_P(Lists, EventGapTest, ::testing::Bool());

// When a discovery server sends nothing for too long, the router opens a new watch. Later bytes on
// the old connection have no effect.
TEST_F(EventRacesTest, WatchesFromLastEventWhenWatchFallsSilent) {
  auto watch = accept_watch();
  ASSERT_TRUE(run_until([&] { return watch->received == "watch 1\n"; }));
  watch->write(encode_event(2, "s-b", caches[1].address(), "terminating") +
               R"({"rev":3,"pool":{"comp)");
  auto new_watch = accept_watch();
  ASSERT_TRUE(run_until([&] { return new_watch->received == "watch 2\n"; }))
      << "a partial event is ignored";
  watch->write("lete\":true,\"members\":[]}}\n");
  run_briefly();
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 8; ++i) {
    client->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 8; }));
  EXPECT_EQ(caches[1].count("fetch"), 0u);
}

// A drain and a request are ready in the same turn of the event loop. The drain is applied first.
TEST_F(EventRacesTest, AppliesDrainBeforeRequestOfTheSameTurn) {
  auto watch = accept_watch();
  auto client = connect_client(client_front->address());
  run_briefly();  // both connections are established
  for (unsigned i = 1; i <= 8; ++i) {
    client->write(encode_request(i, "asset", {{"item", object(i)}}));
  }
  watch->write(encode_event(2, "s-a", caches[0].address(), "terminating"));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 8; }));
  EXPECT_EQ(caches[0].count("fetch"), 0u);
}

// ---- Connections to caches

// Guards against a command that is written while the cache closes its idle connection. The router
// could not tell whether the command was executed.
class ShortIdleTimeoutTest : public EventRacesTest {
 protected:
  void SetUp() override {
    replace_setting("idle-close", "30000000", "400000");
    EventRacesTest::SetUp();
  }
};
TEST_F(ShortIdleTimeoutTest, OpensNewConnectionWhenCacheIsAboutToClose) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  const CacheCommand first = *fetch_command();
  respond_to_all("bytes");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  // More than four fifths of the idle timeout since the connection was last used.
  const auto shortly_before_close = net::unix_now() + 350'000;
  ASSERT_TRUE(run_until([&] { return net::unix_now() > shortly_before_close; }));
  client->write(encode_request(2, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  EXPECT_NE(fetch_command()->connection, first.connection);
}

// Guards against a response that arrives byte by byte and never ends. The requests queued behind it
// must not wait for it.
TEST_F(EventRacesTest, RetriesQueuedRequestsWhenResponseNeverEnds) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {{"ram", "9"}}) +
                encode_request(2, "asset", {{"ram", "9"}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  const CacheCommand endless = *fetch_command(1);
  ASSERT_EQ(fetch_command(2)->connection, endless.connection);
  endless.connection->write(endless.id + " served " + loopback::fresh_copy_fields("t") +
                            " 240000\r\n");
  ASSERT_TRUE(run_until([&] {
    endless.connection->write("x");
    return fetch_count() == 4;
  }));
  for (auto& cache : caches) {
    for (auto& command : cache.commands) {
      if (command.connection != endless.connection) {
        FakeCache::respond(command, "served", "complete");
      }
    }
  }
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 2; }));
  for (const auto& response : decode_responses(client->received)) {
    EXPECT_EQ(response.body, "complete");
  }
}

// A server's restart is reported while a connect to it hangs. The waiting requests do not count as
// failures of the restarted server.
TEST_F(PendingConnectTest, CountsNoFailureForWaitingRequestsWhenServerRestarts) {
  auto client = connect_client(client_front->address());
  send_until_connect_hangs(*client);
  client->write(encode_request(
      2, "asset", {{"item", object(2)}}));  // two consecutive failures would eject the server
  ASSERT_TRUE(run_until([&] { return engine->open_request_count() == 2; }));
  watch_->write(encode_event(3, "s-b", caches[1].address(), "in_service"));
  auto restarted = encode_event(4, "s-a", listener.address(), "in_service");
  const std::string started_at = "\"up_since_ms\":";
  restarted.replace(restarted.find(started_at), started_at.size() + 1,
                    started_at + std::to_string(net::unix_now() / 1000));
  watch_->write(restarted);
  ASSERT_TRUE(run_until([&] { return caches[1].count("fetch") == 2; }))
      << "the slow start quota of the restarted server is exhausted";
  for (const auto& status : engine->endpoint_statuses()) EXPECT_TRUE(status.is_usable);
  respond_to_all("bytes");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 2; }));
  run_briefly();
  EXPECT_FALSE(listener.has_received("fetch"));
}

// A response arrives together with the close of its connection.
TEST_F(EventRacesTest, CountsResponseWhenConnectionClosesAfterIt) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}) + encode_request(2, "asset", {{"item", object(2)}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  const CacheCommand answered = *fetch_command(1);
  FakeCache::respond(answered, "served", "in time");
  answered.connection->close();
  ASSERT_TRUE(run_until([&] { return !decode_responses(client->received).empty(); }));
  EXPECT_EQ(decode_responses(client->received)[0].body, "in time");
  ASSERT_TRUE(run_until([&] { return fetch_count() >= 2; }));
  for (auto& cache : caches) {
    for (auto& command : cache.commands) {
      if (command.id != answered.id && !command.connection->is_closed) {
        FakeCache::respond(command, "served", "of the other");
      }
    }
  }
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 2; }));
  run_briefly();
  EXPECT_EQ(decode_responses(client->received).size(), 2u);
}

}  // namespace
