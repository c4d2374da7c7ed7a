// Tests of the admin server and of the metrics.
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <random>
#include <set>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "support/test_socket.h"

namespace alderspur {
namespace {

constexpr std::string_view kEndOfHead = " HTTP/1.1\r\nHost: x\r\n\r\n";

/// Encodes a request without a body.
std::string encode_call(std::string_view method_and_path) {
  return std::string(method_and_path) + std::string(kEndOfHead);
}

/// Records the open attempts. It never responds to them; the tests do so.
struct RecordingUpstream : core::UpstreamClient {
  void send(core::AttemptId attempt, ServerId /*server*/) override {
    open_attempts.push_back(attempt);
  }
  bool abort(core::AttemptId attempt) override {
    std::erase(open_attempts, attempt);
    return false;
  }
  void send_health_check(ServerId /*server*/) override {}

  std::vector<core::AttemptId> open_attempts;
};

/// Records the open requests and checks that each gets exactly one final response.
struct RecordingFront : core::Front {
  void respond(core::RequestHandle request, const core::Response& /*response*/) override {
    EXPECT_TRUE(open_requests.erase(request)) << "a request got more than one final response";
  }

  std::set<core::RequestHandle> open_requests;
};

Server cache(std::uint64_t id, std::uint32_t zone = 0) {
  return {{id}, Role::cache, {zone}, {0}, ServerStatus::ready, 4, 0};
}

/// An engine with two caches and two request classes, driven by random events.
class RandomEngineEvents {
 public:
  explicit RandomEngineEvents(unsigned seed)
      : random_(seed), engine_(settings(), seed, deadlines_, [this] { return now_; }) {
    engine_.attach(upstream_);
    engine_.update_endpoints({true, false, {cache(1), cache(2)}});
  }

  void step() {
    const auto event = random_() % 8;
    if (event < 3) {
      admit();
    } else if (event == 3 && !front_.open_requests.empty()) {
      const auto request = *front_.open_requests.begin();
      front_.open_requests.erase(request);
      engine_.cancel_request(request);
    } else if (event == 4 && !front_.open_requests.empty()) {
      engine_.finish_now(*front_.open_requests.rbegin());
    } else if (event == 5) {
      engine_.count_rejected(
          random_() % 2, random_() % 2 ? core::FinalStatus::rejected : core::FinalStatus::failed);
    } else if (event == 6) {
      now_ += static_cast<core::Time>(random_() % 400'000);
      deadlines_.run_due(now_);
    } else if (!upstream_.open_attempts.empty()) {
      respond_to_attempt();
    }
    engine_.run();
  }
  core::Engine& engine() { return engine_; }
  std::size_t unanswered_requests() const { return front_.open_requests.size(); }

 private:
  static Settings settings() {
    Settings settings;
    settings.classes.resize(2);
    settings.classes[1].idempotency = Idempotency::idempotent_with_key;
    settings.max_attempts = 3;
    settings.can_cancel_attempts = true;
    settings.sends_retry_after = true;
    return settings;
  }
  void admit() {
    core::RequestView request;
    request.object = random_() % 20;
    request.class_id = random_() % 2;
    request.time_limit = 1'000'000;
    request.size_kb = 100;
    request.id = "x";
    front_.open_requests.insert(engine_.admit(front_, request));
  }
  void respond_to_attempt() {
    using Result = AttemptResult;
    constexpr std::array kResults{Result::ok,    Result::ok,    Result::overloaded,
                                  Result::error, Result::reset, Result::connect_failed};
    const auto attempt = upstream_.open_attempts[random_() % upstream_.open_attempts.size()];
    if (random_() % 4) engine_.mark_written(attempt);
    std::erase(upstream_.open_attempts, attempt);
    engine_.on_upstream_response(
        attempt, {kResults[random_() % kResults.size()], false, "bytes", "t", 0, {}});
  }

  std::mt19937 random_;
  core::Time now_ = 1'000'000'000;
  core::Deadlines deadlines_;
  RecordingUpstream upstream_;
  RecordingFront front_;
  core::Engine engine_;
};

/// Returns the counters of all request classes added up.
core::ClassCounters sum_over_classes(core::Engine& engine) {
  core::ClassCounters sum;
  for (const auto& counters : engine.class_counters()) {
    sum.served += counters.served;
    sum.rejected += counters.rejected;
    sum.failed += counters.failed;
    sum.forwarded += counters.forwarded;
  }
  return sum;
}

// Checks after each of many random events that every admitted request is counted exactly once, as
// ended or as open, and that the counters of the classes add up to the totals.
TEST(MetricsTest, CountersAddUpInAnyOrderOfEvents) {
  std::uint64_t total_served = 0;
  std::uint64_t total_cancelled = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    RandomEngineEvents events(seed);
    core::Engine& engine = events.engine();
    for (int step = 0; step < 400; ++step) {
      events.step();
      const auto& counters = engine.counters();
      ASSERT_EQ(counters.admitted, counters.served + counters.rejected + counters.failed +
                                       counters.cancelled + engine.open_request_count())
          << seed << ' ' << step;
      const auto sum = sum_over_classes(engine);
      ASSERT_EQ(sum.served, counters.served);
      ASSERT_EQ(sum.rejected, counters.rejected);
      ASSERT_EQ(sum.failed, counters.failed);
      ASSERT_EQ(sum.forwarded, counters.forwarded);
      ASSERT_EQ(events.unanswered_requests(), engine.open_request_count());
    }
    total_served += engine.counters().served;
    total_cancelled += engine.counters().cancelled;
  }
  EXPECT_GT(total_served, 100U);
  EXPECT_GT(total_cancelled, 100U);
}

TEST(MetricsTest, RendersAvoidedCachesInTheExpositionFormat) {
  core::Deadlines deadlines;
  Settings settings;
  settings.classes.resize(1);
  core::Engine engine(settings, 1, deadlines, [] { return core::Time{1'000'000}; });
  RecordingUpstream upstream;
  engine.attach(upstream);
  Server parent = cache(3);
  parent.role = Role::parent;
  engine.update_endpoints({true, false, {cache(1), cache(2, 1), parent}});
  engine.set_ban({2}, true);
  engine.count_rejected(0, core::FinalStatus::rejected);
  engine.run();
  const auto text = admin::render_metrics(engine, {"asset"});
  for (const char* line :
       {"\n# TYPE edge_relay_busy counter\nedge_relay_busy{tier=\"asset\"} 1\n",
        "\nedge_relay_inflight 0\n", "\nedge_relay_hosts_listed 2\n", "\nedge_relay_hosts_down 1\n",
        "\nedge_relay_backend_calls{tier=\"asset\"} 0\n"}) {
    EXPECT_NE(text.find(line), std::string::npos) << line << "in\n" << text;
  }
}

/// Accepts ban changes of the cache s-1, stores the reply callback of a change of the server
/// "later", and replies with 404 for all other servers.
struct ScriptedAdminHandler : admin::AdminHandler {
  bool is_ready() override { return true; }
  std::string render_metrics() override { return "f 1\n"; }
  void change_ban(std::string_view server, bool /*is_banned*/, ReplyCallback done) override {
    if (server == "later") {
      pending_reply = std::move(done);
    } else {
      done({server == "s-1" ? 200 : 404, std::string(server) + "\n"});
    }
  }

  ReplyCallback pending_reply;
};

struct AdminServerTest : ::testing::Test {
  using SocketPtr = std::unique_ptr<loopback::TestSocket>;

  AdminServerTest() {
    loop.on_turn([this] {
      deadlines.run_due(net::unix_now());
      server.end_turn();
    });
  }
  /// Connects to the server and sends bytes.
  SocketPtr send(const std::string& bytes) const {
    auto socket = loopback::connect_to(server.address());
    socket->write(bytes);
    return socket;
  }
  /// Runs the loop and reads from the sockets until the condition holds. Returns false after 10 s.
  bool run_until(const std::function<bool()>& condition,
                 const std::vector<loopback::TestSocket*>& sockets) {
    for (const core::Time end = net::unix_now() + 10'000'000; net::unix_now() < end;) {
      ev_run(loop.raw(), EVRUN_NOWAIT);
      for (auto* socket : sockets) socket->poll();
      if (condition()) return true;
      ::usleep(200);
    }
    return false;
  }
  /// Sends a call and returns the status of the reply, or 0 if there was no reply.
  int status_of(const std::string& call) {
    const auto socket = send(call);
    EXPECT_TRUE(run_until([&] { return socket->is_closed; }, {socket.get()})) << call;
    return socket->received.starts_with("HTTP/1.1 ") ? std::stoi(socket->received.substr(9)) : 0;
  }

  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  ScriptedAdminHandler handler;
  admin::AdminServer server{loop, deadlines, *net::parse_address("127.0.0.1:0"), handler,
                            net::unix_now};
};

TEST_F(AdminServerTest, RepliesToEachCallWithItsStatus) {
  EXPECT_EQ(status_of(encode_call("GET /control/ready")), 200);
  EXPECT_EQ(status_of(encode_call("GET /control/counters?x=1")), 200);
  EXPECT_EQ(status_of(encode_call("PUT /control/ready")), 405);
  EXPECT_EQ(status_of(encode_call("GET /control/caches/s-1/offline")), 405);
  EXPECT_EQ(status_of(encode_call("PUT /control/caches/s-1/offline")), 200);
  EXPECT_EQ(
      status_of("PUT /control/caches/s-1/online HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
      200);
  EXPECT_EQ(status_of(encode_call("PUT /control/caches/s-2/online")), 404);
  EXPECT_EQ(status_of(encode_call("PUT /control/caches//online")), 404);
  EXPECT_EQ(status_of(encode_call("PUT /control/caches/online")), 404);
  EXPECT_EQ(status_of(encode_call("PUT /control/caches/a/b/online")), 404);
  EXPECT_EQ(status_of(encode_call("DELETE /")), 404);
  EXPECT_EQ(status_of("\x16\x03\x01 no http\r\n\r\n"), 400);
  EXPECT_EQ(status_of("GET /control/ready HTTP/1.1\r\nX: " + std::string(4000, 'x')), 431);
}

/// A sanitizer opens a pipe when it first checks a type. This function uses the types that the
/// pause of a listener needs, while descriptors are still free.
void use_shared_pointers_once() {
  const std::shared_ptr<bool> first = std::make_shared<bool>(true);
  std::shared_ptr<bool> second = first;
  second.reset();
}

// Guards against an admin server that cannot accept a call because clients use all descriptors of
// the process. Operators need the server most in that situation.
TEST_F(AdminServerTest, RepliesWhileTheProcessHasNoFreeDescriptors) {
  use_shared_pointers_once();
  ASSERT_EQ(status_of(encode_call("GET /control/ready")), 200);
  // Waits until the descriptor of that call is free again.
  const core::Time wait_end = net::unix_now() + 200'000;
  run_until([&] { return net::unix_now() > wait_end; }, {});
  std::vector<SocketPtr> sockets(3);
  for (auto& socket : sockets) socket = send(encode_call("GET /control/ready"));
  rlimit original_limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &original_limit), 0);
  rlimit low_limit = original_limit;
  low_limit.rlim_cur = 256;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &low_limit), 0);
  std::vector<net::Fd> used_descriptors;
  for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) used_descriptors.emplace_back(fd);
  EXPECT_EQ(errno, EMFILE);
  for (auto& socket : sockets) {
    EXPECT_TRUE(run_until([&] { return socket->is_closed; },
                          {sockets[0].get(), sockets[1].get(), sockets[2].get()}));
    EXPECT_TRUE(socket->received.starts_with("HTTP/1.1 200")) << socket->received;
  }
  used_descriptors.clear();
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &original_limit), 0);
}

// Guards against connections without a complete request that lock out all other callers.
TEST_F(AdminServerTest, ClosesSilentConnectionsWhenAllConnectionsAreInUse) {
  std::vector<SocketPtr> silent(120);
  for (std::size_t i = 0; i < 60; ++i) silent[i] = send(i % 2 ? "GET /control/re" : "");
  EXPECT_EQ(status_of(encode_call("GET /control/ready")), 200);
  const auto waiting = send(encode_call("PUT /control/caches/later/offline"));
  ASSERT_TRUE(run_until([&] { return static_cast<bool>(handler.pending_reply); }, {waiting.get()}));
  for (std::size_t i = 60; i < silent.size(); ++i) silent[i] = send("");
  EXPECT_EQ(status_of(encode_call("GET /control/ready")), 200);
  handler.pending_reply({200, "done\n"});  // a call in progress keeps its connection
  ASSERT_TRUE(run_until([&] { return waiting->is_closed; }, {waiting.get()}));
  EXPECT_NE(waiting->received.find(" 200 OK"), std::string::npos);
}

}  // namespace
}  // namespace alderspur
