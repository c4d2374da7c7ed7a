// The program itself as a process: its start with bad input and its planned end.
#include "process.h"

#include <csignal>

#include "loopback.h"

namespace {

using namespace alderspur;

using loopback::Box;

using loopback::Program;

TEST(ProcessTest, ExitsWithOneLineWhenConfigurationIsInvalid) {
  for (const std::string bad : {"{", R"({"settings":{"classes":[]}})",
                                R"({"listen":"nowhere","settings":{"classes":[{}]}})"}) {
    Program p(bad);
    EXPECT_EQ(p.line().rfind("alderspur: ", 0), 0u);
    EXPECT_EQ(p.line(), "");
    EXPECT_EQ(p.exit_code(), 1);
  }
}

using loopback::config_with;
const std::string kRequest = loopback::request(1, "asset", {}),
                  kOther = loopback::request(2, "asset", {});
using loopback::until;

// Guards against a reload that ends the process, drops what it holds, or leaves it watching a dead
// board.
TEST(ProcessTest, WatchesNewDiscoveryServerAfterSighup) {
  Box box;
  sockaddr_in boards[2];
  int listeners[2];
  for (int i = 0; i < 2; ++i) ::listen(listeners[i] = loopback::bound(boards[i]), 4);
  Program p(config_with(box, net::to_string(boards[0])));
  loopback::Socket old(::accept(listeners[0], nullptr, nullptr));
  const auto client = loopback::dial(p.address());
  client->write(kRequest);
  ASSERT_TRUE(until([&] { return box.count("fetch") == 1; }, box, {}));
  // Event 2 arrives, event 3 breaks off half-way; then the old board says nothing and stays open.
  old.write(R"({"rev":2,"flush":{"collection":1,"ms":1}})"
            "\n"
            R"({"rev":3,"flu)");
  ::usleep(100'000);
  p.configure("{\"board\":");
  p.signal(SIGHUP);
  EXPECT_EQ(p.line().rfind("reload: ", 0), 0u);
  p.configure(config_with(box, net::to_string(boards[1])));
  p.signal(SIGHUP);
  loopback::Socket renewed(::accept(listeners[1], nullptr, nullptr));
  ASSERT_TRUE(until([&] { return renewed.in == "watch 2\n"; }, box, {&renewed}));
  ASSERT_TRUE(until([&] { return old.ended; }, box, {&old}));
  Box::answer(box.commands[0], "served", "bytes");
  ASSERT_TRUE(
      until([&] { return client->in.find("bytes") != std::string::npos; }, box, {client.get()}));
  EXPECT_EQ(box.connections.size(), 1u);
  p.signal(SIGTERM);
  EXPECT_EQ(p.exit_code(), 0);
  for (const int fd : listeners) ::close(fd);
}

// Guards against losing what is held, or what still comes, at a planned restart.
TEST(ProcessTest, FinishesRequestsInFlightAfterSigterm) {
  Box box;
  Program p(config_with(box));
  const auto at = p.address();
  const auto held = loopback::dial(at);
  held->write(kRequest);
  ASSERT_TRUE(until([&] { return box.count("fetch") == 1; }, box, {}));
  p.signal(SIGTERM);
  const auto later = loopback::dial(at);  // clients hear of it later
  later->write(kOther);
  ASSERT_TRUE(until([&] { return box.count("fetch") == 2; }, box, {}));
  ::usleep(900'000);  // held longer than it lingers
  for (const auto& c : box.commands) Box::answer(c, "served", "bytes");
  ASSERT_TRUE(until([&] { return held->ended && later->ended; }, box, {held.get(), later.get()}));
  EXPECT_NE(held->in.find("bytes"), std::string::npos);
  EXPECT_NE(later->in.find("bytes"), std::string::npos);
  EXPECT_EQ(p.exit_code(), 0);
}

}  // namespace
