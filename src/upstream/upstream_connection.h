// State of the upstream pool: its endpoints, the connections to them, and the pending responses of
// each connection. Internal to UpstreamPool, whose sources share it. The loop's thread only; times
// are microseconds.
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

/// A response that is pending on a connection, to an attempt or to a health check.
struct UpstreamPool::PendingResponse {
  core::AttemptId attempt = 0;  // 0: a health check
  core::Time sent_at = 0;
  core::Time expected_at = 0;  // no response is overdue before
  int attempts = 1;            // of a health check
  bool has_timed_out = false;  // a health check that was reported as failed
  core::Deadlines::Key timeout{};

  bool is_health_check() const { return attempt == 0; }
};

/// A connection to an endpoint with the attempts and health checks on it.
struct UpstreamPool::UpstreamConnection {
  Endpoint* endpoint = nullptr;
  std::unique_ptr<net::Connection> socket;
  std::unordered_map<std::string, PendingResponse> pending;  // by request id or health check tag
  std::deque<core::AttemptId> waiting;     // for the connect, or for an empty write queue
  std::vector<std::string> unsent_checks;  // health checks that wait for the connect
  /// A command that is in the write queue, wholly or in part.
  struct UnwrittenCommand {
    std::uint64_t end = 0;  // position of its end in all bytes queued so far
    core::AttemptId attempt = 0;
  };
  std::deque<UnwrittenCommand> unwritten;
  std::string liveness_tag;          // of the liveness query that is pending; empty: none
  core::Time liveness_query_at = 0;  // 0: none is pending, or bytes came since
  /// Ids that must not be sent again on this connection: a late response to an aborted attempt, or
  /// a repeated response to a failed one, would be taken for the response to the next attempt of
  /// the same request.
  std::unordered_set<std::string> unusable_ids;
  core::Deadlines::Key dial_timeout{};
  bool is_retired = false;  // gets nothing new and closes once nothing is pending
  bool is_closed = false;
  core::Time last_used_at = 0;
  core::Time connected_at = 0;
  core::Time last_response_at = 0;    // to an attempt
  core::Time partial_since = 0;       // of an incomplete response; 0: there is none
  core::Time unresponsive_since = 0;  // a health check timed out then without any data

  /// Whether data has come since a health check last timed out.
  bool is_responsive() const;
  /// The earliest value of `time` over the pending attempts, at most `now`.
  core::Time earliest_of_attempts(core::Time PendingResponse::*time, core::Time now) const;
  /// Attempts and health checks, pending or waiting.
  std::size_t load() const { return pending.size() + waiting.size() + unsent_checks.size(); }
  /// Whether a command written now leaves at once. Commands are only encoded then: one that waited
  /// in the write queue could contradict an endpoint list, a ban or a purge that came meanwhile.
  bool takes_commands() const { return !socket->connecting() && socket->unwritten() == 0; }
};

/// A server of the endpoint list and the connections to it.
struct UpstreamPool::Endpoint {
  config::Member member;
  sockaddr_in address{};
  std::vector<std::unique_ptr<UpstreamConnection>> connections;
  bool is_marked_changed = false;  // listed in changed_endpoints_

  alderspur::ServerId id() const { return member.server.id; }
  /// A copy of the list of connections, to iterate over while some are closed and others opened.
  std::vector<UpstreamConnection*> current_connections() const;
};

}  // namespace alderspur::upstream
