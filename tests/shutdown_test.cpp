// Where the end of the process crosses something else, and its start a signal. The program as a
// process.
#include <csignal>

#include "process.h"

namespace {

using namespace alderspur;
using loopback::answers;
using loopback::Box;
using loopback::config_with;
using loopback::Program;
using loopback::request;
using loopback::until;

std::string asks(unsigned id) {
  char object[17];
  std::snprintf(object, sizeof object, "%016x", id);
  return request(id, "asset", {{"item", object}});
}

class ShutdownTest : public ::testing::Test {
 protected:
  void start(const std::string& config) {
    program = std::make_unique<Program>(config);
    at = program->address();
  }
  std::unique_ptr<loopback::Socket> client() { return loopback::dial(at); }
  bool wait(const std::function<bool()>& holds, std::initializer_list<loopback::Socket*> watched) {
    return until(holds, box, watched);
  }
  Box box;
  std::unique_ptr<Program> program;
  sockaddr_in at{};
};

// Guards against clients that rest until the router ends them: lost by a reset, or holding up the
// end; and against requests that are read after the end has begun and sent on.
TEST_F(ShutdownTest, ClosesIdleClientsAndRejectsLateRequests) {
  start(config_with(box));
  const auto busy = client();
  const auto rests = client();
  const auto half = client();
  rests->write(request(1, "no-such-class", {}));
  busy->write(asks(1));
  half->write(asks(1).substr(0, 20));
  ASSERT_TRUE(wait([&] { return box.count("fetch") == 1 && !rests->in.empty(); }, {rests.get()}));
  program->signal(SIGTERM);
  program->signal(SIGTERM);  // a second one changes nothing
  // Its end, while another request is held, tells that the time for new ones is over.
  ASSERT_TRUE(wait([&] { return rests->ended; }, {rests.get()}));
  EXPECT_FALSE(rests->was_reset);
  busy->write(asks(2));
  half->write(asks(1).substr(20));
  ASSERT_TRUE(wait([&] { return answers(busy->in).size() == 1 && answers(half->in).size() == 1; },
                   {busy.get(), half.get()}));
  EXPECT_EQ(answers(busy->in)[0].error, "Busy");
  EXPECT_EQ(answers(half->in)[0].error, "Busy");
  EXPECT_EQ(box.count("fetch"), 1u);
  Box::answer(box.commands[0], "served", "held to the end");
  ASSERT_TRUE(wait([&] { return busy->ended && half->ended; }, {busy.get(), half.get()}));
  EXPECT_EQ(answers(busy->in).size(), 2u);
  EXPECT_FALSE(busy->was_reset || half->was_reset);
  EXPECT_EQ(program->exit_code(), 0) << "though its clients keep their side open";
}

// Everything is ready in the one turn in which the signal is heard: the process sleeps while it
// arrives.
TEST_F(ShutdownTest, HandlesAllInputThatIsReadyWithTheSignal) {
  sockaddr_in board{};
  const int listener = loopback::bound(board);
  ::listen(listener, 4);
  start(config_with(box, net::to_string(board)));
  loopback::Socket watch(::accept(listener, nullptr, nullptr));
  const auto first = client();
  const auto second = client();
  const auto half = client();
  first->write(asks(1) + asks(2));
  second->write(asks(11));
  half->write(asks(21).substr(0, 20));
  ASSERT_TRUE(wait([&] { return box.count("fetch") == 3 && watch.in == "watch 1\n"; }, {&watch}));
  program->stop();
  first->write(loopback::withdraw(2) + asks(3));
  second->half_close();
  half->write(asks(21).substr(20) + asks(22).substr(0, 20));
  const auto comes = client();
  comes->write(asks(31));
  watch.write(R"({"rev":2,"flush":{"collection":17,"ms":)" +
              std::to_string(net::unix_now() / 1000) + "}}\n{\"rev\":3,\"flu");
  program->configure("{");
  program->signal(SIGHUP);
  program->signal(SIGTERM);
  program->signal(SIGCONT);
  ASSERT_TRUE(wait([&] { return box.count("fetch") == 6 && box.count("abort") == 1; }, {}));
  for (std::size_t i = 3; i < box.commands.size(); ++i) {
    const auto& c = box.commands[i];
    EXPECT_TRUE(c.word != "fetch" || c.fields.contains("agelim")) << i;
  }
  for (const auto& c : box.commands) {
    if (c.word == "fetch") Box::answer(c, "served", "bytes");
  }
  const auto all = {first.get(), second.get(), half.get(), comes.get()};
  ASSERT_TRUE(wait(
      [&] { return std::all_of(all.begin(), all.end(), [](auto* s) { return s->ended; }); }, all));
  EXPECT_EQ(answers(first->in).size(), 2u);
  for (auto* s : {second.get(), half.get(), comes.get()}) EXPECT_EQ(answers(s->in).size(), 1u);
  for (auto* s : all) {
    EXPECT_FALSE(s->was_reset);
    for (const auto& a : answers(s->in)) EXPECT_EQ(a.body, "bytes");
  }
  EXPECT_EQ(program->line().rfind("reload: ", 0), 0u);
  EXPECT_EQ(program->exit_code(), 0);
  ::close(listener);
}

// Guards against a hung cache holding an answer until the process is killed: 0.7 s and the longest
// time that a client waits, 3 s at most, after the signal.
TEST_F(ShutdownTest, RespondsBeforeTheKillWhenCacheHangs) {
  start(config_with(box));
  const auto c = client();
  c->write(asks(1));
  ASSERT_TRUE(wait([&] { return box.count("fetch") == 1; }, {}));
  const auto told = net::unix_now();
  program->signal(SIGTERM);
  ASSERT_TRUE(wait([&] { return c->ended; }, {c.get()}));
  EXPECT_LT(net::unix_now() - told, 3'700'000) << "the answer and the end of the connection";
  ASSERT_EQ(answers(c->in).size(), 1u);
  EXPECT_EQ(answers(c->in)[0].error, "Busy");
  EXPECT_EQ(program->exit_code(), 0) << "by itself, though the client keeps its side open";
  EXPECT_FALSE(c->was_reset);
}

// Connections that the kernel has completed and the program has not taken, as the listener closes.
TEST_F(ShutdownTest, RespondsToQueuedConnectionsBeforeListenerCloses) {
  start(config_with(box, {}, 0, 32));  // 16 places
  std::vector<std::unique_ptr<loopback::Socket>> busy;
  std::vector<std::unique_ptr<loopback::Socket>> queued;
  for (unsigned i = 1; i <= 16; ++i) {
    busy.push_back(client());
    busy.back()->write(asks(i));
  }
  ASSERT_TRUE(wait([&] { return box.count("fetch") == 16; }, {}));
  for (unsigned i = 1; i <= 8; ++i) {
    queued.push_back(client());
    queued.back()->write(asks(100 + i));
  }
  program->signal(SIGTERM);
  for (auto& c : queued) {
    ASSERT_TRUE(wait([&] { return c->ended; }, {c.get()}));
    ASSERT_EQ(answers(c->in).size(), 1u);
    EXPECT_EQ(answers(c->in)[0].error, "Busy");
    EXPECT_FALSE(c->was_reset);
  }
  for (const auto& c : box.commands) Box::answer(c, "served", "bytes");
  for (auto& c : busy) {
    ASSERT_TRUE(wait([&] { return c->ended; }, {c.get()}));
    EXPECT_EQ(answers(c->in).size(), 1u);
  }
  EXPECT_EQ(program->exit_code(), 0);
}

// A signal before the program is ready: it waits, and is then heard.
TEST(StartTest, HandlesSignalThatArrivesBeforeItListens) {
  Box box;
  for (const int number : {SIGTERM, SIGHUP}) {
    Program p({}, {}, {}, true);
    // The pipe opens for us once the program has opened it to read: its start is under way.
    p.configure_with([&] { p.signal(number); }, config_with(box));
    const auto at = p.address();
    if (number == SIGHUP) {
      p.configure("{");  // read anew
      EXPECT_EQ(p.line().rfind("reload: ", 0), 0u);
      p.signal(SIGTERM);
    }
    const auto c = loopback::dial(at);
    c->write(asks(1));
    ASSERT_TRUE(until([&] { return box.count("fetch") > 0; }, box, {}));
    Box::answer(box.commands.back(), "served", "bytes");
    ASSERT_TRUE(until([&] { return !answers(c->in).empty(); }, box, {c.get()}));
    box.commands.clear();
    EXPECT_EQ(p.exit_code(), 0);
  }
}

// A board that hangs and much that is known already hold up nobody.
TEST(StartTest, ServesWhenDiscoveryServerHangs) {
  Box box;
  sockaddr_in board{};
  const int listener = loopback::bound(board);  // nobody listens, then nobody accepts
  auto config = config_with(box, net::to_string(board));
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
  Program p(config);
  const auto c = loopback::dial(p.address());
  c->write(request(1, "status", {}) + asks(2));
  ASSERT_TRUE(until([&] { return box.count("fetch") == 1; }, box, {c.get()}));
  EXPECT_LT(net::unix_now() - begun, 10'000'000);
  ::close(listener);
}

// Idle clients on all places, and the board away: when it is back it is dialed, and a new client is
// served.
TEST(DescriptorsTest, ReconnectsAndServesWhenIdleClientsFillAllSlots) {
  Box box;
  sockaddr_in board{};
  int listener = loopback::bound(board);
  ::listen(listener, 4);
  Program p(config_with(box, net::to_string(board), 0, 32));
  const auto at = p.address();
  int fd = ::accept(listener, nullptr, nullptr);
  ::close(fd);
  ::close(listener);  // it refuses from now on
  std::vector<std::unique_ptr<loopback::Socket>> idle;
  for (int i = 0; i < 60; ++i) {
    idle.push_back(loopback::dial(at));
    idle.back()->write(request(1, "status", {}));
  }
  const auto c = loopback::dial(at);
  c->write(asks(1));
  ASSERT_TRUE(until([&] { return box.count("fetch") == 1; }, box, {}));
  listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ASSERT_EQ(::bind(listener, reinterpret_cast<sockaddr*>(&board), sizeof board), 0);
  ::listen(listener, 4);
  loopback::Socket back(::accept(listener, nullptr, nullptr));
  ASSERT_TRUE(until([&] { return back.in == "watch 1\n"; }, box, {&back}));
  Box::answer(box.commands[0], "served", "bytes");
  ASSERT_TRUE(until([&] { return !answers(c->in).empty(); }, box, {c.get()}));
  EXPECT_LE(p.descriptors(), 32u);
  ::close(listener);
}

}  // namespace
