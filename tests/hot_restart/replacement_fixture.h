// Processes of the edge router that replace each other under load, with two caches and four clients
// in the test's own thread. The client's count of the outcome of each request is compared with the
// caches' requests and the processes' metrics.
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
  /// A request without an answer.
  struct OpenRequest {
    std::string id;
    core::Time sent_at = 0;
  };
  struct Client {
    std::unique_ptr<loopback::TestSocket> socket;
    std::map<std::uint64_t, OpenRequest> open;
    std::uint64_t next_number = 1;
    core::Time next_send_at = 0;
  };

  ReplacementTest();
  ~ReplacementTest() override;

  /// Starts a process and waits until it reports itself as ready.
  Process start();
  /// Calls a process's admin server; returns the whole reply.
  std::string call(const Process& process, const std::string& method_and_path);
  std::string metrics(const Process& process) { return call(process, "GET /control/counters"); }
  /// The value of one metric; 0 if it is absent.
  static std::uint64_t metric(const std::string& text, const std::string& name);
  void listen_as_board();
  /// A file of the shared directory.
  std::string path_of(const std::string& suffix) const;

  /// Connects to the router; negative if nobody listens.
  int connect() const;
  void send(Client& client, const std::string& id);
  void read(Client& client);
  static std::string encode_request(unsigned number, const std::string& id);
  static std::string id_of(std::uint64_t number);

  /// One step of everybody: clients send, caches answer after a while, answers are counted.
  void step();
  bool run_until(const std::function<bool()>& condition, core::Time timeout = 20'000'000);
  void run_for(core::Time duration);
  /// Stops sending and waits for the end of every request.
  void finish();

  std::string config() const;
  void step_board();
  void step_cache(std::size_t index);
  bool answer_if_due(std::size_t index, loopback::CacheCommand& command);

  std::string directory;
  sockaddr_in address{};  // of the router
  int max_sockets = 1024;
  int memory_mb = 48;

  sockaddr_in board_address{};
  int board_listener = -1;
  std::vector<std::unique_ptr<loopback::TestSocket>> board_connections;

  std::array<loopback::FakeCache, 2> caches;
  std::array<std::uint64_t, 2> answered_fetches{};  // by cache
  core::Time cache_latency = 15'000;
  std::map<std::string, core::Time> fetch_due_at;  // by the fetch's id
  std::set<std::string> large_items;               // whose answers have kLargeAnswerBytes
  std::map<std::string, std::string> age_limits;   // items asked for with a bound on their age

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

constexpr std::size_t kLargeAnswerBytes = 240'000;

}  // namespace alderspur::hot_restart
