// Lists of servers by size: reading, checking, difference, saving. Time by Google Benchmark, memory
// by counting what is allocated. Run by bench/run.sh; figures stand in docs/measured.md.
#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <string>

#include "endpoints/check.h"
#include "endpoints/list.h"
#include "store/endpoint_state.h"

namespace {

std::atomic<std::size_t> g_live = 0, g_peak = 0;
std::atomic<bool> g_counts = true;  // not where threads would wait for each other's counting

struct Head {
  alignas(16) std::size_t size;
};

}  // namespace

void* operator new(std::size_t size) {
  auto* head = static_cast<Head*>(std::malloc(sizeof(Head) + size));
  if (!head) throw std::bad_alloc();
  head->size = g_counts ? size : 0;
  if (!g_counts) return head + 1;
  g_live += size;
  if (g_live > g_peak) g_peak = g_live.load();
  return head + 1;
}
void operator delete(void* at) noexcept {
  if (!at) return;
  auto* head = static_cast<Head*>(at) - 1;
  if (head->size) g_live -= head->size;
  std::free(head);
}
void operator delete(void* at, std::size_t) noexcept { operator delete(at); }

namespace {

using namespace alderspur;
using namespace alderspur::endpoints;

std::string text_of(std::size_t servers, std::uint64_t generation, std::size_t changed) {
  std::string t = "format = 1\ngeneration = " + std::to_string(generation) +
                  "\nservers = " + std::to_string(servers) + "\n[[hub]]\nname = \"hub\"\n";
  const std::size_t points = std::max<std::size_t>(1, servers / 50);
  for (std::size_t p = 0; p < points; ++p)
    t += "[[point]]\nname = \"p" + std::to_string(p) + "\"\nhub = \"hub\"\n";
  for (std::size_t i = 0; i < servers; ++i)
    t += "[[server]]\nid = \"s-" + std::to_string(i) + "\"\nrole = \"cache\"\npoint = \"p" +
         std::to_string(i % points) + "\"\naddress = \"127." + std::to_string(1 + i / 50'000) +
         ".0.1:" + std::to_string(1 + i % 50'000) + "\"\nweight = " + (i < changed ? "5" : "4") +
         ".0\nstate = \"in_service\"\ncell = 0\n";
  return t;
}
SnapshotPtr list_of(const std::string& text, unsigned threads = 1) {
  diagnostics::Findings f;
  ListLimits limits;
  limits.threads = threads;
  return read_list(text, "servers.toml", 0, limits, f).list;
}

void Read(benchmark::State& state) {
  const auto text = text_of(static_cast<std::size_t>(state.range(0)), 1, 0);
  const std::size_t before = g_live;
  g_counts = state.range(1) == 1;
  std::size_t kept = 0;
  for (auto _ : state) {
    g_peak = g_live.load();
    const auto list = list_of(text, static_cast<unsigned>(state.range(1)));
    if (!list) state.SkipWithError("not read");
    kept = g_live - before;
  }
  g_counts = true;
  state.counters["text_MB"] = static_cast<double>(text.size()) / 1e6;
  state.counters["peak_MB"] = static_cast<double>(g_peak - before) / 1e6;
  state.counters["kept_MB"] = static_cast<double>(kept) / 1e6;
}
void Check(benchmark::State& state) {
  const auto n = static_cast<std::size_t>(state.range(0));
  const auto a = list_of(text_of(n, 1, 0)), b = list_of(text_of(n, 2, n / 100));
  for (auto _ : state) {
    diagnostics::Findings f;
    check_alone(*b, f);
    check_change(a.get(), *b, {}, f);
    if (!f.good()) state.SkipWithError("refused");
  }
  state.SetComplexityN(state.range(0));
}
void Differ(benchmark::State& state) {
  const auto n = static_cast<std::size_t>(state.range(0));
  const auto a = list_of(text_of(n, 1, 0)), b = list_of(text_of(n, 2, n / 100));
  for (auto _ : state) benchmark::DoNotOptimize(difference(a.get(), *b));
  state.SetComplexityN(state.range(0));
}
void Encode(benchmark::State& state) {
  const store::EndpointState s{
      list_of(text_of(static_cast<std::size_t>(state.range(0)), 1, 0)), {}, 1};
  std::size_t size = 0;
  for (auto _ : state) size = store::encode(s).size();
  state.counters["file_MB"] = static_cast<double>(size) / 1e6;
}
void Decode(benchmark::State& state) {
  const auto bytes =
      store::encode({list_of(text_of(static_cast<std::size_t>(state.range(0)), 1, 0)), {}, 1});
  for (auto _ : state) {
    const auto decoded = store::decode_endpoint_state(bytes);
    if (const auto* error = std::get_if<store::DecodeError>(&decoded))
      state.SkipWithError(to_string(*error).c_str());
  }
}

BENCHMARK(Read)
    ->ArgNames({"servers", "threads"})
    ->Args({100, 1})
    ->Args({10'000, 1})
    ->Args({100'000, 1})
    ->Args({100'000, 2})
    ->Args({100'000, 4})
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK(Check)->Arg(100)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond)->Complexity();
BENCHMARK(Differ)->Arg(100)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond)->Complexity();
BENCHMARK(Encode)->Arg(100)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);
BENCHMARK(Decode)->Arg(100)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
