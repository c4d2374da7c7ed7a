// Two processes of the program, one replacing the other under load, with the answers of each
// request counted at the client and the requests of each server at its box.
#include <fcntl.h>
#include <sys/file.h>

#include <deque>
#include <random>
#include <set>

#include "loopback.h"
#include "process.h"

namespace {

using namespace alderspur;
using loopback::Box;
using loopback::Program;

constexpr core::Time kCrossing =
    100'000;  // a request that crosses a close is sent again: 50 ms, and a slow machine

class Replace : public ::testing::Test {
 protected:
  Replace() {
    char name[] = "/tmp/alderspur-test-XXXXXX";
    shared_ = ::mkdtemp(name);
    sockaddr_in at{};  // a port that was free a moment ago, on an address of this test's own
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(0x7f010000u | (static_cast<unsigned>(::getpid()) & 0xffffu) | 1u);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    socklen_t size = sizeof at;
    EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&at), size), 0);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    at_ = at;
  }
  ~Replace() override {
    if (board_ >= 0) ::close(board_);
    std::filesystem::remove_all(shared_);
  }
  void open_board() {
    ::listen(board_ = loopback::bound(board_at_), 8);
    ::fcntl(board_, F_SETFL, O_NONBLOCK);
  }

  std::string config() const {
    const auto member = [](const std::string& id, const Box& b) {
      return R"({"id":")" + id + R"(","host_port":")" + b.address() +
             R"(","locality":"edge","flavor":"small","phase":"in_service","size":4})";
    };
    return R"({"limits":{"sockets":)" + std::to_string(sockets_) + R"(,"memory_mb":)" +
           std::to_string(memory_mb_) + R"(},"listen":")" + net::to_string(at_) + R"(","board":")" +
           (board_ < 0 ? "" : net::to_string(board_at_)) +
           R"(","known":{"rev":1,"notices":[{"rev":1,"pool":{"complete":true,
      "members":[)" +
           member("s-0", box_[0]) + "," + member("s-1", box_[1]) +
           R"(]}}]},"settings":{"azs":["edge"],"zone":0,"shapes":["small"],
      "ceilings":{"max-attempts":3,"may-cancel":true,"retry-after":true,"max-retry-after":500000},
      "classes":[{"name":"asset","target":5000000,"give-up":3000000,"points":1,"repeat":"safe"}],"domain":{"stream-kb-per-s":9000,"lifetime-by-class":[60000000],"purge-settles":6000000}}})";
  }
  struct Process {
    std::unique_ptr<Program> program;
    sockaddr_in operators{};
  };
  Process start() {
    Process p;
    p.program = std::make_unique<Program>(
        config(), shared_, net::to_string(at_).substr(0, net::to_string(at_).find(':')) + ":0");
    for (std::string line = p.program->line(); !line.empty(); line = p.program->line()) {
      if (line.starts_with("operators on ")) {
        p.operators = net::parse_address(line.substr(13)).value_or(sockaddr_in{});
        break;
      }
    }
    EXPECT_TRUE(p.operators.sin_port);
    EXPECT_TRUE(
        run_until([&] { return call(p, "GET /control/ready").starts_with("HTTP/1.1 200"); }));
    return p;
  }
  std::string call(const Process& p, const std::string& what) {
    auto s = loopback::dial(p.operators);
    s->write(what + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    run_until([&] { return s->poll(), s->ended; });
    return s->in;
  }

  // One step of everybody: clients ask, boxes answer after a while, answers are counted.
  struct Asked {
    std::string id;
    core::Time at = 0;
  };
  struct Client {
    std::unique_ptr<loopback::Socket> socket;
    std::map<std::uint64_t, Asked> open;
    std::uint64_t next = 1;
    core::Time ask_at = 0;
  };
  int connected() const {  // negative: nobody listens
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at_), sizeof at_) == 0) return fd;
    ::close(fd);
    return -1;
  }
  void ask(Client& c, const std::string& id) {
    if (!c.socket) {
      const int fd = connected();
      if (fd < 0) {
        ++refused, ++lost;
        return;
      }
      c.socket = std::make_unique<loopback::Socket>(fd), c.next = 1;
    }
    const auto number = static_cast<unsigned>(c.next++);
    c.open[number] = {id, net::unix_now()};
    c.socket->write(request(number, id));
  }
  void read(Client& c) {
    if (!c.socket) return;
    c.socket->poll();
    for (const auto& got : loopback::answers(c.socket->in)) {
      const auto it = c.open.find(got.id);
      if (it == c.open.end()) continue;  // counted before
      ++(got.error.empty() ? served : got.error == "Busy" ? busy : failed);
      c.open.erase(it);
    }
    if (!c.socket->ended) return;
    c.socket.reset();
    for (const auto& [number, was] : std::exchange(c.open, {})) {
      if (net::unix_now() - was.at > kCrossing)
        ++lost;
      else
        ++again, ask(c, was.id);
    }
  }
  void step() {
    const core::Time now = net::unix_now();
    for (int fd; board_ >= 0 && (fd = ::accept(board_, nullptr, nullptr)) >= 0;)
      watchers_.push_back(std::make_unique<loopback::Socket>(fd));
    for (auto& w : watchers_) w->poll();
    for (auto& b : box_) {
      b.poll();
      std::erase_if(b.commands, [&](auto& command) {
        if (command.word == "stats") return Box::answer(command, "green"), true;
        if (command.word != "fetch") return true;
        const auto [at, fresh] = due_.try_emplace(command.id, now + takes_);
        if (now < at->second) return false;
        due_.erase(at);
        ++got_[&b - box_];
        const auto item = command.fields["name"];
        if (!command.fields["agelim"].empty()) limited_[item] = command.fields["agelim"];
        return Box::answer(command, "served",
                           large_.contains(item) ? std::string(240'000, 'x') : "bytes"),
               true;
      });
    }
    for (auto& c : clients_) {
      read(c);
      if (!asking || now < c.ask_at) continue;
      c.ask_at = now + 8'000;
      char id[17];
      std::snprintf(id, sizeof id, "%016llx",
                    static_cast<unsigned long long>(++last_ * 0x9e3779b97f4a7c15ULL));
      ++asked;
      ask(c, id);
    }
  }
  bool run_until(const std::function<bool()>& holds, core::Time most = 20'000'000) {
    for (const core::Time end = net::unix_now() + most; net::unix_now() < end;) {
      step();
      if (holds()) return true;
      ::usleep(500);
    }
    return false;
  }
  void run_for(core::Time time) {
    run_until([] { return false; }, time);
  }
  void finish() {  // every request has come to its end
    asking = false;
    EXPECT_TRUE(run_until([&] {
      return std::all_of(std::begin(clients_), std::end(clients_),
                         [](auto& c) { return c.open.empty(); });
    }));
    EXPECT_EQ(served + busy + failed + lost, asked);
  }
  static std::string request(unsigned number, const std::string& id) {
    return loopback::request(number, "asset",
                             {{"txn", id}, {"item", id}, {"limit", "3000"}, {"ram", "90"}});
  }
  static std::string id_of(int n) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(n) + 1);
    return id;
  }
  static std::uint64_t figure(const std::string& text, const std::string& name) {
    const auto at = text.find("\n" + name + ' ');
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
  }

  std::string shared_;
  int sockets_ = 1024, memory_mb_ = 48;
  sockaddr_in board_at_{};
  int board_ = -1;
  std::vector<std::unique_ptr<loopback::Socket>> watchers_;
  std::set<std::string> large_;                 // items whose answers are of 240,000 bytes
  std::map<std::string, std::string> limited_;  // items asked for with a bound on their age
  sockaddr_in at_{};
  Box box_[2];
  std::uint64_t got_[2] = {0, 0};
  core::Time takes_ = 15'000;  // an answer of a box
  std::map<std::string, core::Time> due_;
  Client clients_[4];
  std::uint64_t last_ = 0;
  bool asking = true;
  std::uint64_t asked = 0, served = 0, busy = 0, failed = 0, lost = 0, again = 0, refused = 0;
};

// Guards against connections left in a queue that nobody reads, requests lost with the old process,
// and figures that do not begin at 0 or do not add up over both.
TEST_F(Replace, UnderLoadLosesNothingAndTheFiguresOfBothAddUp) {
  auto old = start();
  run_for(400'000);
  auto next = start();
  EXPECT_TRUE(call(old, "GET /control/ready").starts_with("HTTP/1.1 200"));
  const auto before = call(old, "GET /control/counters");
  EXPECT_GT(figure(before, "edge_relay_success{tier=\"asset\"}"), 50u);
  old.program->signal(SIGTERM);
  std::uint64_t by_old = 0;
  ASSERT_TRUE(run_until([&] { return old.program->ended(); }, 3'600'000))
      << "SIGKILL would have come";
  for (std::string line = old.program->line(); !line.empty(); line = old.program->line())
    if (const auto at = line.find(" served "); at != std::string::npos)
      by_old = std::stoull(line.substr(at + 8));
  EXPECT_EQ(old.program->exit_code(), 0);
  run_for(300'000);
  finish();
  EXPECT_EQ(lost, 0u);
  EXPECT_EQ(failed, 0u);
  EXPECT_LE(busy, 32u);
  EXPECT_LE(again, 8u);
  const auto text = call(next, "GET /control/counters");
  EXPECT_EQ(by_old + figure(text, "edge_relay_success{tier=\"asset\"}"), served);
  EXPECT_EQ(figure(text, "edge_relay_inflight"), 0u);
  EXPECT_EQ(figure(text, "edge_relay_hosts_listed"), 2u);
  next.program->signal(SIGTERM);
  EXPECT_EQ(next.program->exit_code(), 0);
}

TEST_F(Replace, ABanHoldsOverTheReplacementAndARestartUntilItsCallBack) {
  auto old = start();
  run_for(300'000);
  EXPECT_TRUE(call(old, "PUT /control/caches/nobody/offline").starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(call(old, "PUT /control/caches/s-0/offline").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(call(old, "PUT /control/caches/s-0/offline").starts_with("HTTP/1.1 200"));
  run_for(200'000);  // what was out ends
  const auto at_ban = got_[0];
  auto next = start();
  EXPECT_EQ(figure(call(next, "GET /control/counters"), "edge_relay_hosts_down"), 1u);
  old.program->signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return old.program->ended(); }, 3'600'000));
  run_for(200'000);
  next.program->signal(SIGKILL);  // and once more, with nobody left who remembers
  next.program->exit_code();
  const auto third = start();
  run_for(300'000);
  EXPECT_EQ(got_[0], at_ban);
  EXPECT_GT(got_[1], 50u);
  EXPECT_TRUE(call(third, "PUT /control/caches/s-0/online").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(run_until([&] { return got_[0] > at_ban; }, 5'000'000));
}

TEST_F(Replace, ABanCalledAtOneOfTwoBindsTheOther) {
  auto old = start();
  auto next = start();
  EXPECT_TRUE(call(old, "PUT /control/caches/s-1/offline").starts_with("HTTP/1.1 200"));
  ASSERT_TRUE(run_until(
      [&] { return figure(call(next, "GET /control/counters"), "edge_relay_hosts_down") == 1; },
      1'000'000))
      << "the grace is 1 s";
  EXPECT_TRUE(call(next, "PUT /control/caches/s-1/online").starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(run_until(
      [&] { return figure(call(old, "GET /control/counters"), "edge_relay_hosts_down") == 0; }));
}

// Guards against an old process that has sent its clients away and then finds nobody there.
TEST_F(Replace, ASuccessorKilledAfterItsYesCostsTheOldOnesClientsNothing) {
  auto old = start();
  run_for(200'000);
  auto next = start();
  next.program->signal(SIGKILL);
  next.program->exit_code();
  old.program->signal(SIGTERM);
  run_for(300'000);  // clients still come, as after any SIGTERM
  const auto third = start();
  ASSERT_TRUE(run_until([&] { return old.program->ended(); }, 6'000'000));
  EXPECT_EQ(old.program->exit_code(), 0);
  run_for(200'000);
  finish();
  EXPECT_EQ(failed, 0u);
  // What the killed one held is gone with it; nothing else is.
  EXPECT_LE(lost + busy, 40u);
  EXPECT_GT(served, asked * 9 / 10);
}

TEST_F(Replace, TheOldOneKilledInTheMiddleLeavesTheWholeRouterToItsSuccessor) {
  auto old = start();
  run_for(200'000);
  auto next = start();
  old.program->signal(SIGKILL);
  old.program->exit_code();
  run_for(600'000);
  finish();
  EXPECT_EQ(failed, 0u);
  EXPECT_LE(lost, 40u);  // those open at the killed one
  EXPECT_GT(figure(call(next, "GET /control/counters"), "edge_relay_success{tier=\"asset\"}"),
            100u);
  next.program->signal(SIGTERM);
  EXPECT_EQ(next.program->exit_code(), 0);
}

TEST_F(Replace, SpoiltContentOfTheSharedFolderIsSaidOnceAndTheStartGoesOn) {
  std::string key = net::to_string(at_);
  std::replace(key.begin(), key.end(), ':', '-');
  for (const char* what :
       {".bans.a", ".bans.b", ".lock", ".place0", ".place1", ".place2", ".place3"})
    std::ofstream(shared_ + "/alderspur-" + key + what) << "garbage of a later version \xff";
  auto one = start();
  run_for(200'000);
  EXPECT_TRUE(call(one, "PUT /control/caches/s-0/offline").starts_with("HTTP/1.1 200"));
  auto two = start();
  EXPECT_EQ(figure(call(two, "GET /control/counters"), "edge_relay_hosts_down"), 1u);
  finish();
  EXPECT_EQ(lost + failed, 0u);
}

// One of the two files of bans cut off anywhere, as by a process that was killed half-way on a disk
// that does not keep its order: the start goes on, and the ban holds by the other one.
TEST_F(Replace, ABanHoldsOverAStartFromAFileCutOffAnywhere) {
  asking = false;
  std::string key = net::to_string(at_);
  std::replace(key.begin(), key.end(), ':', '-');
  {
    auto first = start();
    for (const char* id : {"s-0", "s-1"})
      EXPECT_TRUE(call(first, std::string("PUT /control/caches/") + id + "/offline")
                      .starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(call(first, "PUT /control/caches/s-1/online").starts_with("HTTP/1.1 200"));
  }
  std::size_t starts = 0;
  for (const char* what : {".bans.a", ".bans.b"}) {
    const std::string path = shared_ + "/alderspur-" + key + what;
    std::stringstream whole;
    whole << std::ifstream(path).rdbuf();
    for (std::size_t size = 0; size < whole.str().size(); ++size, ++starts) {
      std::ofstream(path, std::ios::trunc) << whole.str().substr(0, size);
      auto next = start();
      const auto text = call(next, "GET /control/counters");
      EXPECT_GE(figure(text, "edge_relay_hosts_down"), 1u) << what << " cut to " << size;
      next.program->signal(SIGKILL);
    }
    std::ofstream(path, std::ios::trunc) << whole.str();
  }
  EXPECT_GT(starts, 50u);
}

// Guards against a slow reader whose answers are cut off when its process is replaced.
TEST_F(Replace, ASlowReaderGetsAllItsAnswersWhole) {
  constexpr unsigned kAnswers = 24;  // more than the kernel takes for a reader that is slow
  auto old = start();
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const int small = 8192;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  ASSERT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&at_), sizeof at_), 0);
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  for (unsigned i = 1; i <= kAnswers; ++i) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", i);
    large_.insert(id);
    const auto bytes = request(i, id);
    ASSERT_EQ(::send(fd, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  }
  run_for(150'000);
  auto next = start();
  old.program->signal(SIGTERM);
  std::string in;
  bool ended = false;
  run_until([&] {
    char buffer[16384];
    const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
    if (n > 0) in.append(buffer, static_cast<std::size_t>(n));
    return ended = n == 0 || (n < 0 && errno != EAGAIN);
  });
  ::close(fd);
  EXPECT_TRUE(ended);
  const auto got = loopback::answers(in);
  EXPECT_EQ(got.size(), kAnswers);
  for (const auto& g : got) EXPECT_EQ(g.body.size(), 240'000u) << g.error;
  EXPECT_TRUE(run_until([&] { return old.program->ended(); }));
  EXPECT_EQ(old.program->exit_code(), 0);
  finish();
  EXPECT_EQ(lost + failed, 0u);
}

// Guards against an end that waits for a disk which never answers.
TEST_F(Replace, AHangingSharedFolderHoldsNeitherRequestsNorTheEnd) {
  auto one = start();
  run_for(300'000);
  std::string key = net::to_string(at_);
  std::replace(key.begin(), key.end(), ':', '-');
  const net::Fd lock(
      ::open((shared_ + "/alderspur-" + key + ".lock").c_str(), O_RDWR | O_CREAT, 0600));
  ASSERT_EQ(::flock(lock.get(), LOCK_EX), 0);  // as one that was stopped in the middle of a change
  const auto before = served;
  const auto ban = call(one, "PUT /control/caches/s-0/offline");
  run_for(300'000);
  EXPECT_GT(served, before + 50);
  EXPECT_EQ(figure(call(one, "GET /control/counters"), "edge_relay_hosts_down"), 1u)
      << "it binds all the same";
  EXPECT_TRUE(ban.starts_with("HTTP/1.1 503")) << "what is not on the disk gets no yes: " << ban;
  finish();
  one.program->signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return one.program->ended(); }, 3'600'000));
  EXPECT_EQ(one.program->exit_code(), 0);
  EXPECT_EQ(lost + failed, 0u);
}

// A purge that one of the two has heard and the other not yet: each asks for no older copy from
// when it is told, and the new one is told by the number that its own settings begin with. A cache
// drains while one process hands over to the other: under load neither sends it anything once told.
TEST_F(Replace, ADrainBetweenBindsBoth) {
  open_board();
  auto old = start();
  run_for(100'000);
  auto next = start();
  ASSERT_TRUE(run_until([&] {
    return watchers_.size() == 2 && watchers_[0]->in == "watch 1\n" &&
           watchers_[1]->in == "watch 1\n";
  }));
  ASSERT_GT(got_[0], 0u) << "both caches are asked";
  old.program->signal(SIGTERM);
  for (auto& w : watchers_)
    w->write(R"({"rev":2,"pool":{"complete":false,"members":[{"id":"s-0","host_port":")" +
             box_[0].address() +
             R"(","locality":"edge","flavor":"small","phase":"terminating","size":4}]}})"
             "\n");
  run_for(500'000);  // what was out when they were told comes to its end
  const auto before = got_[0];
  ASSERT_TRUE(run_until([&] { return old.program->ended(); }, 3'700'000));
  run_for(200'000);
  EXPECT_EQ(got_[0], before);
  finish();
  EXPECT_EQ(failed + lost, 0u);
}

TEST_F(Replace, APurgeBetweenBindsEachFromWhenItIsTold) {
  open_board();
  auto old = start();
  ASSERT_TRUE(run_until([&] { return watchers_.size() == 1 && watchers_[0]->in == "watch 1\n"; }));
  const std::string item = "00000000000000aa";
  const auto purge = R"({"rev":2,"flush":{"asset":")" + item + R"(","ms":)" +
                     std::to_string(net::unix_now() / 1000) + "}}\n";
  watchers_[0]->write(purge);
  run_for(100'000);
  auto next = start();
  ASSERT_TRUE(run_until([&] { return watchers_.size() == 2 && watchers_[1]->in == "watch 1\n"; }));
  watchers_[1]->write(purge);
  run_for(100'000);
  old.program->signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return old.program->ended(); }, 3'600'000));
  EXPECT_TRUE(limited_.empty());
  Client late;
  ask(late, item);
  EXPECT_TRUE(run_until([&] { return read(late), late.open.empty(); }));
  ASSERT_TRUE(limited_.contains(item)) << "the new process asks for no copy from before the purge";
  EXPECT_GT(std::stoi(limited_[item]), 0);
  EXPECT_LT(std::stoi(limited_[item]), 20'000);
}

// Guards against two processes that each fill the limit on descriptors, which is counted over both.
TEST_F(Replace, TogetherTheyStayUnderTheLimitOnDescriptors) {
  sockets_ = 160;
  auto old = start();
  std::vector<std::unique_ptr<loopback::Socket>> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(loopback::dial(at_));
  run_for(300'000);
  EXPECT_GT(old.program->descriptors(), 60u);
  auto next = start();
  std::size_t most = 0;
  for (int i = 0; i < 100; ++i) {
    idle.push_back(loopback::dial(at_));
    run_for(5'000);
    if (i > 40) most = std::max(most, old.program->descriptors() + next.program->descriptors());
  }
  EXPECT_LE(most, 160u);
  EXPECT_GT(most, 80u) << "it was filled";
  idle.clear();
  finish();
  EXPECT_EQ(lost + failed, 0u);
}

// Guards against an old process that leaves its address to a successor which has died since: nobody
// would listen there until another is started.
TEST_F(Replace, ASuccessorKilledWhileTheOldOneLeavesGivesTheAddressBack) {
  auto old = start();
  run_for(200'000);
  auto next = start();
  old.program->signal(SIGTERM);
  run_for(130'000);  // new clients are led to the successor, the old listener is closed
  next.program->signal(SIGKILL);
  next.program->exit_code();
  int fd = -1;
  EXPECT_TRUE(run_until([&] { return (fd = connected()) >= 0; }, 2'000'000))
      << "with clients it serves for 3.5 s";
  if (fd >= 0) ::close(fd);
  ASSERT_TRUE(run_until([&] { return old.program->ended(); }, 3'600'000))
      << "SIGKILL would have come";
  EXPECT_EQ(old.program->exit_code(), 0);
  EXPECT_EQ(failed, 0u);
}

// Guards against a successor that keeps to its part of the limits after the other has gone.
TEST_F(Replace, WhoIsAloneAgainHasTheWholeLimits) {
  sockets_ = 160;
  auto old = start();
  auto next = start();
  old.program->signal(SIGKILL);
  old.program->exit_code();
  run_for(700'000);
  std::vector<std::unique_ptr<loopback::Socket>> idle;
  for (int i = 0; i < 60; ++i) idle.push_back(loopback::dial(at_));
  EXPECT_TRUE(run_until([&] { return next.program->descriptors() >= 80; }, 1'000'000))
      << "of 160, all there for one";
}

// Guards against connections that the kernel has completed for the old listener and that nobody has
// taken, since all places are in use: closed with it, they would be reset and their requests lost.
TEST_F(Replace, WhatTheOldListenerHoldsIsAnsweredBeforeItCloses) {
  sockets_ = 128;
  asking = false;
  takes_ = 700'000;
  auto old = start();
  auto next = start();
  std::vector<std::unique_ptr<loopback::Socket>> clients;
  for (int i = 0; i < 200; ++i) {  // some 30 places in each; the rest waits in the kernel
    clients.push_back(loopback::dial(at_));
    clients.back()->write(request(1, id_of(i)));
  }
  run_for(200'000);
  old.program->signal(SIGTERM);
  run_for(300'000);
  takes_ = 15'000;
  std::size_t answered = 0;
  EXPECT_TRUE(run_until(
      [&] {
        answered = 0;
        for (auto& s : clients) s->poll(), answered += loopback::answers(s->in).size();
        return answered == clients.size();
      },
      5'000'000))
      << answered << " of " << clients.size();
}

// Guards against figures that are true only at rest: read while the load runs, over both processes,
// they lie between what the client had counted before the call and what it can have been given by
// its end.
TEST_F(Replace, FiguresReadUnderLoadAgreeWithTheClientsOwnCount) {
  auto old = start();
  Process next;
  std::size_t most_open = 0;
  for (int i = 0; i < 60; ++i) {
    if (i == 30) next = start();
    const auto open = [&] {
      std::size_t n = 0;
      for (auto& c : clients_) n += c.open.size();
      return n;
    };
    const std::uint64_t before = served, asked_before = asked;
    const std::size_t open_before = open();
    std::string text = call(old, "GET /control/counters");
    std::uint64_t success = figure(text, "edge_relay_success{tier=\"asset\"}");
    std::uint64_t inflight = figure(text, "edge_relay_inflight");
    if (next.program) {
      text = call(next, "GET /control/counters");
      success += figure(text, "edge_relay_success{tier=\"asset\"}");
      inflight += figure(text, "edge_relay_inflight");
    }
    EXPECT_GE(success, before) << i;
    EXPECT_LE(success, served + open()) << i;
    EXPECT_LE(inflight, open_before + (asked - asked_before)) << i;
    most_open = std::max(most_open, static_cast<std::size_t>(inflight));
    run_for(20'000);
  }
  EXPECT_GT(most_open, 0u);
  EXPECT_GT(served, 300u);
  finish();
  EXPECT_EQ(lost + failed, 0u);
}

// Guards against two processes that each hold for slow readers what the limit on memory allows one.
TEST_F(Replace, TogetherTheyStayUnderTheLimitOnMemory) {
  memory_mb_ = 128;
  asking = false;
  ::setenv("ASAN_OPTIONS", "quarantine_size_mb=0", 1);  // what is given back counts as free
  auto old = start();
  auto next = start();
  const auto resident = [&] { return old.program->resident() + next.program->resident(); };
  const std::size_t before = resident();
  std::size_t most = before;
  std::vector<int> readers;
  std::uint64_t number = 0;
  for (int i = 0; i < 24; ++i) {
    const int fd = connected();
    const int small = 4096;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    readers.push_back(fd);
    for (unsigned k = 1; k <= 28; ++k) {
      const auto id = id_of(static_cast<int>(1000 + ++number));
      large_.insert(id);
      const auto bytes = request(k, id);
      (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    run_for(60'000);
    most = std::max(most, resident());
  }
  const auto sample = [&] {
    most = std::max(most, resident());
    return most - before > 26u << 20;
  };
  run_until(sample, 10'000'000);  // a slow machine fills them later
  for (int i = 0; i < 10; ++i) run_for(50'000), sample();
  for (const int fd : readers) ::close(fd);
  const std::size_t grown =
      (most - before) >> 20;  // MB: a quarter of the limit is 32 of both, 64 of each alone
  EXPECT_GT(grown, 20u) << "it was filled";
  EXPECT_LT(grown, 48u);
}

}  // namespace
