// The state that outlives the process: whole or not at all, whatever ends the writer or spoils the
// file.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "store/endpoint_state.h"

namespace {

using namespace alderspur;

class Store : public ::testing::Test {
 protected:
  void SetUp() override {
    char name[] = "/tmp/alderspur-store-XXXXXX";
    folder = ::mkdtemp(name);
    path = folder + "/membership.state";
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  static store::EndpointState state(std::uint64_t generation, std::size_t servers) {
    auto list = std::make_shared<endpoints::Snapshot>();
    list->generation = generation;
    list->source = "servers.toml";
    list->taken = 17;
    list->hubs = {"north"};
    list->points = {{"edge-1", 0}};
    for (std::size_t i = 0; i < servers; ++i) {
      endpoints::Listed s;
      s.name = "s-" + std::to_string(i);
      s.id = endpoints::server_id(s.name);
      s.address = "127.0.0.1:" + std::to_string(1 + i % 60000);
      s.weight = 1 + static_cast<double>(i % 7);
      list->servers.push_back(s);
    }
    list->seal();
    return {list, {{endpoints::server_id("s-1"), 5, 2.5, 900, 6, true}}, 99};
  }
  static std::string bytes(const std::string& of) {
    std::ifstream in(of, std::ios::binary);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
  }
  std::string folder, path;
};

TEST_F(Store, WhatWasSavedComesBack) {
  EXPECT_TRUE(store::load_endpoint_state(path).is_absent);
  const auto saved = state(3, 1000);
  ASSERT_FALSE(store::save_endpoint_state(path, saved));
  const auto back = store::load_endpoint_state(path);
  ASSERT_TRUE(back.state) << to_string(*back.error);
  EXPECT_EQ(back.state->list->digest, saved.list->digest);
  EXPECT_EQ(back.state->list->generation, 3u);
  EXPECT_EQ(back.state->saved_at, 99);
  ASSERT_EQ(back.state->remembered.size(), 1u);
  EXPECT_EQ(back.state->remembered[0].born, 5);
  EXPECT_TRUE(back.state->remembered[0].held);
  EXPECT_TRUE(endpoints::difference(saved.list.get(), *back.state->list).empty());
}

// Kill -9 at each step of the write: the old content is there or the new one, and the next write
// goes well.
TEST_F(Store, AKillAtAnyStepLeavesTheOldOrTheNew) {
  ASSERT_FALSE(store::save_endpoint_state(path, state(1, 50)));
  std::uint64_t before = 1, next = 2;
  for (const auto at :
       {store::WriteStep::opened, store::WriteStep::half_written, store::WriteStep::written,
        store::WriteStep::synced, store::WriteStep::renamed, store::WriteStep::directory_synced}) {
    const pid_t child = ::fork();
    if (child == 0) {
      store::save_endpoint_state(path, state(next, 50 + next), [&](store::WriteStep s) {
        if (s == at) ::kill(::getpid(), SIGKILL);
      });
      ::_exit(0);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    ASSERT_TRUE(WIFSIGNALED(status));
    const auto back = store::load_endpoint_state(path);
    ASSERT_TRUE(back.state) << to_string(*back.error);
    EXPECT_EQ(back.state->list->generation, at < store::WriteStep::renamed ? before : next);
    before = back.state->list->generation;
    ++next;
  }
  ASSERT_FALSE(store::save_endpoint_state(path, state(100, 10)));
  EXPECT_EQ(store::load_endpoint_state(path).state->list->generation, 100u);
}

TEST_F(Store, ASpoiltFileIsRefusedAndSaysSo) {
  ASSERT_FALSE(store::save_endpoint_state(path, state(1, 20)));
  const auto good = bytes(path);
  const auto refused = [&](const std::string& content) {
    std::ofstream(path, std::ios::binary) << content;
    const auto back = store::load_endpoint_state(path);
    return !back.state && !back.is_absent && back.error.has_value();
  };
  for (std::size_t n = 0; n < good.size(); n += 7) EXPECT_TRUE(refused(good.substr(0, n))) << n;
  for (std::size_t i = 0; i < good.size(); ++i) {
    auto flipped = good;
    flipped[i] = static_cast<char>(flipped[i] ^ 0x20);
    EXPECT_TRUE(refused(flipped)) << i;
  }
  EXPECT_TRUE(refused(good + "x"));
  // A right checksum over wrong content: the verifier and the list's own bounds hold it back.
  const auto payload = good.substr(24);
  for (std::size_t i = 0; i < payload.size(); i += 3) {
    auto wrong = payload;
    wrong[i] = static_cast<char>(wrong[i] ^ 0x41);

    (void)store::decode_endpoint_state(wrong);  // no crash, no overrun
  }
  ASSERT_FALSE(store::replace_file(path, "no buffer at all"));
  EXPECT_FALSE(store::load_endpoint_state(path).state);
  EXPECT_TRUE(store::save_endpoint_state(folder + "/absent/x", state(1, 1)));
}

}  // namespace
