// Counters of requests, attempts, connections and invalid input since the start of the process.
// They are logged on request and at exit. Plain values without locking: use them from the event
// loop's thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace alderspur::core {

/// The counters of one router process. Each counts up from 0 and is never reset.
struct Counters {
  // Requests. Each admitted request is counted once more, as served, rejected, failed or cancelled.
  std::uint64_t admitted = 0;
  std::uint64_t forwarded = 0;  // attempts that were written completely to a server
  std::uint64_t health_checks = 0;
  std::uint64_t served = 0;
  std::uint64_t not_modified = 0;  // served requests whose client already held the current copy
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  // Attempts by outcome.
  std::uint64_t attempts_ok = 0;
  std::uint64_t attempts_miss = 0;
  std::uint64_t attempts_overloaded = 0;
  std::uint64_t attempts_error = 0;
  std::uint64_t attempts_timeout = 0;
  std::uint64_t attempts_connect_failed = 0;
  std::uint64_t attempts_reset = 0;
  std::uint64_t attempts_cancelled = 0;
  std::uint64_t late_responses = 0;   // arrived after the attempt had ended
  std::uint64_t stale_responses = 0;  // carried a copy older than the request allows
  std::uint64_t purges = 0;
  std::uint64_t endpoint_updates = 0;
  // Invalid input.
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
  std::uint64_t over_limit = 0;  // calls rejected because a front's limit was reached
};

/// The counters of one request class; each has the meaning of its namesake in Counters.
struct ClassCounters {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t forwarded = 0;
};

/// A counter's value, with the name under which it is logged and exported.
struct NamedCounter {
  const char* name;
  std::uint64_t value;
};
/// Returns all counters in the order in which they are logged.
std::vector<NamedCounter> named_counters(const Counters& counters);
/// Returns all counters as one line: "counters: admitted 2 forwarded 2 ...".
std::string to_line(const Counters& counters);

}  // namespace alderspur::core
