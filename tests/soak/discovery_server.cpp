#include "soak/discovery_server.h"

#include <algorithm>
#include <utility>

#include "net/address.h"
#include "net/loop.h"

namespace soak {
namespace {

constexpr Time kHeartbeatInterval = kSecond;
constexpr Time kSlowDelay = 400 * kMillisecond;  // of each event, while discovery is slow
constexpr int kBacklog = 16;
constexpr const char* kRequestWord = "watch ";

}  // namespace

DiscoveryServer::DiscoveryServer() {
  for (std::size_t i = 0; i < kAddresses; ++i) {
    listeners_[i] = loopback::bind_socket(addresses_[i]);
  }
  listen();
}

DiscoveryServer::~DiscoveryServer() { stop_listening(); }

std::string DiscoveryServer::address(std::size_t which) const {
  return alderspur::net::to_string(addresses_.at(which));
}

// Binds what is not bound: after a stop, the same addresses again.
void DiscoveryServer::listen() {
  for (std::size_t i = 0; i < kAddresses; ++i) {
    if (listeners_[i] < 0) {
      listeners_[i] = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const int on = 1;
      ::setsockopt(listeners_[i], SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      const auto* address = reinterpret_cast<const sockaddr*>(&addresses_[i]);
      EXPECT_EQ(::bind(listeners_[i], address, sizeof addresses_[i]), 0);
    }
    ::listen(listeners_[i], kBacklog);
    ::fcntl(listeners_[i], F_SETFL, O_NONBLOCK);
  }
}

void DiscoveryServer::stop_listening() {
  for (int& listener : listeners_) {
    if (listener >= 0) ::close(std::exchange(listener, -1));
  }
}

void DiscoveryServer::set_fault(DiscoveryFault fault) {
  const bool was_down = std::exchange(fault_, fault) == DiscoveryFault::down;
  if (fault == DiscoveryFault::down) {
    stop_listening();
    watchers_.clear();
  } else if (was_down) {
    listen();
  }
}

void DiscoveryServer::add_event(const std::string& fields) {
  const std::uint64_t number = events_.size() + 1;
  events_.push_back("{\"rev\":" + std::to_string(number) + "," + fields + "}");
  added_at_.push_back(alderspur::net::unix_now());
}

std::string DiscoveryServer::known() const {
  std::string notices;
  for (const auto& event : events_) notices += (notices.empty() ? "" : ",") + event;
  return "{\"rev\":" + std::to_string(events_.size()) + ",\"notices\":[" + notices + "]}";
}

void DiscoveryServer::accept_watchers() {
  for (const int listener : listeners_) {
    if (listener < 0) continue;
    for (int fd; (fd = ::accept(listener, nullptr, nullptr)) >= 0;) {
      watchers_.push_back({std::make_unique<loopback::TestSocket>(fd)});
    }
  }
}

void DiscoveryServer::read_request(Watcher& watcher) {
  const auto line_end = watcher.socket->received.find('\n');
  if (line_end == std::string::npos) return;
  const std::string line = watcher.socket->received.substr(0, line_end);
  watcher.socket->received.erase(0, line_end + 1);
  if (!line.starts_with(kRequestWord)) return;
  watcher.has_asked = true;
  watcher.last_sent = std::stoull(line.substr(std::string(kRequestWord).size()));
}

void DiscoveryServer::send_news(Watcher& watcher, Time now) {
  const Time delay = fault_ == DiscoveryFault::slow ? kSlowDelay : 0;
  while (watcher.last_sent < events_.size() && added_at_[watcher.last_sent] + delay <= now) {
    watcher.socket->write(events_[watcher.last_sent] + "\n");
    ++watcher.last_sent;
  }
  if (now >= next_heartbeat_) {
    watcher.socket->write(std::to_string(watcher.last_sent) + "\n");
  }
}

void DiscoveryServer::step(Time now) {
  accept_watchers();
  for (auto& watcher : watchers_) {
    watcher.socket->poll();
    if (fault_ == DiscoveryFault::silent) continue;
    read_request(watcher);
    if (watcher.has_asked) send_news(watcher, now);
  }
  if (now >= next_heartbeat_) next_heartbeat_ = now + kHeartbeatInterval;
  std::erase_if(watchers_, [](const Watcher& watcher) { return watcher.socket->is_closed; });
}

bool DiscoveryServer::has_told(std::size_t watchers) const {
  const auto is_told = [this](const Watcher& watcher) {
    return watcher.has_asked && watcher.last_sent >= events_.size();
  };
  return watchers_.size() >= watchers && std::all_of(watchers_.begin(), watchers_.end(), is_told);
}

}  // namespace soak
