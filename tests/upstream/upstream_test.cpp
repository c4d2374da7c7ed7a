// Tests of the connections to caches: retries, timeouts and health checks.
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
using loopback::idempotency_key;

class UpstreamTest : public loopback::DiscoveryTest {};

TEST_F(UpstreamTest, SendsToNextCacheWhenConnectIsRefused) {
  auto client = connect_client(client_front->address());
  caches[0].stop();
  for (unsigned i = 1; i <= 4; ++i) {
    client->write(encode_request(
        i, "plan-accept",
        {{"item", "000000000000000" + std::to_string(i)}, {"unique", idempotency_key(i)}}));
    ASSERT_TRUE(run_until([&] { return caches[1].count("fetch") == i; }));
    FakeCache::respond(caches[1].commands.back(), "served", "ok");
    ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == i; }));
  }
  EXPECT_EQ(engine->counters().served, 4u);
}

// Guards against mistaking a late response to an aborted attempt for the response to the next
// attempt, which has the same id.
TEST_F(UpstreamTest, RetriesEachAttemptOnceWhenConnectionIsLost) {
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 3; ++i) client->write(encode_request(i, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 3; }));
  FakeCache& first = cache_of(*fetch_command());
  FakeCache& second = &first == &caches[0] ? caches[1] : caches[0];
  const auto before = second.count("fetch");
  first.stop();
  ASSERT_TRUE(run_until([&] {
    return second.count("fetch") == 3 || engine->counters().rejected + second.count("fetch") >= 3;
  }));
  for (const auto& command : second.commands) FakeCache::respond(command, "served", "again");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 3; }));
  EXPECT_GE(second.count("fetch"), before);
  run_briefly();
  EXPECT_EQ(decode_responses(client->received).size(), 3u);
}

// Guards against forwarding corrupted responses: lines without a length, without tag and time, or
// with a wrong length, and "not modified" for a copy whose tag the client never sent.
TEST_F(UpstreamTest, FailsAttemptAndClosesConnectionWhenResponseIsCorrupted) {
  auto client = connect_client(client_front->address());
  std::size_t earlier_fetches = 0;
  unsigned id = 0;
  for (const std::string corrupted :
       {"served - twelve\r\n", "served - 0\r\n", "served sum=t,t0=1764576000000\r\n",
        "still_good sum=t,t0=1 0\r\n", "served sum=t,t0=1 3000000000\r\n",
        "served sum=t,t0=1 3\r\nbytes\r\n", "good\r\n"}) {
    client->write(encode_request(++id, "asset", {}));
    ASSERT_TRUE(run_until([&] { return fetch_count() == earlier_fetches + 1; }));
    const auto last_command = [&] {
      return caches[0].commands.empty() ? caches[1].commands.back() : caches[0].commands.back();
    };
    const CacheCommand fetch = last_command();
    fetch.connection->write(fetch.id + ' ' + corrupted);
    ASSERT_TRUE(run_until([&] {
      fetch.connection->poll();
      return fetch.connection->is_closed;
    })) << corrupted;
    ASSERT_TRUE(run_until([&] {
      return fetch_count() == earlier_fetches + 2 ||
             decode_responses(client->received).size() == id;
    }));
    for (auto& cache : caches) {
      for (auto& command : cache.commands) {
        if (command.id == fetch.id && !command.connection->is_closed) {
          FakeCache::respond(command, "served", "good");
        }
      }
    }
    ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == id; }))
        << corrupted;
    EXPECT_NE(decode_responses(client->received).back().body, "bytes");
    for (auto& cache : caches) cache.commands.clear();
    earlier_fetches = 0;
  }
}

// Guards against mistaking a duplicate of a failed response for the response to the next attempt.
TEST_F(UpstreamTest, IgnoresDuplicateResponseWhenNextAttemptIsPending) {
  EndpointUpdate removal;
  removal.servers = {config.known_events[0].members[1].server};
  removal.servers[0].status = ServerStatus::gone;
  engine->update_endpoints(removal);
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  FakeCache::respond(*fetch_command(), "overload");
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  FakeCache::respond(*fetch_command(), "served", "duplicate");
  run_briefly();
  EXPECT_TRUE(decode_responses(client->received).empty());
  FakeCache::respond(*fetch_command(2), "served", "its own response");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  EXPECT_EQ(decode_responses(client->received)[0].body, "its own response");
}

class HealthCheckTest : public UpstreamTest {
 protected:
  HealthCheckTest() { allow_health_checks = true; }
  // Runs until `condition` is true; returns false if it is not within the time limit of
  // run_until(). Meanwhile the caches respond to health checks and liveness queries on all
  // connections except `silent`, which may be null.
  bool run_until_except(const loopback::TestSocket* silent,
                        const std::function<bool()>& condition) {
    return run_until([&] {
      for (auto* cache : {&caches[0], &caches[1], &origin}) {
        for (auto& command : cache->commands) {
          if ((command.verb == "alive" || command.verb == "stats") &&
              command.connection != silent) {
            FakeCache::respond(command, "green");
            command.verb = "answered";
          }
        }
      }
      return condition();
    });
  }
};

// Guards against using connections that stay open but stop responding, either in the middle of a
// response or before it.
TEST_F(HealthCheckTest, RetriesOnSameCacheWhenConnectionStopsResponding) {
  for (const bool is_partial : {true, false}) {
    for (auto& cache : caches) cache.commands.clear();
    auto client = connect_client(client_front->address());
    for (unsigned i = 1; i <= 2; ++i) client->write(encode_request(i, "asset", {{"ram", "90"}}));
    ASSERT_TRUE(run_until_except(nullptr, [&] { return fetch_count() == 2; }));
    const CacheCommand first = *fetch_command(1);
    const CacheCommand second = *fetch_command(2);
    ASSERT_EQ(first.connection, second.connection);
    if (is_partial) {
      first.connection->write(first.id + " served " + loopback::fresh_copy_fields("t") +
                              " 100\r\na part of it");
    }
    ASSERT_TRUE(run_until_except(first.connection, [&] { return fetch_count() == 4; }));
    for (std::size_t i = 3; i <= 4; ++i) {
      EXPECT_EQ(&cache_of(*fetch_command(i)), &cache_of(first));
      FakeCache::respond(*fetch_command(i), "served", "again");
    }
    ASSERT_TRUE(run_until_except(first.connection,
                                 [&] { return decode_responses(client->received).size() == 2; }));
    polled_sockets.clear();
  }
  EXPECT_EQ(engine->counters().silent_upstream_connections, 2u);
}

// Guards against treating a reset during a health check as a failure of the server.
TEST_F(HealthCheckTest, SendsHealthCheckAgainWhenConnectionIsReset) {
  bool was_sent_again = false;
  // A health check times out after 250 ms, which a slow machine may exceed: try several times.
  for (int i = 0; i < 20 && !was_sent_again; ++i) {
    const auto before = caches[0].count("stats");
    upstream_pool->send_health_check(config.known_events[0].members[0].server.id);
    ASSERT_TRUE(run_until([&] { return caches[0].count("stats") > before; }));
    caches[0].commands.back().connection->reset();
    run_briefly();
    was_sent_again = caches[0].count("stats") > before + 1;
  }
  EXPECT_TRUE(was_sent_again);
}

// Guards against treating an overloaded cache as dead, and against opening a connection for each
// health check.
TEST_F(HealthCheckTest, AcceptsLateHealthCheckReplyAndDialsOnceWhenCacheIsSlow) {
  const auto id = config.known_events[0].members[0].server.id;
  upstream_pool->send_health_check(id);
  ASSERT_TRUE(run_until([&] { return caches[0].count("stats") == 1; }));
  for (std::size_t i = 1; i <= 5; ++i) {
    const auto end = net::unix_now() + 260'000;  // after the timeout of the previous check
    run_until([&] { return net::unix_now() > end; });
    upstream_pool->send_health_check(id);
    ASSERT_TRUE(run_until([&] { return caches[0].count("stats") == i + 1; }));
  }
  EXPECT_EQ(caches[0].connections.size(), 2u);
  const auto late = engine->counters().late_responses;
  for (auto& command : caches[0].commands) FakeCache::respond(command, "overload");
  run_briefly();
  EXPECT_EQ(engine->counters().late_responses, late)
      << "a response to a health check was counted as late";
}

// Guards against a liveness query for every request that takes long while it is alone on its
// connection, which is the usual case when many routers share the load.
TEST_F(HealthCheckTest, SendsNoLivenessQueryWhenLongResponseIntervalsAreUsual) {
  std::uint64_t early_checks = 0;
  for (unsigned i = 1; i <= 6; ++i) {
    auto client = connect_client(client_front->address());
    client->write(encode_request(1, "asset", {{"ram", "90"}}));
    ASSERT_TRUE(run_until_except(nullptr, [&] { return fetch_count() == i; }));
    const auto end = net::unix_now() + 450'000;
    run_until_except(nullptr, [&] { return net::unix_now() > end; });
    FakeCache::respond(*fetch_command(i), "served", "slow");
    ASSERT_TRUE(
        run_until_except(nullptr, [&] { return !decode_responses(client->received).empty(); }));
    if (i == 2) early_checks = engine->counters().health_checks;
    polled_sockets.clear();
  }
  EXPECT_GT(early_checks, 0u);
  EXPECT_LE(engine->counters().health_checks, early_checks + 1)
      << "liveness queries were sent although the response intervals were as long as before";
}

// Guards against a liveness query while a large response is prepared, which a cache sends all at
// once after its transfer time.
TEST_F(HealthCheckTest, SendsNoLivenessQueryWhenLargeResponseIsNotOverdue) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {{"ram", "90000"}}));  // ten seconds at full rate
  ASSERT_TRUE(run_until_except(nullptr, [&] { return fetch_count() == 1; }));
  const auto end = net::unix_now() + 900'000;
  run_until_except(nullptr, [&] { return net::unix_now() > end; });
  EXPECT_EQ(engine->counters().health_checks, 0u);
}

// Guards against a single connection for all requests to a cache, all of which one reset would
// fail.
TEST_F(UpstreamTest, UsesSeveralConnectionsWhenCacheIsBusy) {
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 30; ++i) {
    client->write(encode_request(
        i, "asset", {{"ram", "9"}, {"txn", "00000000000000" + std::to_string(10 + i)}}));
    ASSERT_TRUE(run_until([&] { return fetch_count() == i; }));
  }
  std::map<loopback::TestSocket*, int> open;
  for (auto& cache : caches) {
    for (auto& command : cache.commands) ++open[command.connection];
  }
  EXPECT_LE(open.size(), 12u);
  for (const auto& [connection, count] : open) EXPECT_LE(count, 12);
  EXPECT_GE(open.size(), 4u);
}

// Guards against waiting for a connect that never completes. Nothing has run at the first cache, so
// the request is sent to the next one in time.
class ConnectTimeoutTest
    : public UpstreamTest,
      public ::testing::WithParamInterface<std::pair<core::Time, const char*>> {};

TEST_P(ConnectTimeoutTest, SendsToNextCacheWhenConnectHangs) {
  const auto [connect_timeout, limit] = GetParam();
  sockaddr_in address{};
  const int full_listener = loopback::bind_socket(address);
  ::listen(full_listener, 0);
  // Fill the accept queue of the listener, so that further connects hang.
  std::vector<int> queued_sockets;
  for (int i = 0; i < 4; ++i) {
    queued_sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    (void)::connect(queued_sockets.back(), reinterpret_cast<const sockaddr*>(&address),
                    sizeof address);
  }
  config.connect_timeout = connect_timeout;
  auto member = config.known_events[0].members[0];
  member.address = net::to_string(address);
  upstream_pool->update_endpoint(member);
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 6; ++i) {
    client->write(encode_request(i, "plan-accept",
                                 {{"item", "000000000000000" + std::to_string(i)},
                                  {"unique", idempotency_key(i)},
                                  {"limit", limit}}));
  }
  std::size_t responded = 0;
  ASSERT_TRUE(run_until([&] {
    for (; responded < caches[1].commands.size(); ++responded) {
      if (caches[1].commands[responded].verb == "fetch")
        FakeCache::respond(caches[1].commands[responded], "served", "moved");
    }
    return decode_responses(client->received).size() == 6;
  }));
  EXPECT_EQ(engine->counters().attempts_reset + engine->counters().attempts_timeout, 0u);
  EXPECT_GE(engine->counters().attempts_connect_failed, 1u);
  for (const int fd : queued_sockets) ::close(fd);
  ::close(full_listener);
}

// The connect ends at the connect timeout or, if that is longer, before half of the request's time
// limit has passed.
INSTANTIATE_TEST_SUITE_P(Limits, ConnectTimeoutTest,
                         ::testing::Values(std::pair(core::Time{300'000}, "20000"),
                                           std::pair(core::Time{60'000'000}, "4000")));

}  // namespace
