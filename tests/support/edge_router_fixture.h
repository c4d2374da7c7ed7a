// Test fixtures that run the parts of an edge router on loopback sockets, with two fake caches and
// an origin. Everything runs in the test's own thread.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "discovery/discovery_client.h"
#include "net/loop.h"
#include "rpc_front/rpc_front.h"
#include "signed_url/http_front.h"
#include "support/fake_cache.h"
#include "support/rpc_messages.h"
#include "support/test_socket.h"
#include "upstream/upstream_pool.h"

namespace loopback {

using namespace alderspur;

/// A router with two caches, one origin and both fronts. Time limits are many seconds, so that
/// results do not depend on the speed of the machine. The router runs only during run_until() and
/// the functions that call it.
class EdgeRouterTest : public ::testing::Test {
 protected:
  /// Changes a setting from its current value `from` to `to`. Call this before SetUp().
  void replace_setting(const std::string& name, const std::string& from, const std::string& to) {
    const auto current = '"' + name + "\":" + from;
    settings_json.replace(settings_json.find(current), current.size(), '"' + name + "\":" + to);
  }

  std::string settings_json =
      R"("settings":{"azs":["hub","edge"],"zone":1,"shapes":["small","origin"],"replicas-of-me":1,
      "ceilings":{"dial-timeout":5000000,"idle-close":30000000,"max-attempts":4,"may-cancel":true,
        "retry-after":true,"max-retry-after":500000,"streams-per-conn":32},
      "classes":[{"name":"asset","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"},
        {"name":"plan-accept","target":5000000,"give-up":30000000,"points":3,"repeat":"keyed",
         "dedup-scope":"all","dedup-window":20000000}],
      "domain":{"lifetime-by-class":[60000000,0],"stale-for":[0,0],"uncached":[false,true],"source-kind":1,
        "upper-kind":-1,"merges-fills":true,"instances-by-zone":[0,1],"purge-settles":6000000,
        "stream-kb-per-s":9000}})";

  void SetUp() override {
    const auto member = [](const std::string& id, const FakeCache& cache, const char* location,
                           const char* role) {
      return R"({"id":")" + id + R"(","host_port":")" + cache.address() + R"(","locality":")" +
             location + R"(","flavor":")" + role +
             R"(","cell":0,"phase":"in_service","size":4,"up_since_ms":0})";
    };
    config = config::read(
        R"({"name":"n","seed":"7","known":{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,
      "members":[)" +
        member("s-a", caches[0], "edge", "small") + "," +
        member("s-b", caches[1], "edge", "small") + "," + member("s-o", origin, "hub", "origin") +
        "]}}]}," + settings_json + "}");
    config.settings.health_checks_allowed = allow_health_checks;
    config.max_descriptors = 128;  // 64 clients
    config.discovery_address = net::to_string(discovery_address_);
    signed_url_settings.enabled = true;
    signed_url_settings.listen = "127.0.0.1:0";
    signed_url_settings.clock_skew_seconds = 60;  // large enough for a slow machine
    signed_url_settings.keys = {{"old", "an old secret of the tests", 0},
                                {"new", "a new secret of the tests", 0}};
    signed_url_settings.routes = {{"/asset/", 0, signed_url_time_limit}};
    engine = std::make_unique<core::Engine>(config.settings, config.seed, deadlines, net::unix_now);
    upstream_pool = std::make_unique<upstream::UpstreamPool>(loop, deadlines, *engine, config);
    engine->attach(*upstream_pool);
    endpoint_sink = std::make_unique<discovery::DirectEndpointSink>(*upstream_pool, *engine);
    discovery_client = std::make_unique<discovery::DiscoveryClient>(loop, deadlines, *engine,
                                                                    *endpoint_sink, config);
    engine->run();
    client_front = std::make_unique<rpc_front::RpcFront>(
        loop, deadlines, *engine, *net::parse_address("127.0.0.1:0"), config);
    http_front = std::make_unique<signed_url::HttpFront>(
        loop, deadlines, *engine, config, signed_url_settings,
        [this] { return net::unix_now() + clock_offset_seconds * 1'000'000; });
    loop.on_turn([this] {
      deadlines.run_due(engine->now());
      engine->run();
      client_front->end_turn();
      http_front->end_turn();
      upstream_pool->end_turn();
      discovery_client->end_turn();
      engine->run();
    });
  }
  /// Runs the router, the caches and the client sockets until `condition` returns true. Returns
  /// false if it does not within 20 s.
  bool run_until(const std::function<bool()>& condition) {
    for (const core::Time end = net::unix_now() + 20'000'000; net::unix_now() < end;) {
      ev_run(loop.raw(), EVRUN_NOWAIT);
      for (auto* cache : {&caches[0], &caches[1], &origin}) cache->poll();
      for (auto* socket : polled_sockets) socket->poll();
      if (condition()) return true;
      ::usleep(200);
    }
    return false;
  }
  /// Runs the router, the caches and the client sockets for `duration` microseconds.
  void run_for(core::Time duration) {
    const core::Time end = net::unix_now() + duration;
    run_until([&] { return net::unix_now() >= end; });
  }
  /// Writes all bytes, as fast as the kernel accepts them. Returns false if this takes 20 s or
  /// more.
  bool write_all(TestSocket& socket, std::string_view bytes) {
    return run_until([&] {
      bytes.remove_prefix(socket.write_some(bytes));
      return bytes.empty();
    });
  }
  /// Runs everything for 150 ms, in which an effect that must not occur would show.
  void run_briefly() { run_for(150'000); }

  /// Opens a connection whose input run_until() reads.
  std::unique_ptr<TestSocket> connect_client(const sockaddr_in& address) {
    auto socket = connect_to(address);
    polled_sockets.push_back(socket.get());
    return socket;
  }

  /// Returns the `number`th recorded fetch of both caches, counted from 1 and from the first cache,
  /// or null if there are fewer.
  CacheCommand* fetch_command(std::size_t number = 1) {
    std::size_t found = 0;
    for (auto& cache : caches) {
      for (auto& command : cache.commands) {
        if (command.verb == "fetch" && ++found == number) return &command;
      }
    }
    return nullptr;
  }
  /// Returns the cache that has received the command.
  FakeCache& cache_of(const CacheCommand& command) {
    for (const auto& connection : caches[0].connections) {
      if (connection.get() == command.connection) return caches[0];
    }
    return caches[1];
  }
  /// Returns the number of recorded fetches of both caches.
  std::size_t fetch_count() const { return caches[0].count("fetch") + caches[1].count("fetch"); }

  // Change these before SetUp().
  sockaddr_in discovery_address_{};
  bool allow_health_checks = false;
  std::int64_t signed_url_time_limit = 20'000'000;

  std::int64_t clock_offset_seconds = 0;  // added to the clock of the signed URL front
  std::array<FakeCache, 2> caches;
  FakeCache origin;
  config::Config config;
  signed_url::Settings signed_url_settings;
  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  std::unique_ptr<core::Engine> engine;
  std::unique_ptr<upstream::UpstreamPool> upstream_pool;
  std::unique_ptr<discovery::DirectEndpointSink> endpoint_sink;
  std::unique_ptr<discovery::DiscoveryClient> discovery_client;
  std::unique_ptr<rpc_front::RpcFront> client_front;
  std::unique_ptr<signed_url::HttpFront> http_front;
  std::vector<TestSocket*> polled_sockets;
};

/// An EdgeRouterTest whose router watches a discovery server that the test controls.
class DiscoveryTest : public EdgeRouterTest {
 protected:
  void SetUp() override {
    discovery_listener_ = bind_socket(discovery_address_);
    ::listen(discovery_listener_, 4);
    ::fcntl(discovery_listener_, F_SETFL, O_NONBLOCK);
    EdgeRouterTest::SetUp();
  }
  void TearDown() override { ::close(discovery_listener_); }

  /// Accepts the router's next connection to the discovery server.
  std::unique_ptr<TestSocket> accept_watch() {
    int fd = -1;
    EXPECT_TRUE(
        run_until([&] { return (fd = ::accept(discovery_listener_, nullptr, nullptr)) >= 0; }));
    auto socket = std::make_unique<TestSocket>(fd);
    polled_sockets.push_back(socket.get());
    return socket;
  }

  /// Returns an event that lists one server and its status. If `complete` is true, this server is
  /// the whole endpoint list.
  static std::string encode_event(int number, const std::string& id, const std::string& address,
                                  const std::string& phase, bool complete = false,
                                  const char* location = "edge", const char* role = "small") {
    return R"({"rev":)" + std::to_string(number) + R"(,"pool":{"complete":)" +
           (complete ? "true" : "false") + R"(,"members":[{"id":")" + id + R"(","host_port":")" +
           address + R"(","locality":")" + location + R"(","flavor":")" + role +
           R"(","cell":0,"phase":")" + phase + "\",\"size\":4,\"up_since_ms\":0}]}}\n";
  }

  int discovery_listener_ = -1;
};

}  // namespace loopback
