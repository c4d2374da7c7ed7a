// One process of the edge router replaces another under load.
#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "hot_restart/replacement_fixture.h"

namespace alderspur::hot_restart {
namespace {

constexpr core::Time kKillTimeout = 3'600'000;  // after SIGTERM; later the platform sends SIGKILL
constexpr const char* kSuccessMetric = "edge_relay_success{tier=\"asset\"}";

bool is_ok(const std::string& reply) { return reply.starts_with("HTTP/1.1 200"); }

/// The number of served requests that a process logs at its end.
std::uint64_t logged_served_count(loopback::RouterProcess& program) {
  constexpr std::string_view kLabel = " served ";
  std::uint64_t count = 0;
  for (std::string line = program.read_log_line(); !line.empty(); line = program.read_log_line()) {
    const auto begin = line.find(kLabel);
    if (begin != std::string::npos) count = std::stoull(line.substr(begin + kLabel.size()));
  }
  return count;
}

// Guards against connections left in a queue that nobody reads, requests lost with the old process,
// and metrics that do not start at 0 or do not add up over both processes.
TEST_F(ReplacementTest, LosesNoRequestUnderLoadAndMetricsOfBothAddUp) {
  auto old_process = start();
  run_for(400'000);
  auto new_process = start();
  EXPECT_TRUE(is_ok(call(old_process, "GET /control/ready")));
  const auto before = metrics(old_process);
  EXPECT_GT(metric(before, kSuccessMetric), 50U);
  old_process.program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, kKillTimeout))
      << "SIGKILL would have come";
  const std::uint64_t served_by_old = logged_served_count(*old_process.program);
  EXPECT_EQ(old_process.program->wait_for_exit(), 0);
  run_for(300'000);
  finish();
  EXPECT_EQ(lost, 0U);
  EXPECT_EQ(failed, 0U);
  EXPECT_LE(busy, 32U);
  EXPECT_LE(resent, 8U);
  const auto text = metrics(new_process);
  EXPECT_EQ(served_by_old + metric(text, kSuccessMetric), served);
  EXPECT_EQ(metric(text, "edge_relay_inflight"), 0U);
  EXPECT_EQ(metric(text, "edge_relay_hosts_listed"), 2U);
  new_process.program->send_signal(SIGTERM);
  EXPECT_EQ(new_process.program->wait_for_exit(), 0);
}

TEST_F(ReplacementTest, KeepsABanOverReplacementAndRestartUntilItIsLifted) {
  auto old_process = start();
  run_for(300'000);
  EXPECT_TRUE(call(old_process, "PUT /control/caches/nobody/offline").starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(is_ok(call(old_process, "PUT /control/caches/s-0/offline")));
  EXPECT_TRUE(is_ok(call(old_process, "PUT /control/caches/s-0/offline")));
  run_for(200'000);  // requests that are already at the cache end
  const auto at_ban = answered_fetches[0];
  auto new_process = start();
  EXPECT_EQ(metric(metrics(new_process), "edge_relay_hosts_down"), 1U);
  old_process.program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, kKillTimeout));
  run_for(200'000);
  new_process.program->send_signal(SIGKILL);  // no process is left that knows of the ban
  new_process.program->wait_for_exit();
  const auto third = start();
  run_for(300'000);
  EXPECT_EQ(answered_fetches[0], at_ban);
  EXPECT_GT(answered_fetches[1], 50U);
  EXPECT_TRUE(is_ok(call(third, "PUT /control/caches/s-0/online")));
  EXPECT_TRUE(run_until([&] { return answered_fetches[0] > at_ban; }, 5'000'000));
}

TEST_F(ReplacementTest, AppliesABanOfOneProcessInTheOther) {
  auto old_process = start();
  auto new_process = start();
  EXPECT_TRUE(is_ok(call(old_process, "PUT /control/caches/s-1/offline")));
  ASSERT_TRUE(run_until([&] { return metric(metrics(new_process), "edge_relay_hosts_down") == 1; },
                        1'000'000))
      << "within 1 s";
  EXPECT_TRUE(is_ok(call(new_process, "PUT /control/caches/s-1/online")));
  EXPECT_TRUE(
      run_until([&] { return metric(metrics(old_process), "edge_relay_hosts_down") == 0; }));
}

// Guards against an old process that has sent its clients away although no successor is left.
TEST_F(ReplacementTest, KeepsTheOldProcessAtWorkWhenAReadySuccessorIsKilled) {
  auto old_process = start();
  run_for(200'000);
  auto new_process = start();
  new_process.program->send_signal(SIGKILL);
  new_process.program->wait_for_exit();
  old_process.program->send_signal(SIGTERM);
  run_for(300'000);  // clients still come, as after any SIGTERM
  const auto third = start();
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, 6'000'000));
  EXPECT_EQ(old_process.program->wait_for_exit(), 0);
  run_for(200'000);
  finish();
  EXPECT_EQ(failed, 0U);
  // Only requests open at the killed process are lost.
  EXPECT_LE(lost + busy, 40U);
  EXPECT_GT(served, sent * 9 / 10);
}

TEST_F(ReplacementTest, SuccessorTakesOverWhenTheOldProcessIsKilled) {
  auto old_process = start();
  run_for(200'000);
  auto new_process = start();
  old_process.program->send_signal(SIGKILL);
  old_process.program->wait_for_exit();
  run_for(600'000);
  finish();
  EXPECT_EQ(failed, 0U);
  EXPECT_LE(lost, 40U);  // only requests open at the killed process
  EXPECT_GT(metric(metrics(new_process), kSuccessMetric), 100U);
  new_process.program->send_signal(SIGTERM);
  EXPECT_EQ(new_process.program->wait_for_exit(), 0);
}

TEST_F(ReplacementTest, StartsWithDamagedFilesInTheSharedDirectory) {
  for (const char* suffix :
       {".bans.a", ".bans.b", ".lock", ".place0", ".place1", ".place2", ".place3"}) {
    std::ofstream(path_of(suffix)) << "garbage of a later version \xff";
  }
  auto first = start();
  run_for(200'000);
  EXPECT_TRUE(is_ok(call(first, "PUT /control/caches/s-0/offline")));
  auto second = start();
  EXPECT_EQ(metric(metrics(second), "edge_relay_hosts_down"), 1U);
  finish();
  EXPECT_EQ(lost + failed, 0U);
}

// One of the two files of bans is truncated anywhere, as after a crash on a disk that reorders
// writes: the process starts, and the other file still holds the ban.
TEST_F(ReplacementTest, KeepsABanWhenAFileOfBansIsTruncatedAnywhere) {
  is_sending = false;
  {
    auto first = start();
    for (const char* id : {"s-0", "s-1"}) {
      EXPECT_TRUE(is_ok(call(first, std::string("PUT /control/caches/") + id + "/offline")));
    }
    EXPECT_TRUE(is_ok(call(first, "PUT /control/caches/s-1/online")));
  }
  std::size_t starts = 0;
  for (const char* suffix : {".bans.a", ".bans.b"}) {
    const std::string path = path_of(suffix);
    std::stringstream whole;
    whole << std::ifstream(path).rdbuf();
    for (std::size_t size = 0; size < whole.str().size(); ++size, ++starts) {
      std::ofstream(path, std::ios::trunc) << whole.str().substr(0, size);
      auto new_process = start();
      const auto text = metrics(new_process);
      EXPECT_GE(metric(text, "edge_relay_hosts_down"), 1U) << suffix << " cut to " << size;
      new_process.program->send_signal(SIGKILL);
    }
    std::ofstream(path, std::ios::trunc) << whole.str();
  }
  EXPECT_GT(starts, 50U);
}

// Guards against answers to a slow reader that are cut off when its process is replaced.
TEST_F(ReplacementTest, SendsASlowReaderAllItsAnswersWhole) {
  constexpr unsigned kAnswerCount = 24;  // more than the kernel buffers for a slow reader
  auto old_process = start();
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const int small = 8192;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  ASSERT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  for (unsigned i = 1; i <= kAnswerCount; ++i) {
    const auto id = id_of(i - 1);
    large_items.insert(id);
    const auto bytes = encode_request(i, id);
    ASSERT_EQ(::send(fd, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
  }
  run_for(150'000);
  auto new_process = start();
  old_process.program->send_signal(SIGTERM);
  std::string input;
  bool has_ended = false;
  run_until([&] {
    std::array<char, 16384> buffer{};
    const ssize_t received = ::recv(fd, buffer.data(), buffer.size(), 0);
    if (received > 0) input.append(buffer.data(), static_cast<std::size_t>(received));
    has_ended = received == 0 || (received < 0 && errno != EAGAIN);
    return has_ended;
  });
  ::close(fd);
  EXPECT_TRUE(has_ended);
  const auto answers = loopback::decode_responses(input);
  EXPECT_EQ(answers.size(), kAnswerCount);
  for (const auto& answer : answers) {
    EXPECT_EQ(answer.body.size(), kLargeAnswerBytes) << answer.error;
  }
  EXPECT_TRUE(run_until([&] { return old_process.program->has_exited(); }));
  EXPECT_EQ(old_process.program->wait_for_exit(), 0);
  finish();
  EXPECT_EQ(lost + failed, 0U);
}

// Guards against a shutdown that waits for a disk which never answers.
TEST_F(ReplacementTest, ServesAndEndsWhileTheSharedDirectoryHangs) {
  auto process = start();
  run_for(300'000);
  // As a process does that is stopped in the middle of a change.
  const net::Fd lock(::open(path_of(".lock").c_str(), O_RDWR | O_CREAT, 0600));
  ASSERT_EQ(::flock(lock.get(), LOCK_EX), 0);
  const auto before = served;
  const auto ban = call(process, "PUT /control/caches/s-0/offline");
  run_for(300'000);
  EXPECT_GT(served, before + 50);
  EXPECT_EQ(metric(metrics(process), "edge_relay_hosts_down"), 1U)
      << "the ban is in effect all the same";
  EXPECT_TRUE(ban.starts_with("HTTP/1.1 503"))
      << "a ban that is not on the disk is not confirmed: " << ban;
  finish();
  process.program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return process.program->has_exited(); }, kKillTimeout));
  EXPECT_EQ(process.program->wait_for_exit(), 0);
  EXPECT_EQ(lost + failed, 0U);
}

// A cache begins to drain during the replacement: neither process sends it anything once it is
// notified.
TEST_F(ReplacementTest, AppliesADrainDuringTheReplacementInBothProcesses) {
  listen_as_board();
  auto old_process = start();
  run_for(100'000);
  auto new_process = start();
  ASSERT_TRUE(run_until([&] {
    return board_connections.size() == 2 && board_connections[0]->received == "watch 1\n" &&
           board_connections[1]->received == "watch 1\n";
  }));
  ASSERT_GT(answered_fetches[0], 0U) << "both caches are asked";
  old_process.program->send_signal(SIGTERM);
  for (auto& connection : board_connections) {
    connection->write(R"({"rev":2,"pool":{"complete":false,"members":[{"id":"s-0","host_port":")" +
                      caches[0].address() +
                      R"(","locality":"edge","flavor":"small","phase":"terminating","size":4}]}})"
                      "\n");
  }
  run_for(500'000);  // requests that are already at the cache end
  const auto before = answered_fetches[0];
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, 3'700'000));
  run_for(200'000);
  EXPECT_EQ(answered_fetches[0], before);
  finish();
  EXPECT_EQ(failed + lost, 0U);
}

// One process is notified of a purge and the other not yet: each asks for no older copy from its
// own notification on. The new process watches from the revision of its own settings.
TEST_F(ReplacementTest, AppliesAPurgeInEachProcessOnceItIsNotified) {
  listen_as_board();
  auto old_process = start();
  ASSERT_TRUE(run_until([&] {
    return board_connections.size() == 1 && board_connections[0]->received == "watch 1\n";
  }));
  const std::string item = "00000000000000aa";
  const auto purge = R"({"rev":2,"flush":{"asset":")" + item + R"(","ms":)" +
                     std::to_string(net::unix_now() / 1000) + "}}\n";
  board_connections[0]->write(purge);
  run_for(100'000);
  auto new_process = start();
  ASSERT_TRUE(run_until([&] {
    return board_connections.size() == 2 && board_connections[1]->received == "watch 1\n";
  }));
  board_connections[1]->write(purge);
  run_for(100'000);
  old_process.program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, kKillTimeout));
  EXPECT_TRUE(age_limits.empty());
  Client late;
  send(late, item);
  EXPECT_TRUE(run_until([&] {
    read(late);
    return late.open.empty();
  }));
  ASSERT_TRUE(age_limits.contains(item))
      << "the new process asks for no copy from before the purge";
  EXPECT_GT(std::stoi(age_limits[item]), 0);
  EXPECT_LT(std::stoi(age_limits[item]), 20'000);
}

// Guards against two processes that each use up the descriptor limit, which holds for both
// together.
TEST_F(ReplacementTest, BothProcessesTogetherKeepTheDescriptorLimit) {
  max_sockets = 160;
  auto old_process = start();
  std::vector<std::unique_ptr<loopback::TestSocket>> idle(60);
  for (auto& socket : idle) socket = loopback::connect_to(address);
  run_for(300'000);
  EXPECT_GT(old_process.program->open_descriptors(), 60U);
  auto new_process = start();
  std::size_t most = 0;
  idle.reserve(160);
  for (int i = 0; i < 100; ++i) {
    idle.push_back(loopback::connect_to(address));
    run_for(5'000);
    if (i <= 40) continue;
    most = std::max(
        most, old_process.program->open_descriptors() + new_process.program->open_descriptors());
  }
  EXPECT_LE(most, 160U);
  EXPECT_GT(most, 80U) << "the limit is reached";
  idle.clear();
  finish();
  EXPECT_EQ(lost + failed, 0U);
}

// Guards against an old process that leaves its address to a successor which is killed meanwhile:
// nobody would listen there until another process is started.
TEST_F(ReplacementTest, DrainingProcessListensAgainWhenItsSuccessorIsKilled) {
  auto old_process = start();
  run_for(200'000);
  auto new_process = start();
  old_process.program->send_signal(SIGTERM);
  run_for(130'000);  // clients go to the successor, the old listener is closed
  new_process.program->send_signal(SIGKILL);
  new_process.program->wait_for_exit();
  int fd = -1;
  const auto has_connected = [&] {
    fd = connect();
    return fd >= 0;
  };
  EXPECT_TRUE(run_until(has_connected, 2'000'000)) << "with clients it serves for 3.5 s";
  if (fd >= 0) ::close(fd);
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, kKillTimeout))
      << "SIGKILL would have come";
  EXPECT_EQ(old_process.program->wait_for_exit(), 0);
  EXPECT_EQ(failed, 0U);
}

// Guards against a process that keeps to its part of the limits after the other is gone.
TEST_F(ReplacementTest, RemainingProcessHasTheWholeLimits) {
  max_sockets = 160;
  auto old_process = start();
  auto new_process = start();
  old_process.program->send_signal(SIGKILL);
  old_process.program->wait_for_exit();
  run_for(700'000);
  std::vector<std::unique_ptr<loopback::TestSocket>> idle(60);
  for (auto& socket : idle) socket = loopback::connect_to(address);
  EXPECT_TRUE(run_until([&] { return new_process.program->open_descriptors() >= 80; }, 1'000'000))
      << "of 160, all for one process";
}

// Guards against connections that the kernel has completed for the old listener but that are not
// accepted yet because all descriptors are in use: if they were closed with the listener, they
// would be reset and their requests lost.
TEST_F(ReplacementTest, AnswersConnectionsQueuedAtTheOldListener) {
  max_sockets = 128;
  is_sending = false;
  cache_latency = 700'000;
  auto old_process = start();
  auto new_process = start();
  // Some 30 are accepted by each process; the rest wait in the kernel.
  std::vector<std::unique_ptr<loopback::TestSocket>> sockets(200);
  for (std::size_t i = 0; i < sockets.size(); ++i) {
    sockets[i] = loopback::connect_to(address);
    sockets[i]->write(encode_request(1, id_of(i)));
  }
  run_for(200'000);
  old_process.program->send_signal(SIGTERM);
  run_for(300'000);
  cache_latency = 15'000;
  std::size_t answered = 0;
  const auto all_answered = [&] {
    answered = 0;
    for (auto& socket : sockets) {
      socket->poll();
      answered += loopback::decode_responses(socket->received).size();
    }
    return answered == sockets.size();
  };
  EXPECT_TRUE(run_until(all_answered, 5'000'000)) << answered << " of " << sockets.size();
}

// Guards against metrics that are right only at rest: read under load, over both processes, they
// lie between the client's count before the call and what the client can have received by its end.
TEST_F(ReplacementTest, MetricsReadUnderLoadAgreeWithTheClientsCount) {
  auto old_process = start();
  Process new_process;
  const auto open_count = [&] {
    std::size_t count = 0;
    for (const auto& client : clients) count += client.open.size();
    return count;
  };
  std::size_t most_open = 0;
  for (int i = 0; i < 60; ++i) {
    if (i == 30) new_process = start();
    const std::uint64_t served_before = served;
    const std::uint64_t sent_before = sent;
    const std::size_t open_before = open_count();
    std::string text = metrics(old_process);
    std::uint64_t success = metric(text, kSuccessMetric);
    std::uint64_t inflight = metric(text, "edge_relay_inflight");
    if (new_process.program) {
      text = metrics(new_process);
      success += metric(text, kSuccessMetric);
      inflight += metric(text, "edge_relay_inflight");
    }
    EXPECT_GE(success, served_before) << i;
    EXPECT_LE(success, served + open_count()) << i;
    EXPECT_LE(inflight, open_before + (sent - sent_before)) << i;
    most_open = std::max(most_open, static_cast<std::size_t>(inflight));
    run_for(20'000);
  }
  EXPECT_GT(most_open, 0U);
  EXPECT_GT(served, 300U);
  finish();
  EXPECT_EQ(lost + failed, 0U);
}

// Guards against two processes that each buffer for slow readers what the memory limit allows one.
TEST_F(ReplacementTest, BothProcessesTogetherKeepTheMemoryLimit) {
  memory_mb = 128;
  is_sending = false;
  ::setenv("ASAN_OPTIONS", "quarantine_size_mb=0", 1);  // freed memory is free at once
  auto old_process = start();
  auto new_process = start();
  const auto resident = [&] {
    return old_process.program->resident_bytes() + new_process.program->resident_bytes();
  };
  const std::size_t before = resident();
  std::size_t most = before;
  std::vector<int> readers;
  std::uint64_t item_number = 0;
  for (int i = 0; i < 24; ++i) {
    const int fd = connect();
    const int small = 4096;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    readers.push_back(fd);
    for (unsigned number = 1; number <= 28; ++number) {
      const auto id = id_of(1000 + ++item_number);
      large_items.insert(id);
      const auto bytes = encode_request(number, id);
      (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    run_for(60'000);
    most = std::max(most, resident());
  }
  const auto is_almost_filled = [&] {
    most = std::max(most, resident());
    return most - before > 26U << 20;
  };
  run_until(is_almost_filled, 10'000'000);  // a slow machine takes longer
  for (int i = 0; i < 10; ++i) {
    run_for(50'000);
    most = std::max(most, resident());
  }
  for (const int fd : readers) ::close(fd);
  // A quarter of the limit is for buffers: 32 MB of both together, 64 MB if each took all of it.
  const std::size_t grown_mb = (most - before) >> 20;
  EXPECT_GT(grown_mb, 20U) << "the limit is reached";
  EXPECT_LT(grown_mb, 48U);
}

}  // namespace
}  // namespace alderspur::hot_restart
