// The pool of connections to caches, parents and the origin. Many attempts share a connection;
// their responses are matched by request id. The pool chooses and opens connections, sends attempts
// and health checks, passes responses to the engine, and closes connections that have stopped
// responding. The loop's thread only; times are microseconds.
//
// Its sources: upstream_pool.cpp (endpoints, choice of a connection, connecting, closing),
// upstream_requests.cpp (attempts and their responses), upstream_health_checks.cpp and
// upstream_watchdog.cpp.
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

/// Sends the engine's attempts and health checks to the servers of the endpoint list.
class UpstreamPool : public core::UpstreamClient {
 public:
  /// Has no endpoints at first. What is passed by reference must outlive the pool.
  UpstreamPool(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
               const config::Config& config);
  ~UpstreamPool() override;

  /// Adds or updates an entry of the endpoint list; to be called before the engine gets the same
  /// update. Connections belong to the server's id, since a new machine may have the address of one
  /// that has gone. False: no usable address of this server has been announced yet.
  bool update_endpoint(const config::Member& member);
  /// Removes all endpoints that are not in the complete list `members`.
  void remove_unlisted(const std::vector<config::Member>& members);

  // core::UpstreamClient.
  void send(core::AttemptId attempt, alderspur::ServerId server) override;
  void abort(core::AttemptId attempt) override;
  void send_health_check(alderspur::ServerId server) override;

  /// The address last announced for a server; empty: unknown.
  std::string address(alderspur::ServerId server) const;
  /// Whether the server is on the endpoint list.
  bool is_listed(alderspur::ServerId server) const;
  /// Returns to the engine all attempts that wait for a connection to that server; none has run.
  void return_unsent(alderspur::ServerId server);
  /// Sets the number of processes that share the limits on descriptors and memory; at least 1.
  void set_process_count(std::uint32_t processes);

  /// To be called at the end of each turn of the loop: releases the read buffers and the
  /// connections that were closed in it.
  void end_turn();
  /// Open connections to all endpoints.
  std::size_t connection_count() const { return connection_count_; }

 private:
  struct UpstreamConnection;
  struct Endpoint;
  struct PendingResponse;

  // Endpoints and connections.
  void mark_changed(Endpoint& endpoint);
  void take_out_of_service(Endpoint& endpoint);
  UpstreamConnection* choose_connection(Endpoint& endpoint, std::string_view request_id);
  UpstreamConnection* best_connection(Endpoint& endpoint, std::string_view request_id);
  UpstreamConnection* dial(Endpoint& endpoint);
  void on_connected(UpstreamConnection& connection);
  void on_closed(UpstreamConnection& connection, net::CloseReason reason);
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
  void record_response_interval(UpstreamConnection& connection);
  void fail_attempt(core::AttemptId attempt, alderspur::AttemptResult result);

  // Health checks.
  void send_health_check(alderspur::ServerId server, core::Time since, int attempts);
  UpstreamConnection* connection_for_health_check(Endpoint& endpoint, bool is_retry);
  void on_health_check_timeout(UpstreamConnection& connection, const std::string& tag);
  void forget_health_check(UpstreamConnection& connection, const std::string& tag);
  void on_health_check_response(UpstreamConnection& connection, const std::string& tag,
                                const CacheResponse& response);
  void on_health_check_lost(const Endpoint& endpoint, const PendingResponse& check,
                            net::CloseReason reason);

  // Watchdog.
  void check_all_connections();
  void check_connection(UpstreamConnection& connection);
  bool is_response_too_slow(UpstreamConnection& connection, core::Time now);
  core::Time silence_threshold() const;
  void close_unresponsive(UpstreamConnection& connection);
  void send_liveness_query(UpstreamConnection& connection, core::Time now);

  net::Loop& loop_;
  core::Deadlines& deadlines_;
  core::Engine& engine_;
  const config::Config& config_;
  std::map<alderspur::ServerId, std::unique_ptr<Endpoint>> endpoints_;
  /// The endpoints with connections; a small part of a long list.
  std::map<alderspur::ServerId, Endpoint*> connected_endpoints_;
  /// The endpoints that end_turn() visits, each once.
  std::vector<Endpoint*> changed_endpoints_;
  std::unordered_map<core::AttemptId, UpstreamConnection*> connections_by_attempt_;
  std::size_t connection_count_ = 0;
  std::size_t connection_limit_;
  std::uint64_t last_tag_ = 0;
  /// Microseconds from sending, or from a response, to the next response, on connections with
  /// pending attempts.
  estimators::MovingAverage response_interval_;
};

}  // namespace alderspur::upstream
