// The platform's side over loopback, and its codecs and the core without sockets.
#include <msgpack.h>

#include <algorithm>
#include <sstream>

#include "loopback.h"
#include "rpc_front/rpc_codec.h"
#include "upstream/cache_protocol.h"

namespace {

using namespace alderspur;

using loopback::answers;
using loopback::Box;
using loopback::Command;
using loopback::request;

const std::string kKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
class Platform : public loopback::BoardStory {};

TEST_F(Platform, ForwardsRequestUnchangedAndReturnsWholeBodyWhenBytesArriveOneByOne) {
  auto c = client(front->address());
  const std::string all =
      request(1, "plan-accept", {{"unique", kKey}, {"slice", "3"}, {"seen", "ab"}}, "pay\r\nme");
  for (const char byte : all) {  // one byte at a time
    c->write(std::string_view(&byte, 1));
    ev_run(loop.raw(), EVRUN_NOWAIT);
  }
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  const Command got = *fetch();
  EXPECT_EQ(got.id, "9b1f03aa5c7e2d41");
  EXPECT_EQ(got.body, "pay\r\nme");
  const std::map<std::string, std::string> want{
      {"lane", "plan-accept"}, {"name", "7f3a9c21e0b4d655"},
      {"piece", "3"},          {"dedupe", kKey},
      {"next", "s-o"},         {"cached", "ab"}};
  for (const auto& [k, v] : want) EXPECT_EQ(got.fields.at(k), v) << k;
  EXPECT_LT(std::stoi(got.fields.at("ttl")), 20000);
  const std::string body(240'000, 'x');
  Box::answer(got, "served", body);
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 1; }));
  EXPECT_EQ(answers(c->in)[0].body, body);
  c->write(request(2, "asset", {{"seen", "ab"}}));
  ASSERT_TRUE(until([&] { return fetches() == 2; }));
  Box::answer(got.id == fetch(2)->id ? *fetch(1) : *fetch(2), "still_good", {},
              loopback::dated("ab"));
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 2; }));
  EXPECT_EQ(answers(c->in)[1].fields["current"], "1");
}

TEST_F(Platform, SendsToNextCacheWhenConnectIsRefused) {
  auto c = client(front->address());
  box[0].stop();
  for (unsigned i = 1; i <= 4; ++i) {
    c->write(request(i, "plan-accept",
                     {{"item", "000000000000000" + std::to_string(i)}, {"unique", kKey}}));
    ASSERT_TRUE(until([&] { return box[1].count("fetch") == i; }));
    Box::answer(box[1].commands.back(), "served", "ok");
    ASSERT_TRUE(until([&] { return answers(c->in).size() == i; }));
  }
  EXPECT_EQ(engine->counters().served, 4u);
}

TEST_F(Platform, AbortsAttemptAndSendsNoResponseWhenCallIsCancelled) {
  auto c = client(front->address());
  c->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  c->write(loopback::withdraw(1));
  ASSERT_TRUE(until([&] { return box_of(*fetch()).count("abort") == 1; }));
  Box::answer(*fetch(), "served", "late");
  settle();
  EXPECT_TRUE(answers(c->in).empty());
  EXPECT_EQ(engine->counters().late_responses, 1u);
}

// Guards against a late answer of the attempt given up passing for the next one's under the same
// id.
TEST_F(Platform, RetriesEachAttemptOnceWhenConnectionIsLost) {
  auto c = client(front->address());
  for (unsigned i = 1; i <= 3; ++i) c->write(request(i, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 3; }));
  Box& first = box_of(*fetch());
  Box& second = &first == &box[0] ? box[1] : box[0];
  const auto before = second.count("fetch");
  first.stop();
  ASSERT_TRUE(until([&] {
    return second.count("fetch") == 3 || engine->counters().rejected + second.count("fetch") >= 3;
  }));
  for (const auto& cmd : second.commands) Box::answer(cmd, "served", "again");
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 3; }));
  EXPECT_GE(second.count("fetch"), before);
  settle();
  EXPECT_EQ(answers(c->in).size(), 3u);
}

// Guards against caches being sent what they can't read or use: they would close, on others'
// requests too.
TEST_F(Platform, ClosesOnlyItsConnectionWhenFrameIsUnreadableAndRejectsInvalidFields) {
  auto bad = client(front->address());
  auto good = client(front->address());
  bad->write("\xc1garbage");
  ASSERT_TRUE(until([&] { return bad->ended; }));
  good->write(request(1, "no-such-class", {}) + request(2, "asset", {}, "a body") +
              request(3, "plan-accept", {}) +
              request(4, "plan-accept", {{"unique", kKey}}, std::string(48'001, 'x')));
  unsigned id = 4;
  for (const auto& [field, values] : std::map<std::string, std::vector<std::string>>{
           {"item", {"", "not hex", "7f", "7F3A9C21E0B4D655"}},
           {"txn", {"", "a,b=c", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d4 "}},
           {"limit", {"", "0", "-5", "nan", "soon", "30002", "99999999999999999999999"}},
           {"slice", {"", "-1", "1e12", "4000000000"}},
           {"set", {"", "256", "x", "-1"}},
           {"ram", {"inf", "-1", "1e300"}},
           {"unique", {kKey}}}) {
    for (const auto& value : values) good->write(request(++id, "asset", {{field, value}}));
  }
  ASSERT_TRUE(until([&] { return answers(good->in).size() == id; }));
  for (const auto& a : answers(good->in)) EXPECT_EQ(a.error, "Failed") << a.id;
  // Answered, so counted: what a client was told is in the figures, though nothing was sent for it.
  EXPECT_EQ(engine->counters().admitted, id);
  EXPECT_EQ(engine->counters().failed, id);
  EXPECT_EQ(engine->counters().forwarded, 0u);
}

TEST_F(Platform, RejectsSecondRequestWhenOpenIdNamesAnotherObject) {
  auto usual = client(front->address());
  auto bad = client(front->address());
  usual->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  bad->write(request(1, "asset", {{"item", "0000000000000001"}}));
  ASSERT_TRUE(until([&] { return answers(bad->in).size() == 1; }));
  EXPECT_EQ(answers(bad->in)[0].error, "Failed");
  Box::answer(*fetch(), "served", "whole");
  ASSERT_TRUE(until([&] { return answers(usual->in).size() == 1; }));
  EXPECT_EQ(answers(usual->in)[0].body, "whole");
  bad->write(request(2, "asset", {{"item", "0000000000000001"}, {"txn", "9b1f03aa5c7e2d41"}}));
  ASSERT_TRUE(until([&] { return fetches() == 2; })) << "over, it is free again";
}

TEST_F(Platform, RejectsWithRetryAfterWhenClientHasTooManyOpenCalls) {
  auto c = client(front->address());
  for (unsigned i = 1; i <= 40; ++i) c->write(request(i, "asset", {}));
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 8; }));
  for (const auto& a : answers(c->in)) EXPECT_EQ(a.error + a.fields.at("later"), "Busy500");
}

// Guards against clients that hold a place and say nothing, or only half of it, or that asked once
// and stay.
TEST_F(Platform, ClosesSilentClientsAfterTimeoutAndIdleOnesWhenPlacesRunOut) {
  const auto started = net::unix_now();
  auto silent = client(front->address());
  auto half = client(front->address());
  auto idle = client(front->address());
  half->write(request(1, "asset", {}).substr(0, 30));
  idle->write(request(1, "no-such-class", {}));
  ASSERT_TRUE(until([&] { return silent->ended && half->ended; }));
  EXPECT_GT(net::unix_now(), started + 1'500'000);
  EXPECT_FALSE(idle->ended);
  std::vector<std::unique_ptr<loopback::Socket>> many;
  many.reserve(70);
  for (int i = 0; i < 70; ++i) many.push_back(client(front->address()));  // the story allows 64
  auto& last = *many.back();
  last.write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  Box::answer(*fetch(), "served", "in time");
  ASSERT_TRUE(until([&] { return answers(last.in).size() == 1; }));
  EXPECT_TRUE(idle->ended);
  EXPECT_GE(std::count_if(many.begin(), many.end(), [](auto& m) { return m->ended; }), 6);
}

// Guards against passing on what is spoilt: lines without a length, without tag and date, with
// lengths that don't fit, confirmations of a copy that the client never named.
TEST_F(Platform, FailsAttemptAndClosesConnectionWhenResponseIsCorrupted) {
  auto c = client(front->address());
  std::size_t asked = 0;
  unsigned id = 0;
  for (const std::string spoilt :
       {"served - twelve\r\n", "served - 0\r\n", "served sum=t,t0=1764576000000\r\n",
        "still_good sum=t,t0=1 0\r\n", "served sum=t,t0=1 3000000000\r\n",
        "served sum=t,t0=1 3\r\nbytes\r\n", "good\r\n"}) {
    c->write(request(++id, "asset", {}));
    ASSERT_TRUE(until([&] { return fetches() == asked + 1; }));
    const auto last = [&] {
      return box[0].commands.empty() ? box[1].commands.back() : box[0].commands.back();
    };
    const Command got = last();
    got.from->write(got.id + ' ' + spoilt);
    ASSERT_TRUE(until([&] { return got.from->poll(), got.from->ended; })) << spoilt;
    ASSERT_TRUE(until([&] { return fetches() == asked + 2 || answers(c->in).size() == id; }));
    for (auto& b : box) {
      for (auto& cmd : b.commands) {
        if (cmd.id == got.id && !cmd.from->ended) Box::answer(cmd, "served", "good");
      }
    }
    ASSERT_TRUE(until([&] { return answers(c->in).size() == id; })) << spoilt;
    EXPECT_NE(answers(c->in).back().body, "bytes");
    for (auto& b : box) b.commands.clear();
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
  auto c = client(front->address());
  c->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  Box::answer(*fetch(), "overload");
  ASSERT_TRUE(until([&] { return fetches() == 2; }));
  Box::answer(*fetch(), "served", "the second copy");
  settle();
  EXPECT_TRUE(answers(c->in).empty());
  Box::answer(*fetch(2), "served", "its own");
  ASSERT_TRUE(until([&] { return answers(c->in).size() == 1; }));
  EXPECT_EQ(answers(c->in)[0].body, "its own");
}

class Watched : public Platform {
 protected:
  Watched() { probing = true; }
  // Until it holds, the boxes answer probes on all connections but that one.
  bool until_but(const loopback::Socket* silent, const std::function<bool()>& holds) {
    return until([&] {
      for (auto* b : {&box[0], &box[1], &origin}) {
        for (auto& cmd : b->commands) {
          if ((cmd.word == "alive" || cmd.word == "stats") && cmd.from != silent) {
            Box::answer(cmd, "green"), cmd.word = "answered";
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
    for (auto& b : box) b.commands.clear();
    auto c = client(front->address());
    for (unsigned i = 1; i <= 2; ++i) c->write(request(i, "asset", {{"ram", "90"}}));
    ASSERT_TRUE(until_but(nullptr, [&] { return fetches() == 2; }));
    const Command first = *fetch(1);
    const Command second = *fetch(2);
    ASSERT_EQ(first.from, second.from);
    if (half) {
      first.from->write(first.id + " served " + loopback::dated("t") + " 100\r\nhalf of it");
    }
    ASSERT_TRUE(until_but(first.from, [&] { return fetches() == 4; }));
    for (std::size_t i = 3; i <= 4; ++i) {
      EXPECT_EQ(&box_of(*fetch(i)), &box_of(first));
      Box::answer(*fetch(i), "served", "again");
    }
    ASSERT_TRUE(until_but(first.from, [&] { return answers(c->in).size() == 2; }));
    watched.clear();
  }
  EXPECT_EQ(engine->counters().silent_upstream_connections, 2u);
}

// Guards against a reset under a probe passing for a sick machine.
TEST_F(Watched, SendsHealthCheckAgainWhenConnectionIsReset) {
  bool again = false;
  for (int i = 0; i < 20 && !again;
       ++i) {  // a probe has a quarter of a second, which a slow machine may miss
    const auto before = box[0].count("stats");
    caches->send_health_check(config.known_events[0].members[0].server.id);
    ASSERT_TRUE(until([&] { return box[0].count("stats") > before; }));
    box[0].commands.back().from->reset();
    settle();
    again = box[0].count("stats") > before + 1;
  }
  EXPECT_TRUE(again);
}

// Guards against a full box passing for a dead one, and against a dial for each probe of it.
TEST_F(Watched, AcceptsLateHealthCheckReplyAndDialsOnceWhenCacheIsSlow) {
  const auto id = config.known_events[0].members[0].server.id;
  caches->send_health_check(id);
  ASSERT_TRUE(until([&] { return box[0].count("stats") == 1; }));
  for (std::size_t i = 1; i <= 5; ++i) {
    const auto end = net::unix_now() + 260'000;  // past the time of the probe before
    until([&] { return net::unix_now() > end; });
    caches->send_health_check(id);
    ASSERT_TRUE(until([&] { return box[0].count("stats") == i + 1; }));
  }
  EXPECT_EQ(box[0].connections.size(), 2u);
  const auto late = engine->counters().late_responses;
  for (auto& cmd : box[0].commands) Box::answer(cmd, "overload");
  settle();
  EXPECT_EQ(engine->counters().late_responses, late) << "each word was waited for";
}

// Guards against a probe on every connection whose one request takes long, as most do where many
// routers share the work.
TEST_F(Watched, SendsNoLivenessQueryWhenSilenceIsUsual) {
  std::uint64_t early = 0;
  for (unsigned i = 1; i <= 6; ++i) {
    auto c = client(front->address());
    c->write(request(1, "asset", {{"ram", "90"}}));
    ASSERT_TRUE(until_but(nullptr, [&] { return fetches() == i; }));
    const auto end = net::unix_now() + 450'000;
    until_but(nullptr, [&] { return net::unix_now() > end; });
    Box::answer(*fetch(i), "served", "slow");
    ASSERT_TRUE(until_but(nullptr, [&] { return !answers(c->in).empty(); }));
    if (i == 2) early = engine->counters().health_checks;
    watched.clear();
  }
  EXPECT_GT(early, 0u);
  EXPECT_LE(engine->counters().health_checks, early + 1)
      << "the other four waited as the first did";
}

// Guards against the same for a large answer, which a box gives in one piece after its own sending
// time.
TEST_F(Watched, SendsNoLivenessQueryWhenLargeResponseIsDue) {
  auto c = client(front->address());
  c->write(request(1, "asset", {{"ram", "90000"}}));  // ten seconds at the top pace
  ASSERT_TRUE(until_but(nullptr, [&] { return fetches() == 1; }));
  const auto end = net::unix_now() + 900'000;
  until_but(nullptr, [&] { return net::unix_now() > end; });
  EXPECT_EQ(engine->counters().health_checks, 0u);
}

// Guards against one reset taking all that is open at a box along.
TEST_F(Platform, UsesSeveralConnectionsWhenCacheIsBusy) {
  auto c = client(front->address());
  for (unsigned i = 1; i <= 30; ++i) {
    c->write(
        request(i, "asset", {{"ram", "9"}, {"txn", "00000000000000" + std::to_string(10 + i)}}));
    ASSERT_TRUE(until([&] { return fetches() == i; }));
  }
  std::map<loopback::Socket*, int> open;
  for (auto& b : box) {
    for (auto& cmd : b.commands) ++open[cmd.from];
  }
  EXPECT_LE(open.size(), 12u);
  for (const auto& [from, n] : open) EXPECT_LE(n, 12);
  EXPECT_GE(open.size(), 4u);
}

TEST_F(Platform, RespondsWhenClientHasHalfClosed) {
  auto c = client(front->address());
  c->write(request(1, "asset", {}));
  c->half_close();
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  Box::answer(*fetch(), "served", "still here");
  ASSERT_TRUE(until([&] { return c->ended; }));
  ASSERT_EQ(answers(c->in).size(), 1u);
  EXPECT_EQ(answers(c->in)[0].body, "still here");
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
  auto w = watcher();
  ASSERT_TRUE(until([&] { return w->in == "watch 1\n"; }));
  const auto gone = [&](int rev, const char* id, Box& b) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"pool":{"complete":false,"members":[{"id":")" +
           id + R"(","host_port":")" + b.address() +
           "\",\"locality\":\"edge\",\"flavor\":\"small\",\"cell\":0,\"phase\":\"terminating\","
           "\"size\":4,"
           "\"up_since_ms\":0}]}}\n";
  };
  w->write(gone(2, "s-a", box[0]) + "2\nnot json\n");
  settle();
  auto c = client(front->address());
  for (unsigned i = 1; i <= 8; ++i) {
    c->write(request(i, "asset", {{"item", "000000000000000" + std::to_string(i)}}));
  }
  ASSERT_TRUE(until([&] { return fetches() == 8; }));
  EXPECT_EQ(box[0].count("fetch"), 0u);
  w->close();
  watched.clear();
  watched.push_back(c.get());
  auto again = watcher();
  ASSERT_TRUE(until([&] { return again->in == "watch 2\n"; }));
}

// Guards against a crowd of useless requests, or for the status only, each on a connection of its
// own that stays: those that can be used must be taken up at once. Guards against a spoilt feed:
// what cannot be read or used costs one line a kind and nothing else.
TEST_F(Platform, KeepsEndpointsAndLogsOnceWhenEventsAreInvalid) {
  std::vector<std::string> lines;
  engine->invalid_input_log().set_sink(
      [&](const std::string& event, const std::string&) { lines.push_back(event); });
  auto w = watcher();
  const auto member = [](const char* id, const std::string& address, const char* phase) {
    return R"({"id":")" + std::string(id) + R"(","host_port":")" + address +
           R"(","locality":"edge","flavor":"small","cell":0,"phase":")" + phase +
           R"(","size":4,"up_since_ms":0})";
  };
  const auto listing = [](int rev, const std::string& members) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"pool":{"complete":false,"members":[)" +
           members + "]}}\n";
  };
  for (int i = 0; i < 500; ++i) w->write(i % 2 ? "{\"rev\":\n" : "\x01 no json at all\n");
  w->write("{\"rev\":2,\"pool\":{\"complete\":true,\"members\":\"none\"}}\n");
  w->write(listing(2, member("s-a", "nowhere", "in_service") + ',' +
                          member("s-a", "nowhere", "in_service") + ',' +
                          member("s-x", "256.1.1.1:70000", "in_service")));
  w->write(listing(3, member("s-y", box[0].address(), "asleep")));
  w->write(
      listing(3, member("s-b", box[1].address(), "terminated")));  // a repeat tells nothing new
  settle();
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "invalid_watch_event"), 1);
  EXPECT_EQ(std::count(lines.begin(), lines.end(), "invalid_address"), 1);
  auto c = client(front->address());
  for (unsigned i = 1; i <= 12; ++i) {
    c->write(request(i, "asset",
                     {{"txn", "00000000000000" + std::to_string(10 + i)},
                      {"item", "00000000000000" + std::to_string(10 + i)}}));
  }
  ASSERT_TRUE(until([&] { return fetches() == 12; }));
  EXPECT_GT(box[0].count("fetch"), 0u) << "the address that was good stays";
  EXPECT_GT(box[1].count("fetch"), 0u);
  w->write(listing(4, member("s-a", "nowhere", "in_service")));
  settle();
  w->write(listing(5, member("s-a", box[0].address(), "in_service")));
  settle();
  EXPECT_EQ(fetches(), 12u) << "the same address once more moves nobody";
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
  std::vector<std::unique_ptr<loopback::Socket>> bad;
  auto usual = client(front->address());
  usual->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  watched.assign(1, usual.get());
  for (int i = 0; i < 400; ++i) {
    bad.push_back(loopback::dial(front->address()));
    bad.back()->write(request(1, i % 2 ? "no-such-class" : "status", {}));
    if (i % 16 != 15) continue;
    ASSERT_TRUE(until(
        [&] { return engine->counters().invalid_requests == (static_cast<unsigned>(i) + 1) / 2; }));
  }
  auto last = client(front->address());
  last->write(request(1, "asset", {{"item", "0000000000000002"}, {"txn", "0000000000000001"}}));
  ASSERT_TRUE(until([&] { return fetches() == 2; }));
  EXPECT_EQ(engine->counters().deferred_accepts, 0u);
  EXPECT_FALSE(usual->ended);
}

// Guards against a listener that spins, or forgets its clients, once all places are taken by open
// requests.
TEST_F(Platform, DefersAcceptsUntilClientsLeaveWhenAllPlacesAreBusy) {
  std::vector<std::unique_ptr<loopback::Socket>> clients;
  for (int i = 0; i < 64; ++i) {
    clients.push_back(client(front->address()));
    const auto txn = "00000000000000" + std::to_string(10 + i);
    clients.back()->write(request(1, "asset", {{"ram", "9"}, {"txn", txn}}));
  }
  ASSERT_TRUE(until([&] { return fetches() == 64; }));
  clients.push_back(client(front->address()));
  auto& last = *clients.back();
  last.write(request(2, "asset", {{"ram", "9"}}));
  settle();
  EXPECT_GT(engine->counters().deferred_accepts, 0u);
  EXPECT_LT(engine->counters().deferred_accepts, 40u) << "it rests between tries";
  watched.assign(1, &last);
  for (int i = 0; i < 20; ++i) clients[static_cast<std::size_t>(i)]->reset();
  ASSERT_TRUE(until([&] { return fetches() == 65; }));
}

// Guards against one slow reader holding up the others or losing bytes of its own.
TEST_F(Platform, DeliversEverythingWithoutDelayingOthersWhenReaderIsSlow) {
  auto slow = client(front->address());
  auto quick = client(front->address());
  watched.assign(1, quick.get());
  const std::string body(240'000, 'y');
  for (unsigned i = 1; i <= 24; ++i) slow->write(request(i, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 24; }));
  for (std::size_t i = 1; i <= 24; ++i) {
    const Command c = *fetch(i);
    const std::string head = c.id + " served " + loopback::dated("t") + " 240000\r\n";
    // The stand-in box waits for room; the router reads it meanwhile.
    std::string all = head + body + "\r\n";
    ASSERT_TRUE(until([&] {
      all.erase(0, c.from->write_some(all));
      return all.empty();
    }));
  }
  quick->write(request(1, "asset", {}));
  ASSERT_TRUE(until([&] { return fetches() == 25; }));
  for (auto& b : box) {
    if (!b.commands.empty() && b.commands.back().from) {
      Box::answer(b.commands.back(), "served", "quick");
    }
  }
  ASSERT_TRUE(until([&] { return answers(quick->in).size() == 1; }));
  watched.push_back(slow.get());
  ASSERT_TRUE(
      until([&] { return slow->in.size() > 24 * body.size() && answers(slow->in).size() == 24; }));
  for (const auto& a : answers(slow->in)) EXPECT_EQ(a.body, body);
}

// Guards against a connect that never comes up: nothing ran, so the next box is asked in time.
class HungConnect : public Platform,
                    public ::testing::WithParamInterface<std::pair<core::Time, const char*>> {};
TEST_P(HungConnect, SendsToNextCacheWhenConnectHangs) {
  const auto [dial_timeout, limit] = GetParam();
  sockaddr_in at{};
  const int full = loopback::bound(at);
  ::listen(full, 0);
  std::vector<int> fillers;
  for (int i = 0; i < 4; ++i) {  // its queue is full: further connects hang
    fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    (void)::connect(fillers.back(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  config.connect_timeout = dial_timeout;
  auto member = config.known_events[0].members[0];
  member.address = net::to_string(at);
  caches->update_endpoint(member);
  auto c = client(front->address());
  for (unsigned i = 1; i <= 6; ++i) {
    c->write(request(
        i, "plan-accept",
        {{"item", "000000000000000" + std::to_string(i)}, {"unique", kKey}, {"limit", limit}}));
  }
  std::size_t answered = 0;
  ASSERT_TRUE(until([&] {
    for (; answered < box[1].commands.size(); ++answered) {
      if (box[1].commands[answered].word == "fetch")
        Box::answer(box[1].commands[answered], "served", "moved");
    }
    return answers(c->in).size() == 6;
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
