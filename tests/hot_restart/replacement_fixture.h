// Fixture for tests in which processes of the edge router replace each other under load. Two caches
// and four clients run in the test's own thread. The clients count the outcome of each request, and
// the tests compare these counts with the requests at the caches and with the processes' metrics.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/router_process.h"

namespace alderspur::hot_restart {

struct ReplacementTest : ::testing::Test {
  /// One process of the router.
  struct Process {
    std::unique_ptr<loopback::RouterProcess> program;
    sockaddr_in admin_address{};
  };
  /// A request that has no response yet.
  struct OpenRequest {
    std::string id;
    core::Time sent_at = 0;
  };
  /// A client with its connection, which it opens again after a close, and its open requests.
  struct Client {
    std::unique_ptr<loopback::TestSocket> socket;
    std::map<std::uint64_t, OpenRequest> open;  // by the request's number on the connection
    std::uint64_t next_number = 1;
    core::Time next_send_at = 0;
  };

  ReplacementTest();
  ~ReplacementTest() override;

  /// Starts a process and waits until it reports itself as ready.
  Process start();
  /// Sends a request to a process's admin server and returns the whole response.
  std::string call(const Process& process, const std::string& method_and_path);
  std::string metrics(const Process& process) { return call(process, "GET /control/counters"); }
  /// Returns the value of one metric, or 0 if it is absent.
  static std::uint64_t metric(const std::string& text, const std::string& name);
  /// Starts to listen as the discovery server of the processes that are started later.
  void listen_as_board();
  /// Returns the path of a file in the shared directory.
  std::string path_of(const std::string& suffix) const;

  /// Connects to the router. Returns a negative number if no process listens.
  int connect() const;
  void send(Client& client, const std::string& id);
  void read(Client& client);
  static std::string encode_request(unsigned number, const std::string& id);
  static std::string id_of(std::uint64_t number);

  /// Performs one step of the test's clients, caches and discovery server: clients send requests,
  /// caches respond after cache_latency, and the responses are counted.
  void step();
  /// Performs steps until the condition is true. Returns false after `timeout` microseconds.
  bool run_until(const std::function<bool()>& condition, core::Time timeout = 20'000'000);
  void run_for(core::Time duration);
  /// Stops sending, waits until no request is open, and checks that each request has been counted.
  void finish();

  std::string config() const;
  void step_board();
  void step_cache(std::size_t index);
  bool respond_if_due(std::size_t index, loopback::CacheCommand& command);

  std::string directory;
  sockaddr_in address{};  // of the router
  int max_sockets = 1024;
  int memory_mb = 48;

  sockaddr_in board_address{};
  int board_listener = -1;
  std::vector<std::unique_ptr<loopback::TestSocket>> board_connections;

  std::array<loopback::FakeCache, 2> caches;
  std::array<std::uint64_t, 2> completed_fetches{};  // by cache
  core::Time cache_latency = 15'000;
  std::map<std::string, core::Time> fetch_due_at;  // by the fetch's id
  std::set<std::string> large_items;               // items whose responses have kLargeResponseBytes
  std::map<std::string, std::string> age_limits;   // by item requested with a limit on its age

  std::array<Client, 4> clients;
  std::uint64_t last_request = 0;
  bool is_sending = true;
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t busy = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;
  std::uint64_t resent = 0;
};

/// The size of the body of the response to a request for a large item.
constexpr std::size_t kLargeResponseBytes = 240'000;

}  // namespace alderspur::hot_restart
