// The pool of connections to caches, parents and the origin. Many attempts share a connection, and
// responses are matched to attempts by request id. The pool chooses and opens connections, sends
// attempts and health checks, passes responses to the engine, and closes connections that have
// stopped responding. It is not thread-safe: use it from the event loop's thread only. Times are in
// microseconds.
//
// The class is implemented in upstream_pool.cpp (endpoints; choosing, opening and closing
// connections), upstream_requests.cpp (attempts and their responses), upstream_health_checks.cpp
// and upstream_watchdog.cpp.
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
  /// Creates a pool without endpoints. All referenced objects must outlive the pool.
  UpstreamPool(net::Loop& loop, core::Deadlines& deadlines, core::Engine& engine,
               const config::Config& config);
  ~UpstreamPool() override;

  /// Adds or updates an entry of the endpoint list. Call this before the engine receives the same
  /// update. Connections belong to a server's id and not to its address, since the address of a
  /// removed server may be assigned to another machine. Returns false if the server is listed but
  /// no valid address has been received for it yet.
  bool update_endpoint(const config::Member& member);
  /// Removes all endpoints that are absent from the complete list `members`.
  void remove_unlisted(const std::vector<config::Member>& members);

  // Implementation of core::UpstreamClient.
  void send(core::AttemptId attempt, alderspur::ServerId server) override;
  bool abort(core::AttemptId attempt) override;
  void send_health_check(alderspur::ServerId server) override;

  /// Returns the last valid address of a server, or an empty string if there is none.
  std::string address(alderspur::ServerId server) const;
  /// Returns whether the server is on the endpoint list.
  bool is_listed(alderspur::ServerId server) const;
  /// Returns to the engine, as unsent, all attempts that wait for a connection to this server.
  void return_unsent(alderspur::ServerId server);
  /// Sets the number of processes that share the limits on descriptors and memory; at least 1.
  void set_process_count(std::uint32_t processes);

  /// Releases the read buffers and the connections that were closed in this turn of the event loop.
  /// Call this at the end of each turn.
  void end_turn();
  /// Returns the number of open connections to all endpoints.
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
  void abort_written(UpstreamConnection& connection, core::AttemptId attempt);
  std::ptrdiff_t on_data(UpstreamConnection& connection, std::string_view bytes);
  bool on_response(UpstreamConnection& connection, const CacheResponse& response);
  bool is_plausible(const CacheResponse& response, core::AttemptId attempt) const;
  void record_response_interval(UpstreamConnection& connection);
  void fail_attempt(core::AttemptId attempt, alderspur::AttemptResult result);

  // Health checks.
  void send_health_check(alderspur::ServerId server, core::Time since, int attempts);
  UpstreamConnection* connection_for_health_check(Endpoint& endpoint, bool is_retry);
  void on_health_check_timeout(UpstreamConnection& connection, const std::string& tag);
  void remove_health_check(UpstreamConnection& connection, const std::string& tag);
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
  /// The endpoints that have connections, usually a small part of the endpoint list.
  std::map<alderspur::ServerId, Endpoint*> connected_endpoints_;
  /// The endpoints that end_turn() processes. Each is listed once.
  std::vector<Endpoint*> changed_endpoints_;
  std::unordered_map<core::AttemptId, UpstreamConnection*> connections_by_attempt_;
  std::size_t connection_count_ = 0;
  std::size_t connection_limit_;
  std::uint64_t last_tag_ = 0;
  /// Average time, in microseconds, from a response (or from sending, for the first) to the next
  /// response on a connection with pending attempts.
  estimators::MovingAverage response_interval_;
};

}  // namespace alderspur::upstream
