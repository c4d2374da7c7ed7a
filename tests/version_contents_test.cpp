// Tests how the contents of versions are checked and written by a busy worker.
#include "control/version_contents.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>

#include "config/config.h"
#include "consensus/node_events.h"

namespace {

using namespace alderspur;
using control::VersionContents;

class VersionContentsTest : public ::testing::Test {
 protected:
  VersionContentsTest() {
    char name[] = "/tmp/alderspur-contents-XXXXXX";
    folder = ::mkdtemp(name);
    control::VersionFiles files;
    files.routes_path = folder + "/main.alder";
    contents = std::make_unique<VersionContents>(std::move(files), folder, config, wakeup, log);
  }
  ~VersionContentsTest() override {
    contents.reset();
    std::filesystem::remove_all(folder);
  }
  static consensus::ContentPtr content_of(const std::string& document, const std::string& text) {
    return std::make_shared<consensus::Content>(consensus::Content{{document, text}});
  }
  /// Returns a list with one server in this state.
  static std::string list_with(const std::string& state) {
    return "format = 1\ngeneration = 3\nservers = 1\n[[hub]]\nname = \"h\"\n[[point]]\n"
           "name = \"p\"\nhub = \"h\"\n[[server]]\nid = \"a\"\nrole = \"cache\"\npoint = \"p\"\n"
           "address = \"127.0.0.1:4000\"\nweight = 1.0\nstate = \"" +
           state + "\"\ncell = 0\n";
  }
  std::string written_routes() const {
    std::ifstream file(folder + "/main.alder");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  bool run_until(const std::function<bool()>& condition) {
    for (int round = 0; round < 10'000 && !condition(); ++round) {
      ev_run(loop.raw(), EVRUN_NOWAIT);
      ::usleep(1000);
    }
    return condition();
  }

  std::string folder;
  config::Config config;
  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  net::Wakeup wakeup{loop};
  std::vector<std::string> lines;
  log::Log log{{}, [this](const std::string& line) { lines.push_back(line); }};
  std::unique_ptr<VersionContents> contents;
};

// Guards against a version that is active but never written, because the worker had too many checks
// waiting at that moment.
TEST_F(VersionContentsTest, WritesTheActiveVersionAlthoughTheWorkerWasFull) {
  const auto unchecked = content_of("routes", "not a program");
  std::size_t checked = 0;
  for (std::size_t i = 0; i < 4 * file_watch::Worker::kMaxWaitingJobs; ++i) {
    contents->check({"digest", unchecked}, [&](const auto&) { ++checked; });
  }
  consensus::ActiveVersion active;
  active.content = content_of("routes", "the routes of the active version");
  contents->write_files(active);
  EXPECT_TRUE(run_until([&] { return written_routes() == "the routes of the active version"; }))
      << "after " << checked << " checks";
}

// Guards against a list that is refused because it has the generation of the one written just
// before it, so that a router acts on an old list with a lease on the new version (review/8).
TEST_F(VersionContentsTest, GivesEachWrittenListAGenerationOfItsOwn) {
  control::VersionFiles files;
  files.servers_path = folder + "/servers.toml";
  files.list_generation = [] { return std::uint64_t{5}; };  // no written list has been read yet
  std::vector<std::string> written;
  files.on_written = [&] {
    std::ifstream file(folder + "/servers.toml");
    written.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
  };
  contents = std::make_unique<VersionContents>(std::move(files), folder, config, wakeup, log);
  consensus::ActiveVersion active;
  for (const char* state : {"in_service", "draining"}) {
    active.content = content_of("servers", list_with(state));
    contents->write_files(active);
  }
  ASSERT_TRUE(run_until([&] { return written.size() == 2; }));
  EXPECT_NE(written[0].find("generation = 6"), std::string::npos) << written[0];
  EXPECT_NE(written[1].find("generation = 7"), std::string::npos) << written[1];
}

}  // namespace
