// A schedule of faults between processes as data: drawn from a seed, written as one line, read from
// one. A check that fails prints the line; ALDERSPUR_SCHEDULE plays it again.
//
// The form: "N processes: AT kill I; AT start I; AT stop I; AT go I; AT cut I J; AT oneway I J; AT
// stall I J; AT loss PERCENT; AT heal", AT in milliseconds from the beginning.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "rig.h"

namespace rig {

struct Step {
  Time at = 0;
  std::string what;
  std::size_t a = 0, b = 0;
};
struct Schedule {
  std::size_t processes = 0;
  std::vector<Step> steps;
};

inline bool pair_of(const std::string& what) {
  return what == "cut" || what == "oneway" || what == "stall";
}

inline std::string written(const Schedule& s) {
  std::ostringstream out;
  out << s.processes << " processes:";
  for (const auto& x : s.steps) {
    out << ' ' << x.at / 1000 << ' ' << x.what;
    if (x.what != "heal") out << ' ' << x.a;
    if (pair_of(x.what)) out << ' ' << x.b;
    out << ';';
  }
  return out.str();
}

// Without steps: unreadable.
inline Schedule read_schedule(const std::string& line) {
  Schedule s;
  std::istringstream in(line);
  std::string word;
  if (!(in >> s.processes >> word) || word != "processes:" || s.processes < 2 || s.processes > 30)
    return {};
  for (std::string text; std::getline(in, text, ';');) {
    std::istringstream step(text);
    Step x;
    if (!(step >> x.at >> x.what)) continue;  // the end
    static const std::set<std::string> kWords = {"kill",   "start", "stop", "go",  "cut",
                                                 "oneway", "stall", "loss", "heal"};
    const bool numbers = (x.what == "heal" || step >> x.a) && (!pair_of(x.what) || step >> x.b);
    const bool known = kWords.contains(x.what) && numbers;
    const bool there =
        x.what == "loss" || x.what == "heal" || (x.a < s.processes && x.b < s.processes);
    if (!known || !there || x.at < 0) return {};
    x.at *= 1000;
    s.steps.push_back(std::move(x));
  }
  return s;
}

// Faults over `time`, in an order in which they make sense: who is dead is not stopped.
inline Schedule drawn(std::uint64_t seed, std::size_t processes, Time time) {
  std::mt19937_64 random(seed);
  Schedule s{processes, {}};
  std::set<std::size_t> dead, stopped;
  for (Time at = 0; at < time; at += 300'000 + static_cast<Time>(random() % 1'200'000)) {
    const std::size_t a = random() % processes,
                      b = (a + 1 + random() % (processes - 1)) % processes;
    const auto add = [&](const char* what, std::size_t x = 0, std::size_t y = 0) {
      s.steps.push_back({at, what, x, y});
    };
    switch (random() % 9) {
      case 0:
        if (!dead.contains(a) && dead.size() + 2 < processes)
          add("kill", a), dead.insert(a), stopped.erase(a);
        break;
      case 1:
        if (!dead.empty()) add("start", *dead.begin()), dead.erase(dead.begin());
        break;
      case 2:
        if (!dead.contains(a) && stopped.insert(a).second) add("stop", a);
        break;
      case 3:
        if (!stopped.empty()) add("go", *stopped.begin()), stopped.erase(stopped.begin());
        break;
      case 4:
        add("cut", a, b);
        break;
      case 5:
        add("oneway", a, b);
        break;
      case 6:
        add("stall", a, b);
        break;
      case 7:
        add("loss", random() % 30);
        break;
      case 8:
        add("heal");
        break;
    }
  }
  return s;
}

// Plays it to its end, then mends everything. `meanwhile` is called between the steps.
inline void play(
    Rig& r, const Schedule& s, const std::function<void()>& meanwhile = [] {}) {
  std::set<std::size_t> dead, stopped;
  const auto heal = [&] { r.each_way([](Fault& f) { f = {}; }); };
  const auto go = [&](std::size_t i) { r.signal(i, SIGCONT), stopped.erase(i); };
  const Time from = net::unix_now();
  for (const auto& x : s.steps) {
    while (net::unix_now() < from + x.at)
      r.run(std::min<Time>(50'000, from + x.at - net::unix_now())), meanwhile();
    if (x.what == "kill" && dead.insert(x.a).second) stopped.erase(x.a), r.kill(x.a);
    if (x.what == "start" && dead.erase(x.a)) r.start(x.a);
    if (x.what == "stop" && !dead.contains(x.a) && stopped.insert(x.a).second)
      r.signal(x.a, SIGSTOP);
    if (x.what == "go" && stopped.contains(x.a)) go(x.a);
    if (x.what == "cut") r.cut({x.a}, {x.b});
    if (x.what == "oneway") r.way(x.a, x.b).cut = true;
    if (x.what == "stall") r.way(x.a, x.b).stall = true;
    if (x.what == "loss") r.each_way([&](Fault& f) { f.loss = static_cast<unsigned>(x.a); });
    if (x.what == "heal") heal();
  }
  heal();
  while (!stopped.empty()) go(*stopped.begin());
  for (const auto i : dead) r.start(i);
}

}  // namespace rig
