// What the program took in, sent and answered; printed on request and at exit.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace alderspur::core {

struct Counters {
  std::uint64_t taken = 0, sent = 0, probes = 0;
  std::uint64_t served = 0, unchanged = 0, refused = 0, failed = 0, withdrawn = 0;
  std::uint64_t attempts_ok = 0, attempts_miss = 0, attempts_full = 0, attempts_error = 0,
                attempts_timeout = 0, attempts_unconnected = 0, attempts_reset = 0,
                attempts_cancelled = 0;
  std::uint64_t late_answers = 0, stale_answers = 0, purges = 0, fleet_updates = 0;
  std::uint64_t bad_frames = 0, bad_requests = 0, bad_answers = 0, accepts_put_off = 0;
  std::uint64_t bad_tokens = 0, slow_readers = 0, silent_links = 0, silent_clients = 0,
                idle_clients = 0, too_much = 0;
};

// The same requests by their class. A request taken ends as served, refused, failed or withdrawn.
struct ClassCounters {
  std::uint64_t served = 0, refused = 0, failed = 0;
  std::uint64_t sent = 0;  // attempts written whole to servers
};

// All of them by their names, for records of logs.
std::vector<std::pair<const char*, std::uint64_t>> fields(const Counters& counters);
// One line with all of them.
std::string text(const Counters& counters);

}  // namespace alderspur::core
