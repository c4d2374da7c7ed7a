// What operators use: the figures, bans that hold, and the folder that two processes of a router
// share.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>

#include "admin/admin_server.h"
#include "admin/metrics.h"
#include "hot_restart/shared_directory.h"
#include "loopback.h"
#include "platform/edge_router.h"

namespace {

using namespace alderspur;
using hot_restart::BanChange;
using hot_restart::BanList;
using hot_restart::BanStore;
using hot_restart::SharedDirectory;

class Shared : public ::testing::Test {
 protected:
  Shared() {
    char name[] = "/tmp/alderspur-test-XXXXXX";
    folder = ::mkdtemp(name);
  }
  ~Shared() override { std::filesystem::remove_all(folder); }
  std::string file(const std::string& what) const {
    return folder + "/alderspur-127.0.0.1-4100" + what;
  }
  SharedDirectory process() const { return SharedDirectory(folder, "127.0.0.1:4100"); }
  std::string folder;
};

TEST(BanStore, ACallBindsAtOnceAndNoOlderListTakesItBack) {
  BanStore book;
  book.on_list_read({3, {"a"}});
  ASSERT_EQ(book.take_effective_changes().size(), 1u);
  book.begin_change({"b", true});
  EXPECT_TRUE(book.is_banned("b"));
  book.on_list_read({4, {"a", "c"}});  // another process's change overtakes ours
  EXPECT_TRUE(book.is_banned("b"));
  EXPECT_TRUE(book.is_banned("c"));
  book.on_saved({5, {"a", "b", "c"}});
  book.on_list_read({4, {}});  // read before, told late
  EXPECT_TRUE(book.is_banned("a") && book.is_banned("b") && book.is_banned("c"));
  EXPECT_EQ(book.take_effective_changes().size(), 2u);
  book.begin_change({"a", false});
  EXPECT_FALSE(book.is_banned("a"));
  book.on_save_failed();  // the disk refused it
  EXPECT_FALSE(book.is_banned("a"));
  EXPECT_FALSE(book.is_saved("a"));
  EXPECT_EQ(book.retry_failed_changes().size(), 1u);
  book.on_saved({6, {"b", "c"}});
  EXPECT_TRUE(book.is_saved("a"));
}

// Any order of calls, saves that fail, and lists of others: what was called last for a name is in
// force until a newer list, made with it, says otherwise.
TEST(BanStore, InAnyOrderTheLastCallOnANameHolds) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    BanStore book;
    BanList disk;
    std::deque<BanChange> jobs;
    std::map<std::string, bool> last;
    for (int i = 0; i < 200; ++i) {
      const std::string name(1, static_cast<char>('a' + random() % 4));
      switch (random() % 4) {
        case 0:
          if (book.is_full()) break;
          book.begin_change({name, last[name] = random() % 2 == 0});
          jobs.push_back({name, last[name]});
          break;
        case 1:
          if (jobs.empty()) break;
          if (random() % 3 == 0) {
            book.on_save_failed();
          } else {
            auto& c = jobs.front();
            hot_restart::apply(c, disk.servers);
            ++disk.serial;
            book.on_saved(disk);
          }
          jobs.pop_front();
          break;
        case 2:
          book.on_list_read(disk);
          break;
        default:
          for (const auto& c : book.retry_failed_changes()) jobs.push_back(c);
      }
      for (const auto& [n, out] : last)
        ASSERT_EQ(book.is_banned(n), out) << "seed " << seed << " step " << i;
    }
  }
}

TEST_F(Shared, BansOutliveTheProcessAndOneSpoiltFileAtEveryTruncation) {
  auto first = process();
  ASSERT_FALSE(first.claim_slot());
  ASSERT_FALSE(first.change_ban({}, {"s-1", true}).error);
  ASSERT_FALSE(first.change_ban({}, {"s-2", true}).error);
  const auto bans = first.change_ban({}, {"s-3", true}).list;
  EXPECT_EQ(bans.servers, (std::set<std::string>{"s-1", "s-2", "s-3"}));
  // The newest of the two files is spoilt in every way: what the one before held is still there,
  // and whoever holds more in memory puts it back.
  const std::string newest = file(bans.serial % 2 ? ".bans.a" : ".bans.b");
  std::ifstream in(newest, std::ios::binary);
  const std::string whole{std::istreambuf_iterator<char>(in), {}};
  ASSERT_GT(whole.size(), 30u);
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    std::ofstream(newest, std::ios::binary) << whole.substr(0, cut);
    const auto read = process().read_bans();
    EXPECT_EQ(read.list.servers, (std::set<std::string>{"s-1", "s-2"})) << cut;
    EXPECT_TRUE(read.error) << cut;
    std::string flipped = whole;
    flipped[cut] = static_cast<char>(flipped[cut] ^ 0x20);
    std::ofstream(newest, std::ios::binary) << flipped;
    EXPECT_EQ(process().read_bans().list.servers.size(), 2u) << cut;
  }
  EXPECT_FALSE(first.restore_bans(bans));
  EXPECT_EQ(process().read_bans().list, bans);
  std::filesystem::remove(file(".bans.a"));
  std::filesystem::remove(file(".bans.b"));
  EXPECT_EQ(process().read_bans().list, BanList{});
  EXPECT_FALSE(process().read_bans().error) << "nothing there is no trouble";
}

TEST_F(Shared, AFolderThatCannotBeWrittenIsSaidAndTheChangeIsNotHeldForSaved) {
  SharedDirectory nowhere(folder + "/not-there", "127.0.0.1:4100");
  EXPECT_TRUE(nowhere.claim_slot());
  EXPECT_TRUE(nowhere.change_ban({}, {"s-1", true}).error);
  EXPECT_EQ(nowhere.read_peers().count, 0u);
}

TEST_F(Shared, WhoIsThereIsKnownByALockThatEndsWithItsHolder) {
  auto old = process();
  ASSERT_FALSE(old.claim_slot());
  EXPECT_EQ(old.read_peers().count, 0u);
  {
    auto next = process();
    ASSERT_FALSE(next.claim_slot());
    EXPECT_EQ(next.read_peers().count, 1u);
    EXPECT_FALSE(next.read_peers().all_know_a_peer);
    ASSERT_FALSE(old.publish({hot_restart::ProcessPhase::serving, 1, 0.9, 0, 0}));
    EXPECT_TRUE(next.read_peers().all_know_a_peer);
    EXPECT_FALSE(old.read_peers().has_successor);
    ASSERT_FALSE(next.publish({hot_restart::ProcessPhase::serving, 1, 0.1, 0, 0}));
    EXPECT_TRUE(old.read_peers().has_successor);
    EXPECT_FALSE(next.read_peers().has_successor) << "the older one is nobody's successor";
  }
  EXPECT_EQ(old.read_peers().count, 0u);
  // What it left says it serves, and is not believed: nobody holds it.
  std::ofstream(file(".place1")) << "garbage";
  auto third = process();
  ASSERT_FALSE(third.claim_slot());
  EXPECT_EQ(old.read_peers().count, 1u);
}

// Whatever each wants, in any order, and read as late as it may be: what they act on is at most one
// router.
TEST_F(Shared, SharesNeverAddUpToMoreThanOne) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<SharedDirectory>> all;
    std::vector<hot_restart::ProcessStatus> words(3);
    for (int i = 0; i < 3; ++i) {
      all.push_back(std::make_unique<SharedDirectory>(folder, "k" + std::to_string(seed)));
      ASSERT_FALSE(all.back()->claim_slot());
    }
    for (int step = 0; step < 60; ++step) {
      const std::size_t i = random() % 3;
      const double wanted = static_cast<double>(random() % 1001) / 1000;
      if (wanted < words[i].share) {
        words[i].share = wanted;  // acted on before it is said
        if (random() % 4) {
          ASSERT_FALSE(all[i]->publish(words[i]));
        }
      } else {
        ASSERT_FALSE(all[i]->raise_share(words[i], wanted));
      }
      EXPECT_LE(words[0].share + words[1].share + words[2].share, 1.002)
          << "seed " << seed << " step " << step;
    }
  }
}

struct Silent : core::UpstreamClient {
  void send(core::AttemptId a, alderspur::ServerId) override { out.push_back(a); }
  void abort(core::AttemptId a) override { std::erase(out, a); }
  void send_health_check(alderspur::ServerId) override {}
  std::vector<core::AttemptId> out;
};

struct Heard : core::Front {
  void respond(core::RequestHandle ticket, const core::Response& a) override {
    EXPECT_TRUE(open.erase(ticket)) << "one final answer";
    ++verdicts[static_cast<int>(a.status)];
  }
  std::set<core::RequestHandle> open;
  std::map<int, std::uint64_t> verdicts;
};

// Random orders of take, write, answer, withdraw, time passing, resets and leaving: the figures add
// up after each.
TEST(Figures, AddUpInAnyOrderOfEvents) {
  std::uint64_t all_served = 0, all_withdrawn = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    core::Time now = 1'000'000'000;
    core::Deadlines deadlines;
    Settings settings;
    settings.classes.resize(2);
    settings.classes[1].idempotency = Idempotency::idempotent_with_key;
    settings.max_attempts = 3;
    settings.may_cancel = settings.sends_retry_after = true;
    core::Engine engine(settings, seed, deadlines, [&] { return now; });
    Silent backend;
    Heard front;
    engine.attach(backend);
    engine.update_endpoints({true,
                             false,
                             {{{1}, Role::cache, {0}, {0}, ServerStatus::ready, 4, 0},
                              {{2}, Role::cache, {0}, {0}, ServerStatus::ready, 4, 0}}});
    for (int step = 0; step < 400; ++step) {
      const auto pick = random() % 8;
      if (pick < 3) {
        core::RequestView d;
        d.object = random() % 20, d.class_id = random() % 2, d.time_limit = 1'000'000,
        d.size_kb = 100;
        d.id = "x";
        front.open.insert(engine.admit(front, d));
      } else if (pick == 3 && !front.open.empty()) {
        const auto ticket = *front.open.begin();
        front.open.erase(ticket);
        engine.cancel_request(ticket);
      } else if (pick == 4 && !front.open.empty()) {
        engine.finish_now(*front.open.rbegin());
      } else if (pick == 5) {
        engine.count_rejected(
            random() % 2, random() % 2 ? core::FinalStatus::rejected : core::FinalStatus::failed);
      } else if (pick == 6) {
        now += static_cast<core::Time>(random() % 400'000);
        deadlines.run_due(now);
      } else if (!backend.out.empty()) {
        const auto attempt = backend.out[random() % backend.out.size()];
        if (random() % 4) engine.mark_written(attempt);
        std::erase(backend.out, attempt);
        using R = alderspur::AttemptResult;
        const R results[] = {R::ok, R::ok, R::overloaded, R::error, R::reset, R::connect_failed};
        engine.on_upstream_response(attempt, {results[random() % 6], false, "bytes", "t", 0, {}});
      }
      engine.run();
      const auto& c = engine.counters();
      ASSERT_EQ(c.admitted,
                c.served + c.rejected + c.failed + c.cancelled + engine.open_request_count())
          << seed << ' ' << step;
      core::ClassCounters sum;
      for (const auto& k : engine.class_counters())
        sum.served += k.served, sum.rejected += k.rejected, sum.failed += k.failed,
            sum.forwarded += k.forwarded;
      ASSERT_EQ(sum.served, c.served);
      ASSERT_EQ(sum.rejected, c.rejected);
      ASSERT_EQ(sum.failed, c.failed);
      ASSERT_EQ(sum.forwarded, c.forwarded);
      ASSERT_EQ(front.open.size(), engine.open_request_count());
    }
    all_served += engine.counters().served, all_withdrawn += engine.counters().cancelled;
  }
  EXPECT_GT(all_served, 100u);
  EXPECT_GT(all_withdrawn, 100u);
}

TEST(Figures, SayWhatTheModuleAvoidsInTheFormThatScrapersRead) {
  core::Deadlines deadlines;
  Settings settings;
  settings.classes.resize(1);
  core::Engine engine(settings, 1, deadlines, [] { return core::Time{1'000'000}; });
  Silent backend;
  engine.attach(backend);
  engine.update_endpoints({true,
                           false,
                           {{{1}, Role::cache, {0}, {0}, ServerStatus::ready, 4, 0},
                            {{2}, Role::cache, {1}, {0}, ServerStatus::ready, 4, 0},
                            {{3}, Role::parent, {0}, {0}, ServerStatus::ready, 4, 0}}});
  engine.set_ban({2}, true);
  engine.count_rejected(0, core::FinalStatus::rejected);
  engine.run();
  const auto text = admin::render_metrics(engine, {"asset"});
  for (const char* line :
       {"\n# TYPE edge_relay_busy counter\nedge_relay_busy{tier=\"asset\"} 1\n",
        "\nedge_relay_inflight 0\n", "\nedge_relay_hosts_listed 2\n", "\nedge_relay_hosts_down 1\n",
        "\nedge_relay_backend_calls{tier=\"asset\"} 0\n"})
    EXPECT_NE(text.find(line), std::string::npos) << line << "in\n" << text;
}

struct Plain : admin::AdminHandler {
  bool is_ready() override { return true; }
  std::string render_metrics() override { return "f 1\n"; }
  void change_ban(std::string_view server, bool, ReplyCallback done) override {
    if (server == "later")
      waits = std::move(done);
    else
      done({server == "s-1" ? 200 : 404, std::string(server) + "\n"});
  }
  ReplyCallback waits;
};

class Calls : public ::testing::Test {
 protected:
  Calls() {
    loop.on_turn([this] {
      deadlines.run_due(net::unix_now());
      front.end_turn();
    });
  }
  std::unique_ptr<loopback::Socket> caller(const std::string& bytes) {
    auto s = loopback::dial(front.address());
    s->write(bytes);
    return s;
  }
  bool until(const std::function<bool()>& holds, const std::vector<loopback::Socket*>& watched) {
    for (const core::Time end = net::unix_now() + 10'000'000; net::unix_now() < end;) {
      ev_run(loop.raw(), EVRUN_NOWAIT);
      for (auto* s : watched) s->poll();
      if (holds()) return true;
      ::usleep(200);
    }
    return false;
  }
  int status(const std::string& call) {
    const auto s = caller(call);
    EXPECT_TRUE(until([&] { return s->ended; }, {s.get()})) << call;
    return s->in.starts_with("HTTP/1.1 ") ? std::stoi(s->in.substr(9)) : 0;
  }
  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  Plain desk;
  admin::AdminServer front{loop, deadlines, *net::parse_address("127.0.0.1:0"), desk,
                           net::unix_now};
};

TEST_F(Calls, AreAnsweredWithAClearYesOrNo) {
  const std::string end = " HTTP/1.1\r\nHost: x\r\n\r\n";
  EXPECT_EQ(status("GET /control/ready" + end), 200);
  EXPECT_EQ(status("GET /control/counters?x=1" + end), 200);
  EXPECT_EQ(status("PUT /control/ready" + end), 405);
  EXPECT_EQ(status("GET /control/caches/s-1/offline" + end), 405);
  EXPECT_EQ(status("PUT /control/caches/s-1/offline" + end), 200);
  EXPECT_EQ(
      status("PUT /control/caches/s-1/online HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
      200);
  EXPECT_EQ(status("PUT /control/caches/s-2/online" + end), 404);
  EXPECT_EQ(status("PUT /control/caches//online" + end), 404);
  EXPECT_EQ(status("PUT /control/caches/online" + end), 404);
  EXPECT_EQ(status("PUT /control/caches/a/b/online" + end), 404);
  EXPECT_EQ(status("DELETE /" + end), 404);
  EXPECT_EQ(status("\x16\x03\x01 no http\r\n\r\n"), 400);
  EXPECT_EQ(status("GET /control/ready HTTP/1.1\r\nX: " + std::string(4000, 'x')), 431);
}

// Guards against a first send ahead of the first look, and against a yes to a ban that is on no
// disk.
TEST_F(Shared, AStartKnowsTheBansAndAYesIsOnTheDisk) {
  ASSERT_FALSE(process().change_ban({}, {"s-1", true}).error);
  core::Deadlines deadlines;
  net::Loop loop(deadlines);
  std::vector<std::string> told;
  const auto twin = [&](const std::string& where) {
    return std::make_unique<hot_restart::HotRestartCoordinator>(
        loop, deadlines, net::unix_now, where, "127.0.0.1:4100",
        [](const std::string&, const std::string&) {},
        hot_restart::HotRestartCoordinator::Callbacks{
            [] { return hot_restart::HotRestartCoordinator::Load{}; },
            [&](const BanChange& c) { told.push_back(c.server); },
            [](const hot_restart::PeerSummary&, double) {}});
  };
  EXPECT_TRUE(twin(folder)->is_banned("s-1"));
  EXPECT_EQ(told, std::vector<std::string>{"s-1"});
  const auto lost = twin(folder + "/none");
  bool is_answered = false;
  std::optional<hot_restart::SharedDirectoryError> error;
  lost->change_ban({"s-2", true}, [&](const auto& result) {
    is_answered = true;
    error = result;
  });
  for (int i = 0; i < 5000 && !is_answered; ++i) {
    ev_run(loop.raw(), EVRUN_NOWAIT);
    ::usleep(1000);
  }
  ASSERT_TRUE(is_answered);
  EXPECT_TRUE(error);
  EXPECT_TRUE(lost->is_banned("s-2")) << "it binds all the same";
}

// Guards against a first word of the shared folder that meets members of the node not there yet:
// what the memory held before decided whether the start crashed.
TEST_F(Shared, ANodeStartsWhateverItsMemoryHeldBefore) {
  const std::string file = folder + "/config.json";
  std::ofstream(file) << R"({"listen":"127.0.0.1:0","settings":{"azs":["edge"],"zone":0,
      "classes":[{"name":"asset","target":5000000,"points":1,"repeat":"safe"}]}})";
  auto config = config::read_file(file);
  config.operator_listen = "127.0.0.1:0", config.state_folder = folder;
  const auto memory =
      std::make_unique<std::byte[]>(sizeof(platform::EdgeRouter) + alignof(platform::EdgeRouter));
  void* at = memory.get();
  std::size_t room = sizeof(platform::EdgeRouter) + alignof(platform::EdgeRouter);
  std::memset(at, 0xff, room);
  ASSERT_TRUE(std::align(alignof(platform::EdgeRouter), sizeof(platform::EdgeRouter), at, room));
  auto* node = new (at)
      platform::EdgeRouter(std::move(config), [](const std::string&, const std::string&) {});
  node->turn();
  node->~EdgeRouter();
}

// Guards against clients that take the last descriptor: then above all, staff want an answer.
TEST_F(Calls, AreAnsweredWhileTheProcessHasNoDescriptorsLeft) {
  // One call before, and what a listener's pause holds: a sanitizer's first look at a type opens a
  // pipe.
  { const std::shared_ptr<bool> held = std::make_shared<bool>(true), again = held; }
  ASSERT_EQ(status("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"), 200);
  const core::Time rest =
      net::unix_now() + 200'000;  // that one's descriptor is free again before the rest go
  until([&] { return net::unix_now() > rest; }, {});
  std::vector<std::unique_ptr<loopback::Socket>> calls;
  for (int i = 0; i < 3; ++i)
    calls.push_back(caller("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit low = before;
  low.rlim_cur = 256;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &low), 0);
  std::vector<net::Fd> taken;
  for (int fd; (fd = ::dup(0)) >= 0;) taken.emplace_back(fd);
  EXPECT_EQ(errno, EMFILE);
  for (auto& s : calls) {
    EXPECT_TRUE(until([&] { return s->ended; }, {calls[0].get(), calls[1].get(), calls[2].get()}));
    EXPECT_TRUE(s->in.starts_with("HTTP/1.1 200")) << s->in;
  }
  taken.clear();
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
}

// Guards against callers that say nothing, or half, keeping out the one who has something to say.
TEST_F(Calls, SilentCallersGiveWay) {
  std::vector<std::unique_ptr<loopback::Socket>> silent;
  for (int i = 0; i < 60; ++i) silent.push_back(caller(i % 2 ? "GET /control/re" : ""));
  EXPECT_EQ(status("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"), 200);
  const auto late = caller("PUT /control/caches/later/offline HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(until([&] { return static_cast<bool>(desk.waits); }, {late.get()}));
  for (int i = 0; i < 60; ++i) silent.push_back(caller(""));
  EXPECT_EQ(status("GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n"), 200);
  desk.waits({200, "done\n"});  // one whose call is under way keeps its place
  ASSERT_TRUE(until([&] { return late->ended; }, {late.get()}));
  EXPECT_NE(late->in.find(" 200 OK"), std::string::npos);
}

}  // namespace
