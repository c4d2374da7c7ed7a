// Tests the program as a process: shutdown while other events arrive, and signals during the start.
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
    address = program->wait_for_address();
  }
  std::unique_ptr<loopback::TestSocket> connect_client() const {
    return loopback::connect_to(address);
  }
  bool run_until(const std::function<bool()>& condition,
                 std::initializer_list<loopback::TestSocket*> sockets) {
    return poll_until(condition, cache, sockets);
  }
  FakeCache cache;
  std::unique_ptr<RouterProcess> program;
  sockaddr_in address{};
};

// Guards against a shutdown that resets idle clients or waits for them, and against forwarding
// requests that are read after new requests are no longer accepted.
TEST_F(ShutdownTest, ClosesIdleClientsAndRejectsLateRequests) {
  start(config_with(cache));
  const auto busy = connect_client();
  const auto idle_client = connect_client();
  const auto partial = connect_client();
  idle_client->write(encode_request(1, "no-such-class", {}));
  busy->write(request_for_new_object(1));
  partial->write(request_for_new_object(1).substr(0, 20));
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 1 && !idle_client->received.empty(); },
                        {idle_client.get()}));
  program->send_signal(SIGTERM);
  program->send_signal(SIGTERM);  // a second signal has no effect
  // The idle client is closed while another request is in flight. From this point on, new requests
  // are rejected.
  ASSERT_TRUE(run_until([&] { return idle_client->is_closed; }, {idle_client.get()}));
  EXPECT_FALSE(idle_client->was_reset);
  busy->write(request_for_new_object(2));
  partial->write(request_for_new_object(1).substr(20));
  ASSERT_TRUE(run_until(
      [&] {
        return decode_responses(busy->received).size() == 1 &&
               decode_responses(partial->received).size() == 1;
      },
      {busy.get(), partial.get()}));
  EXPECT_EQ(decode_responses(busy->received)[0].error, "Busy");
  EXPECT_EQ(decode_responses(partial->received)[0].error, "Busy");
  EXPECT_EQ(cache.count("fetch"), 1u);
  FakeCache::respond(cache.commands[0], "served", "in flight to the end");
  ASSERT_TRUE(run_until([&] { return busy->is_closed && partial->is_closed; },
                        {busy.get(), partial.get()}));
  EXPECT_EQ(decode_responses(busy->received).size(), 2u);
  EXPECT_FALSE(busy->was_reset || partial->was_reset);
  EXPECT_EQ(program->wait_for_exit(), 0)
      << "although its clients keep their side of the connection open";
}

// The process is suspended while the input and the signals arrive, so that all of them are ready in
// the same turn of the event loop.
TEST_F(ShutdownTest, HandlesAllInputThatIsReadyWithTheSignal) {
  sockaddr_in discovery_address{};
  const int listener = loopback::bind_socket(discovery_address);
  ::listen(listener, 4);
  start(config_with(cache, net::to_string(discovery_address)));
  loopback::TestSocket watch(::accept(listener, nullptr, nullptr));
  const auto first = connect_client();
  const auto second = connect_client();
  const auto partial = connect_client();
  first->write(request_for_new_object(1) + request_for_new_object(2));
  second->write(request_for_new_object(11));
  partial->write(request_for_new_object(21).substr(0, 20));
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 3 && watch.received == "watch 1\n"; },
                        {&watch}));
  program->suspend();
  first->write(loopback::encode_cancel(2) + request_for_new_object(3));
  second->half_close();
  partial->write(request_for_new_object(21).substr(20) + request_for_new_object(22).substr(0, 20));
  const auto new_client = connect_client();
  new_client->write(request_for_new_object(31));
  watch.write(R"({"rev":2,"flush":{"collection":17,"ms":)" +
              std::to_string(net::unix_now() / 1000) + "}}\n{\"rev\":3,\"flu");
  program->configure("{");
  program->send_signal(SIGHUP);
  program->send_signal(SIGTERM);
  program->send_signal(SIGCONT);
  ASSERT_TRUE(
      run_until([&] { return cache.count("fetch") == 6 && cache.count("abort") == 1; }, {}));
  for (std::size_t i = 3; i < cache.commands.size(); ++i) {
    const auto& command = cache.commands[i];
    EXPECT_TRUE(command.verb != "fetch" || command.fields.contains("agelim")) << i;
  }
  for (const auto& command : cache.commands) {
    if (command.verb == "fetch") FakeCache::respond(command, "served", "bytes");
  }
  const auto all = {first.get(), second.get(), partial.get(), new_client.get()};
  ASSERT_TRUE(run_until(
      [&] {
        return std::all_of(all.begin(), all.end(), [](auto* socket) { return socket->is_closed; });
      },
      all));
  EXPECT_EQ(decode_responses(first->received).size(), 2u);
  for (auto* socket : {second.get(), partial.get(), new_client.get()}) {
    EXPECT_EQ(decode_responses(socket->received).size(), 1u);
  }
  for (auto* socket : all) {
    EXPECT_FALSE(socket->was_reset);
    for (const auto& response : decode_responses(socket->received)) {
      EXPECT_EQ(response.body, "bytes");
    }
  }
  EXPECT_EQ(program->read_log_line().rfind("reload: ", 0), 0u);
  EXPECT_EQ(program->wait_for_exit(), 0);
  ::close(listener);
}

// Guards against a cache that does not respond and delays the client's response until the process
// is killed. The kill comes 0.7 s plus the longest time that a client waits (at most 3 s) after the
// signal.
TEST_F(ShutdownTest, RespondsBeforeTheKillWhenCacheHangs) {
  start(config_with(cache));
  const auto client = connect_client();
  client->write(request_for_new_object(1));
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 1; }, {}));
  const auto signalled_at = net::unix_now();
  program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return client->is_closed; }, {client.get()}));
  EXPECT_LT(net::unix_now() - signalled_at, 3'700'000)
      << "the response is sent and the connection is closed in time";
  ASSERT_EQ(decode_responses(client->received).size(), 1u);
  EXPECT_EQ(decode_responses(client->received)[0].error, "Busy");
  EXPECT_EQ(program->wait_for_exit(), 0)
      << "the process exits by itself although the client keeps its side of the connection open";
  EXPECT_FALSE(client->was_reset);
}

// Clients whose connections the kernel has completed, but which the program has not accepted, get a
// response.
TEST_F(ShutdownTest, RespondsToQueuedConnectionsBeforeListenerCloses) {
  start(config_with(cache, {}, 0, 32));  // leaves 16 slots for clients
  std::vector<std::unique_ptr<loopback::TestSocket>> busy;
  std::vector<std::unique_ptr<loopback::TestSocket>> queued;
  for (unsigned i = 1; i <= 16; ++i) {
    busy.push_back(connect_client());
    busy.back()->write(request_for_new_object(i));
  }
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 16; }, {}));
  for (unsigned i = 1; i <= 8; ++i) {
    queued.push_back(connect_client());
    queued.back()->write(request_for_new_object(100 + i));
  }
  program->send_signal(SIGTERM);
  for (auto& client : queued) {
    ASSERT_TRUE(run_until([&] { return client->is_closed; }, {client.get()}));
    ASSERT_EQ(decode_responses(client->received).size(), 1u);
    EXPECT_EQ(decode_responses(client->received)[0].error, "Busy");
    EXPECT_FALSE(client->was_reset);
  }
  for (const auto& command : cache.commands) FakeCache::respond(command, "served", "bytes");
  for (auto& client : busy) {
    ASSERT_TRUE(run_until([&] { return client->is_closed; }, {client.get()}));
    EXPECT_EQ(decode_responses(client->received).size(), 1u);
  }
  EXPECT_EQ(program->wait_for_exit(), 0);
}

// A signal that arrives before the program is ready is handled once it is ready.
TEST(StartTest, HandlesSignalThatArrivesBeforeItListens) {
  FakeCache cache;
  for (const int number : {SIGTERM, SIGHUP}) {
    RouterProcess process({}, {}, {}, true);
    // Opening the pipe blocks until the program has opened it too, so the program has started.
    process.configure_with([&] { process.send_signal(number); }, config_with(cache));
    const auto address = process.wait_for_address();
    if (number == SIGHUP) {
      process.configure("{");  // for the reload
      EXPECT_EQ(process.read_log_line().rfind("reload: ", 0), 0u);
      process.send_signal(SIGTERM);
    }
    const auto client = loopback::connect_to(address);
    client->write(request_for_new_object(1));
    ASSERT_TRUE(poll_until([&] { return cache.count("fetch") > 0; }, cache, {}));
    FakeCache::respond(cache.commands.back(), "served", "bytes");
    ASSERT_TRUE(poll_until([&] { return !decode_responses(client->received).empty(); }, cache,
                           {client.get()}));
    cache.commands.clear();
    EXPECT_EQ(process.wait_for_exit(), 0);
  }
}

// Neither a discovery server that does not respond nor a large number of known events delays the
// start.
TEST(StartTest, ServesWhenDiscoveryServerHangs) {
  FakeCache cache;
  sockaddr_in discovery_address{};
  const int listener =
      loopback::bind_socket(discovery_address);  // listens later, and never accepts
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
  const auto started_at = net::unix_now();
  RouterProcess process(config);
  const auto client = loopback::connect_to(process.wait_for_address());
  client->write(encode_request(1, "status", {}) + request_for_new_object(2));
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {client.get()}));
  EXPECT_LT(net::unix_now() - started_at, 10'000'000);
  ::close(listener);
}

// Guards against a reload that kills the process because it arrives during the last steps of a
// shutdown, when the event loop has restored the default action of SIGHUP.
TEST_F(ShutdownTest, ExitsWithZeroWhenSighupArrivesAfterTheEndOfTheEventLoop) {
  start(config_with(cache));
  program->send_signal(SIGTERM);
  for (int i = 0; i < 20'000 && !program->has_exited(); ++i) {
    program->send_signal(SIGHUP);
    // Each reload logs a line, and a full pipe would block the process.
    program->read_available_log();
    ::usleep(500);
  }
  EXPECT_EQ(program->wait_for_exit(), 0);
}

// Idle clients occupy all slots while no discovery server is running. A new client is still served,
// and the router reconnects once the discovery server is running again.
TEST(DescriptorsTest, ReconnectsAndServesWhenIdleClientsFillAllSlots) {
  FakeCache cache;
  sockaddr_in discovery_address{};
  int listener = loopback::bind_socket(discovery_address);
  ::listen(listener, 4);
  RouterProcess process(config_with(cache, net::to_string(discovery_address), 0, 32));
  const auto address = process.wait_for_address();
  int fd = ::accept(listener, nullptr, nullptr);
  ::close(fd);
  ::close(listener);  // connects are refused from now on
  std::vector<std::unique_ptr<loopback::TestSocket>> idle;
  for (int i = 0; i < 60; ++i) {
    idle.push_back(loopback::connect_to(address));
    idle.back()->write(encode_request(1, "status", {}));
  }
  const auto client = loopback::connect_to(address);
  client->write(request_for_new_object(1));
  ASSERT_TRUE(poll_until([&] { return cache.count("fetch") == 1; }, cache, {}));
  listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int enabled = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  ASSERT_EQ(
      ::bind(listener, reinterpret_cast<sockaddr*>(&discovery_address), sizeof discovery_address),
      0);
  ::listen(listener, 4);
  loopback::TestSocket new_watch(::accept(listener, nullptr, nullptr));
  ASSERT_TRUE(poll_until([&] { return new_watch.received == "watch 1\n"; }, cache, {&new_watch}));
  FakeCache::respond(cache.commands[0], "served", "bytes");
  ASSERT_TRUE(poll_until([&] { return !decode_responses(client->received).empty(); }, cache,
                         {client.get()}));
  EXPECT_LE(process.open_descriptors(), 32u);
  ::close(listener);
}

}  // namespace
