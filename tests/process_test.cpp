// The program itself as a process: its start with bad input and its planned end.
#include <csignal>

#include "support/router_process.h"

namespace {

using namespace alderspur;

using loopback::FakeCache;

using loopback::RouterProcess;

TEST(ProcessTest, ExitsWithOneLineWhenConfigurationIsInvalid) {
  for (const std::string bad : {"{", R"({"settings":{"classes":[]}})",
                                R"({"listen":"nowhere","settings":{"classes":[{}]}})"}) {
    RouterProcess process(bad);
    EXPECT_EQ(process.read_log_line().rfind("alderspur: ", 0), 0u);
    EXPECT_EQ(process.read_log_line(), "");
    EXPECT_EQ(process.wait_for_exit(), 1);
  }
}

using loopback::config_with;
const std::string kRequest = loopback::encode_request(1, "asset", {}),
                  kOther = loopback::encode_request(2, "asset", {});
using loopback::poll_until;

// Guards against a reload that ends the process, drops what it holds, or leaves it watching a dead
// board.
TEST(ProcessTest, WatchesNewDiscoveryServerAfterSighup) {
  FakeCache cache;
  sockaddr_in discovery_addresses[2];
  int listeners[2];
  for (int i = 0; i < 2; ++i) {
    ::listen(listeners[i] = loopback::bind_socket(discovery_addresses[i]), 4);
  }
  RouterProcess process(config_with(cache, net::to_string(discovery_addresses[0])));
  loopback::TestSocket old(::accept(listeners[0], nullptr, nullptr));
  const auto client = loopback::connect_to(process.wait_for_address());
  client->write(kRequest);
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {}));
  // Event 2 arrives, event 3 breaks off half-way; then the old board says nothing and stays open.
  old.write(R"({"rev":2,"flush":{"collection":1,"ms":1}})"
            "\n"
            R"({"rev":3,"flu)");
  ::usleep(100'000);
  process.configure("{\"board\":");
  process.send_signal(SIGHUP);
  EXPECT_EQ(process.read_log_line().rfind("reload: ", 0), 0u);
  process.configure(config_with(cache, net::to_string(discovery_addresses[1])));
  process.send_signal(SIGHUP);
  loopback::TestSocket renewed(::accept(listeners[1], nullptr, nullptr));
  ASSERT_TRUE(poll_until([&] { return renewed.received == "watch 2\n"; }, cache, {&renewed}));
  ASSERT_TRUE(poll_until([&] { return old.is_closed; }, cache, {&old}));
  FakeCache::respond(cache.commands[0], "served", "bytes");
  ASSERT_TRUE(poll_until([&] { return client->received.find("bytes") != std::string::npos; }, cache,
                         {client.get()}));
  EXPECT_EQ(cache.connections.size(), 1u);
  process.send_signal(SIGTERM);
  EXPECT_EQ(process.wait_for_exit(), 0);
  for (const int fd : listeners) ::close(fd);
}

// Guards against losing what is held, or what still comes, at a planned restart.
TEST(ProcessTest, FinishesRequestsInFlightAfterSigterm) {
  FakeCache cache;
  RouterProcess process(config_with(cache));
  const auto at = process.wait_for_address();
  const auto held = loopback::connect_to(at);
  held->write(kRequest);
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {}));
  process.send_signal(SIGTERM);
  const auto later = loopback::connect_to(at);  // clients hear of it later
  later->write(kOther);
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 2; }, cache, {}));
  ::usleep(900'000);  // held longer than it lingers
  for (const auto& c : cache.commands) FakeCache::respond(c, "served", "bytes");
  ASSERT_TRUE(poll_until([&] { return held->is_closed && later->is_closed; }, cache,
                         {held.get(), later.get()}));
  EXPECT_NE(held->received.find("bytes"), std::string::npos);
  EXPECT_NE(later->received.find("bytes"), std::string::npos);
  EXPECT_EQ(process.wait_for_exit(), 0);
}

}  // namespace
