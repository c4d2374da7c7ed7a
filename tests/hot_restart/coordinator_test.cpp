// Tests how the coordinator starts and how it saves changes of bans.
#include "hot_restart/coordinator.h"

#include <ev.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/router_admin_handler.h"
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
        [this](const std::string& kind, const std::string&) { logged_kinds.push_back(kind); },
        std::move(callbacks));
  }
  /// Runs the loop until the condition is true. Returns false if it is not true after five seconds.
  bool run_until(const std::function<bool()>& condition) {
    for (int round = 0; round < 5000 && !condition(); ++round) {
      ev_run(loop.raw(), EVRUN_NOWAIT);
      ::usleep(1000);
    }
    return condition();
  }

  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  std::vector<std::string> reported_bans;
  std::vector<std::string> logged_kinds;
};

// Guards against requests that are sent before the bans have been read, and against a ban that is
// reported as saved although it is not stored on the disk.
TEST_F(HotRestartCoordinatorTest, ReadsBansAtStartAndReportsChangesThatAreNotSaved) {
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
  ASSERT_TRUE(run_until([&] { return is_finished; }));
  EXPECT_TRUE(error);
  EXPECT_TRUE(without_disk->is_banned("s-2")) << "the ban is in effect even if it is not saved";
}

// Guards against a poll that restores bans and thereby hides that the status could not be
// published: the next poll then logged the same problem as if it were new.
TEST_F(HotRestartCoordinatorTest, LogsALastingProblemOnceWhenBansAreRestored) {
  std::vector<SharedDirectory> others;
  for (int slot = 0; slot < 4; ++slot) {  // claims all slots
    others.push_back(process());
    ASSERT_FALSE(others.back().claim_slot());
  }
  const auto coordinator = start(directory);
  bool is_saved = false;
  coordinator->change_ban({"s-1", true}, [&](const auto& error) { is_saved = !error; });
  ASSERT_TRUE(run_until([&] { return is_saved; }));
  std::filesystem::remove(path_of(".bans.a"));
  std::filesystem::remove(path_of(".bans.b"));
  coordinator->start_serving();  // starts a poll
  ASSERT_TRUE(run_until([&] { return process().read_bans().list.serial > 0; }));
  for (int i = 0; i < 3; ++i) {
    run_until([end = net::unix_now() + 50'000] { return net::unix_now() >= end; });
    coordinator->start_draining();  // starts another poll
  }
  run_until([end = net::unix_now() + 50'000] { return net::unix_now() >= end; });
  EXPECT_EQ(std::count(logged_kinds.begin(), logged_kinds.end(), "shared_folder"), 1);
}

// Guards against successful polls that reset the record of the last problem, so that a save that
// keeps failing is logged as a new problem at each retry.
TEST_F(HotRestartCoordinatorTest, LogsASaveThatKeepsFailingOnceWhilePollsSucceed) {
  std::filesystem::create_directory(path_of(".lock"));  // cannot be locked as a file
  const auto coordinator = start(directory);
  bool is_finished = false;
  coordinator->change_ban({"s-1", true}, [&](const auto&) { is_finished = true; });
  ASSERT_TRUE(run_until([&] { return is_finished; }));
  for (int i = 0; i < 5; ++i) {
    coordinator->start_draining();  // starts a poll and retries the save
    run_until([end = net::unix_now() + 50'000] { return net::unix_now() >= end; });
  }
  EXPECT_EQ(std::count(logged_kinds.begin(), logged_kinds.end(), "shared_folder"), 1);
  EXPECT_FALSE(coordinator->is_saved("s-1"));
  std::filesystem::remove(path_of(".lock"));
  coordinator->start_draining();
  EXPECT_TRUE(run_until([&] { return coordinator->is_saved("s-1"); }));
}

// Guards against a ban that a process confirms because it is in effect as far as it knows, although
// another process of the router has lifted it since.
TEST_F(HotRestartCoordinatorTest, ConfirmsABanOnlyIfTheDiskHoldsIt) {
  const auto old_process = start(directory);
  const auto new_process = start(directory);
  int saved = 0;
  const auto count_saved = [&](const auto& error) { saved += !error; };
  old_process->change_ban({"s-1", true}, count_saved);
  ASSERT_TRUE(run_until([&] { return saved == 1; }));
  new_process->start_serving();  // starts a poll
  ASSERT_TRUE(run_until([&] { return new_process->is_banned("s-1"); }));
  old_process->change_ban({"s-1", false}, count_saved);
  ASSERT_TRUE(run_until([&] { return saved == 2; }));
  ASSERT_TRUE(new_process->is_banned("s-1")) << "it has not polled since";

  core::Engine engine({}, 1, deadlines, net::unix_now);
  admin::RouterAdminHandler handler(deadlines, engine, *new_process, {},
                                    {[] { return false; }, [](std::string_view) { return true; }});
  for (const bool is_banned : {true, false}) {
    int status = 0;
    handler.change_ban("s-1", is_banned,
                       [&](const admin::HttpReply& reply) { status = reply.status; });
    ASSERT_TRUE(run_until([&] { return status != 0; }));
    EXPECT_EQ(status, 200);
    EXPECT_EQ(process().read_bans().list.servers.contains("s-1"), is_banned);
    new_process->start_draining();  // starts a poll
    run_until([end = net::unix_now() + 50'000] { return net::unix_now() >= end; });
    EXPECT_EQ(new_process->is_banned("s-1"), is_banned);
  }
}

// Guards against a yes for a ban that another router rejects shortly after it was sent.
TEST_F(HotRestartCoordinatorTest, SaysNoWhenAnotherRouterRejectsTheBanBeforeTheReply) {
  const auto coordinator = start(directory);
  core::Engine engine({}, 1, deadlines, net::unix_now);
  admin::RouterAdminHandler handler(deadlines, engine, *coordinator, {},
                                    {[] { return false; }, [](std::string_view) { return true; }});
  const core::Time rejected_at = net::unix_now() + 50'000;
  handler.set_ban_replication([&](const std::string& server) {
    const bool is_rejected = server == "s-1" && net::unix_now() >= rejected_at;
    return is_rejected ? admin::BanReplication::rejected : admin::BanReplication::replicated;
  });
  int rejected_status = 0;
  int accepted_status = 0;
  handler.change_ban("s-1", true, [&](const auto& reply) { rejected_status = reply.status; });
  handler.change_ban("s-2", true, [&](const auto& reply) { accepted_status = reply.status; });
  ASSERT_TRUE(run_until([&] {
    deadlines.run_due(net::unix_now());
    return rejected_status != 0 && accepted_status != 0;
  }));
  EXPECT_EQ(rejected_status, 503);
  EXPECT_EQ(accepted_status, 200);
}

// A repeated change is confirmed without another write.
TEST_F(HotRestartCoordinatorTest, WritesNothingWhenTheDiskHoldsTheBanAlready) {
  auto first = process();
  const auto bans = first.change_ban({}, {"s-1", true}).list;
  EXPECT_EQ(first.change_ban({}, {"s-1", true}).list, bans);
  EXPECT_EQ(first.change_ban(bans, {"s-2", false}).list, bans);
  std::filesystem::remove(path_of(".bans.a"));
  std::filesystem::remove(path_of(".bans.b"));
  EXPECT_EQ(first.change_ban(bans, {"s-1", true}).list.servers, bans.servers);
  EXPECT_EQ(process().read_bans().list.servers, bans.servers) << "the disk had lost the list";
}

// The coordinator calls its first callback while the router is still being constructed. Guards
// against the use of members that are not initialized yet, which would make the result depend on
// the previous content of the memory.
TEST_F(HotRestartCoordinatorTest, EdgeRouterStartsInMemoryThatIsNotZeroed) {
  const std::string file = directory + "/config.json";
  std::ofstream(file) << R"({"listen":"127.0.0.1:0","settings":{"azs":["edge"],"zone":0,
      "classes":[{"name":"asset","target":5000000,"points":1,"repeat":"safe"}]}})";
  auto config = config::read_file(file);
  config.operators_address = "127.0.0.1:0";
  config.shared_directory = directory;
  std::size_t size = sizeof(edge_router::EdgeRouter) + alignof(edge_router::EdgeRouter);
  std::vector<std::byte> memory(size);
  void* address = memory.data();
  std::memset(address, 0xff, size);
  ASSERT_TRUE(
      std::align(alignof(edge_router::EdgeRouter), sizeof(edge_router::EdgeRouter), address, size));
  auto* router = new (address)
      edge_router::EdgeRouter(std::move(config), [](const std::string&, const std::string&) {});
  router->turn();
  router->~EdgeRouter();
}

}  // namespace
}  // namespace alderspur::hot_restart
