// Restarts of edge_router under load, by schedules drawn from seeds. A failed run prints the line
// that replays it.
//
// ALDERSPUR_SOAK_SEEDS, as in "7" or "1..50", names the seeds; without it those of CI are played.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "soak/run.h"

namespace soak {
namespace {

constexpr std::uint64_t kLastSeedInCi = 10;

std::vector<std::uint64_t> seeds() {
  const char* variable = std::getenv("ALDERSPUR_SOAK_SEEDS");
  const std::string range = variable != nullptr ? variable : "";
  std::uint64_t first = 1;
  std::uint64_t last = kLastSeedInCi;
  if (!range.empty()) {
    const auto dots = range.find("..");
    first = std::stoull(range);
    last = dots == std::string::npos ? first : std::stoull(range.substr(dots + 2));
  }
  std::vector<std::uint64_t> all;
  for (std::uint64_t seed = first; seed <= last; ++seed) all.push_back(seed);
  return all;
}

class RestartSoak : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RestartSoak, BreaksNoRule) {
  // The sanitizer's quarantine would count as memory in use.
  ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 0);
  const Schedule schedule = draw_schedule(GetParam());
  std::cout << describe(schedule) << std::endl;
  soak::Run run(schedule);
  run.play();
  const auto& counts = run.counts();
  std::cout << "sent " << counts.sent << " served " << counts.served << " refused "
            << counts.refused << " failed " << counts.failed << " sent again " << counts.sent_again
            << " forgiven " << counts.forgiven << ", fetches " << run.fetch_count() << std::endl;
  EXPECT_GT(counts.served, 0U);
  EXPECT_EQ(run.violations().count(), 0U) << run.violations().describe() << run.logs();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestartSoak, ::testing::ValuesIn(seeds()),
                         [](const auto& seed) { return std::to_string(seed.param); });

}  // namespace
}  // namespace soak
