// Runs several processes of the program with fake caches, which count the requests that they
// receive, and with clients that reconnect regularly. Used by tests and benchmarks.
//
// Set the public settings, call start(), and then run the fleet with the functions of `cluster`.
// All fake servers and clients are served in the thread that runs `cluster`.
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

/// The longest time for which a router may act on an older version under a lease after a newer
/// version has been activated at another router.
constexpr Time kMaxStaleTime = 2 * kSecond;

// Faults of a process's disk; the numbers are those of Fault in faulty_disk.cpp.
constexpr std::int64_t kNoFault = 0;
constexpr std::int64_t kSyncIgnored = 1;
constexpr std::int64_t kSyncFails = 2;
constexpr std::int64_t kDiskFull = 3;
constexpr std::int64_t kHangs = 4;
constexpr std::int64_t kBansHang = 6;

/// A fake service discovery for one router. It accepts the router's watch connection and sends it
/// the lines that the test supplies.
class DiscoveryServer {
 public:
  DiscoveryServer();
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;
  /// Returns the IP address and port on which it listens.
  std::string address() const;
  /// Accepts connections and reads what has arrived, without blocking.
  void poll();
  bool is_watched() const { return watcher_ && watcher_->received.starts_with("watch "); }
  /// Sends a line; the router must be connected.
  void send(const std::string& line) { watcher_->write(line); }

 private:
  sockaddr_in address_{};
  int listener_ = -1;
  std::unique_ptr<loopback::TestSocket> watcher_;
};

/// The processes, their fake servers and their clients. It serves as a base class of test fixtures,
/// so its state is public.
class RouterFleet {
 public:
  static constexpr std::size_t kCacheCount = 3;

  /// Returns the text of an endpoint list. Each letter of `servers` stands for a server: a, b and c
  /// are the fake caches, in upper case if they are draining; p and q are parents, at addresses on
  /// which no process listens.
  std::string endpoint_list(const std::string& servers, int generation = 1) const;
  /// Starts the processes and waits for a cluster with a leader. Returns false if there is none in
  /// time. `voters`: indexes of the routers that vote.
  bool start(std::size_t routers, std::vector<std::size_t> voters);

  /// A router's own report of its status.
  struct Status {
    bool has_answered = false;  // if false, the other fields have their defaults
    bool is_leader = false;
    bool is_conservative = true;
    std::uint64_t active_number = 0;
    std::uint64_t newer_versions = 0;
    std::string role;
    std::string leader;
    double total_share = 0;
  };
  Status status(std::size_t router);
  /// Returns the index of the leader, or an index beyond all routers if there is no leader.
  std::size_t leader();
  /// Returns true if all these routers act on this version and are not conservative.
  bool all_use(std::uint64_t number, const std::vector<std::size_t>& routers);
  std::vector<std::size_t> all_except(std::size_t router) const;

  /// Requests a proposal's result from a router: "yes ...", "no ...", or text saying that it is
  /// under way.
  std::string proposal_result(std::size_t router, const std::string& nonce);
  /// Proposes an endpoint list and waits for the result, which is stored in `last_result`. Returns
  /// the number of the version that became current, or 0 if the proposal was rejected.
  std::uint64_t propose(std::size_t router, const std::string& servers,
                        const std::string& query = "");
  /// Repeats a proposal a few times if it is rejected, as it is while another proposal is pending
  /// or after the leader was lost.
  std::uint64_t propose_with_retries(std::size_t router, const std::string& servers);

  std::unique_ptr<Rig> cluster;
  std::string last_result;

  // Settings, to be changed before start().
  std::string initial_servers = "abc";
  std::string obligations;        // see rig::Setup
  std::string domain;             // see rig::Setup
  bool has_no_consensus = false;  // each router has its own endpoint list
  bool has_discovery = false;     // each router watches a DiscoveryServer
  double server_weight = 4;
  // Microseconds between two requests to a router. Null: 15 ms.
  std::function<Time(std::size_t router)> request_interval;

  // Clients.
  bool is_sending = false;  // clients send requests to all routers
  // Called for each response, if not null. `duration` is the time since the request.
  std::function<void(std::size_t router, Time duration, bool is_served)> on_response;
  std::uint64_t served_count = 0;    // responses without an error
  std::uint64_t rejected_count = 0;  // responses with an error

  // Requests received by the fake caches; arrays are indexed by cache.
  std::array<Time, kCacheCount> last_request_at{};
  std::array<std::uint64_t, kCacheCount> requests_received{};
  std::array<bool, kCacheCount> is_cache_broken{};  // it responds with failures
  // The last age limit of a fetch, in milliseconds, by item; only items fetched with a limit.
  std::map<std::string, std::string> age_limits;
  std::uint64_t fills_from_second_parent = 0;     // fetches with parent q as the source
  std::deque<DiscoveryServer> discovery_servers;  // by router

  /// The client of one router. It opens a new connection after a number of responses.
  struct Client {
    std::unique_ptr<loopback::TestSocket> socket;
    std::size_t responses_seen = 0;
    std::uint64_t last_id = 0;
    Time next_request_at = 0;
    std::map<std::uint64_t, Time> sent_at;  // by request id
  };
  std::array<loopback::FakeCache, kCacheCount> caches;
  std::vector<Client> clients;  // by router
  std::uint64_t requests_sent = 0;

 private:
  void step();
  void serve(std::size_t cache, Time now);
  void respond_to_fetch(std::size_t cache, loopback::CacheCommand& command, Time now);
  void receive_responses(std::size_t router, Time now);
  bool connect(std::size_t router);
  void send_request(std::size_t router, Time now);
};

}  // namespace fleet
