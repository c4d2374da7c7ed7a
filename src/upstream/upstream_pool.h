// The pool of connections to caches, parents and the origin. Each connection is shared by many
// attempts; their responses are told apart by the request ids. The pool chooses and dials
// connections, sends attempts and health checks, passes responses on to the engine, and ends
// connections that have stopped responding. The loop's thread only; times are microseconds.
//
// Its sources: upstream_pool.cpp (endpoints, choice of a connection, dialing, closing),
// upstream_requests.cpp (sending, responses), upstream_health_checks.cpp, upstream_watchdog.cpp.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "estimators/estimators.h"
#include "net/connection.h"

namespace alderspur::upstream {

struct CacheResponse;

class UpstreamPool : public core::UpstreamClient {
 public:
  UpstreamPool(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
               const config::Config& config);
  ~UpstreamPool() override;

  /// Takes an entry of the endpoint list, before the engine hears of it. Connections are kept by
  /// the server's id: a new machine may have the address of one that has gone. False: no usable
  /// address of it has been announced yet.
  bool update_endpoint(const config::Member& member);
  /// The list is complete: endpoints that are not in it are gone.
  void remove_unlisted(const std::vector<config::Member>& members);

  void send(core::AttemptId attempt, alderspur::ServerId server) override;
  void abort(core::AttemptId attempt) override;
  void send_health_check(alderspur::ServerId server) override;

  /// Empty: not known.
  std::string address(alderspur::ServerId server) const;
  bool is_listed(alderspur::ServerId server) const;
  /// Returns to the engine all attempts that wait for a connection to that server: none has run.
  void return_unsent(alderspur::ServerId server);
  /// So many processes share the limits on descriptors and memory.
  void set_process_count(std::uint32_t processes);

  /// Frees what was read in this turn and the connections that were closed in it.
  void end_turn();
  std::size_t connection_count() const { return connection_count_; }

 private:
  struct UpstreamConnection;
  struct Endpoint;
  struct PendingResponse;

  // Endpoints and connections.
  void touch(Endpoint& endpoint);
  void take_out_of_service(Endpoint& endpoint);
  UpstreamConnection* choose_connection(Endpoint& endpoint, std::string_view request_id);
  UpstreamConnection* best_connection(Endpoint& endpoint, std::string_view request_id);
  UpstreamConnection* dial(Endpoint& endpoint);
  void on_connected(UpstreamConnection& connection);
  void on_closed(UpstreamConnection& connection, net::Closed reason);
  void close(UpstreamConnection& connection);
  void retire(UpstreamConnection& connection);
  bool is_expired(const UpstreamConnection& connection) const;
  void close_expired();
  std::size_t connection_limit(std::uint32_t processes) const;

  // Requests and responses.
  void write_waiting(UpstreamConnection& connection);
  void write_command(UpstreamConnection& connection, core::AttemptId attempt);
  void mark_written(UpstreamConnection& connection);
  std::ptrdiff_t on_data(UpstreamConnection& connection, std::string_view bytes);
  bool on_response(UpstreamConnection& connection, const CacheResponse& response);
  bool is_plausible(const CacheResponse& response, core::AttemptId attempt) const;
  void learn_response_interval(UpstreamConnection& connection);
  void fail_attempt(core::AttemptId attempt, alderspur::AttemptResult result);

  // Health checks.
  void send_health_check(alderspur::ServerId server, core::Time since, int tries);
  UpstreamConnection* connection_for_health_check(Endpoint& endpoint, bool is_retry);
  void on_health_check_timeout(UpstreamConnection& connection, const std::string& tag);
  void forget_health_check(UpstreamConnection& connection, const std::string& tag);
  void on_health_check_response(UpstreamConnection& connection, const std::string& tag,
                                const CacheResponse& response);
  void on_health_check_lost(const Endpoint& endpoint, const PendingResponse& check,
                            net::Closed reason);

  // Watchdog.
  void check_all_connections();
  void check_connection(UpstreamConnection& connection);
  bool is_response_too_slow(UpstreamConnection& connection, core::Time now);
  core::Time unusual_silence() const;
  void close_silent(UpstreamConnection& connection);
  void ask_for_life_sign(UpstreamConnection& connection, core::Time now);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const config::Config& config_;
  std::map<alderspur::ServerId, std::unique_ptr<Endpoint>> endpoints_;
  /// Those with connections: few of a long list.
  std::map<alderspur::ServerId, Endpoint*> connected_endpoints_;
  /// To be looked at when the turn ends, each once.
  std::vector<Endpoint*> touched_;
  std::unordered_map<core::AttemptId, UpstreamConnection*> connections_by_attempt_;
  std::size_t connection_count_ = 0;
  std::size_t connection_limit_;
  std::uint64_t last_tag_ = 0;
  /// On connections with pending attempts: from sending, or a response, to the next response.
  estimators::MovingAverage response_interval_;
};

}  // namespace alderspur::upstream
