// The stand-in for service discovery: numbered events, two addresses, and faults.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "soak/schedule.h"
#include "support/test_socket.h"

namespace soak {

class DiscoveryServer {
 public:
  static constexpr std::size_t kAddresses = 2;

  DiscoveryServer();
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  std::string address(std::size_t which) const;
  /// Takes the fields of an event without its number.
  void add_event(const std::string& fields);
  /// All events, in the form of a configuration's `known`.
  std::string known() const;
  void set_fault(DiscoveryFault fault);
  void step(Time now);
  /// Whether so many connections watch, and each has been sent all events.
  bool has_told(std::size_t watchers) const;

 private:
  struct Watcher {
    std::unique_ptr<loopback::TestSocket> socket;
    bool has_asked = false;
    std::uint64_t last_sent = 0;
  };

  void listen();
  void stop_listening();
  void accept_watchers();
  void read_request(Watcher& watcher);
  void send_news(Watcher& watcher, Time now);

  std::array<sockaddr_in, kAddresses> addresses_{};
  std::array<int, kAddresses> listeners_{-1, -1};
  DiscoveryFault fault_ = DiscoveryFault::none;
  std::vector<Watcher> watchers_;
  std::vector<std::string> events_;  // the number of each is its index and one
  std::vector<Time> added_at_;
  Time next_heartbeat_ = 0;
};

}  // namespace soak
