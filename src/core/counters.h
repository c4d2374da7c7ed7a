// What the program took in, sent and answered; printed on request and at exit.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace alderspur::core {

struct Counters {
  std::uint64_t admitted = 0, forwarded = 0, health_checks = 0;
  std::uint64_t served = 0, not_modified = 0, rejected = 0, failed = 0, cancelled = 0;
  std::uint64_t attempts_ok = 0, attempts_miss = 0, attempts_overloaded = 0, attempts_error = 0,
                attempts_timeout = 0, attempts_connect_failed = 0, attempts_reset = 0,
                attempts_cancelled = 0;
  std::uint64_t late_responses = 0, stale_responses = 0, purges = 0, endpoint_updates = 0;
  std::uint64_t invalid_frames = 0, invalid_requests = 0, invalid_responses = 0,
                deferred_accepts = 0;
  std::uint64_t invalid_tokens = 0, slow_readers = 0, silent_upstream_connections = 0,
                silent_clients = 0, idle_clients = 0, over_limit = 0;
};

// The same requests by their class. A request taken ends as served, refused, failed or withdrawn.
struct ClassCounters {
  std::uint64_t served = 0, rejected = 0, failed = 0;
  std::uint64_t forwarded = 0;  // attempts written whole to servers
};

// All of them by their names, for records of logs.
std::vector<std::pair<const char*, std::uint64_t>> fields(const Counters& counters);
// One line with all of them.
std::string text(const Counters& counters);

}  // namespace alderspur::core
