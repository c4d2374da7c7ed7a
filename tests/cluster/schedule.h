// A schedule of faults between processes, represented as data. A schedule is generated from a seed,
// written as one line of text and parsed from such a line. A failed check prints the line; set
// ALDERSPUR_SCHEDULE to it to repeat the schedule.
//
// The syntax is "N processes: AT kill I; AT start I; AT stop I; AT go I; AT cut I J; AT oneway I J;
// AT stall I J; AT loss PERCENT; AT heal", where AT is the time in milliseconds from the beginning.
#pragma once

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/rig.h"

namespace rig {

/// The kinds of steps. random_schedule() draws the number of a kind, so the order must not change.
enum class StepKind : std::uint8_t {
  kill,
  start,
  stop,
  resume,
  cut,
  one_way_cut,
  stall,
  loss,
  heal
};

constexpr std::array<std::string_view, 9> kStepNames = {"kill",   "start", "stop", "go",  "cut",
                                                        "oneway", "stall", "loss", "heal"};
constexpr std::size_t kMinScheduledProcesses = 2;
constexpr std::size_t kMaxScheduledProcesses = 30;

/// One step of a schedule.
struct Step {
  Time at = 0;  // microseconds from the beginning
  StepKind kind = StepKind::heal;
  std::size_t first = 0;   // index of the process, or the percentage of a loss
  std::size_t second = 0;  // index of the other process, if the fault is between two processes
};

/// A number of processes and the steps in the order of their times.
struct Schedule {
  std::size_t processes = 0;
  std::vector<Step> steps;
};

inline bool is_between_two(StepKind kind) {
  return kind == StepKind::cut || kind == StepKind::one_way_cut || kind == StepKind::stall;
}

inline std::string to_string(const Schedule& schedule) {
  std::ostringstream line;
  line << schedule.processes << " processes:";
  for (const auto& step : schedule.steps) {
    line << ' ' << step.at / 1000 << ' ' << kStepNames.at(static_cast<std::size_t>(step.kind));
    if (step.kind != StepKind::heal) line << ' ' << step.first;
    if (is_between_two(step.kind)) line << ' ' << step.second;
    line << ';';
  }
  return line.str();
}

// Parses the text between two semicolons, after the time; returns nothing if it is malformed.
inline std::optional<Step> parse_step(Time at_milliseconds, std::istringstream& text,
                                      std::size_t processes) {
  std::string name;
  text >> name;
  const auto* const found = std::find(kStepNames.begin(), kStepNames.end(), name);
  if (found == kStepNames.end() || at_milliseconds < 0) return std::nullopt;
  Step step;
  step.at = at_milliseconds * 1000;
  step.kind = static_cast<StepKind>(found - kStepNames.begin());
  if (step.kind != StepKind::heal && !(text >> step.first)) return std::nullopt;
  if (is_between_two(step.kind) && !(text >> step.second)) return std::nullopt;
  const bool names_processes = step.kind != StepKind::loss && step.kind != StepKind::heal;
  if (names_processes && (step.first >= processes || step.second >= processes)) {
    return std::nullopt;
  }
  return step;
}

/// Parses a line. Returns a schedule without steps if the line is malformed.
inline Schedule parse_schedule(const std::string& line) {
  Schedule schedule;
  std::istringstream input(line);
  std::string word;
  if (!(input >> schedule.processes >> word) || word != "processes:") return {};
  if (schedule.processes < kMinScheduledProcesses || schedule.processes > kMaxScheduledProcesses) {
    return {};
  }
  for (std::string part; std::getline(input, part, ';');) {
    std::istringstream text(part);
    Time at_milliseconds = 0;
    if (!(text >> at_milliseconds)) continue;  // nothing follows the last semicolon
    const auto step = parse_step(at_milliseconds, text, schedule.processes);
    if (!step) return {};
    schedule.steps.push_back(*step);
  }
  return schedule;
}

// The processes that do not run. They restrict the next steps: a killed process cannot be stopped.
struct Downtime {
  std::set<std::size_t> killed;
  std::set<std::size_t> stopped;
};

// Returns a step of this kind on the process `one`, or, for `start` and `resume`, on a process that
// is down. Returns nothing if the step is not possible.
inline std::optional<Step> draw_step(StepKind kind, std::size_t one, std::size_t processes,
                                     Downtime& down) {
  switch (kind) {
    case StepKind::kill:
      if (down.killed.contains(one) || down.killed.size() + 2 >= processes) return std::nullopt;
      down.killed.insert(one);
      down.stopped.erase(one);
      return Step{0, kind, one, 0};
    case StepKind::start: {
      if (down.killed.empty()) return std::nullopt;
      const auto killed = down.killed.extract(down.killed.begin()).value();
      return Step{0, kind, killed, 0};
    }
    case StepKind::stop:
      if (down.killed.contains(one) || !down.stopped.insert(one).second) return std::nullopt;
      return Step{0, kind, one, 0};
    case StepKind::resume: {
      if (down.stopped.empty()) return std::nullopt;
      const auto stopped = down.stopped.extract(down.stopped.begin()).value();
      return Step{0, kind, stopped, 0};
    }
    default:
      return Step{0, kind, one, 0};
  }
}

/// Generates random faults over `duration`.
inline Schedule random_schedule(std::uint64_t seed, std::size_t processes, Time duration) {
  std::mt19937_64 random(seed);
  Schedule schedule{processes, {}};
  Downtime down;
  Time at = 0;
  while (at < duration) {
    const std::size_t one = random() % processes;
    const std::size_t other = (one + 1 + random() % (processes - 1)) % processes;
    const auto kind = static_cast<StepKind>(random() % kStepNames.size());
    if (auto step = draw_step(kind, one, processes, down)) {
      step->at = at;
      if (is_between_two(kind)) step->second = other;
      if (kind == StepKind::loss) step->first = random() % 30;
      if (kind == StepKind::heal) step->first = 0;
      schedule.steps.push_back(*step);
    }
    at += 300'000 + static_cast<Time>(random() % 1'200'000);
  }
  return schedule;
}

/// Plays a schedule on a rig.
class SchedulePlayer {
 public:
  explicit SchedulePlayer(Rig& cluster) : cluster_(cluster) {}

  /// Plays the schedule to its end, then removes all faults and starts or resumes all processes.
  /// `meanwhile` is called repeatedly between the steps.
  void play(const Schedule& schedule, const std::function<void()>& meanwhile) {
    const Time started_at = net::unix_now();
    for (const auto& step : schedule.steps) {
      const Time due_at = started_at + step.at;
      while (net::unix_now() < due_at) {
        cluster_.run(std::min<Time>(50'000, due_at - net::unix_now()));
        meanwhile();
      }
      execute(step);
    }
    heal_links();
    while (!down_.stopped.empty()) resume(*down_.stopped.begin());
    for (const auto i : down_.killed) cluster_.start(i);
  }

 private:
  void heal_links() {
    cluster_.each_way([](Fault& fault) { fault = {}; });
  }
  void resume(std::size_t i) {
    cluster_.signal(i, SIGCONT);
    down_.stopped.erase(i);
  }
  void execute(const Step& step) {
    switch (step.kind) {
      case StepKind::kill:
        if (!down_.killed.insert(step.first).second) return;
        down_.stopped.erase(step.first);
        return cluster_.kill(step.first);
      case StepKind::start:
        if (down_.killed.erase(step.first) > 0) cluster_.start(step.first);
        return;
      case StepKind::stop:
        if (down_.killed.contains(step.first)) return;
        if (down_.stopped.insert(step.first).second) cluster_.signal(step.first, SIGSTOP);
        return;
      case StepKind::resume:
        if (down_.stopped.contains(step.first)) resume(step.first);
        return;
      case StepKind::cut:
        return cluster_.cut({step.first}, {step.second});
      case StepKind::one_way_cut:
        cluster_.way(step.first, step.second).cut = true;
        return;
      case StepKind::stall:
        cluster_.way(step.first, step.second).stall = true;
        return;
      case StepKind::loss: {
        const auto percent = static_cast<unsigned>(step.first);
        return cluster_.each_way([percent](Fault& fault) { fault.loss = percent; });
      }
      case StepKind::heal:
        return heal_links();
    }
  }

  Rig& cluster_;
  Downtime down_;
};

/// Plays a schedule on a rig. See SchedulePlayer::play().
inline void play(
    Rig& cluster, const Schedule& schedule, const std::function<void()>& meanwhile = [] {}) {
  SchedulePlayer(cluster).play(schedule, meanwhile);
}

}  // namespace rig
