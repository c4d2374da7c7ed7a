// Counters of requests, attempts, connections and invalid input since the start of the program;
// logged on request and at exit. The loop's thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace alderspur::core {

/// All counters of one router.
struct Counters {
  // Requests: each of the `admitted` ends as served, rejected, failed or cancelled.
  std::uint64_t admitted = 0;
  std::uint64_t forwarded = 0;  // attempts written completely to servers
  std::uint64_t health_checks = 0;
  std::uint64_t served = 0;
  std::uint64_t not_modified = 0;  // of those served: the client's copy was current
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  // Attempts, by their outcome.
  std::uint64_t attempts_ok = 0;
  std::uint64_t attempts_miss = 0;
  std::uint64_t attempts_overloaded = 0;
  std::uint64_t attempts_error = 0;
  std::uint64_t attempts_timeout = 0;
  std::uint64_t attempts_connect_failed = 0;
  std::uint64_t attempts_reset = 0;
  std::uint64_t attempts_cancelled = 0;
  // Responses after the end of their attempt, or with a copy older than the request allows.
  std::uint64_t late_responses = 0;
  std::uint64_t stale_responses = 0;
  std::uint64_t purges = 0;
  std::uint64_t endpoint_updates = 0;
  // Input that was not usable.
  std::uint64_t invalid_frames = 0;
  std::uint64_t invalid_requests = 0;
  std::uint64_t invalid_responses = 0;
  std::uint64_t invalid_tokens = 0;
  // Connections.
  std::uint64_t deferred_accepts = 0;
  std::uint64_t slow_readers = 0;
  std::uint64_t silent_upstream_connections = 0;
  std::uint64_t silent_clients = 0;
  std::uint64_t idle_clients = 0;
  std::uint64_t over_limit = 0;  // calls rejected by a limit of a front
};

/// Counters of one class of requests.
struct ClassCounters {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t forwarded = 0;
};

/// A counter's name in log records, with its value.
struct NamedCounter {
  const char* name;
  std::uint64_t value;
};
/// All counters, in the order in which they are logged.
std::vector<NamedCounter> named_counters(const Counters& counters);
/// All counters in one line: "counters: admitted 2 forwarded 2 ...".
std::string to_line(const Counters& counters);

}  // namespace alderspur::core
