// Where two events cross, at the sockets: each story makes the order certain by what the stand-ins
// do. The list of crossings, and what must happen at each, is docs/crossings.md.
#include <algorithm>
#include <string>

#include "loopback.h"
#include "net/lingering.h"

namespace {

using namespace alderspur;
using loopback::answers;
using loopback::Box;
using loopback::Command;
using loopback::request;

const std::string kKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

class EventRacesTest : public loopback::BoardStory {
 protected:
  // Answers every fetch that waits, once.
  void answer_all(const std::string& body) {
    for (auto& b : box) {
      for (auto& c : b.commands) {
        if (std::exchange(c.word, "answered") == "fetch") Box::answer(c, "served", body);
      }
    }
  }
  std::size_t aborts() const { return box[0].count("abort") + box[1].count("abort"); }
  std::string object(unsigned n) {
    char out[17];
    std::snprintf(out, sizeof out, "%016x", n);
    return out;
  }
};

// A listener whose connects hang until it lets them come up.
class Late {
 public:
  Late() : fd_(loopback::bound(at_)) {
    ::listen(fd_, 0);
    for (int i = 0; i < 4; ++i) {  // its queue is full
      fillers_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)::connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&at_), sizeof at_);
    }
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~Late() {
    for (const int fd : fillers_) ::close(fd);
    ::close(fd_);
  }
  std::string address() const { return net::to_string(at_); }
  // Takes what has come up; the fillers end, so that later ones can.
  void let_up() {
    for (const int fd : std::exchange(fillers_, {})) ::close(fd);
    for (int fd; (fd = ::accept(fd_, nullptr, nullptr)) >= 0;) {
      taken.push_back(std::make_unique<loopback::Socket>(fd));
    }
    for (auto& s : taken) s->poll();
  }
  bool got(const std::string& word) const {
    return std::any_of(taken.begin(), taken.end(),
                       [&](auto& s) { return s->in.find(word) != std::string::npos; });
  }
  std::size_t alive() const {  // connections that their peer has not ended: the router's
    return static_cast<std::size_t>(
        std::count_if(taken.begin(), taken.end(), [](auto& s) { return !s->ended; }));
  }
  std::vector<std::unique_ptr<loopback::Socket>> taken;

 private:
  sockaddr_in at_{};
  int fd_;
  std::vector<int> fillers_;
};

class PendingConnectTest : public EventRacesTest {
 protected:
  void SetUp() override {
    EventRacesTest::SetUp();
    watch_ = watcher();
    auto member = config.known_events[0].members[0];
    member.address = late.address();
    caches->update_endpoint(member);
    // s-b is out, so that all goes to the one that hangs.
    watch_->write(event(2, "s-b", box[1].address(), "terminating"));
    ASSERT_TRUE(until([&] { return engine->counters().endpoint_updates == 2; }));
  }
  // The request's connect hangs, and is sure to: the module has sent and nothing has come up.
  void ask(loopback::Socket& c, std::map<std::string, std::string> fields = {},
           const std::string& cls = "asset") {
    c.write(request(1, cls, std::move(fields)));
    ASSERT_TRUE(until(
        [&] { return engine->open_request_count() == 1 && caches->connection_count() == 1; }));
  }
  bool comes_up() {
    return until([&] { return late.let_up(), late.alive() > 0; });
  }
  void come_up_and_send_nothing() {
    ASSERT_TRUE(comes_up());
    settle();
    EXPECT_FALSE((late.let_up(), late.got("fetch")));
  }
  Late late;
  std::unique_ptr<loopback::Socket> watch_;
};

// ---- Clients that leave
// -----------------------------------------------------------------------------

// Guards against a client's cancel, or its end, waiting unread behind answers that it does not
// take.
TEST_F(EventRacesTest, CancelsRequestsWhenClientDoesNotRead) {
  auto c = client(front->address());
  watched.clear();  // it reads nothing
  for (unsigned i = 1; i <= 32; ++i) c->write(request(i, "asset", {{"item", object(i)}}));
  ASSERT_TRUE(until([&] { return fetches() == 32; }));
  const std::string body(240'000, 'x');
  std::vector<std::string> left;
  std::size_t sent = 0;
  for (std::size_t i = 1; i <= 30; ++i) {  // the last two stay open
    const Command got = *fetch(i);
    std::string all = got.id + " served " + loopback::dated("t") + " 240000\r\n" + body + "\r\n";
    ASSERT_TRUE(until([&] { return all.erase(0, got.from->write_some(all)), all.empty(); }));
    ++sent;
  }
  ASSERT_TRUE(until([&] { return engine->counters().served == sent; }));
  const Command cancelled = *fetch(31);
  const Command left_open = *fetch(32);
  const unsigned id = static_cast<unsigned>(std::stoul(cancelled.fields.at("name"), nullptr, 16));
  c->write(loopback::withdraw(id));
  ASSERT_TRUE(until([&] { return aborts() == 1; })) << "the cancel";
  c->reset();
  ASSERT_TRUE(until([&] { return aborts() == 2; })) << "the end";
  EXPECT_EQ(engine->open_request_count(), 0u);
}

TEST_F(EventRacesTest, SendsNothingWhenCancelIsReadWithItsRequest) {
  auto c = client(front->address());
  c->write(request(1, "asset", {{"item", object(1)}}) + loopback::withdraw(1) +
           request(2, "asset", {{"item", object(2)}}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  EXPECT_EQ(fetch()->fields["name"], object(2));
  c->write(loopback::withdraw(1) +
           loopback::withdraw(77));  // of what has ended, and of what never was
  answer_all("bytes");
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 1; }));
  settle();
  EXPECT_EQ(engine->counters().forwarded, 1u);
}

TEST_F(EventRacesTest, AdmitsNothingWhenClientLeavesWithinAMessage) {
  auto ends = client(front->address());
  auto resets = client(front->address());
  for (auto* c : {ends.get(), resets.get()}) c->write(request(1, "asset", {}).substr(0, 30));
  settle();
  ends->half_close();
  resets->reset();
  ASSERT_TRUE(until([&] { return ends->ended; }));
  settle();
  EXPECT_EQ(engine->counters().admitted, 0u);
}

// A client that has waited for a place, with its request written, and has left.
TEST_F(EventRacesTest, AdmitsNothingWhenClientLeavesTheListenersQueue) {
  std::vector<std::unique_ptr<loopback::Socket>> clients;
  for (unsigned i = 1; i <= 64; ++i) {  // all places
    clients.push_back(client(front->address()));
    clients.back()->write(request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(until([&] { return fetches() == 64; }));
  auto left = loopback::dial(front->address());
  auto stays = client(front->address());
  left->write(request(100, "asset", {{"item", object(100)}}));
  stays->write(request(101, "asset", {{"item", object(101)}}));
  left->close();
  settle();  // longer than the 0.1 s in which its request might still begin
  ASSERT_GT(engine->counters().deferred_accepts, 0u);
  watched.assign(1, stays.get());
  clients[0]->reset();
  clients[1]->reset();
  ASSERT_TRUE(until([&] { return fetches() == 65; }));
  settle();
  EXPECT_EQ(fetches(), 65u);
  EXPECT_EQ(engine->counters().admitted, 65u);
}

// Guards against further attempts for a client that has closed its connection.
TEST_F(EventRacesTest, StartsNoFurtherAttemptWhenClientHasHalfClosed) {
  auto c = client(front->address());
  c->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  c->half_close();
  settle();  // longer than the 0.1 s in which an attempt may begin
  Box::answer(*fetch(), "overload");
  ASSERT_TRUE(until([&] { return c->ended; }));
  ASSERT_EQ(answers(c->in).size(), 1u) << "one answer, should it still be there";
  EXPECT_EQ(answers(c->in)[0].error, "Busy");
  EXPECT_EQ(fetches(), 1u);
}
TEST_F(PendingConnectTest, SendsNothingWhenClientHalfCloses) {
  auto c = client(front->address());
  ask(*c);
  c->half_close();
  ASSERT_TRUE(until([&] { return c->ended; })) << "answered at once: nothing is out";
  EXPECT_EQ(answers(c->in).size(), 1u);
  come_up_and_send_nothing();
}
TEST_F(PendingConnectTest, SendsNothingWhenRequestIsCancelled) {
  auto c = client(front->address());
  ask(*c);
  c->write(loopback::withdraw(1));
  ASSERT_TRUE(until([&] { return engine->open_request_count() == 0; }));
  come_up_and_send_nothing();
  EXPECT_TRUE(answers(c->in).empty());
}

TEST_F(EventRacesTest, AbortsAllAttemptsWhenManyClientsLeaveAtOnce) {
  std::vector<std::unique_ptr<loopback::Socket>> clients;
  for (unsigned i = 1; i <= 60; ++i) {
    clients.push_back(client(front->address()));
    clients.back()->write(request(i, "asset", {{"item", object(i)}}));
  }
  ASSERT_TRUE(until([&] { return fetches() == 60; }));
  watched.clear();
  for (auto& c : clients) c->reset();
  ASSERT_TRUE(until([&] { return aborts() == 60; }));
  EXPECT_EQ(engine->open_request_count(), 0u);
}

// Guards against two attempts out under one id, when a request comes again while it is still open.
// Where a repeat would do harm it is not told that it may try again.
class RepeatedRequestTest : public EventRacesTest, public ::testing::WithParamInterface<bool> {
 protected:
  void SetUp() override {
    if (!GetParam()) set("repeat", "\"safe\"", "\"unsafe\"");
    EventRacesTest::SetUp();
  }
};
INSTANTIATE_TEST_SUITE_P(Harmless, RepeatedRequestTest, ::testing::Bool());
TEST_P(RepeatedRequestTest, RejectsRepeatWhileRequestIsOpen) {
  auto first = client(front->address());
  auto again = client(front->address());
  first->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  again->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return answers(again->in).size() == 1; }));
  EXPECT_EQ(answers(again->in)[0].error, GetParam() ? "Busy" : "Failed");
  EXPECT_EQ(fetches(), 1u);
  answer_all("bytes");
  ASSERT_TRUE(until([&] { return answers(first->in).size() == 1; }));
  again->write(request(2, "asset", {{"txn", "9b1f03aa5c7e2d41"}}));
  ASSERT_TRUE(until([&] { return engine->counters().forwarded == 2; })) << "over, it is free again";
}

// Guards against the largest requests being cut off where the way is slow; who says nothing more
// is.
TEST_F(EventRacesTest, AcceptsLargeRequestWhenItArrivesSlowly) {
  auto slow = client(front->address());
  auto stops = client(front->address());
  const std::string all = request(1, "plan-accept", {{"unique", kKey}}, std::string(40'000, 'w'));
  stops->write(all.substr(0, 20'000));
  for (std::size_t at = 0; at < all.size();
       at += 10'000) {  // five parts, over the 2 s of one that stops
    slow->write(all.substr(at, 10'000));
    until([&, end = net::unix_now() + 700'000] { return net::unix_now() > end; });
  }
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  EXPECT_FALSE(slow->ended);
  EXPECT_TRUE(stops->ended);
  EXPECT_EQ(fetch()->body.size(), 40'000u);
}

// ---- Closing
// ----------------------------------------------------------------------------------------

// Guards against a close over unread bytes: it resets the connection, and answers go with it.
TEST_F(EventRacesTest, DeliversResponseWhenClosingWithUnreadInput) {
  auto c = client(front->address());
  c->write(request(1, "no-such-class", {}) + "\xc1 garbage" + std::string(200'000, 'z'));
  ASSERT_TRUE(until([&] { return c->ended; }));
  ASSERT_EQ(answers(c->in).size(), 1u);
  EXPECT_EQ(answers(c->in)[0].error, "Failed");
  EXPECT_FALSE(c->was_reset);
}

// A lingering close waits for a peer that stays, but not for ever, and gives its place to others.
TEST_F(EventRacesTest, FreesSlotsWhenPeersKeepClosedConnectionsOpen) {
  std::vector<std::unique_ptr<loopback::Socket>> stay;
  for (int i = 0; i < 64; ++i) {
    stay.push_back(client(front->address()));
    stay.back()->write("\xc1");
  }
  ASSERT_TRUE(until(
      [&] { return std::all_of(stay.begin(), stay.end(), [](auto& s) { return s->ended; }); }));
  EXPECT_EQ(loop.lingering().size(), 64u);
  auto c = client(front->address());
  c->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  ASSERT_TRUE(until([&] { return loop.lingering().size() == 0; })) << "none has ended its side";
}

// The signed front's end: who rests is ended in order, who has just come is answered.
TEST_F(EventRacesTest, AnswersNewClientWhenSignedFrontShutsDown) {
  auto rests = client(http->address());
  rests->write("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(until([&] { return rests->in.starts_with("HTTP/1.1 404"); }));
  settle();
  auto comes = client(http->address());
  comes->write("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");  // the kernel has it, the front has not
  http->drain();
  EXPECT_FALSE(http->is_drained()) << "what has come is owed an answer";
  ASSERT_TRUE(until([&] { return rests->ended && comes->ended; }));
  EXPECT_TRUE(comes->in.starts_with("HTTP/1.1 404"));
  EXPECT_FALSE(rests->was_reset || comes->was_reset);
  ASSERT_TRUE(until([&] { return http->is_drained(); }));
}

// ---- The list, and sends that wait
// ------------------------------------------------------------------

// Guards against a send that was decided before a drain and leaves after it.
TEST_F(PendingConnectTest, MovesRequestWhenItsServerDrains) {
  auto c = client(front->address());
  ask(*c);
  watch_->write(event(3, "s-b", box[1].address(), "in_service") +
                event(4, "s-a", late.address(), "terminating"));
  ASSERT_TRUE(until([&] { return box[1].count("fetch") == 1; })) << "it moves on at once";
  answer_all("bytes");
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 1; }));
  come_up_and_send_nothing();
}
TEST_F(PendingConnectTest, DoesNotNameSourceWhenItDrains) {
  auto c = client(front->address());
  ask(*c);
  watch_->write(event(3, "s-o", origin.address(), "terminating", false, "hub", "origin"));
  ASSERT_TRUE(until([&] { return engine->counters().endpoint_updates == 3; }));
  ASSERT_TRUE(comes_up());
  ASSERT_TRUE(until([&] { return late.let_up(), late.got("fetch"); }));
  EXPECT_FALSE(late.got("next=s-o"));
}
// Another server has the address by the time the connect comes up.
TEST_F(PendingConnectTest, SendsNothingWhenAnotherServerHasTheAddress) {
  auto c = client(front->address());
  ask(*c);
  watch_->write(event(3, "s-a", late.address(), "terminated"));
  ASSERT_TRUE(until([&] { return engine->counters().endpoint_updates == 3; }));
  // The kernel tries a connect again after a second: whatever still waits for it comes up now.
  until([&, end = net::unix_now() + 2'500'000] {
    return late.let_up(), late.got("fetch") || net::unix_now() > end;
  });
  EXPECT_FALSE(late.got("fetch"));
  ASSERT_EQ(answers(c->in).size(), 1u) << "nobody is left";
  EXPECT_EQ(answers(c->in)[0].error, "Busy");
}

// Guards against commands that wait in the queue of a connection whose cache does not read: judged
// when they were queued, they would leave after a drain.
class QueuedCommandsTest : public EventRacesTest {
 protected:
  void SetUp() override {
    settings += R"(,"limits":{"memory_mb":1024})";
    set("streams-per-conn", "32", "1000");
    EventRacesTest::SetUp();
  }
};
TEST_F(QueuedCommandsTest, SendsNoFurtherCommandsWhenCacheDrainsWithoutReading) {
  auto w = watcher();
  w->write(event(2, "s-b", box[1].address(), "terminating"));
  ASSERT_TRUE(until([&] { return engine->counters().endpoint_updates == 2; }));
  box[0].narrow();
  box[0].reads = false;
  std::vector<std::unique_ptr<loopback::Socket>> clients;
  const std::string body(48'000, 'w');
  unsigned asked = 0;
  for (int n = 0; n < 40; ++n) {
    clients.push_back(client(front->address()));
    for (int i = 0; i < 30; ++i) {
      ++asked;
      std::string all =
          request(asked, "plan-accept", {{"unique", kKey}, {"item", object(asked)}}, body);
      ASSERT_TRUE(
          until([&] { return all.erase(0, clients.back()->write_some(all)), all.empty(); }));
    }
    ASSERT_TRUE(until([&] { return engine->counters().admitted == asked; }));
  }
  settle();
  const auto sent = engine->counters().forwarded;
  ASSERT_GT(engine->open_request_count(), sent + 20) << "the connections are full, and much waits";
  w->write(event(3, "s-a", box[0].address(), "terminating"));
  ASSERT_TRUE(until([&] { return engine->counters().endpoint_updates == 3; }));
  box[0].reads = true;
  ASSERT_TRUE(until([&] { return box[0].count("fetch") >= sent; }));
  settle();
  EXPECT_LE(box[0].count("fetch"), sent + 6) << "one a connection was under way";
}

// Guards against a repeat that was within its window when it was decided and is not when it leaves.
class ShortDedupWindowTest : public PendingConnectTest {
 protected:
  void SetUp() override {
    set("dedup-window", "20000000", "300000");
    PendingConnectTest::SetUp();
    watch_->write(event(3, "s-b", box[1].address(), "in_service"));
    ASSERT_TRUE(until([&] { return engine->counters().endpoint_updates == 3; }));
  }
};
TEST_F(ShortDedupWindowTest, SendsNoRetryWhenWindowEndsDuringConnect) {
  auto c = client(front->address());
  unsigned n = 0;
  while (box[1].count("fetch") == 0) {  // an object whose first cache is the one that answers
    ASSERT_LT(++n, 20u);
    c->write(request(n, "plan-accept", {{"unique", kKey}, {"item", object(n)}}));
    until([&, end = net::unix_now() + 100'000] {
      return box[1].count("fetch") > 0 || net::unix_now() > end;
    });
  }
  const auto sent = engine->counters().forwarded;
  box[1].stop();  // it may have run; the next attempt waits for the other's connect
  const auto window_over = net::unix_now() + 320'000;
  ASSERT_TRUE(until([&] { return net::unix_now() > window_over; }));
  ASSERT_TRUE(comes_up());
  settle();
  EXPECT_FALSE((late.let_up(), late.got("dedupe=" + kKey) && late.got(object(n))));
  EXPECT_EQ(engine->counters().forwarded - sent, late.got("fetch") ? n - 1 : 0u);
}

// Guards against an event told late, that fills a gap, taking back what a later one has told.
class EventGapTest : public EventRacesTest, public ::testing::WithParamInterface<bool> {};
TEST_P(EventGapTest, KeepsNewerChangeWhenOlderEventFillsGap) {
  const bool complete = GetParam();
  auto w = watcher();
  ASSERT_TRUE(until([&] { return w->in == "watch 1\n"; }));
  w->write(event(3, "s-a", box[0].address(), "terminating"));  // 2 is missing
  auto again = watcher();
  ASSERT_TRUE(until([&] { return again->in == "watch 1\n"; })) << "asked for what is missing";
  again->write(event(2, "s-a", box[0].address(), "in_service", complete) +
               event(3, "s-a", box[0].address(), "terminating") +
               event(4, "s-x", box[1].address(), "terminated"));
  ASSERT_TRUE(until([&] { return engine->counters().endpoint_updates == 4; }));
  auto c = client(front->address());
  for (unsigned i = 1; i <= 8; ++i) c->write(request(i, "asset", {{"item", object(i)}}));
  ASSERT_TRUE(until([&] { return fetches() + answers(c->in).size() >= 8; }));
  EXPECT_EQ(box[0].count("fetch"), 0u);
  EXPECT_EQ(box[1].count("fetch"), complete ? 0u : 8u) << "a whole list without it takes it out";
}
INSTANTIATE_TEST_SUITE_P(Lists, EventGapTest, ::testing::Bool());

// A board that accepts and says nothing is dead; what its connection says later is nobody's.
TEST_F(EventRacesTest, WatchesFromLastEventWhenWatchFallsSilent) {
  auto w = watcher();
  ASSERT_TRUE(until([&] { return w->in == "watch 1\n"; }));
  w->write(event(2, "s-b", box[1].address(), "terminating") + R"({"rev":3,"pool":{"comp)");
  auto again = watcher();
  ASSERT_TRUE(until([&] { return again->in == "watch 2\n"; })) << "half an event is none";
  w->write("lete\":true,\"members\":[]}}\n");
  settle();
  auto c = client(front->address());
  for (unsigned i = 1; i <= 8; ++i) c->write(request(i, "asset", {{"item", object(i)}}));
  ASSERT_TRUE(until([&] { return fetches() == 8; }));
  EXPECT_EQ(box[1].count("fetch"), 0u);
}

// A drain and a request are ready in the same turn: the drain goes first.
TEST_F(EventRacesTest, AppliesDrainBeforeRequestOfTheSameTurn) {
  auto w = watcher();
  auto c = client(front->address());
  settle();  // both connections are there
  for (unsigned i = 1; i <= 8; ++i) c->write(request(i, "asset", {{"item", object(i)}}));
  w->write(event(2, "s-a", box[0].address(), "terminating"));
  ASSERT_TRUE(until([&] { return fetches() == 8; }));
  EXPECT_EQ(box[0].count("fetch"), 0u);
}

// ---- Connections to caches
// --------------------------------------------------------------------------

// Guards against a command that crosses the cache's idle close, which is due: it might have run.
class ShortIdleTimeoutTest : public EventRacesTest {
 protected:
  void SetUp() override {
    set("idle-close", "30000000", "400000");
    EventRacesTest::SetUp();
  }
};
TEST_F(ShortIdleTimeoutTest, OpensNewConnectionWhenCacheIsAboutToClose) {
  auto c = client(front->address());
  c->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  const Command first = *fetch();
  answer_all("bytes");
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 1; }));
  const auto nearly =
      net::unix_now() + 350'000;  // over four fifths of the time since it was last used
  ASSERT_TRUE(until([&] { return net::unix_now() > nearly; }));
  c->write(request(2, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  EXPECT_NE(fetch()->from, first.from);
}

// Guards against an answer that comes byte by byte for ever: what is behind it must not wait for
// it.
TEST_F(EventRacesTest, RetriesQueuedRequestsWhenResponseNeverEnds) {
  auto c = client(front->address());
  c->write(request(1, "asset", {{"ram", "9"}}) + request(2, "asset", {{"ram", "9"}}));
  ASSERT_TRUE(until([&] { return fetches() == 2; }));
  const Command got = *fetch(1);
  ASSERT_EQ(fetch(2)->from, got.from);
  got.from->write(got.id + " served " + loopback::dated("t") + " 240000\r\n");
  ASSERT_TRUE(until([&] { return got.from->write("x"), fetches() == 4; }));
  for (auto& b : box) {
    for (auto& cmd : b.commands) {
      if (cmd.from != got.from) Box::answer(cmd, "served", "whole");
    }
  }
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 2; }));
  for (const auto& a : answers(c->in)) EXPECT_EQ(a.body, "whole");
}

// A start that is told while a connect hangs: what waited counts against the new process, and is no
// failure.
TEST_F(PendingConnectTest, ReturnsRequestsWithoutBlameWhenServerRestarts) {
  auto c = client(front->address());
  ask(*c);
  c->write(request(2, "asset", {{"item", object(2)}}));  // two failures in a row would put it out
  ASSERT_TRUE(until([&] { return engine->open_request_count() == 2; }));
  watch_->write(event(3, "s-b", box[1].address(), "in_service"));
  auto again = event(4, "s-a", late.address(), "in_service");
  const std::string born = "\"up_since_ms\":";
  again.replace(again.find(born), born.size() + 1, born + std::to_string(net::unix_now() / 1000));
  watch_->write(again);
  ASSERT_TRUE(until([&] { return box[1].count("fetch") == 2; })) << "its budget is empty yet";
  for (const auto& s : engine->endpoint_statuses()) EXPECT_TRUE(s.is_usable);
  answer_all("bytes");
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 2; }));
  settle();
  EXPECT_FALSE((late.let_up(), late.got("fetch")));
}

// An answer and the end of its connection arrive together.
TEST_F(EventRacesTest, CountsResponseWhenConnectionClosesBehindIt) {
  auto c = client(front->address());
  c->write(request(1, "asset", {}) + request(2, "asset", {{"item", object(2)}}));
  ASSERT_TRUE(until([&] { return fetches() == 2; }));
  const Command got = *fetch(1);
  Box::answer(got, "served", "in time");
  got.from->close();
  ASSERT_TRUE(until([&] { return !answers(c->in).empty(); }));
  EXPECT_EQ(answers(c->in)[0].body, "in time");
  ASSERT_TRUE(until([&] { return fetches() >= 2; }));
  for (auto& b : box) {
    for (auto& cmd : b.commands) {
      if (cmd.id != got.id && !cmd.from->ended) Box::answer(cmd, "served", "the other");
    }
  }
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 2; }));
  settle();
  EXPECT_EQ(answers(c->in).size(), 2u);
}

}  // namespace
