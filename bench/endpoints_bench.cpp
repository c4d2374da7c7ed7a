// Lists of servers by size: reading, checking, comparing, encoding and decoding. Time by Google
// Benchmark, memory by counting what is allocated. Run by bench/run.sh; results are in
// docs/measured.md.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>
#include <string>
#include <variant>

#include "endpoints/check.h"
#include "endpoints/list.h"
#include "store/endpoint_state.h"

namespace {

std::atomic<std::size_t> g_live_bytes = 0;
std::atomic<std::size_t> g_peak_bytes = 0;
// Off while several threads allocate: they would wait for each other's counting.
std::atomic<bool> g_is_counting = true;

/// Stands before each allocated block.
struct BlockHeader {
  alignas(16) std::size_t counted_bytes;  // 0: not counted
};

}  // namespace

void* operator new(std::size_t size) {
  auto* header = static_cast<BlockHeader*>(std::malloc(sizeof(BlockHeader) + size));
  if (!header) throw std::bad_alloc();
  header->counted_bytes = g_is_counting ? size : 0;
  if (!g_is_counting) return header + 1;
  g_live_bytes += size;
  if (g_live_bytes > g_peak_bytes) g_peak_bytes = g_live_bytes.load();
  return header + 1;
}

void operator delete(void* block) noexcept {
  if (!block) return;
  auto* header = static_cast<BlockHeader*>(block) - 1;
  if (header->counted_bytes) g_live_bytes -= header->counted_bytes;
  std::free(header);
}

void operator delete(void* block, std::size_t /*size*/) noexcept { operator delete(block); }

namespace alderspur::endpoints {
namespace {

constexpr double kBytesPerMegabyte = 1e6;
constexpr std::size_t kServersPerPoint = 50;
constexpr std::size_t kPortsPerAddress = 50'000;

/// A list of caches; the first `changed` have another weight.
std::string list_text(std::size_t server_count, std::uint64_t generation, std::size_t changed) {
  std::string text = "format = 1\ngeneration = " + std::to_string(generation) +
                     "\nservers = " + std::to_string(server_count) + "\n[[hub]]\nname = \"hub\"\n";
  const std::size_t point_count = std::max<std::size_t>(1, server_count / kServersPerPoint);
  for (std::size_t i = 0; i < point_count; ++i) {
    text += "[[point]]\nname = \"p" + std::to_string(i) + "\"\nhub = \"hub\"\n";
  }
  for (std::size_t i = 0; i < server_count; ++i) {
    text += "[[server]]\nid = \"s-" + std::to_string(i) + "\"\nrole = \"cache\"\npoint = \"p" +
            std::to_string(i % point_count) + "\"\naddress = \"127." +
            std::to_string(1 + i / kPortsPerAddress) +
            ".0.1:" + std::to_string(1 + i % kPortsPerAddress) +
            "\"\nweight = " + (i < changed ? "5" : "4") + ".0\nstate = \"in_service\"\ncell = 0\n";
  }
  return text;
}

SnapshotPtr read_text(const std::string& text, unsigned threads = 1) {
  diagnostics::Findings findings;
  ListLimits limits;
  limits.threads = threads;
  return read_list(text, "servers.toml", 0, limits, findings).list;
}

std::size_t server_count_of(const benchmark::State& state) {
  return static_cast<std::size_t>(state.range(0));
}

/// Two successive generations; one server in a hundred has another weight.
struct Generations {
  explicit Generations(std::size_t server_count)
      : before(read_text(list_text(server_count, 1, 0))),
        after(read_text(list_text(server_count, 2, server_count / 100))) {}
  SnapshotPtr before;
  SnapshotPtr after;
};

store::EndpointState state_of(std::size_t server_count) {
  return {read_text(list_text(server_count, 1, 0)), {}, 1};
}

void read_benchmark(benchmark::State& state) {
  const auto text = list_text(server_count_of(state), 1, 0);
  const auto threads = static_cast<unsigned>(state.range(1));
  const std::size_t before = g_live_bytes;
  g_is_counting = threads == 1;
  std::size_t kept = 0;
  for (auto _ : state) {
    g_peak_bytes = g_live_bytes.load();
    const auto list = read_text(text, threads);
    if (!list) state.SkipWithError("not read");
    kept = g_live_bytes - before;
  }
  g_is_counting = true;
  state.counters["text_MB"] = static_cast<double>(text.size()) / kBytesPerMegabyte;
  state.counters["peak_MB"] = static_cast<double>(g_peak_bytes - before) / kBytesPerMegabyte;
  state.counters["kept_MB"] = static_cast<double>(kept) / kBytesPerMegabyte;
}

void check_benchmark(benchmark::State& state) {
  const Generations lists(server_count_of(state));
  for (auto _ : state) {
    diagnostics::Findings findings;
    check_alone(*lists.after, findings);
    check_change(lists.before.get(), *lists.after, {}, findings);
    if (!findings.is_ok()) state.SkipWithError("refused");
  }
  state.SetComplexityN(state.range(0));
}

void difference_benchmark(benchmark::State& state) {
  const Generations lists(server_count_of(state));
  for (auto _ : state) {
    benchmark::DoNotOptimize(difference(lists.before.get(), *lists.after));
  }
  state.SetComplexityN(state.range(0));
}

void encode_benchmark(benchmark::State& state) {
  const auto endpoint_state = state_of(server_count_of(state));
  std::size_t size = 0;
  for (auto _ : state) size = store::encode(endpoint_state).size();
  state.counters["file_MB"] = static_cast<double>(size) / kBytesPerMegabyte;
}

void decode_benchmark(benchmark::State& state) {
  const auto bytes = store::encode(state_of(server_count_of(state)));
  for (auto _ : state) {
    const auto decoded = store::decode_endpoint_state(bytes);
    if (const auto* error = std::get_if<store::DecodeError>(&decoded)) {
      state.SkipWithError(to_string(*error).c_str());
    }
  }
}

BENCHMARK(read_benchmark)
    ->Name("Read")
    ->ArgNames({"servers", "threads"})
    ->Args({100, 1})
    ->Args({10'000, 1})
    ->Args({100'000, 1})
    ->Args({100'000, 2})
    ->Args({100'000, 4})
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);
BENCHMARK(check_benchmark)
    ->Name("Check")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond)
    ->Complexity();
BENCHMARK(difference_benchmark)
    ->Name("Differ")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond)
    ->Complexity();
BENCHMARK(encode_benchmark)
    ->Name("Encode")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(decode_benchmark)
    ->Name("Decode")
    ->Arg(100)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace alderspur::endpoints

BENCHMARK_MAIN();
