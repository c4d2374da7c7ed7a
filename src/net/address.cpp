#include "net/address.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <charconv>
#include <limits>

namespace alderspur::net {

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  const std::string host(text.substr(0, colon));
  const auto port_text = text.substr(colon + 1);
  const char* const port_end = port_text.data() + port_text.size();
  unsigned port = 0;
  const auto [end, error] = std::from_chars(port_text.data(), port_end, port);
  if (error != std::errc() || end != port_end) return {};
  if (port > std::numeric_limits<in_port_t>::max()) return {};
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<in_port_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return {};
  return address;
}

std::string to_string(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

}  // namespace alderspur::net
