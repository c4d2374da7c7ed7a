// The platform's side over loopback, and its codecs and the core without sockets.
#include <msgpack.h>

#include <algorithm>
#include <sstream>

#include "rpc_front/rpc_codec.h"
#include "support/edge_router_fixture.h"
#include "upstream/cache_protocol.h"

namespace {

using namespace alderspur;

using loopback::CacheCommand;
using loopback::decode_responses;
using loopback::encode_request;
using loopback::FakeCache;

const std::string kKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
class Platform : public loopback::DiscoveryTest {};

TEST_F(Platform, ForwardsRequestUnchangedAndReturnsWholeBodyWhenBytesArriveOneByOne) {
  auto client = connect_client(client_front->address());
  const std::string all = encode_request(
      1, "plan-accept", {{"unique", kKey}, {"slice", "3"}, {"seen", "ab"}}, "pay\r\nme");
  for (const char byte : all) {  // one byte at a time
    client->write(std::string_view(&byte, 1));
    ev_run(loop.raw(), EVRUN_NOWAIT);
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  const CacheCommand got = *fetch_command();
  EXPECT_EQ(got.id, "9b1f03aa5c7e2d41");
  EXPECT_EQ(got.body, "pay\r\nme");
  const std::map<std::string, std::string> want{
      {"lane", "plan-accept"}, {"name", "7f3a9c21e0b4d655"},
      {"piece", "3"},          {"dedupe", kKey},
      {"next", "s-o"},         {"cached", "ab"}};
  for (const auto& [k, v] : want) EXPECT_EQ(got.fields.at(k), v) << k;
  EXPECT_LT(std::stoi(got.fields.at("ttl")), 20000);
  const std::string body(240'000, 'x');
  FakeCache::respond(got, "served", body);
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  EXPECT_EQ(decode_responses(client->received)[0].body, body);
  client->write(encode_request(2, "asset", {{"seen", "ab"}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  FakeCache::respond(got.id == fetch_command(2)->id ? *fetch_command(1) : *fetch_command(2),
                     "still_good", {}, loopback::fresh_copy_fields("ab"));
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 2; }));
  EXPECT_EQ(decode_responses(client->received)[1].fields["current"], "1");
}

TEST_F(Platform, SendsToNextCacheWhenConnectIsRefused) {
  auto client = connect_client(client_front->address());
  caches[0].stop();
  for (unsigned i = 1; i <= 4; ++i) {
    client->write(encode_request(
        i, "plan-accept", {{"item", "000000000000000" + std::to_string(i)}, {"unique", kKey}}));
    ASSERT_TRUE(run_until([&] { return caches[1].count("fetch") == i; }));
    FakeCache::respond(caches[1].commands.back(), "served", "ok");
    ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == i; }));
  }
  EXPECT_EQ(engine->counters().served, 4u);
}

TEST_F(Platform, AbortsAttemptAndSendsNoResponseWhenCallIsCancelled) {
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

// Guards against a late answer of the attempt given up passing for the next one's under the same
// id.
TEST_F(Platform, RetriesEachAttemptOnceWhenConnectionIsLost) {
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

// Guards against caches being sent what they can't read or use: they would close, on others'
// requests too.
TEST_F(Platform, ClosesOnlyItsConnectionWhenFrameIsUnreadableAndRejectsInvalidFields) {
  auto bad = connect_client(client_front->address());
  auto good = connect_client(client_front->address());
  bad->write("\xc1garbage");
  ASSERT_TRUE(run_until([&] { return bad->is_closed; }));
  good->write(encode_request(1, "no-such-class", {}) + encode_request(2, "asset", {}, "a body") +
              encode_request(3, "plan-accept", {}) +
              encode_request(4, "plan-accept", {{"unique", kKey}}, std::string(48'001, 'x')));
  unsigned id = 4;
  for (const auto& [field, values] : std::map<std::string, std::vector<std::string>>{
           {"item", {"", "not hex", "7f", "7F3A9C21E0B4D655"}},
           {"txn", {"", "a,b=c", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d4 "}},
           {"limit", {"", "0", "-5", "nan", "soon", "30002", "99999999999999999999999"}},
           {"slice", {"", "-1", "1e12", "4000000000"}},
           {"set", {"", "256", "x", "-1"}},
           {"ram", {"inf", "-1", "1e300"}},
           {"unique", {kKey}}}) {
    for (const auto& value : values) good->write(encode_request(++id, "asset", {{field, value}}));
  }
  ASSERT_TRUE(run_until([&] { return decode_responses(good->received).size() == id; }));
  for (const auto& a : decode_responses(good->received)) EXPECT_EQ(a.error, "Failed") << a.id;
  // Answered, so counted: what a client was told is in the figures, though nothing was sent for it.
  EXPECT_EQ(engine->counters().admitted, id);
  EXPECT_EQ(engine->counters().failed, id);
  EXPECT_EQ(engine->counters().forwarded, 0u);
}

TEST_F(Platform, RejectsSecondRequestWhenOpenIdNamesAnotherObject) {
  auto usual = connect_client(client_front->address());
  auto bad = connect_client(client_front->address());
  usual->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  bad->write(encode_request(1, "asset", {{"item", "0000000000000001"}}));
  ASSERT_TRUE(run_until([&] { return decode_responses(bad->received).size() == 1; }));
  EXPECT_EQ(decode_responses(bad->received)[0].error, "Failed");
  FakeCache::respond(*fetch_command(), "served", "whole");
  ASSERT_TRUE(run_until([&] { return decode_responses(usual->received).size() == 1; }));
  EXPECT_EQ(decode_responses(usual->received)[0].body, "whole");
  bad->write(
      encode_request(2, "asset", {{"item", "0000000000000001"}, {"txn", "9b1f03aa5c7e2d41"}}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; })) << "over, it is free again";
}

TEST_F(Platform, RejectsWithRetryAfterWhenClientHasTooManyOpenCalls) {
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 40; ++i) client->write(encode_request(i, "asset", {}));
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 8; }));
  for (const auto& a : decode_responses(client->received)) {
    EXPECT_EQ(a.error + a.fields.at("later"), "Busy500");
  }
}

// Guards against clients that hold a place and say nothing, or only half of it, or that asked once
// and stay.
TEST_F(Platform, ClosesSilentClientsAfterTimeoutAndIdleOnesWhenPlacesRunOut) {
  const auto started = net::unix_now();
  auto silent = connect_client(client_front->address());
  auto half = connect_client(client_front->address());
  auto idle = connect_client(client_front->address());
  half->write(encode_request(1, "asset", {}).substr(0, 30));
  idle->write(encode_request(1, "no-such-class", {}));
  ASSERT_TRUE(run_until([&] { return silent->is_closed && half->is_closed; }));
  EXPECT_GT(net::unix_now(), started + 1'500'000);
  EXPECT_FALSE(idle->is_closed);
  std::vector<std::unique_ptr<loopback::TestSocket>> many;
  many.reserve(70);
  for (int i = 0; i < 70; ++i) {
    many.push_back(connect_client(client_front->address()));  // of 64 slots
  }
  auto& last = *many.back();
  last.write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  FakeCache::respond(*fetch_command(), "served", "in time");
  ASSERT_TRUE(run_until([&] { return decode_responses(last.received).size() == 1; }));
  EXPECT_TRUE(idle->is_closed);
  EXPECT_GE(std::count_if(many.begin(), many.end(), [](auto& m) { return m->is_closed; }), 6);
}

// Guards against passing on what is spoilt: lines without a length, without tag and date, with
// lengths that don't fit, confirmations of a copy that the client never named.
TEST_F(Platform, FailsAttemptAndClosesConnectionWhenResponseIsCorrupted) {
  auto client = connect_client(client_front->address());
  std::size_t asked = 0;
  unsigned id = 0;
  for (const std::string spoilt :
       {"served - twelve\r\n", "served - 0\r\n", "served sum=t,t0=1764576000000\r\n",
        "still_good sum=t,t0=1 0\r\n", "served sum=t,t0=1 3000000000\r\n",
        "served sum=t,t0=1 3\r\nbytes\r\n", "good\r\n"}) {
    client->write(encode_request(++id, "asset", {}));
    ASSERT_TRUE(run_until([&] { return fetch_count() == asked + 1; }));
    const auto last = [&] {
      return caches[0].commands.empty() ? caches[1].commands.back() : caches[0].commands.back();
    };
    const CacheCommand got = last();
    got.connection->write(got.id + ' ' + spoilt);
    ASSERT_TRUE(run_until([&] { return got.connection->poll(), got.connection->is_closed; }))
        << spoilt;
    ASSERT_TRUE(run_until([&] {
      return fetch_count() == asked + 2 || decode_responses(client->received).size() == id;
    }));
    for (auto& cache : caches) {
      for (auto& command : cache.commands) {
        if (command.id == got.id && !command.connection->is_closed) {
          FakeCache::respond(command, "served", "good");
        }
      }
    }
    ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == id; }))
        << spoilt;
    EXPECT_NE(decode_responses(client->received).back().body, "bytes");
    for (auto& cache : caches) cache.commands.clear();
    asked = 0;
  }
}

// Guards against the second copy of a failed answer passing for the answer to the request's next
// attempt.
TEST_F(Platform, IgnoresSecondCopyOfResponseWhenNextAttemptIsPending) {
  alderspur::EndpointUpdate gone;
  gone.servers = {config.known_events[0].members[1].server};
  gone.servers[0].status = alderspur::ServerStatus::gone;
  engine->update_endpoints(gone);
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  FakeCache::respond(*fetch_command(), "overload");
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  FakeCache::respond(*fetch_command(), "served", "the second copy");
  run_briefly();
  EXPECT_TRUE(decode_responses(client->received).empty());
  FakeCache::respond(*fetch_command(2), "served", "its own");
  ASSERT_TRUE(run_until([&] { return decode_responses(client->received).size() == 1; }));
  EXPECT_EQ(decode_responses(client->received)[0].body, "its own");
}

class Watched : public Platform {
 protected:
  Watched() { allow_health_checks = true; }
  // Until it holds, the boxes answer probes on all connections but that one.
  bool until_but(const loopback::TestSocket* silent, const std::function<bool()>& holds) {
    return run_until([&] {
      for (auto* cache : {&caches[0], &caches[1], &origin}) {
        for (auto& command : cache->commands) {
          if ((command.verb == "alive" || command.verb == "stats") &&
              command.connection != silent) {
            FakeCache::respond(command, "green"), command.verb = "answered";
          }
        }
      }
      return holds();
    });
  }
};

// Guards against connections that stay open and are of no further use: after half an answer, or
// after none.
TEST_F(Watched, RetriesOnSameCacheWhenConnectionFallsSilent) {
  for (const bool half : {true, false}) {
    for (auto& cache : caches) cache.commands.clear();
    auto client = connect_client(client_front->address());
    for (unsigned i = 1; i <= 2; ++i) client->write(encode_request(i, "asset", {{"ram", "90"}}));
    ASSERT_TRUE(until_but(nullptr, [&] { return fetch_count() == 2; }));
    const CacheCommand first = *fetch_command(1);
    const CacheCommand second = *fetch_command(2);
    ASSERT_EQ(first.connection, second.connection);
    if (half) {
      first.connection->write(first.id + " served " + loopback::fresh_copy_fields("t") +
                              " 100\r\nhalf of it");
    }
    ASSERT_TRUE(until_but(first.connection, [&] { return fetch_count() == 4; }));
    for (std::size_t i = 3; i <= 4; ++i) {
      EXPECT_EQ(&cache_of(*fetch_command(i)), &cache_of(first));
      FakeCache::respond(*fetch_command(i), "served", "again");
    }
    ASSERT_TRUE(until_but(first.connection,
                          [&] { return decode_responses(client->received).size() == 2; }));
    polled_sockets.clear();
  }
  EXPECT_EQ(engine->counters().silent_upstream_connections, 2u);
}

// Guards against a reset under a probe passing for a sick machine.
TEST_F(Watched, SendsHealthCheckAgainWhenConnectionIsReset) {
  bool again = false;
  for (int i = 0; i < 20 && !again;
       ++i) {  // a probe has a quarter of a second, which a slow machine may miss
    const auto before = caches[0].count("stats");
    upstream_pool->send_health_check(config.known_events[0].members[0].server.id);
    ASSERT_TRUE(run_until([&] { return caches[0].count("stats") > before; }));
    caches[0].commands.back().connection->reset();
    run_briefly();
    again = caches[0].count("stats") > before + 1;
  }
  EXPECT_TRUE(again);
}

// Guards against a full box passing for a dead one, and against a dial for each probe of it.
TEST_F(Watched, AcceptsLateHealthCheckReplyAndDialsOnceWhenCacheIsSlow) {
  const auto id = config.known_events[0].members[0].server.id;
  upstream_pool->send_health_check(id);
  ASSERT_TRUE(run_until([&] { return caches[0].count("stats") == 1; }));
  for (std::size_t i = 1; i <= 5; ++i) {
    const auto end = net::unix_now() + 260'000;  // past the time of the probe before
    run_until([&] { return net::unix_now() > end; });
    upstream_pool->send_health_check(id);
    ASSERT_TRUE(run_until([&] { return caches[0].count("stats") == i + 1; }));
  }
  EXPECT_EQ(caches[0].connections.size(), 2u);
  const auto late = engine->counters().late_responses;
  for (auto& command : caches[0].commands) FakeCache::respond(command, "overload");
  run_briefly();
  EXPECT_EQ(engine->counters().late_responses, late) << "each word was waited for";
}

// Guards against a probe on every connection whose one request takes long, as most do where many
// routers share the work.
TEST_F(Watched, SendsNoLivenessQueryWhenSilenceIsUsual) {
  std::uint64_t early = 0;
  for (unsigned i = 1; i <= 6; ++i) {
    auto client = connect_client(client_front->address());
    client->write(encode_request(1, "asset", {{"ram", "90"}}));
    ASSERT_TRUE(until_but(nullptr, [&] { return fetch_count() == i; }));
    const auto end = net::unix_now() + 450'000;
    until_but(nullptr, [&] { return net::unix_now() > end; });
    FakeCache::respond(*fetch_command(i), "served", "slow");
    ASSERT_TRUE(until_but(nullptr, [&] { return !decode_responses(client->received).empty(); }));
    if (i == 2) early = engine->counters().health_checks;
    polled_sockets.clear();
  }
  EXPECT_GT(early, 0u);
  EXPECT_LE(engine->counters().health_checks, early + 1)
      << "the other four waited as the first did";
}

// Guards against the same for a large answer, which a box gives in one piece after its own sending
// time.
TEST_F(Watched, SendsNoLivenessQueryWhenLargeResponseIsDue) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {{"ram", "90000"}}));  // ten seconds at the top pace
  ASSERT_TRUE(until_but(nullptr, [&] { return fetch_count() == 1; }));
  const auto end = net::unix_now() + 900'000;
  until_but(nullptr, [&] { return net::unix_now() > end; });
  EXPECT_EQ(engine->counters().health_checks, 0u);
}

// Guards against one reset taking all that is open at a box along.
TEST_F(Platform, UsesSeveralConnectionsWhenCacheIsBusy) {
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
  for (const auto& [from, n] : open) EXPECT_LE(n, 12);
  EXPECT_GE(open.size(), 4u);
}

TEST_F(Platform, RespondsWhenClientHasHalfClosed) {
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  client->half_close();
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  FakeCache::respond(*fetch_command(), "served", "still here");
  ASSERT_TRUE(run_until([&] { return client->is_closed; }));
  ASSERT_EQ(decode_responses(client->received).size(), 1u);
  EXPECT_EQ(decode_responses(client->received)[0].body, "still here");
}

// Guards against a fleet that dials its board in step, again and again, after it has ended all
// connections.
TEST(DiscoveryClientTest, SpreadsReconnectsWhenAHundredRoutersLoseTheServer) {
  std::vector<std::mt19937_64> routers;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) routers.emplace_back(seed);
  std::vector<core::Time> at(100, 0);
  for (int round = 0; round < 5; ++round) {
    std::map<core::Time, int> in_10_ms;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      at[i] += alderspur::discovery::reconnect_delay(routers[i]);
      EXPECT_LE(at[i], (round + 1) * 350'000);
      ++in_10_ms[at[i] / 10'000];
    }
    for (const auto& [slot, n] : in_10_ms) {
      EXPECT_LE(n, 15) << "of 100 in one 10 ms, round " << round;
    }
  }
  std::mt19937_64 once(7);
  std::mt19937_64 again(7);
  EXPECT_EQ(alderspur::discovery::reconnect_delay(once),
            alderspur::discovery::reconnect_delay(again));
}

TEST_F(Platform, WatchesFromLastEventAndAppliesDrainAtOnceWhenReconnected) {
  auto watch = accept_watch();
  ASSERT_TRUE(run_until([&] { return watch->received == "watch 1\n"; }));
  const auto gone = [&](int rev, const char* id, FakeCache& b) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"pool":{"complete":false,"members":[{"id":")" +
           id + R"(","host_port":")" + b.address() +
           "\",\"locality\":\"edge\",\"flavor\":\"small\",\"cell\":0,\"phase\":\"terminating\","
           "\"size\":4,"
           "\"up_since_ms\":0}]}}\n";
  };
  watch->write(gone(2, "s-a", caches[0]) + "2\nnot json\n");
  run_briefly();
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 8; ++i) {
    client->write(encode_request(i, "asset", {{"item", "000000000000000" + std::to_string(i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 8; }));
  EXPECT_EQ(caches[0].count("fetch"), 0u);
  watch->close();
  polled_sockets.clear();
  polled_sockets.push_back(client.get());
  auto again = accept_watch();
  ASSERT_TRUE(run_until([&] { return again->received == "watch 2\n"; }));
}

// Guards against a crowd of useless requests, or for the status only, each on a connection of its
// own that stays: those that can be used must be taken up at once. Guards against a spoilt feed:
// what cannot be read or used costs one line a kind and nothing else.
TEST_F(Platform, KeepsEndpointsAndLogsOnceWhenEventsAreInvalid) {
  std::vector<std::string> lines;
  engine->invalid_input_log().set_sink(
      [&](const std::string& event, const std::string&) { lines.push_back(event); });
  auto watch = accept_watch();
  const auto member = [](const char* id, const std::string& address, const char* phase) {
    return R"({"id":")" + std::string(id) + R"(","host_port":")" + address +
           R"(","locality":"edge","flavor":"small","cell":0,"phase":")" + phase +
           R"(","size":4,"up_since_ms":0})";
  };
  const auto listing = [](int rev, const std::string& members) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"pool":{"complete":false,"members":[)" +
           members + "]}}\n";
  };
  for (int i = 0; i < 500; ++i) watch->write(i % 2 ? "{\"rev\":\n" : "\x01 no json at all\n");
  watch->write("{\"rev\":2,\"pool\":{\"complete\":true,\"members\":\"none\"}}\n");
  watch->write(listing(2, member("s-a", "nowhere", "in_service") + ',' +
                              member("s-a", "nowhere", "in_service") + ',' +
                              member("s-x", "256.1.1.1:70000", "in_service")));
  watch->write(listing(3, member("s-y", caches[0].address(), "asleep")));
  watch->write(
      listing(3, member("s-b", caches[1].address(), "terminated")));  // a repeat tells nothing new
  run_briefly();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "invalid_watch_event"), 1);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "invalid_address"), 1);
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 12; ++i) {
    client->write(encode_request(i, "asset",
                                 {{"txn", "00000000000000" + std::to_string(10 + i)},
                                  {"item", "00000000000000" + std::to_string(10 + i)}}));
  }
  ASSERT_TRUE(run_until([&] { return fetch_count() == 12; }));
  EXPECT_GT(caches[0].count("fetch"), 0u) << "the address that was good stays";
  EXPECT_GT(caches[1].count("fetch"), 0u);
  watch->write(listing(4, member("s-a", "nowhere", "in_service")));
  run_briefly();
  watch->write(listing(5, member("s-a", caches[0].address(), "in_service")));
  run_briefly();
  EXPECT_EQ(fetch_count(), 12u) << "the same address once more moves nobody";
  EXPECT_EQ(engine->counters().rejected + engine->counters().failed, 0u);
}

TEST(RateLimitedLogTest, LogsOneLinePerKindWithCountWhenReportsRepeat) {
  core::RateLimitedLog complaints;
  std::vector<std::string> lines;
  complaints.report(core::InvalidInput::response, 1, "nobody listens yet");
  complaints.set_sink([&](const std::string& event, const std::string& text) {
    lines.push_back(event + ' ' + text);
  });
  const core::Time second = 1'000'000;
  for (core::Time i = 0; i < 1000; ++i) {
    complaints.report(core::InvalidInput::watch_event, second + i * 1000,
                      "\x1b[2J" + std::string(500, 'x'));
  }
  complaints.report(core::InvalidInput::frame, second);
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_EQ(lines[0].find('\x1b'), std::string::npos);
  EXPECT_LT(lines[0].size(), 200u);
  complaints.report(core::InvalidInput::watch_event, 12 * second);
  ASSERT_EQ(lines.size(), 3u);
  EXPECT_NE(lines[2].find("(999 more since the last line)"), std::string::npos) << lines[2];
}

TEST_F(Platform, ClosesAnsweredClientsAtOnceWhenPlacesRunOut) {
  std::vector<std::unique_ptr<loopback::TestSocket>> bad;
  auto usual = connect_client(client_front->address());
  usual->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  polled_sockets.assign(1, usual.get());
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
  EXPECT_FALSE(usual->is_closed);
}

// Guards against a listener that spins, or forgets its clients, once all places are taken by open
// requests.
TEST_F(Platform, DefersAcceptsUntilClientsLeaveWhenAllPlacesAreBusy) {
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
  EXPECT_LT(engine->counters().deferred_accepts, 40u) << "it rests between tries";
  polled_sockets.assign(1, &last);
  for (int i = 0; i < 20; ++i) clients[static_cast<std::size_t>(i)]->reset();
  ASSERT_TRUE(run_until([&] { return fetch_count() == 65; }));
}

// Guards against one slow reader holding up the others or losing bytes of its own.
TEST_F(Platform, DeliversEverythingWithoutDelayingOthersWhenReaderIsSlow) {
  auto slow = connect_client(client_front->address());
  auto quick = connect_client(client_front->address());
  polled_sockets.assign(1, quick.get());
  const std::string body(240'000, 'y');
  for (unsigned i = 1; i <= 24; ++i) slow->write(encode_request(i, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 24; }));
  for (std::size_t i = 1; i <= 24; ++i) {
    const CacheCommand c = *fetch_command(i);
    const std::string head = c.id + " served " + loopback::fresh_copy_fields("t") + " 240000\r\n";
    // The stand-in box waits for room; the router reads it meanwhile.
    std::string all = head + body + "\r\n";
    ASSERT_TRUE(run_until([&] {
      all.erase(0, c.connection->write_some(all));
      return all.empty();
    }));
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
  for (const auto& a : decode_responses(slow->received)) EXPECT_EQ(a.body, body);
}

// Guards against a connect that never comes up: nothing ran, so the next box is asked in time.
class HungConnect : public Platform,
                    public ::testing::WithParamInterface<std::pair<core::Time, const char*>> {};
TEST_P(HungConnect, SendsToNextCacheWhenConnectHangs) {
  const auto [dial_timeout, limit] = GetParam();
  sockaddr_in at{};
  const int full = loopback::bind_socket(at);
  ::listen(full, 0);
  std::vector<int> fillers;
  for (int i = 0; i < 4; ++i) {  // its queue is full: further connects hang
    fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    (void)::connect(fillers.back(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  config.connect_timeout = dial_timeout;
  auto member = config.known_events[0].members[0];
  member.address = net::to_string(at);
  upstream_pool->update_endpoint(member);
  auto client = connect_client(client_front->address());
  for (unsigned i = 1; i <= 6; ++i) {
    client->write(encode_request(
        i, "plan-accept",
        {{"item", "000000000000000" + std::to_string(i)}, {"unique", kKey}, {"limit", limit}}));
  }
  std::size_t answered = 0;
  ASSERT_TRUE(run_until([&] {
    for (; answered < caches[1].commands.size(); ++answered) {
      if (caches[1].commands[answered].verb == "fetch")
        FakeCache::respond(caches[1].commands[answered], "served", "moved");
    }
    return decode_responses(client->received).size() == 6;
  }));
  EXPECT_EQ(engine->counters().attempts_reset + engine->counters().attempts_timeout, 0u);
  EXPECT_GE(engine->counters().attempts_connect_failed, 1u);
  for (const int fd : fillers) ::close(fd);
  ::close(full);
}

// By its own time limit, and, where that is too long, before half of the request's time is over.
INSTANTIATE_TEST_SUITE_P(Limits, HungConnect,
                         ::testing::Values(std::pair(core::Time{300'000}, "20000"),
                                           std::pair(core::Time{60'000'000}, "4000")));

// The core alone: a backend and a front that only write down what they are told.
struct Recorder : core::UpstreamClient, core::Front {
  void send(core::AttemptId a, alderspur::ServerId) override { sent.push_back(a); }
  void abort(core::AttemptId a) override { aborted.push_back(a); }
  void send_health_check(alderspur::ServerId) override {}
  void respond(core::RequestHandle, const core::Response& a) override {
    answers.push_back(a.status);
  }
  std::vector<core::AttemptId> sent, aborted;
  std::vector<core::FinalStatus> answers;
};
class EngineTest : public ::testing::Test {
 protected:
  EngineTest() {
    alderspur::ClassSettings c;
    c.latency_objective = 250'000;
    settings.classes = {c};
    settings.max_attempts = 3;
    settings.can_cancel_attempts = true;
    settings.has_fills = settings.can_join_fills = true;
    engine.emplace(settings, 1, deadlines, [this] { return time; });
    engine->attach(recorder);
    alderspur::EndpointUpdate fleet;
    fleet.is_complete = true;
    fleet.servers = {
        {{1}, alderspur::Role::cache, {0}, {0}, alderspur::ServerStatus::ready, 1, 0},
        {{9}, alderspur::Role::origin, {0}, {0}, alderspur::ServerStatus::ready, 1, 0}};
    engine->update_endpoints(fleet);
    engine->run();
  }
  core::RequestHandle take() {
    core::RequestView d;
    d.id = "a";
    d.object = 5;
    d.group = 3;
    d.time_limit = 2'000'000;
    return engine->admit(recorder, d);
  }
  core::Time time = 1'000'000'000;
  alderspur::Settings settings;
  core::Deadlines deadlines;
  Recorder recorder;
  std::optional<core::Engine> engine;
};

TEST_F(EngineTest, SendsNothingWhenClientLeavesInTheSameTurn) {
  const auto t = take();
  engine->cancel_request(t);
  engine->run();
  EXPECT_TRUE(recorder.answers.empty());
  EXPECT_TRUE(recorder.sent.empty()) << "nothing leaves for a request that is over";
  EXPECT_EQ(engine->open_request_count(), 0u);
}

TEST_F(EngineTest, RespondsOnceWhenResponseAndDeadlineShareATurn) {
  take();
  engine->run();
  ASSERT_EQ(recorder.sent.size(), 1u);
  engine->mark_written(recorder.sent[0]);
  time += 3'000'000;
  engine->on_upstream_response(recorder.sent[0],
                               {alderspur::AttemptResult::ok, false, "x", {}, 0, {}});
  deadlines.run_due(time);
  engine->run();
  EXPECT_EQ(recorder.answers.size(), 1u);
  engine->on_upstream_response(recorder.sent[0],
                               {alderspur::AttemptResult::ok, false, "x", {}, 0, {}});
  engine->run();
  EXPECT_EQ(recorder.answers.size(), 1u);
}

// Found on days with 300 routers: the next attempt reached a cache, or the same one by another
// connection, before the abort of the one before had arrived.
TEST_F(EngineTest, DelaysNextAttemptWhenAbortMayStillBeOnItsWay) {
  for (const auto result : {alderspur::AttemptResult::cancelled, alderspur::AttemptResult::reset}) {
    recorder.sent.clear();
    const auto ticket = take();
    engine->run();
    ASSERT_EQ(recorder.sent.size(), 1u);
    engine->mark_written(recorder.sent[0]);
    time += 540'000;
    engine->on_upstream_response(recorder.sent[0], {result, false, {}, {}, 0, {}});
    engine->run();
    time += 49'000;
    deadlines.run_due(time);
    engine->run();
    EXPECT_EQ(recorder.sent.size(), 1u) << "the abort may still be on its way";
    time += 1'000;
    deadlines.run_due(time);
    engine->run();
    ASSERT_EQ(recorder.sent.size(), 2u);
    engine->on_upstream_response(recorder.sent[1],
                                 {alderspur::AttemptResult::connect_failed, false, {}, {}, 0, {}});
    engine->run();
    EXPECT_EQ(recorder.sent.size(), 3u) << "what never left holds nobody";
    engine->mark_written(recorder.sent[2]);
    engine->cancel_request(ticket);
    engine->run();
    engine->on_upstream_response(recorder.sent[2], {result, false, {}, {}, 0, {}});
    time += 50'000;
    deadlines.run_due(time);
    engine->run();
    EXPECT_EQ(engine->open_request_count(), 0u);
  }
}

// A client leaves in the turn in which its attempt fails, or in the 50 ms before the next one may
// leave.
TEST_F(EngineTest, StartsNoFurtherAttemptWhenClientHasLeft) {
  for (const bool ended_its_side : {false, true}) {
    for (const bool in_the_turn : {true, false}) {
      recorder.sent.clear();
      const auto ticket = take();
      engine->run();
      ASSERT_EQ(recorder.sent.size(), 1u);
      engine->mark_written(recorder.sent[0]);
      const auto result =
          in_the_turn ? alderspur::AttemptResult::overloaded : alderspur::AttemptResult::reset;
      engine->on_upstream_response(recorder.sent[0], {result, false, {}, {}, 0, {}});
      if (ended_its_side) {
        engine->stop_retrying(ticket), time += in_the_turn ? 50'000 : 0;
      } else {
        engine->cancel_request(ticket);
      }
      engine->run();
      time += 50'000;
      deadlines.run_due(time);
      engine->run();
      EXPECT_EQ(recorder.sent.size(), 1u) << ended_its_side << in_the_turn;
      EXPECT_EQ(engine->open_request_count(), 0u);
      EXPECT_FALSE(engine->is_open("a"));
    }
  }
  EXPECT_EQ(recorder.answers.size(), 2u) << "who may still be there is answered";
}

TEST_F(EngineTest, TightensMaxAgeWhenPurgeComesBeforeWriting) {
  take();
  engine->run();
  ASSERT_TRUE(engine->upstream_request(recorder.sent[0])->fill->may_join);
  engine->purge({{}, 3, time - 50'000});
  engine->run();
  const auto& fill = *engine->upstream_request(recorder.sent[0])->fill;
  EXPECT_EQ(fill.max_age, 48'000);
  EXPECT_FALSE(fill.may_join || fill.refresh_in_background);
  engine->mark_written(recorder.sent[0]);
  engine->on_upstream_response(recorder.sent[0],
                               {alderspur::AttemptResult::ok, false, "x", {}, time - 500'000, {}});
  engine->run();
  EXPECT_EQ(engine->counters().stale_responses, 1u)
      << "a copy older than asked for is not passed on";
}

TEST(CacheProtocolTest, ParsesResponsesWhereverTheBytesAreCut) {
  const std::string all =
      "a served sum=f,t0=17 3\r\nxyz\r\nb not_here - 0\r\n\r\np1 green rep=inflight:7;x1:0.5 "
      "0\r\n\r\n";
  const auto letter = [](upstream::ResponseStatus status) {
    if (status == upstream::ResponseStatus::served) return 's';
    if (status == upstream::ResponseStatus::miss) return 'n';
    return status == upstream::ResponseStatus::healthy ? 'g' : '?';
  };
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    std::string buffer;
    std::vector<std::string> got;
    for (const auto& piece : {all.substr(0, cut), all.substr(cut)}) {
      buffer += piece;
      std::string_view bytes = buffer;
      upstream::CacheResponse a;
      while (upstream::next_response(bytes, a) == core::ParseStatus::complete) {
        got.push_back(std::string(a.id) + letter(a.status) + std::string(a.body));
      }
      buffer = std::string(bytes);
    }
    EXPECT_EQ(got, (std::vector<std::string>{"asxyz", "bn", "p1g"})) << cut;
  }
  EXPECT_EQ(upstream::parse_load_report("inflight:7;x1:0.5").in_flight, 7);
  std::string_view bad = "a served - 240001\r\n";
  upstream::CacheResponse a;
  EXPECT_EQ(upstream::next_response(bad, a), core::ParseStatus::invalid);
}

TEST(ConfigTest, ThrowsConfigErrorWhenSettingsAreInvalid) {
  EXPECT_THROW(config::read("{"), config::Error);
  EXPECT_THROW(config::read(R"({"settings":{}})"), config::Error);
  EXPECT_NO_THROW(config::read(R"({"settings":{"classes":[{"name":"asset"}]}})"));
}

}  // namespace
