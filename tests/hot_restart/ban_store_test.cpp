// Tests which bans are in effect in one process for any order of changes, saves and reads.
#include "hot_restart/ban_store.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>

namespace alderspur::hot_restart {
namespace {

TEST(BanStore, KeepsAChangeInEffectWhenAnOlderListIsRead) {
  BanStore store;
  store.on_list_read({3, {"a"}});
  ASSERT_EQ(store.take_effective_changes().size(), 1U);
  store.begin_change({"b", true});
  EXPECT_TRUE(store.is_banned("b"));
  store.on_list_read({4, {"a", "c"}});  // another process has saved its change first
  EXPECT_TRUE(store.is_banned("b"));
  EXPECT_TRUE(store.is_banned("c"));
  store.on_saved({5, {"a", "b", "c"}});
  store.on_list_read({4, {}});  // a list that was read earlier and is delivered late
  EXPECT_TRUE(store.is_banned("a") && store.is_banned("b") && store.is_banned("c"));
  EXPECT_EQ(store.take_effective_changes().size(), 2U);
  store.begin_change({"a", false});
  EXPECT_FALSE(store.is_banned("a"));
  store.on_save_failed();
  EXPECT_FALSE(store.is_banned("a"));
  EXPECT_FALSE(store.is_saved("a"));
  EXPECT_EQ(store.retry_failed_changes().size(), 1U);
  store.on_saved({6, {"b", "c"}});
  EXPECT_TRUE(store.is_saved("a"));
}

// A BanStore and a simulated disk whose saves finish in the order in which they began.
struct SimulatedStore {
  void begin_change(const std::string& server, bool is_banned) {
    if (!store.has_room_for({server, is_banned})) return;
    last_requested[server] = is_banned;
    store.begin_change({server, is_banned});
    saves.push_back({server, is_banned});
  }
  void finish_save(bool succeeds) {
    if (saves.empty()) return;
    if (succeeds) {
      apply_change(saves.front(), disk.servers);
      ++disk.serial;
      store.on_saved(disk);
    } else {
      store.on_save_failed();
    }
    saves.pop_front();
  }

  BanStore store;
  BanList disk;
  std::deque<BanChange> saves;
  std::map<std::string, bool> last_requested;
};

// For any order of changes, failing saves and reads, the change of a server that was requested last
// stays in effect until a newer list that includes it has a different state.
TEST(BanStore, KeepsTheLastChangeOfAServerInEffectInAnyOrderOfEvents) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    SimulatedStore simulated;
    for (int step = 0; step < 200; ++step) {
      const std::string server(1, static_cast<char>('a' + random() % 4));
      switch (random() % 4) {
        case 0:
          simulated.begin_change(server, random() % 2 == 0);
          break;
        case 1:
          simulated.finish_save(random() % 3 != 0);
          break;
        case 2:
          simulated.store.on_list_read(simulated.disk);
          break;
        default:
          for (const auto& change : simulated.store.retry_failed_changes()) {
            simulated.saves.push_back(change);
          }
      }
      for (const auto& [name, is_banned] : simulated.last_requested) {
        ASSERT_EQ(simulated.store.is_banned(name), is_banned)
            << "seed " << seed << " step " << step;
      }
    }
  }
}

}  // namespace
}  // namespace alderspur::hot_restart
