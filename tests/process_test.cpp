// Tests the program as a process: a start with an invalid configuration, a reload and a shutdown.
#include <csignal>

#include "support/router_process.h"

namespace {

using namespace alderspur;

using loopback::config_with;
using loopback::FakeCache;
using loopback::poll_until;
using loopback::RouterProcess;

TEST(ProcessTest, ExitsWithOneLineWhenConfigurationIsInvalid) {
  for (const std::string invalid_config : {"{", R"({"settings":{"classes":[]}})",
                                           R"({"listen":"nowhere","settings":{"classes":[{}]}})"}) {
    RouterProcess process(invalid_config);
    EXPECT_EQ(process.read_log_line().rfind("alderspur: ", 0), 0u);
    EXPECT_EQ(process.read_log_line(), "");
    EXPECT_EQ(process.wait_for_exit(), 1);
  }
}

const std::string kRequest = loopback::encode_request(1, "asset", {});
const std::string kOtherRequest = loopback::encode_request(2, "asset", {});

// Guards against a reload that terminates the process, drops requests in flight, or keeps watching
// the discovery server of the previous configuration.
TEST(ProcessTest, WatchesNewDiscoveryServerAfterSighup) {
  FakeCache cache;
  sockaddr_in discovery_addresses[2];
  int listeners[2];
  for (int i = 0; i < 2; ++i) {
    listeners[i] = loopback::bind_socket(discovery_addresses[i]);
    ::listen(listeners[i], 4);
  }
  RouterProcess process(config_with(cache, net::to_string(discovery_addresses[0])));
  loopback::TestSocket old_watch(::accept(listeners[0], nullptr, nullptr));
  const auto client = loopback::connect_to(process.wait_for_address());
  client->write(kRequest);
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {}));
  // Event 2 arrives completely and event 3 partially. Then the old server sends nothing more and
  // keeps the connection open.
  old_watch.write(R"({"rev":2,"flush":{"collection":1,"ms":1}})"
                  "\n"
                  R"({"rev":3,"flu)");
  ::usleep(100'000);
  process.configure("{\"board\":");
  process.send_signal(SIGHUP);
  EXPECT_EQ(process.read_log_line().rfind("reload: ", 0), 0u);
  process.configure(config_with(cache, net::to_string(discovery_addresses[1])));
  process.send_signal(SIGHUP);
  loopback::TestSocket new_watch(::accept(listeners[1], nullptr, nullptr));
  ASSERT_TRUE(poll_until([&] { return new_watch.received == "watch 2\n"; }, cache, {&new_watch}));
  ASSERT_TRUE(poll_until([&] { return old_watch.is_closed; }, cache, {&old_watch}));
  FakeCache::respond(cache.commands[0], "served", "bytes");
  ASSERT_TRUE(poll_until([&] { return client->received.find("bytes") != std::string::npos; }, cache,
                         {client.get()}));
  EXPECT_EQ(cache.connections.size(), 1u);
  process.send_signal(SIGTERM);
  EXPECT_EQ(process.wait_for_exit(), 0);
  for (const int fd : listeners) ::close(fd);
}

// Guards against losing requests that are in flight, or that still arrive, during a planned
// restart.
TEST(ProcessTest, FinishesRequestsInFlightAfterSigterm) {
  FakeCache cache;
  RouterProcess process(config_with(cache));
  const auto address = process.wait_for_address();
  const auto in_flight = loopback::connect_to(address);
  in_flight->write(kRequest);
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {}));
  process.send_signal(SIGTERM);
  const auto late_client =
      loopback::connect_to(address);  // clients have not been notified of the shutdown yet
  late_client->write(kOtherRequest);
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 2; }, cache, {}));
  ::usleep(900'000);  // longer than the time for which new requests are still accepted
  for (const auto& command : cache.commands) FakeCache::respond(command, "served", "bytes");
  ASSERT_TRUE(poll_until([&] { return in_flight->is_closed && late_client->is_closed; }, cache,
                         {in_flight.get(), late_client.get()}));
  EXPECT_NE(in_flight->received.find("bytes"), std::string::npos);
  EXPECT_NE(late_client->received.find("bytes"), std::string::npos);
  EXPECT_EQ(process.wait_for_exit(), 0);
}

}  // namespace
