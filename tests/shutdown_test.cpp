// Where the end of the process crosses something else, and its start a signal. The program as a
// process.
#include <csignal>

#include "support/router_process.h"

namespace {

using namespace alderspur;
using loopback::config_with;
using loopback::decode_responses;
using loopback::encode_request;
using loopback::FakeCache;
using loopback::poll_until;
using loopback::RouterProcess;

std::string request_for_new_object(unsigned id) {
  char object[17];
  std::snprintf(object, sizeof object, "%016x", id);
  return encode_request(id, "asset", {{"item", object}});
}

class ShutdownTest : public ::testing::Test {
 protected:
  void start(const std::string& config) {
    program = std::make_unique<RouterProcess>(config);
    at = program->wait_for_address();
  }
  std::unique_ptr<loopback::TestSocket> client() { return loopback::connect_to(at); }
  bool run_until(const std::function<bool()>& holds,
                 std::initializer_list<loopback::TestSocket*> watched) {
    return poll_until(holds, cache, watched);
  }
  FakeCache cache;
  std::unique_ptr<RouterProcess> program;
  sockaddr_in at{};
};

// Guards against clients that rest until the router ends them: lost by a reset, or holding up the
// end; and against requests that are read after the end has begun and sent on.
TEST_F(ShutdownTest, ClosesIdleClientsAndRejectsLateRequests) {
  start(config_with(cache));
  const auto busy = client();
  const auto rests = client();
  const auto half = client();
  rests->write(encode_request(1, "no-such-class", {}));
  busy->write(request_for_new_object(1));
  half->write(request_for_new_object(1).substr(0, 20));
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 1 && !rests->received.empty(); },
                        {rests.get()}));
  program->send_signal(SIGTERM);
  program->send_signal(SIGTERM);  // a second one changes nothing
  // Its end, while another request is held, tells that the time for new ones is over.
  ASSERT_TRUE(run_until([&] { return rests->is_closed; }, {rests.get()}));
  EXPECT_FALSE(rests->was_reset);
  busy->write(request_for_new_object(2));
  half->write(request_for_new_object(1).substr(20));
  ASSERT_TRUE(run_until(
      [&] {
        return decode_responses(busy->received).size() == 1 &&
               decode_responses(half->received).size() == 1;
      },
      {busy.get(), half.get()}));
  EXPECT_EQ(decode_responses(busy->received)[0].error, "Busy");
  EXPECT_EQ(decode_responses(half->received)[0].error, "Busy");
  EXPECT_EQ(cache.count("fetch"), 1u);
  FakeCache::respond(cache.commands[0], "served", "held to the end");
  ASSERT_TRUE(
      run_until([&] { return busy->is_closed && half->is_closed; }, {busy.get(), half.get()}));
  EXPECT_EQ(decode_responses(busy->received).size(), 2u);
  EXPECT_FALSE(busy->was_reset || half->was_reset);
  EXPECT_EQ(program->wait_for_exit(), 0) << "though its clients keep their side open";
}

// Everything is ready in the one turn in which the signal is heard: the process sleeps while it
// arrives.
TEST_F(ShutdownTest, HandlesAllInputThatIsReadyWithTheSignal) {
  sockaddr_in discovery_address{};
  const int listener = loopback::bind_socket(discovery_address);
  ::listen(listener, 4);
  start(config_with(cache, net::to_string(discovery_address)));
  loopback::TestSocket watch(::accept(listener, nullptr, nullptr));
  const auto first = client();
  const auto second = client();
  const auto half = client();
  first->write(request_for_new_object(1) + request_for_new_object(2));
  second->write(request_for_new_object(11));
  half->write(request_for_new_object(21).substr(0, 20));
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 3 && watch.received == "watch 1\n"; },
                        {&watch}));
  program->suspend();
  first->write(loopback::encode_cancel(2) + request_for_new_object(3));
  second->half_close();
  half->write(request_for_new_object(21).substr(20) + request_for_new_object(22).substr(0, 20));
  const auto comes = client();
  comes->write(request_for_new_object(31));
  watch.write(R"({"rev":2,"flush":{"collection":17,"ms":)" +
              std::to_string(net::unix_now() / 1000) + "}}\n{\"rev\":3,\"flu");
  program->configure("{");
  program->send_signal(SIGHUP);
  program->send_signal(SIGTERM);
  program->send_signal(SIGCONT);
  ASSERT_TRUE(
      run_until([&] { return cache.count("fetch") == 6 && cache.count("abort") == 1; }, {}));
  for (std::size_t i = 3; i < cache.commands.size(); ++i) {
    const auto& c = cache.commands[i];
    EXPECT_TRUE(c.verb != "fetch" || c.fields.contains("agelim")) << i;
  }
  for (const auto& c : cache.commands) {
    if (c.verb == "fetch") FakeCache::respond(c, "served", "bytes");
  }
  const auto all = {first.get(), second.get(), half.get(), comes.get()};
  ASSERT_TRUE(run_until(
      [&] { return std::all_of(all.begin(), all.end(), [](auto* s) { return s->is_closed; }); },
      all));
  EXPECT_EQ(decode_responses(first->received).size(), 2u);
  for (auto* s : {second.get(), half.get(), comes.get()}) {
    EXPECT_EQ(decode_responses(s->received).size(), 1u);
  }
  for (auto* s : all) {
    EXPECT_FALSE(s->was_reset);
    for (const auto& a : decode_responses(s->received)) EXPECT_EQ(a.body, "bytes");
  }
  EXPECT_EQ(program->read_log_line().rfind("reload: ", 0), 0u);
  EXPECT_EQ(program->wait_for_exit(), 0);
  ::close(listener);
}

// Guards against a hung cache holding an answer until the process is killed: 0.7 s and the longest
// time that a client waits, 3 s at most, after the signal.
TEST_F(ShutdownTest, RespondsBeforeTheKillWhenCacheHangs) {
  start(config_with(cache));
  const auto c = client();
  c->write(request_for_new_object(1));
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 1; }, {}));
  const auto told = net::unix_now();
  program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return c->is_closed; }, {c.get()}));
  EXPECT_LT(net::unix_now() - told, 3'700'000) << "the answer and the end of the connection";
  ASSERT_EQ(decode_responses(c->received).size(), 1u);
  EXPECT_EQ(decode_responses(c->received)[0].error, "Busy");
  EXPECT_EQ(program->wait_for_exit(), 0) << "by itself, though the client keeps its side open";
  EXPECT_FALSE(c->was_reset);
}

// Connections that the kernel has completed and the program has not taken, as the listener closes.
TEST_F(ShutdownTest, RespondsToQueuedConnectionsBeforeListenerCloses) {
  start(config_with(cache, {}, 0, 32));  // 16 places
  std::vector<std::unique_ptr<loopback::TestSocket>> busy;
  std::vector<std::unique_ptr<loopback::TestSocket>> queued;
  for (unsigned i = 1; i <= 16; ++i) {
    busy.push_back(client());
    busy.back()->write(request_for_new_object(i));
  }
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 16; }, {}));
  for (unsigned i = 1; i <= 8; ++i) {
    queued.push_back(client());
    queued.back()->write(request_for_new_object(100 + i));
  }
  program->send_signal(SIGTERM);
  for (auto& c : queued) {
    ASSERT_TRUE(run_until([&] { return c->is_closed; }, {c.get()}));
    ASSERT_EQ(decode_responses(c->received).size(), 1u);
    EXPECT_EQ(decode_responses(c->received)[0].error, "Busy");
    EXPECT_FALSE(c->was_reset);
  }
  for (const auto& c : cache.commands) FakeCache::respond(c, "served", "bytes");
  for (auto& c : busy) {
    ASSERT_TRUE(run_until([&] { return c->is_closed; }, {c.get()}));
    EXPECT_EQ(decode_responses(c->received).size(), 1u);
  }
  EXPECT_EQ(program->wait_for_exit(), 0);
}

// A signal before the program is ready: it waits, and is then heard.
TEST(StartTest, HandlesSignalThatArrivesBeforeItListens) {
  FakeCache cache;
  for (const int number : {SIGTERM, SIGHUP}) {
    RouterProcess process({}, {}, {}, true);
    // The pipe opens for us once the program has opened it to read: its start is under way.
    process.configure_with([&] { process.send_signal(number); }, config_with(cache));
    const auto at = process.wait_for_address();
    if (number == SIGHUP) {
      process.configure("{");  // read anew
      EXPECT_EQ(process.read_log_line().rfind("reload: ", 0), 0u);
      process.send_signal(SIGTERM);
    }
    const auto c = loopback::connect_to(at);
    c->write(request_for_new_object(1));
    ASSERT_TRUE(poll_until([&] { return cache.count("fetch") > 0; }, cache, {}));
    FakeCache::respond(cache.commands.back(), "served", "bytes");
    ASSERT_TRUE(
        poll_until([&] { return !decode_responses(c->received).empty(); }, cache, {c.get()}));
    cache.commands.clear();
    EXPECT_EQ(process.wait_for_exit(), 0);
  }
}

// A board that hangs and much that is known already hold up nobody.
TEST(StartTest, ServesWhenDiscoveryServerHangs) {
  FakeCache cache;
  sockaddr_in discovery_address{};
  const int listener =
      loopback::bind_socket(discovery_address);  // nobody listens, then nobody accepts
  auto config = config_with(cache, net::to_string(discovery_address));
  std::string known;
  for (int i = 2; i <= 5000; ++i) {
    known += ",{\"rev\":" + std::to_string(i) + R"(,"pool":{"complete":false,"members":[{"id":"x)" +
             std::to_string(i) + R"(","host_port":"127.0.0.9:)" + std::to_string(i) +
             R"(","locality":"edge","flavor":"small","phase":"terminated","size":4}]}})";
  }
  const std::string end = "]}}]},";
  config.insert(config.find(end) + 3, known);
  config.replace(config.find(R"("rev":1,"notices")"), 17, R"("rev":5000,"notices")");
  ::listen(listener, 0);
  const auto begun = net::unix_now();
  RouterProcess process(config);
  const auto c = loopback::connect_to(process.wait_for_address());
  c->write(encode_request(1, "status", {}) + request_for_new_object(2));
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {c.get()}));
  EXPECT_LT(net::unix_now() - begun, 10'000'000);
  ::close(listener);
}

// Idle clients on all places, and the board away: when it is back it is dialed, and a new client is
// served.
TEST(DescriptorsTest, ReconnectsAndServesWhenIdleClientsFillAllSlots) {
  FakeCache cache;
  sockaddr_in discovery_address{};
  int listener = loopback::bind_socket(discovery_address);
  ::listen(listener, 4);
  RouterProcess process(config_with(cache, net::to_string(discovery_address), 0, 32));
  const auto at = process.wait_for_address();
  int fd = ::accept(listener, nullptr, nullptr);
  ::close(fd);
  ::close(listener);  // it refuses from now on
  std::vector<std::unique_ptr<loopback::TestSocket>> idle;
  for (int i = 0; i < 60; ++i) {
    idle.push_back(loopback::connect_to(at));
    idle.back()->write(encode_request(1, "status", {}));
  }
  const auto c = loopback::connect_to(at);
  c->write(request_for_new_object(1));
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {}));
  listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ASSERT_EQ(
      ::bind(listener, reinterpret_cast<sockaddr*>(&discovery_address), sizeof discovery_address),
      0);
  ::listen(listener, 4);
  loopback::TestSocket back(::accept(listener, nullptr, nullptr));
  ASSERT_TRUE(poll_until([&] { return back.received == "watch 1\n"; }, cache, {&back}));
  FakeCache::respond(cache.commands[0], "served", "bytes");
  ASSERT_TRUE(poll_until([&] { return !decode_responses(c->received).empty(); }, cache, {c.get()}));
  EXPECT_LE(process.open_descriptors(), 32u);
  ::close(listener);
}

}  // namespace
