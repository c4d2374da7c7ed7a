// Tests that mangled consensus messages, commands and snapshots are rejected and never decoded in
// part.
#include <gtest/gtest.h>

#include <fstream>
#include <set>

#include "consensus/applied_state.h"
#include "consensus/messages.h"
#include "support/mangled_frames.h"
#include "support/test_data.h"

namespace alderspur::consensus {
namespace {

Version some_version() {
  Version version;
  version.number = 2;
  version.digest = "xxh3:0000000000000001";
  version.base_number = 1;
  version.content_size = 32;
  version.author = "r2";
  version.note = "on trial";
  version.canary = {{"r2", "r3"}, 60'000'000, 0.25, true};
  return version;
}

// Returns one message of each kind.
std::vector<Message> all_messages() {
  LeaseGrant grant;
  grant.current = some_version();
  grant.pending = some_version();
  grant.voters = {"r1", "r2"};
  VersionResponse versions;
  versions.current = some_version();
  versions.accepted = some_version();
  ProposeRequest proposal;
  proposal.version = some_version();
  proposal.voters = {"r1"};
  return {RaftFrame{"bytes"}, LeaseRequest{}, grant,       Redirect{"r1"},
          FetchRequest{},     ContentChunk{}, proposal,    LogStatus{},
          VersionQuery{},     versions,       RenewHint{}, CanaryDecision{},
          ProposeResponse{}};
}

// Guards against messages that are decoded in part, and against elements of a wrong type that are
// treated as empty.
TEST(MangledMessages, MessagesAreNotDecoded) {
  std::set<std::size_t> kinds;
  for (const auto& message : all_messages()) {
    kinds.insert(message.index());
    const auto bytes = encode(message);
    ASSERT_TRUE(decode_message(bytes)) << message.index();
    for (const auto& copy : mangled::unacceptable_copies(bytes)) {
      ASSERT_FALSE(decode_message(copy)) << message.index() << " " << test_data::to_hex(copy);
    }
  }
  EXPECT_EQ(kinds.size(), std::variant_size_v<Message>);
}

TEST(MangledMessages, CommandsAreNotDecoded) {
  const std::vector<Command> commands = {OfferVersion{1, some_version()},
                                         AcceptVersion{2},
                                         ActivateVersion{2},
                                         WithdrawVersion{2, "rejected"},
                                         ChangeVoters{3, {"r1", "r2"}},
                                         PromoteCanary{4, 2},
                                         RollBackCanary{5, 2, "harm"}};
  for (const auto& command : commands) {
    const auto bytes = encode(command);
    ASSERT_TRUE(decode_command(bytes)) << command.index();
    for (const auto& copy : mangled::unacceptable_copies(bytes)) {
      ASSERT_FALSE(decode_command(copy)) << command.index() << " " << test_data::to_hex(copy);
    }
  }
}

// A snapshot that cannot be decoded must leave the state unchanged.
TEST(MangledMessages, SnapshotsDoNotChangeTheState) {
  std::ifstream file(test_data::path("consensus/applied_state.bin"), std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  AppliedState state;
  ASSERT_TRUE(state.restore(bytes));
  for (const auto& copy : mangled::unacceptable_copies(bytes)) {
    ASSERT_FALSE(state.restore(copy)) << test_data::to_hex(copy);
    ASSERT_EQ(state.snapshot(), bytes);
  }
}

}  // namespace
}  // namespace alderspur::consensus
