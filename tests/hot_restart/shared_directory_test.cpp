// Tests the directory that the processes of a router share: stored bans, slots and shares.
#include "hot_restart/shared_directory.h"

#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "hot_restart/shared_directory_fixture.h"
#include "support/build_paths.h"

namespace alderspur::hot_restart {
namespace {

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

void write_file(const std::string& path, const std::string& content) {
  std::ofstream(path, std::ios::binary) << content;
}

// The newer of the two files is truncated at each byte, and each of its bytes is changed. The
// previous list can still be read, and a process that has the newer list in memory restores it.
TEST_F(SharedDirectoryTest, KeepsBansWhenTheNewerFileIsDamagedAnywhere) {
  auto first = process();
  ASSERT_FALSE(first.claim_slot());
  ASSERT_FALSE(first.change_ban({}, {"s-1", true}).error);
  ASSERT_FALSE(first.change_ban({}, {"s-2", true}).error);
  const auto bans = first.change_ban({}, {"s-3", true}).list;
  EXPECT_EQ(bans.servers, (std::set<std::string>{"s-1", "s-2", "s-3"}));
  const std::string newer = path_of(bans.serial % 2 ? ".bans.a" : ".bans.b");
  const std::string whole = read_file(newer);
  ASSERT_GT(whole.size(), 30U);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    write_file(newer, whole.substr(0, size));
    const auto truncated = process().read_bans();
    EXPECT_EQ(truncated.list.servers, (std::set<std::string>{"s-1", "s-2"})) << size;
    EXPECT_TRUE(truncated.error) << size;
    std::string flipped = whole;
    flipped[size] = static_cast<char>(flipped[size] ^ 0x20);
    write_file(newer, flipped);
    EXPECT_EQ(process().read_bans().list.servers.size(), 2U) << size;
  }
  EXPECT_FALSE(first.restore_bans(bans));
  EXPECT_EQ(process().read_bans().list, bans);
  std::filesystem::remove(path_of(".bans.a"));
  std::filesystem::remove(path_of(".bans.b"));
  EXPECT_EQ(process().read_bans().list, BanList{});
  EXPECT_FALSE(process().read_bans().error) << "absent files are not an error";
}

TEST_F(SharedDirectoryTest, ReportsErrorsWhenTheDirectoryIsMissing) {
  SharedDirectory missing(directory + "/not-there", kTestKey);
  EXPECT_TRUE(missing.claim_slot());
  EXPECT_TRUE(missing.change_ban({}, {"s-1", true}).error);
  EXPECT_EQ(missing.read_peers().count, 0U);
}

TEST_F(SharedDirectoryTest, FindsAPeerOnlyWhileItHoldsItsLock) {
  auto old_process = process();
  ASSERT_FALSE(old_process.claim_slot());
  EXPECT_EQ(old_process.read_peers().count, 0U);
  {
    auto new_process = process();
    ASSERT_FALSE(new_process.claim_slot());
    EXPECT_EQ(new_process.read_peers().count, 1U);
    EXPECT_FALSE(new_process.read_peers().all_have_found_a_peer);
    ASSERT_FALSE(old_process.publish({ProcessPhase::serving, 1, 0.9, 0, 0}));
    EXPECT_TRUE(new_process.read_peers().all_have_found_a_peer);
    EXPECT_FALSE(old_process.read_peers().has_successor);
    ASSERT_FALSE(new_process.publish({ProcessPhase::serving, 1, 0.1, 0, 0}));
    EXPECT_TRUE(old_process.read_peers().has_successor);
    EXPECT_FALSE(new_process.read_peers().has_successor) << "the older process is not a successor";
  }
  EXPECT_EQ(old_process.read_peers().count, 0U);
  // The record of the process that has ended still contains `serving`, but no process holds its
  // lock.
  std::ofstream(path_of(".place1")) << "garbage";
  auto third_process = process();
  ASSERT_FALSE(third_process.claim_slot());
  EXPECT_EQ(old_process.read_peers().count, 1U);
}

// Three processes raise and lower their shares in random order and publish some of the lower shares
// late. The shares in use never add up to more than 1.
TEST_F(SharedDirectoryTest, KeepsTheSumOfSharesAtOrBelowOne) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<SharedDirectory>> processes;
    std::vector<ProcessStatus> statuses(3);
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      processes.push_back(std::make_unique<SharedDirectory>(directory, "k" + std::to_string(seed)));
      ASSERT_FALSE(processes.back()->claim_slot());
    }
    for (int step = 0; step < 60; ++step) {
      const std::size_t index = random() % 3;
      const double wanted = static_cast<double>(random() % 1001) / 1000;
      if (wanted < statuses[index].share) {
        statuses[index].share = wanted;  // a lower share is in use before it is published
        if (random() % 4) {
          ASSERT_FALSE(processes[index]->publish(statuses[index]));
        }
      } else {
        ASSERT_FALSE(processes[index]->raise_share(statuses[index], wanted));
      }
      EXPECT_LE(statuses[0].share + statuses[1].share + statuses[2].share, 1.002)
          << "seed " << seed << " step " << step;
    }
  }
}

// tests/data/hot_restart contains the files that the version before the renaming of the sources
// wrote for four changes: bans of cache-a, cache-b and cache-c, then the end of cache-a's ban.
struct StoredBansTest : SharedDirectoryTest {
  StoredBansTest() {
    for (const char* suffix : {".bans.a", ".bans.b"}) {
      std::filesystem::copy_file(stored_path(suffix), path_of(suffix));
    }
  }
  static std::string stored_path(const std::string& suffix) {
    return std::string(test_paths::kTestData) + "/hot_restart/alderspur-127.0.0.1-4100" + suffix;
  }
};

TEST_F(StoredBansTest, ReadsBansWrittenBeforeTheRename) {
  const auto newest = process().read_bans();
  EXPECT_FALSE(newest.error);
  EXPECT_EQ(newest.list, (BanList{4, {"cache-b", "cache-c"}}));
  std::filesystem::remove(path_of(".bans.b"));
  const auto older = process().read_bans();
  EXPECT_FALSE(older.error);
  EXPECT_EQ(older.list, (BanList{3, {"cache-a", "cache-b", "cache-c"}}));
}

TEST_F(StoredBansTest, WritesTheSameBytesAsBeforeTheRename) {
  for (const char* suffix : {".bans.a", ".bans.b"}) std::filesystem::remove(path_of(suffix));
  for (const auto& change : {BanChange{"cache-a", true}, BanChange{"cache-b", true},
                             BanChange{"cache-c", true}, BanChange{"cache-a", false}}) {
    ASSERT_FALSE(process().change_ban({}, change).error);
  }
  for (const char* suffix : {".bans.a", ".bans.b"}) {
    EXPECT_EQ(read_file(path_of(suffix)), read_file(stored_path(suffix))) << suffix;
  }
}

}  // namespace
}  // namespace alderspur::hot_restart
