// Sockets on the loopback interface for tests, which use them as clients and servers of the router
// under test.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace loopback {

/// One end of a TCP connection. It owns its descriptor, never blocks, and reads input in poll().
class TestSocket {
 public:
  explicit TestSocket(int fd) : fd_(fd) { ::fcntl(fd_, F_SETFL, O_NONBLOCK); }
  ~TestSocket() { close(); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  /// Closes the connection with a reset.
  void reset() {
    const linger at_once{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  /// Closes the sending side only.
  void half_close() { ::shutdown(fd_, SHUT_WR); }

  /// Sends bytes and drops those that the kernel does not accept immediately.
  void write(std::string_view bytes) {
    if (fd_ >= 0) (void)!::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Sends bytes and returns the number of bytes that the kernel has accepted.
  std::size_t write_some(std::string_view bytes) {
    const ssize_t written = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return written > 0 ? static_cast<std::size_t>(written) : 0;
  }

  /// Reads until no input is available. Appends the input to `received`, and sets `is_closed` and
  /// `was_reset` if the connection has ended.
  void poll() {
    while (poll_once()) {
    }
  }
  /// Does the same with a single read of at most 64 KB. Returns false if nothing was read.
  bool poll_once() {
    if (fd_ < 0) return false;
    char buffer[65536];
    const ssize_t count = ::recv(fd_, buffer, sizeof buffer, 0);
    if (count > 0) received.append(buffer, static_cast<std::size_t>(count));
    if (count == 0 || (count < 0 && errno != EAGAIN)) is_closed = true;
    if (count < 0 && errno == ECONNRESET) was_reset = true;
    return count > 0;
  }

  std::string received;
  bool is_closed = false;  // the peer has closed or reset the connection
  bool was_reset = false;  // the peer has reset the connection

 private:
  int fd_;
};

/// Returns a socket that is bound to a free port and sets `address` to the bound address. The port
/// can be bound again as soon as the socket is closed.
inline int bind_socket(sockaddr_in& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&address), size), 0);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return fd;
}

/// Returns an address whose port was free at the time of the call. The host in 127.1.0.0/16 is
/// derived from the process id, so that concurrent tests do not bind the port in the meantime.
inline sockaddr_in free_address() {
  constexpr unsigned kNetwork = 0x7f010000U;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(kNetwork | (static_cast<unsigned>(::getpid()) & 0xffffU) | 1U);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  socklen_t size = sizeof address;
  EXPECT_EQ(::bind(fd, reinterpret_cast<sockaddr*>(&address), size), 0);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return address;
}

/// Connects to `address`; blocks until the connection is established.
inline std::unique_ptr<TestSocket> connect_to(const sockaddr_in& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return std::make_unique<TestSocket>(fd);
}

}  // namespace loopback
