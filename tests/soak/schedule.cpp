#include "soak/schedule.h"

#include <algorithm>
#include <random>

namespace soak {
namespace {

constexpr std::size_t kRestarts = 2;
constexpr std::uint64_t kCrowdEvery = 4;  // one run in so many has a crowd
constexpr std::size_t kMaxSteps = 9;
// Clients connect for 0.2 to 0.4 s after SIGTERM, as the protocol's page says.
constexpr Time kMinConnectTime = 200 * kMillisecond;
constexpr Time kMaxConnectTime = 400 * kMillisecond;
constexpr Time kLastStep = 3'500 * kMillisecond;  // after it began
constexpr Time kCloseStep = 150 * kMillisecond;   // steps around the signal itself

class Drawer {
 public:
  explicit Drawer(std::uint64_t seed) : random_(seed * 7919 + 17) {}

  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
  bool one_in(std::uint64_t count) { return below(count) == 0; }
  Time between(Time first, Time last) {
    return first + static_cast<Time>(below(static_cast<std::uint64_t>(last - first + 1)));
  }

 private:
  std::mt19937_64 random_;
};

Step::Kind draw_kind(Drawer& drawer) {
  using Kind = Step::Kind;
  constexpr Kind kKinds[] = {
      Kind::reload, Kind::reload, Kind::reload_burst, Kind::reset_caches, Kind::terminate_again,
      Kind::drain,  Kind::purge,  Kind::purge,        Kind::ban,          Kind::lift};
  return kKinds[drawer.below(std::size(kKinds))];
}

Step draw_step(Drawer& drawer) {
  Step step;
  step.kind = draw_kind(drawer);
  step.cache = drawer.below(kCacheCount);
  const bool is_close = drawer.one_in(2);
  step.after = is_close ? drawer.between(-kCloseStep, kCloseStep)
                        : drawer.between(-kTimeBeforeRestart, kLastStep);
  return step;
}

RestartKind draw_restart_kind(Drawer& drawer, bool has_operators) {
  if (drawer.one_in(5)) return RestartKind::killed;
  return has_operators && !drawer.one_in(3) ? RestartKind::replacement : RestartKind::planned;
}

DiscoveryFault draw_discovery_fault(Drawer& drawer) {
  if (drawer.one_in(2)) return DiscoveryFault::none;
  constexpr DiscoveryFault kFaults[] = {DiscoveryFault::down, DiscoveryFault::silent,
                                        DiscoveryFault::slow};
  return kFaults[drawer.below(std::size(kFaults))];
}

Restart draw_restart(Drawer& drawer, bool has_operators) {
  Restart restart;
  restart.kind = draw_restart_kind(drawer, has_operators);
  restart.new_connections_end = drawer.between(kMinConnectTime, kMaxConnectTime);
  restart.discovery = draw_discovery_fault(drawer);
  const std::size_t steps = 2 + drawer.below(kMaxSteps - 1);
  for (std::size_t i = 0; i < steps; ++i) restart.steps.push_back(draw_step(drawer));
  std::sort(restart.steps.begin(), restart.steps.end(),
            [](const Step& one, const Step& other) { return one.after < other.after; });
  return restart;
}

const char* name_of(RestartKind kind) {
  switch (kind) {
    case RestartKind::planned:
      return "planned";
    case RestartKind::replacement:
      return "replacement";
    case RestartKind::killed:
      return "killed";
  }
  return "";
}

const char* name_of(DiscoveryFault fault) {
  switch (fault) {
    case DiscoveryFault::none:
      return "up";
    case DiscoveryFault::down:
      return "down";
    case DiscoveryFault::silent:
      return "silent";
    case DiscoveryFault::slow:
      return "slow";
  }
  return "";
}

const char* name_of(Step::Kind kind) {
  switch (kind) {
    case Step::Kind::reload:
      return "HUP";
    case Step::Kind::reload_burst:
      return "HUPs";
    case Step::Kind::terminate_again:
      return "TERM";
    case Step::Kind::reset_caches:
      return "reset";
    case Step::Kind::drain:
      return "drain";
    case Step::Kind::purge:
      return "purge";
    case Step::Kind::ban:
      return "ban";
    case Step::Kind::lift:
      return "lift";
  }
  return "";
}

}  // namespace

Schedule draw_schedule(std::uint64_t seed) {
  Drawer drawer(seed);
  Schedule schedule;
  schedule.seed = seed;
  schedule.has_operators = !drawer.one_in(3);
  schedule.has_crowd = drawer.one_in(kCrowdEvery);
  for (std::size_t i = 0; i < kRestarts; ++i) {
    schedule.restarts.push_back(draw_restart(drawer, schedule.has_operators));
  }
  return schedule;
}

std::string describe(const Schedule& schedule) {
  std::string line = "tests/soak/run.sh --seeds " + std::to_string(schedule.seed) + "  #";
  if (schedule.has_operators) line += " operators";
  if (schedule.has_crowd) line += " crowd";
  for (const auto& restart : schedule.restarts) {
    line += std::string("; ") + name_of(restart.kind) + ", connections end " +
            std::to_string(restart.new_connections_end / kMillisecond) + ", discovery " +
            name_of(restart.discovery) + ":";
    for (const auto& step : restart.steps) {
      line +=
          std::string(" ") + name_of(step.kind) + "@" + std::to_string(step.after / kMillisecond);
    }
  }
  return line;
}

}  // namespace soak
