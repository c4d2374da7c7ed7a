// Tests of the watch on the discovery server, over loopback sockets.
#include "discovery/discovery_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "support/edge_router_fixture.h"

namespace {

using namespace alderspur;
using loopback::encode_request;
using loopback::FakeCache;

class DiscoveryClientTest : public loopback::DiscoveryTest {};

// Guards against many routers that repeatedly reconnect at the same moments after the server has
// closed all connections.
TEST(ReconnectDelayTest, SpreadsReconnectsWhenAHundredRoutersLoseTheServer) {
  std::vector<std::mt19937_64> routers;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) routers.emplace_back(seed);
  std::vector<core::Time> reconnect_at(100, 0);
  for (int round = 0; round < 5; ++round) {
    std::map<core::Time, int> count_by_slot;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      reconnect_at[i] += discovery::reconnect_delay(routers[i]);
      EXPECT_LE(reconnect_at[i], (round + 1) * 350'000);
      ++count_by_slot[reconnect_at[i] / 10'000];
    }
    for (const auto& [slot, count] : count_by_slot) {
      EXPECT_LE(count, 15) << "routers of 100 reconnect within the same 10 ms in round " << round;
    }
  }
  std::mt19937_64 first(7);
  std::mt19937_64 second(7);
  EXPECT_EQ(discovery::reconnect_delay(first), discovery::reconnect_delay(second));
}

TEST_F(DiscoveryClientTest, WatchesFromLastEventAndAppliesDrainAtOnceWhenReconnected) {
  auto watch = accept_watch();
  ASSERT_TRUE(run_until([&] { return watch->received == "watch 1\n"; }));
  const auto draining_event = [&](int number, const char* id, FakeCache& cache) {
    return R"({"rev":)" + std::to_string(number) +
           R"(,"pool":{"complete":false,"members":[{"id":")" + id + R"(","host_port":")" +
           cache.address() +
           "\",\"locality\":\"edge\",\"flavor\":\"small\",\"cell\":0,\"phase\":\"terminating\","
           "\"size\":4,"
           "\"up_since_ms\":0}]}}\n";
  };
  watch->write(draining_event(2, "s-a", caches[0]) + "2\nnot json\n");
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
  auto second_watch = accept_watch();
  ASSERT_TRUE(run_until([&] { return second_watch->received == "watch 2\n"; }));
}

// Guards against invalid events that change the endpoint list or flood the log: they are ignored,
// and each kind is logged once.
TEST_F(DiscoveryClientTest, KeepsEndpointsAndLogsOnceWhenEventsAreInvalid) {
  std::vector<std::string> lines;
  engine->invalid_input_log().set_sink(
      [&](const std::string& event, const std::string&) { lines.push_back(event); });
  auto watch = accept_watch();
  const auto member = [](const char* id, const std::string& address, const char* phase) {
    return R"({"id":")" + std::string(id) + R"(","host_port":")" + address +
           R"(","locality":"edge","flavor":"small","cell":0,"phase":")" + phase +
           R"(","size":4,"up_since_ms":0})";
  };
  const auto listing = [](int number, const std::string& members) {
    return R"({"rev":)" + std::to_string(number) + R"(,"pool":{"complete":false,"members":[)" +
           members + "]}}\n";
  };
  for (int i = 0; i < 500; ++i) watch->write(i % 2 ? "{\"rev\":\n" : "\x01 no json at all\n");
  watch->write("{\"rev\":2,\"pool\":{\"complete\":true,\"members\":\"none\"}}\n");
  watch->write(listing(2, member("s-a", "nowhere", "in_service") + ',' +
                              member("s-a", "nowhere", "in_service") + ',' +
                              member("s-x", "256.1.1.1:70000", "in_service")));
  watch->write(listing(3, member("s-y", caches[0].address(), "asleep")));
  watch->write(listing(
      3, member("s-b", caches[1].address(), "terminated")));  // a repeated event has no effect
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
  EXPECT_GT(caches[0].count("fetch"), 0u) << "an invalid address replaced the last valid one";
  EXPECT_GT(caches[1].count("fetch"), 0u);
  watch->write(listing(4, member("s-a", "nowhere", "in_service")));
  run_briefly();
  watch->write(listing(5, member("s-a", caches[0].address(), "in_service")));
  run_briefly();
  EXPECT_EQ(fetch_count(), 12u) << "a repeated address must not move any request";
  EXPECT_EQ(engine->counters().rejected + engine->counters().failed, 0u);
}

// Guards against two failures: a complete list of elements that are not servers emptied the
// endpoint list, and a purge that named neither an object nor a group purged group 0.
TEST_F(DiscoveryClientTest, ChangesNothingWhenPartOfAnEventIsMalformed) {
  auto watch = accept_watch();
  const auto malformed_parts = {R"("pool":{"complete":true,"members":[7,"s-a"]})",
                                R"("pool":{"complete":true,"members":[{}]})",
                                R"("pool":{"complete":true,"members":[{"id":7}]})",
                                R"("pool":[])",
                                R"("flush":{"ms":1764576000123})",
                                R"("flush":{"asset":7,"collection":17,"ms":1764576000123})",
                                R"("flush":{"asset":"no hex","ms":1764576000123})",
                                R"("flush":{"collection":17})",
                                R"("flush":17)"};
  for (const auto* part : malformed_parts) {
    watch->write("{\"rev\":2," + std::string(part) + "}\n");
  }
  ASSERT_TRUE(
      run_until([&] { return engine->counters().invalid_responses == malformed_parts.size(); }));
  EXPECT_EQ(engine->counters().purges, 0U);
  auto client = connect_client(client_front->address());
  client->write(encode_request(1, "asset", {}));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; })) << "the caches must still be listed";
  watch->write("{\"rev\":2,\"flush\":{\"collection\":17,\"ms\":1764576000123}}\n");
  EXPECT_TRUE(run_until([&] { return engine->counters().purges == 1; }))
      << "the number of a malformed event must not count as applied";
}

}  // namespace
