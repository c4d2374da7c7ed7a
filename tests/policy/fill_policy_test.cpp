// Which source a cache fills from.
#include <gtest/gtest.h>

#include <set>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

TEST(Rendezvous, ParentsAreHashedByObjectForEveryLocation) {
  Bed here;
  auto other = site();
  other.location = {4};
  auto there_fleet = fleet();
  for (auto& s : there_fleet) {
    if (s.role == Role::cache) s.location = {4}, s.id.value += 100;
  }
  Bed there(other, there_fleet, 99);
  std::set<std::uint64_t> parents;
  for (std::uint64_t o = 1; o <= 40; ++o) {
    const auto p = here.sends[here.ask(o)].at(0).fill->source;
    EXPECT_EQ(p, there.sends[there.ask(o)].at(0).fill->source);
    parents.insert(p.value);
  }
  EXPECT_EQ(parents, (std::set<std::uint64_t>{20, 21}));
}

TEST(Health, AllParentsDownFallsBackToTheOrigin) {
  Bed bed(site(), {cache(1), cache(2), upstream(30, Role::origin)});
  EXPECT_EQ(bed.sends[bed.ask(1)].at(0).fill->source.value, 30u);
}

// Guards against writes waiting, and failing, in the queue of a full parent that can only pass them
// on.
TEST(Fleet, WritesAreFilledFromTheOriginItself) {
  auto s = site();
  s.classes[2].never_cached = true;
  Bed bed(s);
  for (std::uint64_t o = 1; o <= 20; ++o) {
    const auto id = bed.ask(o, 2);
    ASSERT_EQ(bed.sends[id].size(), 1u);
    EXPECT_EQ(bed.sends[id][0].fill->source, ServerId{30});
    bed.end(id, AttemptResult::ok);
  }
}

TEST(Origin, WhereItFailedBehindAParentOnlyAnOlderCopyIsWorthAnotherAttempt) {
  Bed bed;
  const auto parts = bed.ask(1, 0);
  const auto pages = bed.ask(2, 1);
  bed.end(parts, AttemptResult::overloaded, FillOutcome::origin_failed);
  EXPECT_EQ(bed.sends[parts].size(), 1u);
  EXPECT_EQ(bed.answers[parts], 1);
  bed.end(pages, AttemptResult::overloaded, FillOutcome::origin_failed);
  ASSERT_EQ(bed.sends[pages].size(), 2u);
  EXPECT_EQ(bed.sends[pages][1].fill->max_age, 38 * kSecond);
  bed.end(pages, AttemptResult::overloaded, FillOutcome::origin_failed, 1);
  EXPECT_EQ(bed.sends[pages].size(), 2u);
}

}  // namespace
