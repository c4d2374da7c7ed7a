// Tests the endpoint state on disk: it is written atomically, and damaged files are rejected.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "store/endpoint_state.h"
#include "support/build_paths.h"

namespace alderspur::store {
namespace {

constexpr std::size_t kHeaderBytes = 24;

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

EndpointState state_with(std::uint64_t generation, std::size_t server_count) {
  auto list = std::make_shared<endpoints::Snapshot>();
  list->generation = generation;
  list->source = "servers.toml";
  list->read_at = 17;
  list->hubs = {"north"};
  list->points = {{"edge-1", 0}};
  for (std::size_t i = 0; i < server_count; ++i) {
    endpoints::ListedServer server;
    server.name = "s-" + std::to_string(i);
    server.id = endpoints::server_id(server.name);
    server.address = "127.0.0.1:" + std::to_string(1 + i % 60000);
    server.weight = 1 + static_cast<double>(i % 7);
    list->servers.push_back(server);
  }
  list->seal();
  return {list, {{endpoints::server_id("s-1"), 5, 2.5, 900, 6, true}}, 99};
}

struct EndpointStateTest : ::testing::Test {
  EndpointStateTest() {
    std::string name = "/tmp/alderspur-store-XXXXXX";
    directory = ::mkdtemp(name.data());
    path = directory + "/membership.state";
  }
  ~EndpointStateTest() override { std::filesystem::remove_all(directory); }

  /// Reports whether a file with this content is rejected with an error.
  bool is_rejected(const std::string& content) const {
    std::ofstream(path, std::ios::binary) << content;
    const auto loaded = load_endpoint_state(path);
    return !loaded.state && !loaded.is_absent && loaded.error && !to_string(*loaded.error).empty();
  }

  std::string directory;
  std::string path;
};

TEST_F(EndpointStateTest, LoadsWhatWasSaved) {
  EXPECT_TRUE(load_endpoint_state(path).is_absent);
  const auto saved = state_with(3, 1000);
  ASSERT_FALSE(save_endpoint_state(path, saved));
  const auto loaded = load_endpoint_state(path);
  ASSERT_TRUE(loaded.state) << to_string(*loaded.error);
  EXPECT_EQ(loaded.state->list->digest, saved.list->digest);
  EXPECT_EQ(loaded.state->list->generation, 3U);
  EXPECT_EQ(loaded.state->saved_at, 99);
  ASSERT_EQ(loaded.state->remembered.size(), 1U);
  EXPECT_EQ(loaded.state->remembered[0].started_at, 5);
  EXPECT_TRUE(loaded.state->remembered[0].is_suppressed);
  EXPECT_TRUE(endpoints::difference(saved.list.get(), *loaded.state->list).is_empty());
}

// The process is killed with SIGKILL at each step of the write. The file then contains either the
// old or the new state, and the next write succeeds.
TEST_F(EndpointStateTest, KeepsOldOrNewContentWhenKilledAtAnyStep) {
  ASSERT_FALSE(save_endpoint_state(path, state_with(1, 50)));
  std::uint64_t previous = 1;
  std::uint64_t next = 2;
  for (const auto kill_at : {WriteStep::opened, WriteStep::half_written, WriteStep::written,
                             WriteStep::synced, WriteStep::renamed, WriteStep::directory_synced}) {
    const pid_t child = ::fork();
    if (child == 0) {
      (void)save_endpoint_state(path, state_with(next, 50 + next), [&](WriteStep step) {
        if (step == kill_at) ::kill(::getpid(), SIGKILL);
      });
      ::_exit(0);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    ASSERT_TRUE(WIFSIGNALED(status));
    const auto loaded = load_endpoint_state(path);
    ASSERT_TRUE(loaded.state) << to_string(*loaded.error);
    EXPECT_EQ(loaded.state->list->generation, kill_at < WriteStep::renamed ? previous : next);
    previous = loaded.state->list->generation;
    ++next;
  }
  ASSERT_FALSE(save_endpoint_state(path, state_with(100, 10)));
  EXPECT_EQ(load_endpoint_state(path).state->list->generation, 100U);
}

TEST_F(EndpointStateTest, RejectsADamagedFileWithAnError) {
  ASSERT_FALSE(save_endpoint_state(path, state_with(1, 20)));
  const auto intact = read_file(path);
  for (std::size_t size = 0; size < intact.size(); size += 7) {
    EXPECT_TRUE(is_rejected(intact.substr(0, size))) << size;
  }
  for (std::size_t i = 0; i < intact.size(); ++i) {
    auto flipped = intact;
    flipped[i] = static_cast<char>(flipped[i] ^ 0x20);
    EXPECT_TRUE(is_rejected(flipped)) << i;
  }
  EXPECT_TRUE(is_rejected(intact + "x"));
  // The verifier and the checks of a list's bounds reject invalid content whose checksum matches.
  // The decoder must neither crash nor read beyond the payload.
  const auto payload = intact.substr(kHeaderBytes);
  for (std::size_t i = 0; i < payload.size(); i += 3) {
    auto wrong = payload;
    wrong[i] = static_cast<char>(wrong[i] ^ 0x41);
    (void)decode_endpoint_state(wrong);
  }
  ASSERT_FALSE(replace_file(path, "no buffer at all"));
  EXPECT_FALSE(load_endpoint_state(path).state);
  EXPECT_TRUE(save_endpoint_state(directory + "/absent/x", state_with(1, 1)));
}

// tests/data/store contains a state that the version before the renaming of the sources wrote.
std::string stored_state_path() {
  return std::string(test_paths::kTestData) + "/store/membership.state";
}

void expect_server(const endpoints::Snapshot& list, const endpoints::ListedServer& expected) {
  const auto* server = list.find(endpoints::server_id(expected.name));
  ASSERT_TRUE(server) << expected.name;
  EXPECT_EQ(server->name, expected.name);
  EXPECT_EQ(server->address, expected.address) << expected.name;
  EXPECT_EQ(server->role, expected.role) << expected.name;
  EXPECT_EQ(server->location_index, expected.location_index) << expected.name;
  EXPECT_EQ(server->state, expected.state) << expected.name;
  EXPECT_EQ(server->cell, expected.cell) << expected.name;
  EXPECT_EQ(server->weight, expected.weight) << expected.name;
}

TEST(StoredEndpointState, IsReadWhenWrittenBeforeTheRename) {
  const auto loaded = load_endpoint_state(stored_state_path());
  ASSERT_TRUE(loaded.state) << to_string(*loaded.error);
  EXPECT_EQ(loaded.state->saved_at, 1'764'000'001'000'000);
  const auto& list = *loaded.state->list;
  EXPECT_EQ(list.generation, 12U);
  EXPECT_EQ(list.source, "/etc/alderspur/servers.toml");
  EXPECT_EQ(list.read_at, 1'764'000'000'000'000);
  EXPECT_EQ(list.digest, 14532761151297823349U);
  EXPECT_EQ(list.hubs, std::vector<std::string>{"north"});
  EXPECT_EQ(list.points, (std::vector<endpoints::Point>{{"edge-1", 0}, {"edge-2", 0}}));
  ASSERT_EQ(list.servers.size(), 4U);
  using endpoints::ServerState;
  expect_server(list,
                {{}, "cache-a", "127.0.0.1:4201", Role::cache, 0, ServerState::in_service, 0, 4});
  expect_server(list,
                {{}, "cache-b", "127.0.0.1:4202", Role::cache, 1, ServerState::draining, 3, 2.5});
  expect_server(list,
                {{}, "parent-a", "127.0.0.1:4301", Role::parent, 0, ServerState::in_service, 0, 8});
  expect_server(
      list, {{}, "origin-a", "127.0.0.1:4401", Role::origin, 0, ServerState::in_service, 1, 10});
  EXPECT_EQ(list.find({11068878732441099195U}), list.find(endpoints::server_id("cache-a")));
}

TEST(StoredEndpointState, KeepsRememberedServersFromBeforeTheRename) {
  const auto loaded = load_endpoint_state(stored_state_path());
  ASSERT_TRUE(loaded.state) << to_string(*loaded.error);
  const auto& remembered = loaded.state->remembered;
  ASSERT_EQ(remembered.size(), 2U);
  EXPECT_EQ(remembered[0].id, endpoints::server_id("cache-a"));
  EXPECT_EQ(remembered[0].started_at, 1'763'999'000'000'000);
  EXPECT_EQ(remembered[0].weight, 2.5);
  EXPECT_EQ(remembered[0].penalty, 1750.5);
  EXPECT_EQ(remembered[0].penalty_at, 1'763'999'900'000'000);
  EXPECT_TRUE(remembered[0].is_suppressed);
  EXPECT_EQ(remembered[1].id, endpoints::server_id("cache-b"));
  EXPECT_EQ(remembered[1].started_at, 0);
  EXPECT_EQ(remembered[1].weight, 0);
  EXPECT_EQ(remembered[1].penalty, 300.25);
  EXPECT_EQ(remembered[1].penalty_at, 1'763'999'950'000'000);
  EXPECT_FALSE(remembered[1].is_suppressed);
}

TEST(StoredEndpointState, IsWrittenWithTheSameBytesAsBeforeTheRename) {
  const auto loaded = load_endpoint_state(stored_state_path());
  ASSERT_TRUE(loaded.state) << to_string(*loaded.error);
  EXPECT_EQ(encode(*loaded.state), read_file(stored_state_path()).substr(kHeaderBytes));
}

}  // namespace
}  // namespace alderspur::store
