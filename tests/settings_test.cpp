// Tests of the settings, whose errors are reported with their location, and of the log. Neither may
// disclose secrets.
#include "settings/settings.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace alderspur;

const std::string kGood = R"([router]
config = "config.json"
listen = "127.0.0.1:4100"
[log]
form = "json"
level = "warning"
[log.levels]
membership = "debug"
[membership]
authority = "both"
list = "servers.toml"
state = "/var/lib/x"
settle = "50 ms"
[membership.damping]
half_life = "20 s"
[signed]
listen = "127.0.0.1:8480"
skew = "2.5 s"
[[signed.key]]
id = "k1"
secret = "a secret of some length"
[[signed.route]]
prefix = "/asset/"
class = "asset"
limit = "1500 ms"
[xds]
listen = "127.0.0.1:8490"
cluster = "boxes"
)";

config::Config config_with_classes() {
  config::Config config;
  config.names.classes = {"asset", "plan-accept"};
  config.names.request_timeouts = {2'500'000, 3'000'000};
  config.settings.classes.resize(2);
  config.settings.classes[1].never_cached = true;
  return config;
}

TEST(SettingsTest, ReadsEverySectionWithItsUnits) {
  diagnostics::Findings findings;
  auto s = settings::read(kGood, "a.toml", "/etc/a", findings);
  settings::resolve(s, config_with_classes(), findings);
  for (const auto& finding : findings.list()) ADD_FAILURE() << diagnostics::to_string(finding);
  EXPECT_EQ(s.config_file, "/etc/a/config.json");
  EXPECT_EQ(s.membership->list, "/etc/a/servers.toml");
  EXPECT_EQ(s.membership->state_directory, "/var/lib/x") << "an absolute path is not changed";
  EXPECT_EQ(s.membership->unchanged_time, 50'000);
  EXPECT_EQ(s.membership->endpoint_set.damping.half_life, 20'000'000);
  EXPECT_EQ(s.membership->endpoint_set.authority, endpoints::Authority::both);
  EXPECT_EQ(s.signed_url->clock_skew_seconds, 2);
  EXPECT_EQ(s.signed_url->routes.at(0).time_limit, 1'500'000);
  EXPECT_EQ(s.xds->cluster, "boxes");
  EXPECT_EQ(s.log.format, log::Format::json);
  diagnostics::Findings minimal_findings;
  const auto minimal =
      settings::read("[router]\nconfig = \"c.json\"\n", "a.toml", "", minimal_findings);
  EXPECT_TRUE(minimal_findings.is_ok());
  EXPECT_FALSE(minimal.membership || minimal.signed_url || minimal.xds)
      << "absent sections leave their subsystems disabled";
}

TEST(SettingsTest, ReportsLineAndNearestKeyWhenInvalid) {
  struct Case {
    std::string original, replacement, code, expected_text;
    std::uint32_t line;
  };
  const Case cases[] = {
      {"settle =", "setle =", "F004", "did you mean settle?", 13},
      {"\"50 ms\"", "50", "F003", "with its unit", 13},
      {"\"50 ms\"", "\"50 s\"", "F003", "out of bounds", 13},
      {"\"50 ms\"", "\"50 msec\"", "F003", "with its unit", 13},
      {"[xds]", "[xdss]", "F004", "did you mean xds?", 26},
      {"\"both\"", "\"bothh\"", "F003", "did you mean 'both'?", 10},
      {"\"127.0.0.1:8480\"", "\"localhost\"", "S002", "not a valid address", 17},
      {"\"a secret of some length\"", "\"short\"", "S002", "16 characters", 21},
      {"class = \"asset\"", "class = \"aset\"", "S002", "did you mean asset?", 24},
      {"class = \"asset\"", "class = \"plan-accept\"", "S002", "runs at the origin", 24},
      {"prefix = \"/asset/\"", "prefix = \"asset\"", "S002", "slash", 23},
      {"membership = \"debug\"", "membreship = \"debug\"", "F004", "did you mean membership?", 8},
      {"level = \"warning\"", "level = \"wraning\"", "F003", "did you mean 'warning'?", 6},
      {"half_life = \"20 s\"", "half_life = \"2 h\"", "S002", "longest", 14},
      {"[router]\n", "[router\n", "S001", "", 1},
      {"list = \"servers.toml\"\n", "", "F002", "list", 9},
  };
  for (const auto& test : cases) {
    auto text = kGood;
    const auto at = text.find(test.original);
    ASSERT_NE(at, std::string::npos) << test.original;
    text.replace(at, test.original.size(), test.replacement);
    diagnostics::Findings findings;
    auto s = settings::read(text, "a.toml", "", findings);
    settings::resolve(s, config_with_classes(), findings);
    const auto it = std::find_if(findings.list().begin(), findings.list().end(),
                                 [&](auto& finding) { return finding.code == test.code; });
    ASSERT_NE(it, findings.list().end())
        << test.replacement
        << (findings.list().empty() ? "" : diagnostics::to_string(findings.list()[0]));
    const auto message = diagnostics::to_string(*it);
    EXPECT_NE(message.find(test.expected_text), std::string::npos) << message;
    EXPECT_EQ(it->location.line, test.line) << message;
    EXPECT_EQ(message.find("of some length"), std::string::npos)
        << "a message must not contain a secret";
  }
}

/// Collects the lines of a log that uses a fixed clock.
struct RecordedLog {
  std::vector<std::string> lines;
  core::Time now = 1'764'576'000'000'000;
  log::Log log(log::Settings settings) {
    return log::Log(
        std::move(settings), [this](const std::string& line) { lines.push_back(line); },
        [this] { return now; });
  }
};

TEST(LogTest, WritesStableFieldsInBothFormats) {
  RecordedLog recorded;
  auto text = recorded.log({});
  text.record(
      "membership", log::Level::info, "list_taken",
      {{"generation", 7}, {"share", 0.5}, {"ok", true}, {"change", "2 added\nlevel=error"}});
  EXPECT_EQ(recorded.lines.at(0),
            "time=2025-12-01T08:00:00.000000Z level=info subsystem=membership event=list_taken "
            "generation=7 "
            "share=0.5 ok=true change=\"2 added\\nlevel=error\"");
  log::Settings s;
  s.format = log::Format::json;
  auto json = recorded.log(s);
  json.record("membership", log::Level::error, "list_refused",
              {{"reason", "a \"b\"\x01"}, {"n", 3}});
  EXPECT_EQ(recorded.lines.at(1),
            R"({"time":"2025-12-01T08:00:00.000000Z","level":"error","subsystem":"membership",)"
            R"("event":"list_refused","reason":"a \"b\"\u0001","n":3})");
}

TEST(LogTest, LimitsLinesPerKindAndSecondAndCountsTheRest) {
  RecordedLog recorded;
  log::Settings s;
  s.per_second = 3;
  s.levels = {{"membership", log::Level::debug}};
  auto log = recorded.log(s);
  for (int i = 0; i < 10; ++i) log.record("membership", log::Level::debug, "server", {{"i", i}});
  log.record("membership", log::Level::info, "other");
  log.record("signed", log::Level::debug, "hidden");
  EXPECT_EQ(recorded.lines.size(), 4u);
  recorded.now += 1'000'000;
  log.record("membership", log::Level::debug, "server", {{"i", 10}});
  EXPECT_NE(recorded.lines.back().find("i=10 held_back=7"), std::string::npos)
      << recorded.lines.back();
  for (int i = 0; i < 5; ++i) log.record("membership", log::Level::debug, "server");
  log.flush();
  EXPECT_NE(recorded.lines.back().find("held_back=3"), std::string::npos);
}

TEST(LogTest, RedactsSecrets) {
  for (const std::string secret :
       {"/asset/1/0?exp=1&kid=k&sig=SeCrEt", "Authorization: Bearer SeCrEt", "secret=SeCrEt; x",
        "a token=SeCrEt", "SIG=SeCrEt&SIG=SeCrEt"}) {
    const auto out = log::redacted(secret);
    EXPECT_EQ(out.find("SeCrEt"), std::string::npos) << out;
  }
  EXPECT_EQ(log::redacted("/asset/1/0?exp=1&sig=abc&x=1"), "/asset/1/0?exp=1&sig=***&x=1");
  EXPECT_EQ(log::redacted("nothing to hide"), "nothing to hide");
}

}  // namespace
