// Tests the merging of the two sources of endpoints, and flap damping.
#include "endpoints/merge.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "endpoints/damping.h"

namespace alderspur::endpoints {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr auto kReady = ServerStatus::ready;
constexpr auto kDraining = ServerStatus::draining;
constexpr auto kGone = ServerStatus::gone;

Member member_with(ServerStatus status, double weight, Time started_at,
                   const char* address = "127.0.0.1:1") {
  return {{server_id("a"), Role::cache, {1}, {0}, status, weight, started_at}, "a", address};
}

TEST(Merge, TakesTheMoreCautiousValueOfEachField) {
  struct Case {
    std::optional<Member> board;
    std::optional<Member> files;
    ServerStatus status;
    double weight;
    Time started_at;
    Reason reason;
  };
  const std::vector<Case> cases = {
      {member_with(kReady, 4, 0), member_with(kReady, 4, 0), kReady, 4, 0, Reason::as_listed},
      {member_with(kReady, 2, 9), member_with(kReady, 4, 0), kReady, 2, 9, Reason::weight_lower},
      {member_with(kReady, 4, 0), member_with(kDraining, 4, 0), kDraining, 4, 0,
       Reason::files_draining},
      {member_with(kDraining, 4, 0), member_with(kReady, 4, 0), kDraining, 4, 0,
       Reason::board_draining},
      {member_with(kReady, 4, 0), {}, kGone, 4, 0, Reason::not_in_files},
      {{}, member_with(kReady, 4, 0), kGone, 4, 0, Reason::not_on_board},
      {member_with(kReady, 4, 0), member_with(kReady, 4, 0, "127.0.0.1:2"), kGone, 4, 0,
       Reason::locations_differ},
  };
  for (const auto& expected : cases) {
    const auto merged =
        merge(Authority::both, {expected.board ? &*expected.board : nullptr,
                                expected.files ? &*expected.files : nullptr, true, true});
    ASSERT_TRUE(merged);
    const Server& server = merged->member.server;
    EXPECT_EQ(server.status, expected.status) << to_string(expected.reason);
    EXPECT_EQ(server.weight, expected.weight) << to_string(expected.reason);
    EXPECT_EQ(server.started_at, expected.started_at) << to_string(expected.reason);
    EXPECT_EQ(merged->reason, expected.reason) << to_string(expected.reason);
  }
  const auto ready = member_with(kReady, 4, 0);
  const auto draining = member_with(kDraining, 2, 0);
  EXPECT_EQ(merge(Authority::both, {&ready, nullptr, true, false})->member.server.status, kReady)
      << "no list from files yet";
  EXPECT_EQ(merge(Authority::files, {&ready, &draining, true, true})->member.server.status,
            kDraining);
  EXPECT_EQ(merge(Authority::board, {&ready, &draining, true, true})->member.server.status, kReady);
  EXPECT_FALSE(merge(Authority::files, {&ready, nullptr, true, true}));
}

/// Returns a member with random values for the fields that are merged.
Member any_member() {
  const auto status = *rc::gen::element(kReady, kDraining, kGone);
  return {{server_id("a"),
           Role::cache,
           {*rc::gen::inRange(0U, 2U)},
           {0},
           status,
           *rc::gen::inRange(1, 4) * 1.0,
           *rc::gen::inRange<Time>(0, 3)},
          "a",
          *rc::gen::element<std::string>("127.0.0.1:1", "127.0.0.1:2")};
}

RC_GTEST_PROP(Merge, CommutesAndIsNeverLessCautiousThanEither, ()) {
  const Member first = any_member();
  const Member second = any_member();
  const auto merged = merge(Authority::both, {&first, &second, true, true})->member.server;
  const auto swapped = merge(Authority::both, {&second, &first, true, true})->member.server;
  RC_ASSERT(merged.status == swapped.status);
  RC_ASSERT(merged.weight == swapped.weight);
  RC_ASSERT(merged.started_at == swapped.started_at);
  for (const auto* source : {&first, &second}) {
    if (source->server.status != kReady) {
      RC_ASSERT(merged.status != kReady);
    }
    RC_ASSERT(merged.weight <= source->server.weight);
    RC_ASSERT(merged.started_at >= source->server.started_at);
  }
}

TEST(FlapDamping, SuppressesFlappingServerForALimitedTime) {
  const DampingSettings settings;
  FlapDamping damping;
  damping.record_departure(0, settings);
  damping.record_departure(kSecond, settings);
  EXPECT_FALSE(damping.update_suppressed(kSecond, settings))
      << "two departures may be a failed restart";
  damping.record_departure(2 * kSecond, settings);
  EXPECT_TRUE(damping.update_suppressed(2 * kSecond, settings));
  const Time reuse_at = damping.reuse_time(2 * kSecond, settings);
  EXPECT_TRUE(damping.update_suppressed(reuse_at - kSecond / 10, settings));
  EXPECT_FALSE(damping.update_suppressed(reuse_at, settings));
  EXPECT_GT(reuse_at, 20 * kSecond);
  for (int i = 0; i < 100; ++i) damping.record_departure(reuse_at, settings);
  EXPECT_TRUE(damping.update_suppressed(reuse_at, settings));
  EXPECT_LE(damping.reuse_time(reuse_at, settings),
            reuse_at + settings.max_suppress_time + kSecond / 1000)
      << "never longer than max_suppress_time";
  EXPECT_EQ(damping.penalty(reuse_at - 50 * kSecond, settings), damping.penalty(reuse_at, settings))
      << "the penalty does not grow when the clock is set back";
}

}  // namespace
}  // namespace alderspur::endpoints
