// The configuration language by number of routes: loading with checks, formatting, compiling,
// matching, and what a limit costs a request. Run by bench/run.sh; figures stand in
// docs/measured.md.
#include <benchmark/benchmark.h>

#include <map>
#include <string>

#include "config_language/check.h"
#include "config_language/differ.h"
#include "config_language/format.h"
#include "config_language/parser.h"
#include "limits/limits.h"
#include "routing/table.h"

namespace {

using namespace alderspur;

class Memory : public config_language::Loader {
 public:
  config_language::ReadResult read(const std::string& path) override {
    const auto it = files.find(path);
    if (it == files.end()) return config_language::ReadError::not_found;
    return it->second;
  }
  std::vector<std::string> match(const std::string&) override {
    std::vector<std::string> out;
    for (const auto& [p, t] : files) {
      if (p != "main.alder") out.push_back(p);
    }
    return out;
  }
  std::map<std::string, std::string> files;
};

Memory program(std::size_t routes) {
  Memory m;
  m.files["main.alder"] =
      "include \"r/*\"\nclass a {\n  repeat = safe\n  deadline = 1 s\n}\npool p {\n  role = "
      "cache\n}\n";
  for (std::size_t i = 0; i < routes; ++i) {
    m.files["r/" + std::to_string(i / 5000)] += "route r" + std::to_string(i) +
                                                " {\n  path = \"/s" + std::to_string(i) +
                                                "/{object}/{part}\"\n  class = a\n  pool = p\n}\n";
  }
  return m;
}

void load_and_check_benchmark(benchmark::State& state) {
  auto m = program(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    diagnostics::Findings f;
    const auto p = config_language::load("main.alder", m, f);
    benchmark::DoNotOptimize(config_language::check(p, f));
    if (!f.is_ok()) state.SkipWithError(diagnostics::to_string(f.list()[0]).c_str());
  }
}
void format_benchmark(benchmark::State& state) {
  const auto m = program(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    for (const auto& [path, text] : m.files) {
      diagnostics::Findings f;
      config_language::Sources sources;
      benchmark::DoNotOptimize(
          config_language::format(config_language::parse(sources, sources.add(path, text), f)));
    }
  }
}
void compile_benchmark(benchmark::State& state) {
  auto m = program(static_cast<std::size_t>(state.range(0)));
  diagnostics::Findings f;
  const auto p = config_language::load("main.alder", m, f);
  const auto meaning = config_language::check(p, f);
  for (auto _ : state) {
    benchmark::DoNotOptimize(std::make_unique<routing::Table>(meaning, p.sources));
  }
}
void differ_benchmark(benchmark::State& state) {
  auto m = program(static_cast<std::size_t>(state.range(0)));
  diagnostics::Findings f;
  const auto p = config_language::load("main.alder", m, f);
  const auto meaning = config_language::check(p, f);
  for (auto _ : state) benchmark::DoNotOptimize(config_language::find_changes(meaning, meaning));
}
void match_benchmark(benchmark::State& state) {
  auto m = program(static_cast<std::size_t>(state.range(0)));
  diagnostics::Findings f;
  const auto p = config_language::load("main.alder", m, f);
  const auto meaning = config_language::check(p, f);
  const routing::Table table(meaning, p.sources);
  std::vector<std::string> paths;
  for (std::size_t i = 0; i < 1000; ++i) {
    paths.push_back("/s" + std::to_string(i * 7919 % static_cast<std::size_t>(state.range(0))) +
                    "/7f3a9c21e0b4d655/3");
  }
  std::size_t i = 0;
  for (auto _ : state) {
    const routing::RequestAttributes q{
        "img.example", paths[i++ % paths.size()], "GET", "edge", {}, {}, i};
    const auto found = table.match(q);
    if (!found) state.SkipWithError("no route");
    benchmark::DoNotOptimize(found);
  }
}
void three_limits_benchmark(benchmark::State& state) {
  limits::Limits l;
  const std::vector<limits::Claim> asked = {
      {"route r", {100, 1e6, 1000}}, {"pool p", {100, 1e6, 1000}}, {"policy q", {100, 1e6, 1000}}};
  core::Time now = 0;
  for (auto _ : state) {
    auto v = l.acquire(asked, ++now);
    v.reservation.release(now);
  }
}

BENCHMARK(load_and_check_benchmark)
    ->Name("LoadAndCheck")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(format_benchmark)
    ->Name("Format")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(compile_benchmark)
    ->Name("Compile")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(differ_benchmark)
    ->Name("Differ")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(match_benchmark)->Name("Match")->Arg(10)->Arg(1'000)->Arg(100'000);
BENCHMARK(three_limits_benchmark)->Name("ThreeLimits");

}  // namespace

BENCHMARK_MAIN();
