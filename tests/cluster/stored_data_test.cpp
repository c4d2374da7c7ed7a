// Compatibility tests with the version before the identifiers of the code were renamed. The files
// under tests/data/cluster, which that version wrote, must be read with the same result, and
// messages must be encoded to the same bytes.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "cluster/codec.h"
#include "cluster/epoch.h"
#include "cluster/frame_authenticator.h"
#include "support/mangled_frames.h"
#include "support/test_data.h"

namespace {

using alderspur::cluster::EpochError;
using alderspur::cluster::FrameAuthenticator;
using alderspur::cluster::FrameStatus;
using alderspur::cluster::GossipUpdate;
using alderspur::cluster::Identity;
using alderspur::cluster::MemberState;
using alderspur::cluster::Message;

const Identity& first_router() {
  static const Identity identity{"router-1", "10.0.0.1:7100",       "west",
                                 "2.1",      1'700'000'000'000'001, 0.25};
  return identity;
}

const Identity& second_router() {
  static const Identity identity{"router-2", "10.0.0.2:7100",       "east",
                                 "2.0",      1'700'000'000'000'002, 0};
  return identity;
}

// Returns the bytes with this name in messages.txt. Each line has a name and hexadecimal digits.
std::string recorded(const std::string& name) {
  std::ifstream file(test_data::path("cluster/messages.txt"));
  std::string line_name;
  std::string hex;
  while (file >> line_name >> hex) {
    if (line_name == name) return test_data::from_hex(hex);
  }
  return {};
}

void expect_same(const GossipUpdate& update, const GossipUpdate& expected) {
  EXPECT_EQ(update.identity, expected.identity);
  EXPECT_EQ(update.incarnation, expected.incarnation);
  EXPECT_EQ(update.state, expected.state);
  EXPECT_EQ(update.reported_by, expected.reported_by);
}

TEST(StoredData, ContinuesTheEpochWrittenBeforeTheRename) {
  const auto folder = std::filesystem::path(::testing::TempDir()) / "alderspur_epoch_before_rename";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::filesystem::copy_file(test_data::path("cluster/state/epoch"), folder / "epoch");
  // The file contains 1'700'000'000'000'001; the clock has been set back since.
  const auto next = alderspur::cluster::next_epoch(folder.string(), 1'600'000'000'000'000);
  EXPECT_EQ(next.error, EpochError::none) << next.reason;
  EXPECT_EQ(next.epoch, 1'700'000'000'000'002U);
  const auto following = alderspur::cluster::next_epoch(folder.string(), 1'600'000'000'000'000);
  EXPECT_EQ(following.epoch, 1'700'000'000'000'003U);
  std::filesystem::remove_all(folder);
}

TEST(StoredData, DecodesAndEncodesAMessageAsBeforeTheRename) {
  const auto bytes = recorded("message");
  const auto message = alderspur::cluster::decode_message(bytes);
  ASSERT_TRUE(message);
  EXPECT_EQ(message->kind, Message::Kind::ping_request);
  EXPECT_EQ(message->ping_id, 0x0123456789abcdefU);
  EXPECT_EQ(message->sender, first_router());
  EXPECT_EQ(message->sender_incarnation, 3U);
  EXPECT_EQ(message->recipient, "router-2");
  EXPECT_EQ(message->recipient_epoch, 1'700'000'000'000'002U);
  EXPECT_EQ(message->target, "router-3");
  EXPECT_EQ(message->target_address, "10.0.0.3:7100");
  EXPECT_EQ(message->target_epoch, 5U);
  ASSERT_EQ(message->updates.size(), 2U);
  expect_same(message->updates[0], {second_router(), 4, MemberState::suspect, "router-1"});
  expect_same(message->updates[1], {first_router(), 3, MemberState::left, ""});
  EXPECT_EQ(encode(*message), bytes);
}

TEST(StoredData, DecodesAndEncodesASnapshotAsBeforeTheRename) {
  const auto bytes = recorded("picture");
  const auto snapshot = alderspur::cluster::decode_snapshot(bytes);
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->echoed_nonce, 11U);
  EXPECT_EQ(snapshot->own_nonce, 12U);
  ASSERT_EQ(snapshot->members.size(), 2U);
  expect_same(snapshot->members[0], {first_router(), 3, MemberState::alive, ""});
  expect_same(snapshot->members[1], {second_router(), 4, MemberState::failed, "router-1"});
  EXPECT_EQ(encode(*snapshot), bytes);
}

TEST(StoredData, DecodesAndEncodesAHandshakeAsBeforeTheRename) {
  const auto bytes = recorded("hello");
  const auto handshake = alderspur::cluster::decode_handshake(bytes);
  ASSERT_TRUE(handshake);
  EXPECT_EQ(handshake->echoed_nonce, 21U);
  EXPECT_EQ(handshake->epoch, 1'700'000'000'000'001U);
  EXPECT_EQ(handshake->name, "router-1");
  EXPECT_EQ(encode(*handshake), bytes);
}

// Guards against messages of which only a part is decoded, and against elements of a wrong type
// that are decoded as empty.
TEST(StoredData, DecodesNoMangledMessage) {
  for (const auto& copy : mangled::unacceptable_copies(recorded("message"))) {
    ASSERT_FALSE(alderspur::cluster::decode_message(copy)) << test_data::to_hex(copy);
  }
  for (const auto& copy : mangled::unacceptable_copies(recorded("picture"))) {
    ASSERT_FALSE(alderspur::cluster::decode_snapshot(copy)) << test_data::to_hex(copy);
  }
  for (const auto& copy : mangled::unacceptable_copies(recorded("hello"))) {
    ASSERT_FALSE(alderspur::cluster::decode_handshake(copy)) << test_data::to_hex(copy);
  }
}

TEST(StoredData, SignsAndVerifiesAFrameAsBeforeTheRename) {
  const auto payload = recorded("message");
  const auto frame = recorded("sealed");
  const std::string secret = "0123456789abcdef0123456789abcdef";
  FrameAuthenticator sender("west cluster", secret, 42);
  (void)sender.sign("first");
  EXPECT_EQ(sender.sign(payload), frame);
  FrameAuthenticator receiver("west cluster", secret, 43);
  const auto verified = receiver.verify(frame, 1);
  EXPECT_EQ(verified.status, FrameStatus::valid);
  EXPECT_EQ(verified.payload, payload);
  EXPECT_EQ(receiver.verify(frame, 1).status, FrameStatus::replayed);
  auto forged = frame;
  forged.back() = static_cast<char>(forged.back() ^ 1);
  EXPECT_EQ(FrameAuthenticator("west cluster", secret, 44).verify(forged, 1).status,
            FrameStatus::forged);
  EXPECT_EQ(FrameAuthenticator("east cluster", secret, 44).verify(frame, 1).status,
            FrameStatus::foreign_cluster);
}

}  // namespace
