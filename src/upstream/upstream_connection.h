// The state of the upstream pool: its endpoints, the connections to them, and the pending responses
// of each connection. This header is private to the sources that implement UpstreamPool. Use it
// from the event loop's thread only. Times are in microseconds.
#pragma once

#include <netinet/in.h>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "config/config.h"
#include "core/engine.h"
#include "net/connection.h"
#include "upstream/upstream_pool.h"

namespace alderspur::upstream {

/// A response to an attempt or to a health check that a connection is expected to deliver.
struct UpstreamPool::PendingResponse {
  core::AttemptId attempt = 0;  // 0: a health check
  core::Time sent_at = 0;
  core::Time expected_at = 0;  // the response is not overdue before this time
  int attempts = 1;            // how many times the health check was sent
  bool has_timed_out = false;  // the health check was reported as failed
  core::Deadlines::Key timeout{};

  bool is_health_check() const { return attempt == 0; }
};

/// A connection to an endpoint, with the attempts and health checks that use it.
struct UpstreamPool::UpstreamConnection {
  Endpoint* endpoint = nullptr;
  std::unique_ptr<net::Connection> socket;
  std::unordered_map<std::string, PendingResponse> pending;  // by request id or health check tag
  std::deque<core::AttemptId> waiting;     // until connected and the write queue is empty
  std::vector<std::string> unsent_checks;  // tags of health checks; sent once connected
  /// A command that is still in the write queue, completely or in part.
  struct UnwrittenCommand {
    std::uint64_t end = 0;  // offset of its end in all bytes ever queued on the connection
    core::AttemptId attempt = 0;
  };
  std::deque<UnwrittenCommand> unwritten;
  std::string liveness_tag;          // of the pending liveness query; empty: none is pending
  core::Time liveness_query_at = 0;  // when it was sent; 0: none, or data has arrived since
  /// Request ids that must not be sent again on this connection. A late response to an aborted
  /// attempt, or a duplicate response to a failed one, would be mistaken for the response to the
  /// next attempt of the same request.
  std::unordered_set<std::string> unusable_ids;
  core::Deadlines::Key dial_timeout{};
  bool is_retired = false;  // accepts nothing new and is closed once nothing is pending
  bool is_closed = false;
  core::Time last_used_at = 0;
  core::Time connected_at = 0;
  core::Time last_response_at = 0;    // of the last response to an attempt
  core::Time partial_since = 0;       // start of an incomplete response; 0: there is none
  core::Time unresponsive_since = 0;  // a health check timed out at this time without any data

  /// Returns whether data has arrived since a health check last timed out without any.
  bool is_responsive() const;
  /// Returns the earliest value of the field `time` over all pending attempts, but at most `now`.
  core::Time earliest_of_attempts(core::Time PendingResponse::*time, core::Time now) const;
  /// Returns the number of attempts and health checks that are pending or waiting.
  std::size_t load() const { return pending.size() + waiting.size() + unsent_checks.size(); }
  /// Returns whether a command that is written now is sent immediately. Commands are encoded only
  /// in this case: one that waits in the write queue could contradict an endpoint update, a ban or
  /// a purge that arrives in the meantime.
  bool takes_commands() const { return !socket->connecting() && socket->unwritten() == 0; }
};

/// A server of the endpoint list and the connections to it.
struct UpstreamPool::Endpoint {
  config::Member member;
  sockaddr_in address{};
  std::vector<std::unique_ptr<UpstreamConnection>> connections;
  bool is_marked_changed = false;  // listed in changed_endpoints_

  alderspur::ServerId id() const { return member.server.id; }
  /// Returns a copy of the list of connections, which can be iterated over while connections are
  /// opened and closed.
  std::vector<UpstreamConnection*> current_connections() const;
};

}  // namespace alderspur::upstream
