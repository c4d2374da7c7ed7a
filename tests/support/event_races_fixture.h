// Fixtures for tests of concurrent events at the sockets. Each test determines the order of the
// events through the actions of the peers. docs/crossings.md lists the events and the required
// behaviour.
#pragma once

#include <algorithm>
#include <string>

#include "support/edge_router_fixture.h"

namespace event_races {

using namespace alderspur;
using loopback::decode_responses;
using loopback::encode_request;
using loopback::FakeCache;

/// An edge router with two caches and a discovery server.
class EventRacesTest : public loopback::DiscoveryTest {
 protected:
  // Responds to every fetch that has no response yet.
  void respond_to_all(const std::string& body) {
    for (auto& cache : caches) {
      for (auto& command : cache.commands) {
        if (std::exchange(command.verb, "answered") == "fetch") {
          FakeCache::respond(command, "served", body);
        }
      }
    }
  }
  std::size_t abort_count() const { return caches[0].count("abort") + caches[1].count("abort"); }
  std::string object(unsigned number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016x", number);
    return text;
  }
};

/// A listener to which connects hang until the test lets them complete.
class DelayedListener {
 public:
  DelayedListener() : fd_(loopback::bind_socket(address_)) {
    ::listen(fd_, 0);
    for (int i = 0; i < 4; ++i) {  // fills the listener's queue
      fillers_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)::connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&address_),
                      sizeof address_);
    }
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~DelayedListener() {
    for (const int fd : fillers_) ::close(fd);
    ::close(fd_);
  }
  DelayedListener(const DelayedListener&) = delete;
  DelayedListener& operator=(const DelayedListener&) = delete;

  std::string address() const { return net::to_string(address_); }

  // Both of the following functions let connects complete and read the available input.

  // Reports whether a connection has received the text.
  bool has_received(const std::string& text) {
    accept_connections();
    return std::any_of(connections_.begin(), connections_.end(), [&](const auto& connection) {
      return connection->received.find(text) != std::string::npos;
    });
  }
  // Reports whether a connection is open. The connections that only filled the queue are closed.
  bool has_open_connection() {
    accept_connections();
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& connection) { return !connection->is_closed; });
  }

 private:
  void accept_connections() {
    for (const int fd : std::exchange(fillers_, {})) ::close(fd);
    for (int fd; (fd = ::accept(fd_, nullptr, nullptr)) >= 0;) {
      connections_.push_back(std::make_unique<loopback::TestSocket>(fd));
    }
    for (auto& connection : connections_) connection->poll();
  }

  sockaddr_in address_{};
  int fd_;
  std::vector<int> fillers_;
  std::vector<std::unique_ptr<loopback::TestSocket>> connections_;
};

/// The only cache in use is one to which connects hang.
class PendingConnectTest : public EventRacesTest {
 protected:
  void SetUp() override {
    EventRacesTest::SetUp();
    watch_ = accept_watch();
    auto member = config.known_events[0].members[0];
    member.address = listener.address();
    upstream_pool->update_endpoint(member);
    // s-b drains, so that all requests go to the cache to which connects hang.
    watch_->write(encode_event(2, "s-b", caches[1].address(), "terminating"));
    ASSERT_TRUE(run_until([&] { return engine->counters().endpoint_updates == 2; }));
  }
  // Sends a request and waits until its connect hangs. The request is then open and its connection
  // is not established.
  void send_until_connect_hangs(loopback::TestSocket& client,
                                std::map<std::string, std::string> fields = {},
                                const std::string& class_name = "asset") {
    client.write(encode_request(1, class_name, std::move(fields)));
    ASSERT_TRUE(run_until([&] {
      return engine->open_request_count() == 1 && upstream_pool->connection_count() == 1;
    }));
  }
  bool let_connect_complete() {
    return run_until([&] { return listener.has_open_connection(); });
  }
  void expect_nothing_sent_after_connect() {
    ASSERT_TRUE(let_connect_complete());
    run_briefly();
    EXPECT_FALSE(listener.has_received("fetch"));
  }
  DelayedListener listener;
  std::unique_ptr<loopback::TestSocket> watch_;
};

}  // namespace event_races
