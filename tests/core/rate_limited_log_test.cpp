// Tests of the rate limit on log lines about invalid input.
#include "core/rate_limited_log.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace alderspur;

TEST(RateLimitedLogTest, LogsOneLinePerKindWithCountWhenReportsRepeat) {
  core::RateLimitedLog log;
  std::vector<std::string> lines;
  log.report(core::InvalidInput::response, 1, "reported before a sink is set");
  log.set_sink([&](const std::string& event, const std::string& text) {
    lines.push_back(event + ' ' + text);
  });
  const core::Time second = 1'000'000;
  for (core::Time i = 0; i < 1000; ++i) {
    log.report(core::InvalidInput::watch_event, second + i * 1000,
               "\x1b[2J" + std::string(500, 'x'));
  }
  log.report(core::InvalidInput::frame, second);
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_EQ(lines[0].find('\x1b'), std::string::npos);
  EXPECT_LT(lines[0].size(), 200u);
  log.report(core::InvalidInput::watch_event, 12 * second);
  ASSERT_EQ(lines.size(), 3u);
  EXPECT_NE(lines[2].find("(999 more since the last line)"), std::string::npos) << lines[2];
}

}  // namespace
