// Tests of the buffers of net::Connection: the memory that they hold and the bytes that they move,
// for drawn orders of writes, partial sends, partial reads and closes.
#include "net/connection.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace alderspur;

constexpr int kSeeds = 20;
constexpr int kStepsPerSeed = 600;
/// The size of the largest response.
constexpr std::size_t kMaxWriteBytes = 240'000;
/// No more than this is queued, so that a run stays short.
constexpr std::size_t kMaxUnsentBytes = 2 << 20;
constexpr std::size_t kKernelBufferBytes = 16 << 10;
/// What a connection may hold beyond a multiple of the bytes in its buffers.
constexpr std::size_t kMaxIdleSendBytes = 2 * net::SendQueue::kMaxChunkBytes;
constexpr std::size_t kMaxIdleReadBytes = 2 * net::ReadBuffer::kMaxSpareBytes;

/// A connection and the peer's end of it, both with small kernel buffers.
class ConnectionTest : public ::testing::Test {
 protected:
  ~ConnectionTest() override { close_peer(); }

  void open(net::Connection::Handler handler) {
    std::array<int, 2> fds{};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds.data()), 0);
    const int buffer_bytes = kKernelBufferBytes;
    for (const int fd : fds) {
      ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
    }
    connection =
        std::make_unique<net::Connection>(loop, net::Fd(fds[0]), false, std::move(handler));
    peer = fds[1];
  }
  void close_peer() {
    if (peer >= 0) ::close(std::exchange(peer, -1));
  }
  void run_turn() {
    ev_run(loop.raw(), EVRUN_NOWAIT);
    connection->end_turn();
  }
  /// Reads at most `count` bytes at the peer's end.
  std::string read_at_peer(std::size_t count) const {
    std::string bytes(count, '\0');
    const ssize_t received = ::recv(peer, bytes.data(), bytes.size(), 0);
    bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    return bytes;
  }

  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  std::unique_ptr<net::Connection> connection;
  int peer = -1;
};

/// Returns the sequence of bytes that a test sends, from `begin` on.
std::string test_bytes(std::size_t begin, std::size_t count) {
  constexpr std::size_t kPeriod = 251;
  std::string bytes(count, '\0');
  for (std::size_t i = 0; i < count; ++i) bytes[i] = static_cast<char>((begin + i) % kPeriod);
  return bytes;
}

// Guards against a router that grows over its memory limit because the write queue of a slow reader
// keeps every byte that it has already sent, as long as it never runs empty.
TEST_F(ConnectionTest, HoldsOnlyUnsentBytesWhenWriteQueueNeverRunsEmpty) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    open({});
    std::size_t written = 0;
    std::size_t read = 0;
    for (int step = 0; step < kStepsPerSeed; ++step) {
      const std::size_t size = random() % 4 ? random() % 200 : random() % kMaxWriteBytes;
      if (connection->unwritten() + size < kMaxUnsentBytes) {
        const std::string bytes = test_bytes(written, size);
        const std::size_t head = size ? random() % size : 0;
        connection->write(bytes.substr(0, head), bytes.substr(head));
        written += size;
      }
      run_turn();
      ASSERT_LE(connection->held_bytes(), connection->unwritten() + kMaxIdleSendBytes)
          << "seed " << seed << ", step " << step << ", after " << written << " bytes";
      const std::string received = read_at_peer(random() % (4 * kKernelBufferBytes));
      ASSERT_EQ(received, test_bytes(read, received.size())) << "seed " << seed;
      read += received.size();
    }
    EXPECT_EQ(loop.buffers().held, connection->held_bytes());
    EXPECT_EQ(loop.buffers().unsent, connection->unwritten());
    connection->close();
    EXPECT_EQ(loop.buffers().held, 0U) << "a closed connection holds nothing";
    close_peer();
  }
}

// Guards against a read buffer that keeps the size of the largest message, or whose cost for each
// byte grows with the bytes that wait, while it never runs empty.
TEST_F(ConnectionTest, HoldsAndMovesInProportionWhenReadBufferNeverRunsEmpty) {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::size_t consumed = 0;
    net::Connection::Handler handler;
    // Consumes nothing most of the time, and else a part of the input.
    handler.on_data = [&](std::string_view bytes) -> std::ptrdiff_t {
      EXPECT_EQ(bytes, test_bytes(consumed, bytes.size()));
      const std::size_t count = random() % 4 ? 0 : random() % bytes.size();
      consumed += count;
      return static_cast<std::ptrdiff_t>(count);
    };
    open(handler);
    std::size_t sent = 0;
    for (int step = 0; step < kStepsPerSeed; ++step) {
      const std::string bytes = test_bytes(sent, 1 + random() % (2 * kKernelBufferBytes));
      const ssize_t accepted = ::send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (accepted > 0) sent += static_cast<std::size_t>(accepted);
      run_turn();
      ASSERT_LE(connection->held_bytes(), 4 * connection->unread() + kMaxIdleReadBytes)
          << "seed " << seed << ", step " << step;
    }
    EXPECT_LE(connection->moved_total(), 3 * sent) << "seed " << seed;
    connection.reset();
    EXPECT_EQ(loop.buffers().held, 0U);
    close_peer();
  }
}

// Guards against a cost of each byte that grows with the queue: bytes stay where they were copied
// to until they are sent.
TEST(SendQueueTest, NeverMovesBytesThatAreQueued) {
  constexpr std::size_t kBuffers = 4096;
  net::SendQueue queue;
  std::mt19937_64 random(1);
  std::vector<iovec> before(kBuffers);
  std::vector<iovec> after(kBuffers);
  for (int step = 0; step < kStepsPerSeed; ++step) {
    const std::size_t count_before = queue.gather(before);
    queue.append(test_bytes(0, random() % 50'000));
    if (queue.size() > 0) queue.remove_front(random() % std::min(queue.size(), kMaxWriteBytes));
    const std::size_t count_after = queue.gather(after);
    ASSERT_LT(count_after, kBuffers);
    // The chunks behind the first are the last ones of before, then new ones.
    std::size_t index = 0;
    while (index < count_before && count_after > 1 && before[index].iov_base != after[1].iov_base) {
      ++index;
    }
    for (std::size_t k = 0; index + k < count_before && 1 + k < count_after; ++k) {
      ASSERT_EQ(before[index + k].iov_base, after[1 + k].iov_base) << "step " << step;
    }
    ASSERT_LE(queue.held_bytes(), queue.size() + kMaxIdleSendBytes) << "step " << step;
  }
}

}  // namespace
