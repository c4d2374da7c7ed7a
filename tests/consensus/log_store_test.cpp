// Tests of LogStore with damaged files: a log is either loaded exactly as it was written or not
// used at all.
#include "consensus/log_store.h"

#include <gtest/gtest.h>

#include <filesystem>

#include "consensus/temporary_folder.h"

namespace alderspur::consensus {
namespace {

class LogStoreTest : public ::testing::Test {
 protected:
  // Writes a log with a term, a vote, four entries and a snapshot that covers two of them.
  void write_log() {
    LogStore store(folder().path());
    ASSERT_EQ(store.load().status.message(), "");
    const AppendEntries first_entries{
        1, {{1, 3, "voters"}, {2, 1, std::string(900, 'x')}, {2, 1, "three"}}};
    const Snapshot snapshot{2, 2, {1, {{"a", 1}, {"b", 1}}}, "state"};
    for (const LogWrite& write :
         {LogWrite(SetTerm{2}), LogWrite(SetVote{77}), LogWrite(first_entries),
          LogWrite(SaveSnapshot{snapshot, 1}), LogWrite(AppendEntries{4, {{2, 1, "four"}}})}) {
      ASSERT_EQ(store.apply(write).message(), "");
    }
  }
  // Returns true if the log is the one that write_log() writes.
  static bool is_as_written(const PersistedLog& log) {
    return log.term == 2 && log.vote == 77 && log.first_index == 2 && log.entries.size() == 3 &&
           log.entries[2].data == "four" && log.snapshot && log.snapshot->data == "state" &&
           log.snapshot->configuration.servers.size() == 2;
  }

  const TemporaryFolder& folder() const { return folder_; }

 private:
  TemporaryFolder folder_;
};

TEST_F(LogStoreTest, LoadsTheWrittenLogAndKeepsItsChecksumChainAfterTruncationAtEitherEnd) {
  write_log();
  {
    LogStore store(folder().path());
    const auto loaded = store.load();
    EXPECT_EQ(loaded.status.message(), "");
    EXPECT_TRUE(is_as_written(loaded.log));
    EXPECT_EQ(store.apply(TruncateFrom{4}).message(), "");
    EXPECT_EQ(store.apply(AppendEntries{4, {{3, 1, "other"}, {3, 1, "five"}}}).message(), "");
    EXPECT_EQ(store.apply(SetTerm{9}).message(), "");
  }
  LogStore store(folder().path());
  const auto loaded = store.load();
  EXPECT_EQ(loaded.status.message(), "");
  EXPECT_EQ(loaded.log.last_index(), 5u);
  EXPECT_EQ(loaded.log.vote, 0u) << "a new term clears the vote";
  EXPECT_EQ(store.apply(SaveSnapshot{{9, 3, {}, "all"}, 0}).message(), "");
}

TEST_F(LogStoreTest, DetectsAlteredBytesAndTruncationUnlessTheLoadedLogIsUnchanged) {
  write_log();
  const auto database = folder().read("agree.db");
  const auto mark = folder().read("agree.mark");
  std::size_t detected = 0;
  const auto load_and_check = [&](const std::string& damage) {
    LogStore store(folder().path());
    const auto loaded = store.load();
    if (loaded.status.is_ok()) {
      EXPECT_TRUE(is_as_written(loaded.log)) << damage;
      return;
    }
    ++detected;
    EXPECT_TRUE(loaded.is_corrupt) << damage;
    EXPECT_TRUE(loaded.log.is_empty()) << damage << ": no part of the log may be loaded";
  };
  const auto restore = [&](const std::string& database_bytes) {
    for (const auto& file : std::filesystem::directory_iterator(folder().path())) {
      std::filesystem::remove(file.path());
    }
    folder().write("agree.mark", mark);
    folder().write("agree.db", database_bytes);
  };
  for (std::size_t offset = 0; offset < database.size(); offset += 41) {
    auto damaged = database;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x15);
    restore(damaged);
    load_and_check("byte altered at offset " + std::to_string(offset));
  }
  for (std::size_t size = 0; size < database.size(); size += 1021) {
    restore(database.substr(0, size));
    load_and_check("database truncated to " + std::to_string(size) + " bytes");
  }
  EXPECT_GT(detected, 20u);
  restore(database);
  folder().write("agree.mark", "garbage");
  load_and_check("mark overwritten");
  std::filesystem::remove(folder().path("agree.mark"));
  LogStore store(folder().path());
  EXPECT_TRUE(store.load().is_corrupt) << "the mark does not exist";
}

TEST_F(LogStoreTest, DetectsAnOlderDatabaseAndThenAcceptsOnlyAReset) {
  write_log();
  const auto old_database = folder().read("agree.db");
  {
    LogStore store(folder().path());
    ASSERT_EQ(store.load().status.message(), "");
    ASSERT_EQ(store.apply(SetVote{5}).message(), "");
    ASSERT_EQ(store.apply(SetTerm{8}).message(), "");
  }
  folder().write("agree.db", old_database);
  LogStore store(folder().path());
  EXPECT_TRUE(store.load().is_corrupt);
  EXPECT_NE(store.apply(SetVote{6}).message(), "") << "no other write is accepted before the reset";
  EXPECT_EQ(store.apply(ResetLog{}).message(), "");
  EXPECT_EQ(store.apply(SetTerm{3}).message(), "");
  EXPECT_TRUE(std::filesystem::exists(folder().path("agree.db.bad")));
}

}  // namespace
}  // namespace alderspur::consensus
