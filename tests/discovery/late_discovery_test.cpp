// Tests how long it takes until an event is known, if the discovery server answers late or breaks
// off. Each test puts up an event, in the moment when the server breaks off its watch unless said
// otherwise, and measures the time until the router has applied it.
#include <gtest/gtest.h>

#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "support/edge_router_fixture.h"

namespace {

using namespace alderspur;
using loopback::TestSocket;

constexpr core::Time kMillisecond = 1'000;
constexpr core::Time kSecond = 1'000'000;
/// An event counts as known to the router this time after it was put up.
constexpr core::Time kToldAtLatest = 7 * kSecond;

/// A discovery server that decides for each connection when and what it answers.
class LateDiscoveryTest : public loopback::DiscoveryTest {
 protected:
  /// A connection of the router to the server.
  struct Connection {
    std::unique_ptr<TestSocket> socket;
    std::size_t number = 0;  // of connections before it
    core::Time accepted_at = 0;
    std::size_t lines = 0;  // that were sent on it
  };
  /// Called again and again for each open connection, with the time since it was accepted.
  using Behaviour = std::function<void(Connection&, core::Time elapsed)>;

  void SetUp() override {
    DiscoveryTest::SetUp();
    ::listen(discovery_listener_, 16);
    first_watch_ = accept_watch();
    ASSERT_TRUE(run_until([&] { return first_watch_->received == "watch 1\n"; }));
    first_watch_->write("1\n");
    run_briefly();
  }

  std::string event() { return encode_event(2, "s-b", caches[1].address(), "terminating"); }
  /// Closes the watch that the router has opened first.
  void break_off() {
    polled_sockets.clear();
    first_watch_->close();
  }
  void accept_connections() {
    for (int fd; (fd = ::accept(discovery_listener_, nullptr, nullptr)) >= 0;) {
      connections_.push_back(
          {std::make_unique<TestSocket>(fd), connections_.size(), net::unix_now(), 0});
    }
  }
  bool is_known() { return engine->counters().endpoint_updates == 2; }
  /// Lets the server behave like this until the router has applied the event, and calls `poll`
  /// meanwhile. Returns how long this takes.
  core::Time time_until_known(
      const Behaviour& behave, const std::function<void()>& poll = [] {}) {
    const core::Time put_up_at = net::unix_now();
    EXPECT_TRUE(run_until([&] {
      poll();
      accept_connections();
      for (auto& connection : connections_) {
        connection.socket->poll();
        if (connection.socket->is_closed) continue;
        behave(connection, net::unix_now() - connection.accepted_at);
      }
      return is_known();
    }));
    const core::Time elapsed = net::unix_now() - put_up_at;
    std::cout << "known after " << elapsed / kMillisecond << " ms, " << connections_.size()
              << " connections\n";
    return elapsed;
  }
  /// Sends a line once, when the connection has been open for `delay`.
  static void send_after(Connection& connection, core::Time elapsed, core::Time delay,
                         const std::string& line) {
    if (elapsed < delay || connection.lines > 0) return;
    connection.socket->write(line);
    ++connection.lines;
  }

  std::unique_ptr<TestSocket> first_watch_;
  std::vector<Connection> connections_;
};

// Guards against a router that never hears a server whose first line comes later than the time
// after which a silent connection is given up.
TEST_F(LateDiscoveryTest, IsHeardWhenFirstLineComesAfter2500Milliseconds) {
  break_off();
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              send_after(connection, elapsed, 2500 * kMillisecond, event());
            }),
            kToldAtLatest);
}

TEST_F(LateDiscoveryTest, IsHeardWhenFirstLineComesAfterSixSeconds) {
  break_off();
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              send_after(connection, elapsed, 6 * kSecond, event());
            }),
            kToldAtLatest);
}

// The first line comes later than an event counts as known, and later than the router waits on any
// watch but the oldest.
TEST_F(LateDiscoveryTest, IsHeardAtLastWhenFirstLineComesAfterTwelveSeconds) {
  break_off();
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              send_after(connection, elapsed, 12 * kSecond, event());
            }),
            20 * kSecond);
}

TEST_F(LateDiscoveryTest, IsHeardWhenNewConnectionsAreRefusedForASecond) {
  break_off();
  ::close(discovery_listener_);
  run_for(kSecond);
  discovery_listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(discovery_listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto* address = reinterpret_cast<const sockaddr*>(&discovery_address_);
  ASSERT_EQ(::bind(discovery_listener_, address, sizeof discovery_address_), 0);
  ::listen(discovery_listener_, 16);
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              send_after(connection, elapsed, 0, event());
            }),
            kToldAtLatest - kSecond);
}

// A connection that is accepted and then dead must be given up soon.
TEST_F(LateDiscoveryTest, IsHeardWhenTwoNewConnectionsAreDead) {
  break_off();
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              if (connection.number >= 2) send_after(connection, elapsed, 0, event());
            }),
            kToldAtLatest);
}

TEST_F(LateDiscoveryTest, IsHeardWhenANewConnectionIsDeadAndTheNextIsAnsweredLate) {
  break_off();
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              if (connection.number >= 1) {
                send_after(connection, elapsed, 2500 * kMillisecond, event());
              }
            }),
            kToldAtLatest);
}

// The server sends a line every 2.5 s instead of every second; the event is put up after the first.
TEST_F(LateDiscoveryTest, IsHeardWhenEachLineIsLate) {
  break_off();
  core::Time put_up_at = 0;
  time_until_known([&](Connection& connection, core::Time elapsed) {
    if (elapsed < static_cast<core::Time>(connection.lines + 1) * 2500 * kMillisecond) return;
    connection.socket->write(put_up_at ? event() : "1\n");
    ++connection.lines;
    if (!put_up_at) put_up_at = net::unix_now();
  });
  EXPECT_LE(net::unix_now() - put_up_at, kToldAtLatest);
}

// Each connection but the fourth is broken off in the middle of the event's line.
TEST_F(LateDiscoveryTest, IsHeardWhenConnectionsBreakOffInTheMiddleOfALine) {
  break_off();
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              const bool is_whole = connection.number >= 3;
              const std::string line = event();
              send_after(connection, elapsed, 500 * kMillisecond,
                         is_whole ? line : line.substr(0, line.size() / 2));
              if (!is_whole && connection.lines > 0) connection.socket->close();
            }),
            kToldAtLatest);
}

// Event 2 is missing on the watch in use, which goes on; new watches are answered late.
TEST_F(LateDiscoveryTest, IsHeardWhenAGapIsFilledLate) {
  const std::string later_event = R"({"rev":3,"flush":{"collection":17,"ms":1764576000123}})";
  core::Time written_at = 0;
  EXPECT_LE(time_until_known(
                [&](Connection& connection, core::Time elapsed) {
                  send_after(connection, elapsed, 2500 * kMillisecond, event());
                },
                [&] {
                  if (net::unix_now() < written_at + kSecond) return;
                  first_watch_->write((written_at ? "3" : later_event) + "\n");
                  written_at = net::unix_now();
                }),
            kToldAtLatest);
  EXPECT_FALSE(first_watch_->is_closed && connections_.size() > 2);
}

// The address changes while the router waits for the first line of a late server.
TEST_F(LateDiscoveryTest, IsHeardWhenAddressChangesWhileServerIsLate) {
  break_off();
  ASSERT_TRUE(run_until([&] {
    accept_connections();
    return connections_.size() == 2;
  }));
  connections_.clear();
  ::close(discovery_listener_);
  discovery_listener_ = loopback::bind_socket(discovery_address_);
  ::listen(discovery_listener_, 16);
  ::fcntl(discovery_listener_, F_SETFL, O_NONBLOCK);
  config::Config changed = config;
  changed.discovery_address = net::to_string(discovery_address_);
  ASSERT_TRUE(discovery_client->reconfigure(changed));
  EXPECT_LE(time_until_known([&](Connection& connection, core::Time elapsed) {
              send_after(connection, elapsed, 2500 * kMillisecond, event());
            }),
            kToldAtLatest);
}

}  // namespace
