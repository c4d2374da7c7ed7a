// Tests the channels between members over loopback sockets.
#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster_transport/transport.h"
#include "net/address.h"
#include "net/loop.h"

namespace {

using namespace alderspur;
using cluster_transport::ClusterTransport;

class ChannelTest : public ::testing::Test {
 protected:
  std::unique_ptr<ClusterTransport> start(const std::string& name, const std::string& seed) {
    cluster_transport::TransportSettings settings;
    settings.cluster = "test";
    settings.secret = "a secret of the tests";
    settings.listen = "127.0.0.1:0";
    if (!seed.empty()) settings.seeds = {seed};
    ClusterTransport::Hooks hooks;
    hooks.on_member_changed = [](const auto&) {};
    hooks.on_name_conflict = [](const auto&) {};
    hooks.on_superseded = [](const auto&) {};
    hooks.on_dropped = [](const char* kind, const std::string&) { FAIL() << kind; };
    hooks.on_frame = [this](const std::string&, std::string_view frame) {
      received.emplace_back(frame);
    };
    cluster::Identity self;
    self.name = name;
    self.epoch = 1;
    return std::make_unique<ClusterTransport>(loop, deadlines, net::unix_now, settings, self,
                                              name.size(), std::move(hooks));
  }
  /// Runs both members until the condition is true. Returns false if it is not true within 5 s.
  bool run_until(const std::function<bool()>& condition) {
    for (const core::Time end = net::unix_now() + 5'000'000; net::unix_now() < end;) {
      ev_run(loop.raw(), EVRUN_NOWAIT);
      deadlines.run_due(net::unix_now());
      first->end_turn();
      second->end_turn();
      if (condition()) return true;
      ::usleep(200);
    }
    return false;
  }

  core::Deadlines deadlines;
  net::Loop loop{deadlines};
  std::unique_ptr<ClusterTransport> first;
  std::unique_ptr<ClusterTransport> second;
  std::vector<std::string> received;
};

// Guards against frames that arrive together and are not read until the next data arrives: only two
// were read in a turn, and the others stayed in the read buffer.
TEST_F(ChannelTest, ReadsAllFramesThatArriveTogether) {
  first = start("a", {});
  second = start("bb", net::to_string(first->address()));
  ASSERT_TRUE(run_until([&] { return first->membership().find("bb") != nullptr; }));
  first->send_frame("bb", "first");
  ASSERT_TRUE(run_until([&] { return received.size() == 1; })) << "the channel is open";
  constexpr std::size_t kFrames = 50;
  std::vector<std::string> sent{"first"};
  for (std::size_t i = 0; i < kFrames; ++i) {
    sent.push_back("frame " + std::to_string(i));
    first->send_frame("bb", sent.back());
  }
  EXPECT_TRUE(run_until([&] { return received.size() == sent.size(); })) << received.size();
  EXPECT_EQ(received, sent);
}

}  // namespace
