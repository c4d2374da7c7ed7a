// Tests in which one process of the edge router replaces another under load.
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

// A process must exit within this time after SIGTERM, because the platform sends SIGKILL later.
constexpr core::Time kKillTimeout = 3'600'000;
constexpr const char* kSuccessMetric = "edge_relay_success{tier=\"asset\"}";

bool is_ok(const std::string& reply) { return reply.starts_with("HTTP/1.1 200"); }

/// Returns the number of served requests that a process logs when it ends.
std::uint64_t logged_served_count(loopback::RouterProcess& program) {
  constexpr std::string_view kLabel = " served ";
  std::uint64_t count = 0;
  for (std::string line = program.read_log_line(); !line.empty(); line = program.read_log_line()) {
    const auto begin = line.find(kLabel);
    if (begin != std::string::npos) count = std::stoull(line.substr(begin + kLabel.size()));
  }
  return count;
}

// Guards against connections that stay in a listen queue from which no process accepts, against
// requests that are lost with the old process, and against metrics that do not start at 0 or whose
// sum over both processes is wrong.
TEST_F(ReplacementTest, LosesNoRequestUnderLoadAndMetricsOfBothProcessesAddUp) {
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

TEST_F(ReplacementTest, KeepsABanAcrossReplacementAndRestartUntilItIsLifted) {
  auto old_process = start();
  run_for(300'000);
  EXPECT_TRUE(call(old_process, "PUT /control/caches/nobody/offline").starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(is_ok(call(old_process, "PUT /control/caches/s-0/offline")));
  EXPECT_TRUE(is_ok(call(old_process, "PUT /control/caches/s-0/offline")));
  run_for(200'000);  // requests that are already at the cache end
  const auto at_ban = completed_fetches[0];
  auto new_process = start();
  EXPECT_EQ(metric(metrics(new_process), "edge_relay_hosts_down"), 1U);
  old_process.program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, kKillTimeout));
  run_for(200'000);
  new_process.program->send_signal(SIGKILL);  // no running process holds the ban
  new_process.program->wait_for_exit();
  const auto third = start();
  run_for(300'000);
  EXPECT_EQ(completed_fetches[0], at_ban);
  EXPECT_GT(completed_fetches[1], 50U);
  EXPECT_TRUE(is_ok(call(third, "PUT /control/caches/s-0/online")));
  EXPECT_TRUE(run_until([&] { return completed_fetches[0] > at_ban; }, 5'000'000));
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

// Guards against an old process that closes its clients' connections although its successor has
// been killed.
TEST_F(ReplacementTest, OldProcessKeepsServingWhenAReadySuccessorIsKilled) {
  auto old_process = start();
  run_for(200'000);
  auto new_process = start();
  new_process.program->send_signal(SIGKILL);
  new_process.program->wait_for_exit();
  old_process.program->send_signal(SIGTERM);
  run_for(300'000);  // clients still connect, as after any SIGTERM
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

// One of the two ban files is truncated at each byte, as after a crash on a disk that reorders
// writes. The process starts, and the other file still contains the ban.
TEST_F(ReplacementTest, KeepsABanWhenABanFileIsTruncatedAnywhere) {
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
      EXPECT_GE(metric(text, "edge_relay_hosts_down"), 1U)
          << suffix << " truncated to " << size << " bytes";
      new_process.program->send_signal(SIGKILL);
    }
    std::ofstream(path, std::ios::trunc) << whole.str();
  }
  EXPECT_GT(starts, 50U);
}

// Guards against responses to a slow reader that are truncated when its process is replaced.
TEST_F(ReplacementTest, SendsASlowReaderAllItsResponsesCompletely) {
  constexpr unsigned kResponseCount = 24;  // more than the kernel buffers for a slow reader
  auto old_process = start();
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const int buffer_bytes = 8192;
  ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  ASSERT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  ::fcntl(fd, F_SETFL, O_NONBLOCK);
  for (unsigned number = 1; number <= kResponseCount; ++number) {
    const auto id = id_of(number - 1);
    large_items.insert(id);
    const auto bytes = encode_request(number, id);
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
  const auto responses = loopback::decode_responses(input);
  EXPECT_EQ(responses.size(), kResponseCount);
  for (const auto& response : responses) {
    EXPECT_EQ(response.body.size(), kLargeResponseBytes) << response.error;
  }
  EXPECT_TRUE(run_until([&] { return old_process.program->has_exited(); }));
  EXPECT_EQ(old_process.program->wait_for_exit(), 0);
  finish();
  EXPECT_EQ(lost + failed, 0U);
}

// Guards against a shutdown that waits for a disk which never responds.
TEST_F(ReplacementTest, ServesAndExitsWhileTheSharedDirectoryHangs) {
  auto process = start();
  run_for(300'000);
  // Holds the lock as a process does that is stopped in the middle of a change.
  const net::Fd lock(::open(path_of(".lock").c_str(), O_RDWR | O_CREAT, 0600));
  ASSERT_EQ(::flock(lock.get(), LOCK_EX), 0);
  const auto before = served;
  const auto ban = call(process, "PUT /control/caches/s-0/offline");
  run_for(300'000);
  EXPECT_GT(served, before + 50);
  EXPECT_EQ(metric(metrics(process), "edge_relay_hosts_down"), 1U)
      << "the ban is in effect even if it is not saved";
  EXPECT_TRUE(ban.starts_with("HTTP/1.1 503"))
      << "a ban that is not stored on the disk is not confirmed: " << ban;
  finish();
  process.program->send_signal(SIGTERM);
  ASSERT_TRUE(run_until([&] { return process.program->has_exited(); }, kKillTimeout));
  EXPECT_EQ(process.program->wait_for_exit(), 0);
  EXPECT_EQ(lost + failed, 0U);
}

// A cache begins to drain during the replacement. Each process stops sending it requests once the
// process is notified of the drain.
TEST_F(ReplacementTest, AppliesADrainDuringTheReplacementInBothProcesses) {
  listen_as_board();
  auto old_process = start();
  run_for(100'000);
  auto new_process = start();
  ASSERT_TRUE(run_until([&] {
    return board_connections.size() == 2 && board_connections[0]->received == "watch 1\n" &&
           board_connections[1]->received == "watch 1\n";
  }));
  ASSERT_GT(completed_fetches[0], 0U) << "both caches receive requests";
  old_process.program->send_signal(SIGTERM);
  for (auto& connection : board_connections) {
    connection->write(R"({"rev":2,"pool":{"complete":false,"members":[{"id":"s-0","host_port":")" +
                      caches[0].address() +
                      R"(","locality":"edge","flavor":"small","phase":"terminating","size":4}]}})"
                      "\n");
  }
  run_for(500'000);  // requests that are already at the cache end
  const auto before = completed_fetches[0];
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, 3'700'000));
  run_for(200'000);
  EXPECT_EQ(completed_fetches[0], before);
  finish();
  EXPECT_EQ(failed + lost, 0U);
}

// One process is notified of a purge before the other. From its own notification on, each process
// requests only copies that are newer than the purge. The new process watches from the revision in
// its own settings.
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
  Client late_client;
  send(late_client, item);
  EXPECT_TRUE(run_until([&] {
    read(late_client);
    return late_client.open.empty();
  }));
  ASSERT_TRUE(age_limits.contains(item))
      << "the new process requests only copies that are newer than the purge";
  EXPECT_GT(std::stoi(age_limits[item]), 0);
  EXPECT_LT(std::stoi(age_limits[item]), 20'000);
}

// Guards against two processes that each use the whole descriptor limit, which applies to both
// processes together.
TEST_F(ReplacementTest, BothProcessesTogetherStayWithinTheDescriptorLimit) {
  max_sockets = 160;
  auto old_process = start();
  std::vector<std::unique_ptr<loopback::TestSocket>> idle(60);
  for (auto& socket : idle) socket = loopback::connect_to(address);
  run_for(300'000);
  EXPECT_GT(old_process.program->open_descriptors(), 60U);
  auto new_process = start();
  std::size_t max_open = 0;
  idle.reserve(160);
  for (int i = 0; i < 100; ++i) {
    idle.push_back(loopback::connect_to(address));
    run_for(5'000);
    if (i <= 40) continue;
    max_open = std::max(max_open, old_process.program->open_descriptors() +
                                      new_process.program->open_descriptors());
  }
  EXPECT_LE(max_open, 160U);
  EXPECT_GT(max_open, 80U) << "the limit is reached";
  idle.clear();
  finish();
  EXPECT_EQ(lost + failed, 0U);
}

// Guards against an old process that stops listening for a successor which is then killed. No
// process would listen on the address until another one is started.
TEST_F(ReplacementTest, DrainingProcessListensAgainWhenItsSuccessorIsKilled) {
  auto old_process = start();
  run_for(200'000);
  auto new_process = start();
  old_process.program->send_signal(SIGTERM);
  run_for(130'000);  // clients connect to the successor, and the old listener is closed
  new_process.program->send_signal(SIGKILL);
  new_process.program->wait_for_exit();
  int fd = -1;
  const auto has_connected = [&] {
    fd = connect();
    return fd >= 0;
  };
  EXPECT_TRUE(run_until(has_connected, 2'000'000))
      << "a draining process serves its clients for 3.5 s";
  if (fd >= 0) ::close(fd);
  ASSERT_TRUE(run_until([&] { return old_process.program->has_exited(); }, kKillTimeout))
      << "SIGKILL would have come";
  EXPECT_EQ(old_process.program->wait_for_exit(), 0);
  EXPECT_EQ(failed, 0U);
}

// Guards against a process that uses only its share of the limits after the other process has
// ended.
TEST_F(ReplacementTest, RemainingProcessUsesTheWholeLimits) {
  max_sockets = 160;
  auto old_process = start();
  auto new_process = start();
  old_process.program->send_signal(SIGKILL);
  old_process.program->wait_for_exit();
  run_for(700'000);
  std::vector<std::unique_ptr<loopback::TestSocket>> idle(60);
  for (auto& socket : idle) socket = loopback::connect_to(address);
  EXPECT_TRUE(run_until([&] { return new_process.program->open_descriptors() >= 80; }, 1'000'000))
      << "all 160 descriptors are for one process";
}

// Guards against the loss of connections that the kernel has completed for the old listener but
// that are not accepted yet because all descriptors are in use. If they were closed with the
// listener, they would be reset and their requests lost.
TEST_F(ReplacementTest, RespondsToConnectionsQueuedAtTheOldListener) {
  max_sockets = 128;
  is_sending = false;
  cache_latency = 700'000;
  auto old_process = start();
  auto new_process = start();
  // Each process accepts about 30 connections; the rest wait in the kernel.
  std::vector<std::unique_ptr<loopback::TestSocket>> sockets(200);
  for (std::size_t i = 0; i < sockets.size(); ++i) {
    sockets[i] = loopback::connect_to(address);
    sockets[i]->write(encode_request(1, id_of(i)));
  }
  run_for(200'000);
  old_process.program->send_signal(SIGTERM);
  run_for(300'000);
  cache_latency = 15'000;
  std::size_t response_count = 0;
  const auto all_have_responses = [&] {
    response_count = 0;
    for (auto& socket : sockets) {
      socket->poll();
      response_count += loopback::decode_responses(socket->received).size();
    }
    return response_count == sockets.size();
  };
  EXPECT_TRUE(run_until(all_have_responses, 5'000'000))
      << response_count << " responses to " << sockets.size() << " requests";
}

// Guards against metrics that are correct only without load. Under load, the sum over both
// processes lies between the clients' count before the call and the count that the clients can have
// reached at its end.
TEST_F(ReplacementTest, MetricsReadUnderLoadAgreeWithTheClientsCounts) {
  auto old_process = start();
  Process new_process;
  const auto open_count = [&] {
    std::size_t count = 0;
    for (const auto& client : clients) count += client.open.size();
    return count;
  };
  std::size_t max_inflight = 0;
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
    max_inflight = std::max(max_inflight, static_cast<std::size_t>(inflight));
    run_for(20'000);
  }
  EXPECT_GT(max_inflight, 0U);
  EXPECT_GT(served, 300U);
  finish();
  EXPECT_EQ(lost + failed, 0U);
}

// Guards against two processes that each buffer as much for slow readers as the memory limit allows
// for a single process.
TEST_F(ReplacementTest, BothProcessesTogetherStayWithinTheMemoryLimit) {
  memory_mb = 128;
  is_sending = false;
  // The sanitizer returns freed memory immediately and stores no stacks of allocations.
  ::setenv("ASAN_OPTIONS", "quarantine_size_mb=0:malloc_context_size=0", 1);
  auto old_process = start();
  auto new_process = start();
  const auto resident = [&] {
    return old_process.program->resident_bytes() + new_process.program->resident_bytes();
  };
  // Both processes serve requests first, so that `before` contains the code that they load for it.
  std::uint64_t item_number = 0;
  for (int i = 0; i < 8; ++i) {
    const int fd = connect();
    for (unsigned number = 1; number <= 4; ++number) {
      const auto bytes = encode_request(number, id_of(1000 + ++item_number));
      (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    run_for(60'000);
    ::close(fd);
  }
  const std::size_t before = resident();
  std::size_t max_resident = before;
  std::vector<int> readers;
  for (int i = 0; i < 24; ++i) {
    const int fd = connect();
    const int buffer_bytes = 4096;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    readers.push_back(fd);
    for (unsigned number = 1; number <= 28; ++number) {
      const auto id = id_of(1000 + ++item_number);
      large_items.insert(id);
      const auto bytes = encode_request(number, id);
      (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    run_for(60'000);
    max_resident = std::max(max_resident, resident());
  }
  const auto is_almost_filled = [&] {
    max_resident = std::max(max_resident, resident());
    return max_resident - before > 26U << 20;
  };
  run_until(is_almost_filled, 10'000'000);  // a slow machine takes longer
  for (int i = 0; i < 10; ++i) {
    run_for(50'000);
    max_resident = std::max(max_resident, resident());
  }
  for (const int fd : readers) ::close(fd);
  // A quarter of the limit is for buffers: 32 MB for both processes together. It would be 64 MB if
  // each process used the whole quarter.
  const std::size_t grown_mb = (max_resident - before) >> 20;
  EXPECT_GT(grown_mb, 20U) << "the limit is reached";
  EXPECT_LT(grown_mb, 48U);
}

}  // namespace
}  // namespace alderspur::hot_restart
