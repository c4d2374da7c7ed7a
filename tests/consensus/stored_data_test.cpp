// Tests that files written by an earlier version of the program are read unchanged. The files under
// tests/data/consensus were written before the types that represent them were renamed: a log with a
// snapshot and a vote, the persisted state of a router, a snapshot of the replicated state, and a
// content.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "consensus/applied_state.h"
#include "consensus/log_store.h"
#include "consensus/persisted_state.h"
#include "consensus/temporary_folder.h"
#include "consensus/version.h"
#include "store/state_file.h"
#include "support/build_paths.h"

namespace alderspur::consensus {
namespace {

// Digests of the contents of the two versions in the files.
constexpr const char* kFirstDigest =
    "608c227972934d713807fb14478e01067c64787656e96e4e18a762a9c793e3c3";
constexpr const char* kSecondDigest =
    "22dd70ae0ed7c5faa1592aba9d8b23256761701c6a2605b54582ccf49cc313a5";

std::string data_path(const std::string& name) {
  return std::string(test_paths::kTestData) + "/consensus/" + name;
}

std::string read_data(const std::string& name) {
  std::ifstream file(data_path(name), std::ios::binary);
  EXPECT_TRUE(file) << name;
  return {std::istreambuf_iterator<char>(file), {}};
}

Version first_version() {
  Version version;
  version.number = 1;
  version.digest = kFirstDigest;
  version.base_number = 0;
  version.content_size = 50;
  version.author = "r1";
  version.note = "first";
  return version;
}

Version canary_version() {
  Version version;
  version.number = 2;
  version.digest = kSecondDigest;
  version.base_number = 1;
  version.content_size = 32;
  version.author = "r2";
  version.note = "on trial";
  version.canary = {{"r2", "r3"}, 60'000'000, 0.25, true};
  return version;
}

TEST(StoredData, ReadsContentOfAnEarlierProgramVersion) {
  const auto bytes = read_data("content.bin");
  const auto content = decode_content(bytes);
  ASSERT_TRUE(content);
  const Content expected{{"routes", "route 1\n"}, {"servers", "format = 1\nserver a\n"}};
  EXPECT_EQ(*content, expected);
  EXPECT_EQ(content_digest(bytes), kFirstDigest);
  EXPECT_EQ(encode(*content), bytes);
}

TEST(StoredData, ReadsPersistedStateOfAnEarlierProgramVersion) {
  const auto file = store::load_file(data_path("agree.kept"), 1 << 20);
  ASSERT_TRUE(file.payload) << (file.error ? to_string(*file.error) : "the file does not exist");
  const auto state = decode_persisted_state(*file.payload);
  ASSERT_TRUE(state);
  EXPECT_EQ(state->current, first_version());
  EXPECT_EQ(state->accepted, canary_version());
  EXPECT_EQ(state->voters, (std::vector<std::string>{"r1", "r2", "r3"}));
  EXPECT_EQ(encode(*state), *file.payload);
}

TEST(StoredData, RestoresAppliedStateOfAnEarlierProgramVersion) {
  const auto bytes = read_data("applied_state.bin");
  AppliedState state;
  ASSERT_TRUE(state.restore(bytes));
  EXPECT_EQ(state.current(), first_version());
  EXPECT_EQ(state.accepted(), canary_version());
  EXPECT_FALSE(state.offered());
  ASSERT_TRUE(state.canary());
  EXPECT_EQ(state.canary()->number, 2u);
  EXPECT_EQ(state.voters(), (std::vector<std::string>{"r1", "r2", "r3"}));
  ASSERT_EQ(state.history().size(), 1u);
  EXPECT_EQ(state.history()[0].version, first_version());
  EXPECT_EQ(state.history()[0].outcome, "in force");
  ASSERT_TRUE(state.find_result(22));
  EXPECT_TRUE(state.find_result(22)->is_accepted && state.find_result(22)->is_final);
  EXPECT_EQ(state.find_result(22)->version_number, 2u);
  EXPECT_EQ(state.find_result(22)->reason, "on trial");
  EXPECT_EQ(state.snapshot(), bytes);
}

TEST(StoredData, ReadsLogOfAnEarlierProgramVersion) {
  // The store opens its files for writing, so the test uses copies.
  const TemporaryFolder folder;
  for (const char* name : {"agree.db", "agree.mark"}) {
    std::filesystem::copy_file(data_path(name), folder.path(name));
  }
  LogStore store(folder.path());
  const auto loaded = store.load();
  ASSERT_EQ(loaded.status.message(), "");
  const PersistedLog& log = loaded.log;
  EXPECT_EQ(log.term, 3u);
  EXPECT_EQ(log.vote, 77u);
  ASSERT_TRUE(log.snapshot);
  EXPECT_EQ(log.snapshot->index, 2u);
  EXPECT_EQ(log.snapshot->term, 3u);
  EXPECT_EQ(log.snapshot->data, read_data("applied_state.bin"));
  const auto& configuration = log.snapshot->configuration;
  EXPECT_EQ(configuration.index, 1u);
  ASSERT_EQ(configuration.servers.size(), 3u);
  EXPECT_EQ(configuration.servers[2].name, "r3");
  EXPECT_EQ(configuration.servers[0].role, 1);
  EXPECT_EQ(configuration.servers[2].role, 0);
  EXPECT_EQ(log.first_index, 2u);
  ASSERT_EQ(log.entries.size(), 3u);
  EXPECT_EQ(log.entries[2].term, 3u);
  EXPECT_EQ(log.entries[2].type, 1u);
  EXPECT_EQ(store.apply(AppendEntries{5, {{3, 1, "next"}}}).message(), "");
}

TEST(StoredData, ReadsLoggedCommandsOfAnEarlierProgramVersion) {
  const TemporaryFolder folder;
  for (const char* name : {"agree.db", "agree.mark"}) {
    std::filesystem::copy_file(data_path(name), folder.path(name));
  }
  LogStore store(folder.path());
  const auto loaded = store.load();
  ASSERT_EQ(loaded.log.entries.size(), 3u);
  const auto offer = decode_command(loaded.log.entries[0].data);
  ASSERT_TRUE(offer && std::holds_alternative<OfferVersion>(*offer));
  EXPECT_EQ(std::get<OfferVersion>(*offer).nonce, 22u);
  Version offered = canary_version();
  offered.number = 0;
  EXPECT_EQ(std::get<OfferVersion>(*offer).version, offered);
  const auto acceptance = decode_command(loaded.log.entries[1].data);
  ASSERT_TRUE(acceptance && std::holds_alternative<AcceptVersion>(*acceptance));
  EXPECT_EQ(std::get<AcceptVersion>(*acceptance).number, 2u);
  const auto rollback = decode_command(loaded.log.entries[2].data);
  ASSERT_TRUE(rollback && std::holds_alternative<RollBackCanary>(*rollback));
  EXPECT_EQ(std::get<RollBackCanary>(*rollback).nonce, 31u);
  EXPECT_EQ(std::get<RollBackCanary>(*rollback).number, 2u);
  EXPECT_EQ(std::get<RollBackCanary>(*rollback).reason, "taken back");
}

}  // namespace
}  // namespace alderspur::consensus
