// The schedule of one run: what happens to the router and its neighbours, and when. All of it is
// drawn from the seed, so that the seed replays it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/violations.h"

namespace soak {

constexpr std::size_t kCacheCount = 3;  // in each run
/// Steps begin so long before a restart at the earliest.
constexpr Time kTimeBeforeRestart = 300 * kMillisecond;

/// How a process ends and another one takes its place.
enum class RestartKind {
  planned,      // SIGTERM, SIGKILL at the earliest time that the page allows, then a new process
  replacement,  // a successor starts beside it; SIGTERM once that is ready
  killed,       // SIGKILL out of the blue, then a new process
};

/// What discovery does around a restart.
enum class DiscoveryFault { none, down, silent, slow };

/// One thing that happens at a time after the restart began; negative: before.
struct Step {
  enum class Kind {
    reload,           // SIGHUP
    reload_burst,     // several, each with another address of discovery
    terminate_again,  // a second SIGTERM
    reset_caches,     // all connections of one cache, under requests that have begun
    drain,
    purge,
    ban,  // by an operator's call, where there are operators
    lift,
  };
  Kind kind = Kind::reload;
  Time after = 0;
  std::size_t cache = 0;  // of reset_caches, drain, ban and lift
};

struct Restart {
  RestartKind kind = RestartKind::planned;
  Time new_connections_end = 0;  // after SIGTERM
  DiscoveryFault discovery = DiscoveryFault::none;
  std::vector<Step> steps;  // in order of time
};

struct Schedule {
  std::uint64_t seed = 0;
  bool has_operators = false;  // only with them a process can be replaced beside its successor
  bool has_crowd = false;      // idle clients that fill the descriptors
  std::vector<Restart> restarts;
};

Schedule draw_schedule(std::uint64_t seed);
/// One line, beginning with the command that replays the run.
std::string describe(const Schedule& schedule);

}  // namespace soak
