// Sends drawn series of signals to the two programs at drawn moments of their life. A failed check
// prints its seed, which reproduces the series.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hot_restart/shared_directory.h"
#include "replication/stored_bans.h"
#include "store/endpoint_state.h"
#include "support/router_process.h"

namespace {

using namespace alderspur;
using core::Time;
using loopback::FakeCache;
using loopback::RouterProcess;
using loopback::TestSocket;

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
/// The platform kills a process no earlier than 3.7 s after SIGTERM.
constexpr Time kEarliestKill = 3'700'000;
constexpr std::array kHandledSignals = {SIGTERM, SIGHUP, SIGINT, SIGUSR1};
constexpr std::array kHarmlessSignals = {SIGHUP, SIGUSR1};

enum class Program : std::uint8_t { edge_router, alderspur };

/// The signals of one run and the moments of the other events.
struct SignalSeries {
  explicit SignalSeries(std::uint64_t seed) : random_(seed) {
    program = draw(2) == 0 ? Program::edge_router : Program::alderspur;
    if (draw(3) == 0) in_start = draw_signals(4, draw(4) == 0);
    while_serving = draw_signals(6, false);
    is_interrupted = draw(8) == 0;
    repeated_after = static_cast<Time>(draw(8)) * 100 * kMillisecond;
    interval = 50 + static_cast<Time>(draw(1000));
    cache_responds_after = static_cast<Time>(draw(1500)) * kMillisecond;
    ban_after = static_cast<Time>(draw(800)) * kMillisecond;
  }
  /// Returns a signal for the time after the first SIGTERM.
  int draw_repeated() { return std::array{SIGTERM, SIGHUP, SIGUSR1}[draw(3)]; }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  /// Reports whether the shutdown begins as soon as the event loop runs.
  bool ends_in_start() const {
    return std::find(in_start.begin(), in_start.end(), SIGTERM) != in_start.end();
  }

  Program program{};
  std::vector<int> in_start;       // before the event loop runs
  std::vector<int> while_serving;  // before the shutdown
  bool is_interrupted = false;     // SIGINT takes the place of the first SIGTERM
  // After the first SIGTERM:
  Time repeated_after = 0;  // a signal is sent in each interval from then on until the exit
  Time interval = 0;
  Time cache_responds_after = 0;
  Time ban_after = 0;  // an operator's call

 private:
  std::vector<int> draw_signals(std::uint64_t max_count, bool has_sigterm) {
    std::vector<int> signals;
    for (std::uint64_t count = draw(max_count); count > 0; --count) {
      signals.push_back(kHarmlessSignals[draw(kHarmlessSignals.size())]);
    }
    if (has_sigterm) signals.insert(signals.begin(), SIGTERM);
    return signals;
  }
  std::mt19937_64 random_;
};

/// One program with a cache, a client and an operator.
class SignalsTest : public ::testing::Test {
 protected:
  SignalsTest() {
    char name[] = "/tmp/alderspur-signals-XXXXXX";
    folder = ::mkdtemp(name);
    std::filesystem::create_directories(shared_directory());
    std::ofstream(folder + "/servers.toml")
        << "format = 1\ngeneration = 7\nservers = 1\n[[hub]]\nname = \"hub\"\n[[point]]\nname = "
           "\"edge\"\nhub = \"hub\"\n[[server]]\nid = \"s\"\nrole = \"cache\"\npoint = "
           "\"edge\"\naddress = \""
        << cache.address() << "\"\nweight = 4.0\nstate = \"in_service\"\ncell = 0\n";
  }
  ~SignalsTest() override {
    program.reset();
    std::filesystem::remove_all(folder);
  }
  std::string shared_directory() const { return folder + "/shared"; }
  std::string state_directory() const { return folder + "/state"; }
  std::string config() const {
    const std::string one_zone = R"("azs":["edge"],"zone":0)";
    std::string text = loopback::config_with(cache, {}, 3 * kSecond);
    return text.replace(text.find(one_zone), one_zone.size(), R"("azs":["hub","edge"],"zone":1)");
  }
  std::string settings() const {
    return "[router]\nconfig = \"config.json\"\noperator = \"127.0.0.1:0\"\n[membership]\n"
           "authority = \"both\"\nlist = \"" +
           folder + "/servers.toml\"\nstate = \"" + state_directory() + "\"\n" + more_settings;
  }
  // Makes the program a member of a cluster of its own, which stores replicated bans.
  void join_cluster() {
    std::ofstream(folder + "/secret") << std::string(40, 'x') << "\n";
    more_settings = "[cluster]\nname = \"tests\"\nmember = \"n0\"\nlisten = \"127.0.0.1:0\"\n" +
                    std::string("seeds = []\nsecret = \"") + folder + "/secret\"\nstate = \"" +
                    folder + "/cluster\"\n";
  }
  // Returns the bans that the next process would start with.
  std::optional<replication::BanSet> replicated_bans() const {
    const auto epoch = store::load_file(folder + "/cluster/epoch", 4096).payload.value_or("");
    const auto bans = store::load_file(folder + "/cluster/replica.bans", 1 << 20).payload;
    if (epoch.empty() || !bans) return std::nullopt;
    return replication::decode_stored_bans(*bans, std::stoull(epoch.substr(epoch.rfind(' '))));
  }
  // Lets each change of the bans in the shared directory wait, as a process does that is stopped in
  // the middle of a change.
  void hang_shared_directory() {
    for (const auto& entry : std::filesystem::directory_iterator(shared_directory())) {
      if (entry.path().extension() != ".lock") continue;
      held_lock = net::Fd(::open(entry.path().c_str(), O_RDWR));
    }
    ASSERT_EQ(::flock(held_lock.get(), LOCK_EX), 0);
  }

  // Creates the process, which then waits for its configuration.
  void create(Program kind) {
    cache.commands.clear();
    const bool is_edge_router = kind == Program::edge_router;
    program =
        std::make_unique<RouterProcess>("", shared_directory(), is_edge_router ? "127.0.0.1:0" : "",
                                        true, is_edge_router ? "" : settings());
  }
  // Hands over the configuration after these signals, which the process holds until it serves.
  void configure_after(const std::vector<int>& signals) {
    program->configure_with(
        [&] {
          program->replace_configuration(config());  // for reloads
          for (const int number : signals) program->send_signal(number);
        },
        config());
  }
  void wait_until_serving() {
    client = loopback::connect_to(program->wait_for_address_after("platform clients on "));
    admin_address = program->wait_for_address_after("operators on ");
  }
  void poll() {
    cache.poll();
    client->poll();
    if (operator_call) operator_call->poll();
    log += program->read_available_log();
  }
  bool run_until(const std::function<bool()>& condition, Time timeout) {
    for (const Time end = net::steady_now() + timeout; net::steady_now() < end;) {
      poll();
      if (condition()) return true;
      ::usleep(200);
    }
    return condition();
  }
  // Sends a request and waits until the cache has received it. The event loop then runs.
  void send_request() {
    client->write(loopback::encode_request(1, "asset",
                                           {{"txn", "00000000000000aa"},
                                            {"item", "00000000000000aa"},
                                            {"limit", "3000"},
                                            {"ram", "90"}}));
    ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 1; }, 20 * kSecond)) << log;
  }
  // Calls an operator's command. The response arrives in `operator_call`.
  void call(const std::string& path) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto* address = reinterpret_cast<const sockaddr*>(&admin_address);
    if (::connect(fd, address, sizeof admin_address) != 0) {
      ::close(fd);
      return;
    }
    operator_call = std::make_unique<TestSocket>(fd);
    operator_call->write("PUT " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  }
  bool is_acknowledged() const {
    return operator_call && operator_call->received.find("HTTP/1.1 200") != std::string::npos;
  }
  std::set<std::string> stored_bans() const {
    std::string key;
    for (const auto& entry : std::filesystem::directory_iterator(shared_directory())) {
      const auto name = entry.path().filename().string();
      if (name.ends_with(".bans.a")) key = name.substr(10, name.size() - 10 - 7);
    }
    return hot_restart::SharedDirectory(shared_directory(), key).read_bans().list.servers;
  }
  // Returns the signals that a thread of the process blocks, as the kernel's bit mask.
  static std::uint64_t blocked_signals(const std::filesystem::path& thread) {
    std::ifstream status(thread / "status");
    for (std::string word; status >> word;) {
      if (word == "SigBlk:" && status >> word) return std::stoull(word, nullptr, 16);
    }
    return 0;
  }

  FakeCache cache;
  std::string folder;
  std::string more_settings;
  net::Fd held_lock;
  std::string log;
  std::unique_ptr<RouterProcess> program;
  std::unique_ptr<TestSocket> client;
  std::unique_ptr<TestSocket> operator_call;
  sockaddr_in admin_address{};
};

// Plays one series and checks its outcome: the exit code, the time until the exit, one response for
// the client's request, and that what an operator was told to be done is on the disk.
class SignalSeriesTest : public SignalsTest, public ::testing::WithParamInterface<std::uint64_t> {
 protected:
  void play(SignalSeries& series) {
    create(series.program);
    configure_after(series.in_start);
    wait_until_serving();
    if (!series.ends_in_start()) {
      ASSERT_NO_FATAL_FAILURE(serve(series));
    }
    end(series);
  }
  void serve(SignalSeries& series) {
    ASSERT_NO_FATAL_FAILURE(send_request());
    for (const int number : series.while_serving) {
      program->send_signal(number);
      run_until([] { return false; }, static_cast<Time>(series.draw(5)) * kMillisecond);
    }
  }
  void end(SignalSeries& series) {
    const Time began_at = net::steady_now();
    program->send_signal(series.is_interrupted ? SIGINT : SIGTERM);
    Time next_signal_at = began_at + series.repeated_after;
    bool has_called = false;
    bool has_responded = false;
    while (!program->has_exited() && net::steady_now() < began_at + 20 * kSecond) {
      poll();
      const Time now = net::steady_now();
      if (!has_called && now >= began_at + series.ban_after) {
        has_called = true;
        call("/control/caches/s/offline");
      }
      if (!has_responded && cache.count("fetch") > 0 &&
          now >= began_at + series.cache_responds_after) {
        has_responded = true;
        FakeCache::respond(cache.commands[0], "served", "bytes");
      }
      if (now >= next_signal_at) {
        next_signal_at = now + series.interval;
        program->send_signal(series.draw_repeated());
      }
      ::usleep(50);
    }
    exited_after = net::steady_now() - began_at;
    exit_code = program->wait_for_exit();
    poll_rest();
  }
  void poll_rest() {
    client->poll();
    if (operator_call) operator_call->poll();
  }

  Time exited_after = 0;
  int exit_code = -1;
};

// Guards against a signal that kills a process in its shutdown, and against a shutdown that it cuts
// off: requests without a response, or a saved ban or endpoint list that is missing.
TEST_P(SignalSeriesTest, ExitsWithZeroInTimeAndKeepsWhatWasAcknowledged) {
  SignalSeries series(GetParam());
  ASSERT_NO_FATAL_FAILURE(play(series));
  EXPECT_EQ(exit_code, 0) << log;
  EXPECT_LE(exited_after, kEarliestKill);
  if (!series.is_interrupted && !series.ends_in_start()) {
    EXPECT_EQ(loopback::decode_responses(client->received).size(), 1U);
  }
  if (is_acknowledged()) {
    EXPECT_TRUE(stored_bans().contains("s"));
  }
  if (series.program == Program::alderspur) {
    const auto loaded = store::load_endpoint_state(state_directory() + "/membership.state");
    ASSERT_TRUE(loaded.state) << to_string(*loaded.error) << log;
    EXPECT_EQ(loaded.state->list->generation, 7U);
  }
}

std::uint64_t series_count() {
  const char* factor = std::getenv("ALDERSPUR_EXPLORE");
  return 24 * (factor != nullptr ? std::strtoul(factor, nullptr, 10) : 1);
}
INSTANTIATE_TEST_SUITE_P(Seeds, SignalSeriesTest,
                         ::testing::Range<std::uint64_t>(1, series_count() + 1));

// Guards against a worker thread that receives a signal: after the event loop has ended, the
// default action would end the process.
TEST_F(SignalsTest, OnlyTheThreadOfTheEventLoopReceivesSignals) {
  for (const auto kind : {Program::edge_router, Program::alderspur}) {
    create(kind);
    configure_after({});
    wait_until_serving();
    ASSERT_NO_FATAL_FAILURE(send_request());
    const auto tasks = std::filesystem::path("/proc") / std::to_string(program->id()) / "task";
    std::size_t thread_count = 0;
    for (const auto& thread : std::filesystem::directory_iterator(tasks)) {
      ++thread_count;
      const bool is_main = thread.path().filename() == std::to_string(program->id());
      for (const int number : kHandledSignals) {
        const bool is_blocked = (blocked_signals(thread.path()) >> (number - 1) & 1) != 0;
        EXPECT_EQ(is_blocked, !is_main) << "signal " << number << " of " << thread.path();
      }
    }
    EXPECT_GT(thread_count, 1U) << "there is at least one worker";
  }
}

// Guards against a start that a signal kills, so that its error is never reported.
TEST_F(SignalsTest, FailedStartReportsItsErrorDespiteSignals) {
  for (const auto kind : {Program::edge_router, Program::alderspur}) {
    create(kind);
    program->configure_with(
        [&] {
          for (const int number : kHandledSignals) program->send_signal(number);
        },
        "{");
    EXPECT_NE(program->read_log_line().find("alderspur: "), std::string::npos);
    EXPECT_EQ(program->wait_for_exit(), 1);
  }
}

// Guards against an interrupt from the terminal that kills a program which is still starting. It
// ends the process at once, without waiting for clients.
TEST_F(SignalsTest, InterruptInTheStartEndsWithZero) {
  for (const auto kind : {Program::edge_router, Program::alderspur}) {
    create(kind);
    configure_after({SIGINT, SIGINT});
    EXPECT_EQ(program->wait_for_exit(), 0);
  }
}

// Guards against a shutdown that waits for a disk which does not respond, until it is killed.
TEST_F(SignalsTest, ExitsInTimeWhileTheStateDirectoryHangs) {
  std::filesystem::create_directories(state_directory());
  // A write of the state opens this pipe and waits for a reader.
  ASSERT_EQ(::mkfifo((state_directory() + "/membership.state.new").c_str(), 0600), 0);
  create(Program::alderspur);
  configure_after({});
  wait_until_serving();
  program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return program->has_exited(); }, kEarliestKill));
  EXPECT_EQ(program->wait_for_exit(), 0);
}

// Guards against a worker that is not stopped, and does not save, because another one is blocked.
TEST_F(SignalsTest, StoresReplicatedBansAtTheEndAlthoughTheSharedDirectoryHangs) {
  join_cluster();
  create(Program::alderspur);
  configure_after({});
  wait_until_serving();
  call("/control/caches/s/offline");
  ASSERT_TRUE(run_until([&] { return is_acknowledged(); }, 20 * kSecond));
  ASSERT_NO_FATAL_FAILURE(hang_shared_directory());
  call("/control/caches/s/online");
  run_until([] { return false; }, 100 * kMillisecond);
  program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return program->has_exited(); }, kEarliestKill));
  EXPECT_EQ(program->wait_for_exit(), 0);
  const auto bans = replicated_bans();
  ASSERT_TRUE(bans);
  EXPECT_TRUE(bans->last_own_change()) << "the next process must continue the author";
  EXPECT_FALSE(bans->is_banned("s"));
}

}  // namespace
