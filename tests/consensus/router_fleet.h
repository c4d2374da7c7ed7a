// A fleet of processes of the program, with stand-in caches that count what they get and clients
// that come and go: for tests and measurements.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/rig.h"
#include "consensus/version.h"
#include "support/fake_cache.h"
#include "support/rpc_messages.h"
#include "support/test_socket.h"

namespace fleet {

using rig::kSecond;
using rig::Rig;
using rig::Time;

// For how long a router may act on an older version under a lease, once a newer one is in use.
constexpr Time kMaxStaleTime = 2 * kSecond;

// Faults of a process's disk, as faulty_disk.cpp numbers them.
constexpr std::int64_t kNoFault = 0;
constexpr std::int64_t kSyncIgnored = 1;
constexpr std::int64_t kSyncFails = 2;
constexpr std::int64_t kDiskFull = 3;
constexpr std::int64_t kHangs = 4;

/// A stand-in for the service discovery of one router: accepts its watch and sends what the test
/// says.
class DiscoveryServer {
 public:
  DiscoveryServer();
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;
  std::string address() const;
  void poll();
  bool is_watched() const { return watcher_ && watcher_->received.starts_with("watch "); }
  void send(const std::string& line) { watcher_->write(line); }

 private:
  sockaddr_in address_{};
  int listener_ = -1;
  std::unique_ptr<loopback::TestSocket> watcher_;
};

/// A base of fixtures: all members are for the tests.
class RouterFleet {
 public:
  static constexpr std::size_t kCacheCount = 3;

  /// A list's text. Each letter of `servers` is a server: a, b, c the stand-in caches, upper case
  /// if it is draining; p and q parents, which nobody plays.
  std::string endpoint_list(const std::string& servers, int generation = 1) const;
  /// False if the processes form no cluster, or none leads.
  bool start(std::size_t routers, std::vector<std::size_t> voters);

  struct Status {
    bool has_answered = false;
    bool is_leader = false;
    bool is_conservative = true;
    std::uint64_t active_number = 0;
    std::uint64_t newer_versions = 0;
    std::string role;
    std::string leader;
    double total_share = 0;
  };
  Status status(std::size_t router);
  /// An index beyond all routers if none leads.
  std::size_t leader();
  bool all_use(std::uint64_t number, const std::vector<std::size_t>& routers);
  std::vector<std::size_t> all_except(std::size_t router) const;

  /// The answer to a call for a proposal's result: "yes ...", "no ..." or that it is under way.
  std::string proposal_result(std::size_t router, const std::string& nonce);
  /// The number of the version that came into force, or 0 if it was rejected; see last_result.
  std::uint64_t propose(std::size_t router, const std::string& servers,
                        const std::string& query = "");
  /// Repeats a proposal that was rejected because another was pending or a leader was lost.
  std::uint64_t propose_with_retries(std::size_t router, const std::string& servers);

  std::unique_ptr<Rig> cluster;
  std::string last_result;

  // Settings, before start().
  std::string initial_servers = "abc";
  std::string obligations;
  std::string domain;
  bool has_no_consensus = false;  // each router has a list of its own
  bool has_discovery = false;
  double server_weight = 4;
  std::function<Time(std::size_t router)> request_interval;  // default: 15 ms

  // Clients.
  bool is_sending = false;
  std::function<void(std::size_t router, Time duration, bool is_served)> on_answer;
  std::uint64_t served_count = 0;
  std::uint64_t rejected_count = 0;

  // What the stand-ins received, by cache.
  std::array<Time, kCacheCount> last_request_at{};
  std::array<std::uint64_t, kCacheCount> requests_received{};
  std::array<bool, kCacheCount> is_cache_broken{};  // its answers are failures
  std::map<std::string, std::string> age_limits;    // milliseconds, by item asked for with a bound
  std::uint64_t fills_from_second_parent = 0;       // fetches that name parent q as their source
  std::deque<DiscoveryServer> discovery_servers;    // by router

  struct Client {
    std::unique_ptr<loopback::TestSocket> socket;
    std::size_t answers_seen = 0;
    std::uint64_t last_id = 0;
    Time next_request_at = 0;
    std::map<std::uint64_t, Time> sent_at;  // by id
  };
  std::array<loopback::FakeCache, kCacheCount> caches;
  std::vector<Client> clients;  // by router
  std::uint64_t requests_sent = 0;

 private:
  void step();
  void serve(std::size_t cache, Time now);
  void answer_fetch(std::size_t cache, loopback::CacheCommand& command, Time now);
  void take_answers(std::size_t router, Time now);
  bool connect(std::size_t router);
  void send_request(std::size_t router, Time now);
};

}  // namespace fleet
