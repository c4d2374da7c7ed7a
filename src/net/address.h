// Numeric IPv4 socket addresses, and an owning wrapper of a file descriptor.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace alderspur::net {

/// Parses a text such as "127.0.0.4:4100". Returns nullopt if the text is not a numeric IPv4
/// address followed by a port; host names are not resolved.
std::optional<sockaddr_in> parse_address(std::string_view text);
/// Formats an address as parse_address() reads it.
std::string to_string(const sockaddr_in& address);

/// Owns a file descriptor and closes it in its destructor. The value -1 means no descriptor.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd();
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

}  // namespace alderspur::net
