// The coordinator's start, and changes of bans through it.
#include "hot_restart/coordinator.h"

#include <ev.h>
#include <unistd.h>

#include <cstring>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "edge_router/edge_router.h"
#include "hot_restart/shared_directory_fixture.h"
#include "net/loop.h"

namespace alderspur::hot_restart {
namespace {

struct HotRestartCoordinatorTest : SharedDirectoryTest {
  std::unique_ptr<HotRestartCoordinator> start(const std::string& in_directory) {
    HotRestartCoordinator::Callbacks callbacks;
    callbacks.measure_load = [] { return HotRestartCoordinator::Load{}; };
    callbacks.on_ban_changed = [this](const BanChange& change) {
      reported_bans.push_back(change.server);
    };
    callbacks.on_peers_changed = [](const PeerSummary&, double) {};
    return std::make_unique<HotRestartCoordinator>(
        loop, deadlines, net::unix_now, in_directory, kTestKey,
        [](const std::string&, const std::string&) {}, std::move(callbacks));
  }

  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  std::vector<std::string> reported_bans;
};

// Guards against requests sent before the bans are known, and against reporting a ban as saved that
// is on no disk.
TEST_F(HotRestartCoordinatorTest, KnowsBansAtStartAndReportsChangesThatAreNotSaved) {
  ASSERT_FALSE(process().change_ban({}, {"s-1", true}).error);
  EXPECT_TRUE(start(directory)->is_banned("s-1"));
  EXPECT_EQ(reported_bans, std::vector<std::string>{"s-1"});
  const auto without_disk = start(directory + "/none");
  bool is_finished = false;
  std::optional<SharedDirectoryError> error;
  without_disk->change_ban({"s-2", true}, [&](const auto& result) {
    is_finished = true;
    error = result;
  });
  for (int i = 0; i < 5000 && !is_finished; ++i) {
    ev_run(loop.raw(), EVRUN_NOWAIT);
    ::usleep(1000);
  }
  ASSERT_TRUE(is_finished);
  EXPECT_TRUE(error);
  EXPECT_TRUE(without_disk->is_banned("s-2")) << "the ban is in effect all the same";
}

// The coordinator's first callback comes while the router is still under construction. Guards
// against use of members that are not initialized yet: the outcome would depend on what the memory
// held before.
TEST_F(HotRestartCoordinatorTest, EdgeRouterStartsWhateverItsMemoryHeldBefore) {
  const std::string file = directory + "/config.json";
  std::ofstream(file) << R"({"listen":"127.0.0.1:0","settings":{"azs":["edge"],"zone":0,
      "classes":[{"name":"asset","target":5000000,"points":1,"repeat":"safe"}]}})";
  auto config = config::read_file(file);
  config.operators_address = "127.0.0.1:0";
  config.shared_directory = directory;
  std::size_t room = sizeof(edge_router::EdgeRouter) + alignof(edge_router::EdgeRouter);
  std::vector<std::byte> memory(room);
  void* address = memory.data();
  std::memset(address, 0xff, room);
  ASSERT_TRUE(
      std::align(alignof(edge_router::EdgeRouter), sizeof(edge_router::EdgeRouter), address, room));
  auto* router = new (address)
      edge_router::EdgeRouter(std::move(config), [](const std::string&, const std::string&) {});
  router->turn();
  router->~EdgeRouter();
}

}  // namespace
}  // namespace alderspur::hot_restart
