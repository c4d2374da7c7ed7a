// Records of the upstream pool: what is known of an endpoint, of each connection to it, and of each
// response that is awaited there. Internal to UpstreamPool, whose sources share them. The loop's
// thread only; times are microseconds.
#pragma once

#include <netinet/in.h>

#include <algorithm>
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

/// A response that is awaited on a connection, of an attempt or of a health check.
struct UpstreamPool::PendingResponse {
  core::AttemptId attempt = 0;  // 0: a health check
  core::Time sent_at = 0;
  core::Time expected_at = 0;  // the response is not missed before
  int tries = 1;               // of a health check
  bool has_timed_out = false;  // a health check that was reported as failed
  core::Deadlines::Key timeout{};

  bool is_health_check() const { return attempt == 0; }
};

struct UpstreamPool::UpstreamConnection {
  Endpoint* endpoint = nullptr;
  std::unique_ptr<net::Connection> socket;
  std::unordered_map<std::string, PendingResponse> pending;  // by request id or health check tag
  std::deque<core::AttemptId> waiting;  // for the dial to finish, or for the write queue to empty
  std::vector<std::string> unsent_checks;  // health checks that wait for the dial to finish
  struct UnwrittenCommand {
    std::uint64_t end = 0;  // its place in the bytes queued
    core::AttemptId attempt = 0;
  };
  std::deque<UnwrittenCommand> unwritten;
  std::string liveness_tag;          // of the liveness query whose reply is awaited; empty: none
  core::Time liveness_asked_at = 0;  // 0: not asked, or bytes came since
  /// Ids that must not be sent again here: a late response to an aborted attempt, or a second copy
  /// of a failed one, would be taken for the response to the same request's next attempt.
  std::unordered_set<std::string> unusable_ids;
  core::Deadlines::Key dial_timeout{};
  bool is_retired = false;  // takes nothing new and closes once it is empty
  bool is_closed = false;
  core::Time last_used_at = 0;
  core::Time connected_at = 0;
  core::Time last_response_at = 0;    // to an attempt
  core::Time partial_since = 0;       // part of a response has been here since; 0: none
  core::Time unresponsive_since = 0;  // a health check timed out then, and nothing had come

  bool is_responsive() const {
    return unresponsive_since == 0 || socket->last_read_at() > unresponsive_since;
  }
  /// The earliest of that time over the attempts pending here, at most `now`.
  core::Time earliest(core::Time PendingResponse::*time, core::Time now) const {
    core::Time result = now;
    for (const auto& [id, response] : pending) {
      if (!response.is_health_check()) result = std::min(result, response.*time);
    }
    return result;
  }
  std::size_t load() const { return pending.size() + waiting.size() + unsent_checks.size(); }
  /// A command is only made when its first byte can leave: one that waited in the write queue would
  /// have been judged before the list, a ban or a purge changed.
  bool takes_commands() const { return !socket->connecting() && socket->unwritten() == 0; }
};

struct UpstreamPool::Endpoint {
  config::Member member;
  sockaddr_in address{};
  std::vector<std::unique_ptr<UpstreamConnection>> connections;
  bool is_touched = false;  // in touched_

  alderspur::ServerId id() const { return member.server.id; }
  /// The connections as they are now: what is done to one of them may open another.
  std::vector<UpstreamConnection*> current_connections() const {
    std::vector<UpstreamConnection*> current;
    current.reserve(connections.size());
    for (const auto& connection : connections) current.push_back(connection.get());
    return current;
  }
};

}  // namespace alderspur::upstream
