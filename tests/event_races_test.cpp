// Tests concurrent events at the sockets. Each test determines the order of the events through the
// actions of the peers. docs/crossings.md lists the events and the required behaviour.
#include <algorithm>
#include <string>

#include "net/lingering.h"
#include "support/edge_router_fixture.h"

namespace {

using namespace alderspur;
using loopback::CacheCommand;
using loopback::decode_responses;
using loopback::encode_request;
using loopback::FakeCache;
using loopback::kIdempotencyKey;

class EventRacesTest : public loopback::DiscoveryTest {
 protected:
  // Responds to every fetch that has no response yet.
  void respond_to_all(const std::string& body) {
    for (auto& cache : caches) {
      for (auto& command : cache.commands) {
        if (std::exchange(command.verb, "answered") == "fetch") {
          FakeCache::respond(command, "served", body);
        }
      }
    }
  }
  std::size_t abort_count() const { return caches[0].count("abort") + caches[1].count("abort"); }
  std::string object(unsigned number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
  }
};

// A listener to which connects hang until the test lets them complete.
class DelayedListener {
 public:
  DelayedListener() : fd_(loopback::bind_socket(address_)) {
    ::listen(fd_, 0);
    for (int i = 0; i < 4; ++i) {  // fills the listener's queue
      fillers_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)::connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&address_),
                      sizeof address_);
    }
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~DelayedListener() {
    for (const int fd : fillers_) ::close(fd);
    ::close(fd_);
  }
  DelayedListener(const DelayedListener&) = delete;
  DelayedListener& operator=(const DelayedListener&) = delete;

  std::string address() const { return net::to_string(address_); }

  // Both of the following functions let connects complete and read the available input.

  // Reports whether a connection has received the text.
  bool has_received(const std::string& text) {
    accept_connections();
    return std::any_of(connections_.begin(), connections_.end(), [&](const auto& connection) {
      return connection->received.find(text) != std::string::npos;
    });
  }
  // Reports whether a connection is open. The connections that only filled the queue are closed.
  bool has_open_connection() {
    accept_connections();
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& connection) { return !connection->is_closed; });
  }

 private:
  void accept_connections() {
    for (const int fd : std::exchange(fillers_, {})) ::close(fd);
    for (int fd; (fd = ::accept(fd_, nullptr, nullptr)) >= 0;) {
      connections_.push_back(std::make_unique<loopback::TestSocket>(fd));
    }
    for (auto& connection : connections_) connection->poll();
  }

  sockaddr_in address_{};
  int fd_;
  std::vector<int> fillers_;
  std::vector<std::unique_ptr<loopback::TestSocket>> connections_;
};

// The only cache in use is one to which connects hang.
class PendingConnectTest : public EventRacesTest {
 protected:
  void SetUp() override {
    EventRacesTest::SetUp();
    watch_ = accept_watch();
    auto member = config.known_events[0].members[0];
    member.address = listener.address();
    upstream_pool->update_endpoint(member);
    // s-b drains, so that all requests go to the cache to which connects hang.
    watch_->write(encode_event(2, "s-b", caches[1].address(), "terminating"));
    ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 2; }));
  }
  // Sends a request and waits until its connect hangs. The request is then open and its connection
  // is not established.
  void send_until_connect_hangs(loopback::TestSocket& client,
                                std::map<std::string, std::string> fields = {},
                                const std::string& class_name = "asset") {
    client.write(encode_request(1, class_name, std::move(fields)));
    ASSERT_TRUE(run_until([&] {
      return engine->open_request_count() == 1 && upstream_pool->connection_count() == 1;
    }));
  }
  bool let_connect_complete() {
    return run_until([&] { return listener.has_open_connection(); });
  }
  void expect_nothing_sent_after_connect() {
    ASSERT_TRUE(let_connect_complete());
    run_briefly();
    EXPECT_FALSE(listener.has_received("fetch"));
  }
  DelayedListener listener;
  std::unique_ptr<loopback::TestSocket> watch_;
};

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
  ASSERT_TRUE(run_until([&] { return engine->counters().forwarded == 2; }))
      << "the id can be used again";
}

// Guards against closing a slow connection while a large request still arrives on it. The
// connection of a client that stops sending is closed.
TEST_F(EventRacesTest, AcceptsLargeRequestWhenItArrivesSlowly) {
  auto slow_client = connect_client(client_front->address());
  auto stopping_client = connect_client(client_front->address());
  const std::string request =
      encode_request(1, "plan-accept", {{"unique", kIdempotencyKey}}, std::string(40'000, 'w'));
  stopping_client->write(request.substr(0, 20'000));
  // Sends five parts, which takes longer than the timeout of 2 s.
  for (std::size_t offset = 0; offset < request.size(); offset += 10'000) {
    slow_client->write(request.substr(offset, 10'000));
    run_for(700'000);
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  EXPECT_FALSE(slow_client->is_closed);
  EXPECT_TRUE(stopping_client->is_closed);
  EXPECT_EQ(fetch_command()->body.size(), 40'000u);
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
    clients.push_back(connect_client(client_front->address()));
    for (int i = 0; i < 30; ++i) {
      ++request_count;
      std::string request =
          encode_request(request_count, "plan-accept",
                         {{"unique", kIdempotencyKey}, {"item", object(request_count)}}, body);
      ASSERT_TRUE(write_all(*clients.back(), request));
    }
    ASSERT_TRUE(run_until([&] { return engine->counters().admitted == request_count; }));
  }
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
    client->write(encode_request(request_count, "plan-accept",
                                 {{"unique", kIdempotencyKey}, {"item", object(request_count)}}));
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
  EXPECT_FALSE(listener.has_received("dedupe=" + kIdempotencyKey) &&
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
