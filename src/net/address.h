// Numeric IPv4 socket addresses, and the owner of a file descriptor.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace alderspur::net {

/// From a text such as "127.0.0.4:4100"; host names are not resolved. Nothing if it has another
/// form.
std::optional<sockaddr_in> parse_address(std::string_view text);
/// The form that parse_address() reads.
std::string to_string(const sockaddr_in& address);

/// Owns a file descriptor and closes it in its destructor; -1: none.
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
