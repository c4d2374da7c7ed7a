// The clients of a run, and the rules that are judged by what they get: one final answer a request,
// in time, and none left unanswered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/cache_servers.h"
#include "soak/violations.h"
#include "support/test_socket.h"

namespace soak {

/// How long a client waits for an answer, and the longest deadline of all requests.
constexpr Time kRequestTimeout = 3 * kSecond;

/// How a client behaves.
enum class ClientKind {
  steady,       // uses its connection until it is closed
  impatient,    // cancels requests, or closes or resets its connection under them
  slow_reader,  // reads large answers at 1 MB a second
};

class Clients {
 public:
  struct Counts {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t sent_again = 0;  // after a close that they crossed
    std::uint64_t forgiven = 0;    // held by a process that was killed
  };

  /// `has_crowd`: new connections may be shut unread, since idle clients fill the descriptors.
  Clients(Violations& violations, CacheServers& caches, const sockaddr_in& router,
          std::uint64_t seed, bool has_crowd);

  void step(const StepTimes& times);
  /// Whether clients may open connections to the router.
  void allow_connections(bool are_allowed) { may_connect_ = are_allowed; }
  /// Clients send from now on, or no longer; requests that are open go on.
  void set_sending(bool is_sending) { is_sending_ = is_sending; }
  /// A process was killed out of the blue at that time: what it held is lost with it.
  void on_process_killed(Time at) { killed_at_ = at; }
  /// Opens idle connections until the router's descriptors are used up.
  void open_crowd(std::size_t size);
  void close_all();
  bool has_open_requests() const;
  const Counts& counts() const { return counts_; }

 private:
  struct OpenRequest {
    std::string transaction;
    std::string object;
    Time sent_at = 0;
    bool is_repeated = false;  // sent again after a close that it crossed
  };
  struct Client {
    ClientKind kind = ClientKind::steady;
    std::unique_ptr<loopback::TestSocket> socket;
    std::map<std::uint64_t, OpenRequest> open;      // by message id
    std::map<std::uint64_t, std::string> answered;  // on this connection; the transaction
    bool has_been_served = false;                   // this connection
    std::uint64_t next_id = 1;
    Time next_send_at = 0;
    Time next_read_at = 0;
    Time connected_at = 0;
    Time drained_at = 0;  // when all had been read last, and the connection was open
  };

  void read(Client& client, const StepTimes& times);
  void take_answers(Client& client, const StepTimes& times);
  void take_answer(Client& client, std::uint64_t id, const std::string& error,
                   const std::string& body, const StepTimes& times);
  void handle_close(Client& client, const StepTimes& times);
  void judge_unanswered(Client& client, const OpenRequest& request, const StepTimes& times,
                        std::vector<OpenRequest>& to_repeat);
  void check_deadlines(Client& client, const StepTimes& times);
  void act(Client& client, Time now);
  void lose_patience(Client& client, Time now);
  void leave(Client& client, Time now);
  bool connect(Client& client);
  void send(Client& client, OpenRequest request, Time now);
  OpenRequest next_request(const Client& client, Time now);

  Violations& violations_;
  CacheServers& caches_;
  const sockaddr_in router_;
  std::mt19937_64 random_;
  const bool has_crowd_;
  std::vector<Client> clients_;
  std::vector<std::unique_ptr<loopback::TestSocket>> crowd_;
  std::uint64_t transactions_ = 0;
  const std::uint64_t transaction_base_;
  bool may_connect_ = true;
  bool is_sending_ = false;
  Time killed_at_ = 0;
  Counts counts_;
};

/// A connection to the address; null if nobody listens.
std::unique_ptr<loopback::TestSocket> try_connect(const sockaddr_in& address);

}  // namespace soak
