#include "cli/operator_client.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <cstdlib>
#include <string_view>

#include "net/connection.h"

namespace alderspur::cli {
namespace {

constexpr time_t kTimeoutSeconds = 3;
constexpr std::size_t kReadBytes = 16'384;
constexpr std::string_view kStatusPrefix = "HTTP/1.1 ";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

bool connect_to(const net::Fd& socket, const sockaddr_in& address) {
  const timeval timeout{kTimeoutSeconds, 0};
  setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  return ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) >= 0;
}

bool send_all(const net::Fd& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string receive_all(const net::Fd& socket) {
  std::string received;
  char buffer[kReadBytes];
  for (;;) {
    const ssize_t count = ::recv(socket.get(), buffer, sizeof buffer, 0);
    if (count <= 0) return received;
    received.append(buffer, static_cast<std::size_t>(count));
  }
}

}  // namespace

OperatorReply call_operators(const std::string& address, const std::string& method,
                             const std::string& target, const std::string& body) {
  const auto parsed = net::parse_address(address);
  if (!parsed) return {};
  const net::Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!connect_to(socket, *parsed)) return {};
  const std::string request = method + " " + target +
                              " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
                              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!send_all(socket, request)) return {};
  const std::string reply = receive_all(socket);
  const auto header_end = reply.find(kHeaderEnd);
  if (header_end == std::string::npos || !reply.starts_with(kStatusPrefix)) return {};
  return {std::atoi(reply.c_str() + kStatusPrefix.size()),
          reply.substr(header_end + kHeaderEnd.size())};
}

}  // namespace alderspur::cli
