// Tests the set of endpoints through the lists that are applied and the changes that it publishes.
#include "endpoints/endpoint_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <map>
#include <random>

#include "endpoints/list_fixture.h"

namespace alderspur::endpoints {
namespace {

/// An endpoint set, with the servers as a consumer of its changes has received them.
struct ObservedSet {
  explicit ObservedSet(const EndpointSetSettings& settings = {}) : set(settings) {}

  /// Applies a list with these servers and the next generation.
  SnapshotPtr apply_list(const std::vector<ServerText>& servers, Time now) {
    diagnostics::Findings findings;
    ++generation;
    const auto text =
        list_text(generation, servers, "confirm = " + std::to_string(generation) + "\n");
    const auto next = read_list(text, "servers.toml", now, {}, findings);
    EXPECT_TRUE(next.list) << (findings.list().empty()
                                   ? ""
                                   : diagnostics::to_string(findings.list()[0]));
    const auto& active = set.current_list();
    CandidateList candidate{next.list, active, difference(active.get(), *next.list), {}};
    candidate.zones = resolve_zones(*next.list, {"hub", "edge-1", "edge-2"}, findings);
    EXPECT_TRUE(set.apply_list(candidate, now));
    observe();
    return next.list;
  }
  /// Calls advance() of the set until nothing is due at `now`.
  void advance(Time now) {
    for (int i = 0; i < 1000 && set.next_wakeup() <= now; ++i) set.advance(now);
    observe();
  }
  /// Takes the changes and records them in `published`.
  void observe() {
    bool has_seen_ready = false;
    for (const auto& change : set.take_changes()) {
      const bool is_ready = change.member.server.status == ServerStatus::ready;
      EXPECT_FALSE(has_seen_ready && !is_ready) << "departures come first";
      has_seen_ready |= is_ready;
      published[change.member.name] = change.member.server;
    }
  }

  EndpointSet set;
  std::uint64_t generation = 0;
  std::map<std::string, Server> published;
};

TEST(EndpointSet, AppliesDeparturesAtOnceAndTreatsReturningServersAsJustStarted) {
  ObservedSet observed;
  auto servers = default_servers();
  observed.apply_list(servers, kStart);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::ready);
  EXPECT_EQ(observed.published["a"].started_at, 0)
      << "servers of the first list do not count as just started";
  EXPECT_EQ(observed.published["o"].location.value, 0U);
  EXPECT_EQ(observed.published["c"].location.value, 2U);
  servers[0].state = "draining";
  observed.apply_list(servers, kStart + kSecond);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::draining);
  servers[0].state = "in_service";
  observed.apply_list(servers, kStart + 2 * kSecond);
  observed.advance(kStart + 2 * kSecond);
  EXPECT_EQ(observed.published["a"].started_at, 0) << "the end of a drain is not a restart";
  auto without_a = servers;
  without_a.erase(without_a.begin());
  observed.apply_list(without_a, kStart + 3 * kSecond);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::gone);
  observed.apply_list(servers, kStart + 200 * kSecond);
  observed.advance(kStart + 200 * kSecond);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::ready);
  EXPECT_EQ(observed.published["a"].started_at, kStart + 200 * kSecond);
  servers[1].address = "127.0.0.1:77";
  observed.apply_list(servers, kStart + 201 * kSecond);
  EXPECT_EQ(observed.published["b"].started_at, kStart + 201 * kSecond)
      << "a server with a new address counts as just started";
}

TEST(EndpointSet, ChangesWeightsInSteps) {
  ObservedSet observed;
  auto servers = default_servers();
  observed.apply_list(servers, kStart);
  servers[0].weight = "16.0";
  observed.apply_list(servers, kStart + kSecond);
  observed.advance(kStart + kSecond);
  double previous = 4;
  Time now = kStart + kSecond;
  for (int step = 0; step < 100 && observed.published["a"].weight != 16.0; ++step) {
    observed.advance(now);
    EXPECT_LE(observed.published["a"].weight, previous * 1.25 + 1e-9);
    EXPECT_GE(observed.published["a"].weight, previous);
    previous = observed.published["a"].weight;
    now += kSecond / 4;
  }
  EXPECT_EQ(observed.published["a"].weight, 16.0);
  EXPECT_EQ(observed.set.next_wakeup(), std::numeric_limits<Time>::max()) << "no work is due";
}

TEST(EndpointSet, SuppressesFlappingServerUnlessItIsTheLastOfItsGroup) {
  ObservedSet observed;
  auto servers = default_servers();
  observed.apply_list(servers, kStart);
  Time now = kStart;
  const auto apply_after = [&](Time delay) {
    now += delay;
    observed.apply_list(servers, now);
    observed.advance(now);
  };
  const auto flap = [&](ServerText& server, int times) {
    for (int i = 0; i < times; ++i) {
      server.state = "draining";
      apply_after(kSecond);
      server.state = "in_service";
      apply_after(kSecond);
    }
  };
  flap(servers[0], 4);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::draining);
  EXPECT_EQ(observed.set.reason(server_id("a")), Reason::flapping);
  flap(servers[2], 6);
  EXPECT_EQ(observed.published["c"].status, ServerStatus::ready)
      << "the only cache at edge-2 is never suppressed";
  servers[1].state = "draining";  // b was the last ready cache of edge-1
  apply_after(kSecond);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::ready)
      << "reinstated, because its group has no other ready server";
  servers[1].state = "in_service";
  now += kSecond;
  observed.apply_list(servers, now);
  now += 120 * kSecond;
  observed.advance(now);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::ready);
  EXPECT_EQ(observed.published["b"].status, ServerStatus::ready);
}

TEST(EndpointSet, RestoresSavedStateAfterRestart) {
  ObservedSet before;
  auto servers = default_servers();
  before.apply_list(servers, kStart);
  servers.push_back({"n", "127.0.0.1:5"});
  servers[1].weight = "9.0";
  before.apply_list(servers, kStart + kSecond);
  before.advance(kStart + kSecond);
  const auto remembered = before.set.remembered(kStart + kSecond);
  ASSERT_EQ(remembered.size(), 2U) << "only servers whose state differs from the default";
  ObservedSet after;
  after.set.restore(remembered);
  after.generation = 1;
  after.apply_list(servers, kStart + 2 * kSecond);
  EXPECT_EQ(after.published["n"].started_at, kStart + kSecond);
  EXPECT_EQ(after.published["a"].started_at, 0);
  EXPECT_EQ(after.published["b"].weight, 6.25) << "the next step after 5.0";
}

TEST(EndpointSet, AppliesLargeChangeInPartsWithDeparturesFirst) {
  ObservedSet observed;
  auto servers = default_servers();
  observed.apply_list(servers, kStart);
  for (int i = 0; i < 2500; ++i) {
    servers.push_back({"n" + std::to_string(i), "127.0.1.1:" + std::to_string(i + 1)});
  }
  servers[0].state = "draining";
  observed.apply_list(servers, kStart + kSecond);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::draining);
  EXPECT_EQ(observed.published.size(), 4U);
  observed.set.advance(kStart + kSecond);
  observed.observe();
  EXPECT_EQ(observed.published.size(), 4U + EndpointSet::kMaxChangesPerTurn);
  observed.advance(kStart + kSecond);
  EXPECT_EQ(observed.published.size(), 2504U);
}

TEST(EndpointSet, AppliesFirstBoardListToServersOfFiles) {
  ObservedSet observed({Authority::both, 1.25, kSecond, {}});
  observed.apply_list(default_servers(), kStart);
  EXPECT_EQ(observed.published["a"].status, ServerStatus::ready) << "no list from the board yet";
  const auto member = [](const char* id, const char* address) {
    return Member{{server_id(id), Role::cache, {1}, {0}, ServerStatus::ready, 4, 0}, id, address};
  };
  observed.set.apply_board_update(true, {member("a", "127.0.0.1:1"), member("b", "127.0.0.1:3")},
                                  kStart + kSecond);
  observed.observe();
  EXPECT_EQ(observed.published["a"].status, ServerStatus::ready);
  EXPECT_EQ(observed.published["b"].status, ServerStatus::gone)
      << "the sources list different addresses";
  EXPECT_EQ(observed.published["c"].status, ServerStatus::gone) << "the board does not list it";
  EXPECT_EQ(observed.set.reason(server_id("c")), Reason::not_on_board);
}

/// Changes, adds or removes one server of the list at random.
void edit(std::vector<ServerText>& servers, unsigned round, std::mt19937& random) {
  const std::size_t index = random() % servers.size();
  switch (random() % 5) {
    case 0:
      servers[index].state = servers[index].state == "draining" ? "in_service" : "draining";
      break;
    case 1:
      servers[index].weight = std::to_string(1 + random() % 20) + ".0";
      break;
    case 2:
      if (servers.size() > 4) servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(index));
      break;
    case 3:
      servers[index].address = "127.0.2.1:" + std::to_string(1000 + round);
      break;
    default:
      servers.push_back({"x" + std::to_string(random() % 6 + std::size_t{100} * round),
                         "127.0.3.1:" + std::to_string(1000 + round), "in_service", "4.0",
                         random() % 2 ? "edge-1" : "edge-2"});
  }
}

// After any sequence of edits, the published servers match the list once no work is due. At no time
// is a server published as ready that the list does not contain as in service.
RC_GTEST_PROP(EndpointSet, ConvergesToTheListAfterAnyEdits, ()) {
  ObservedSet observed;
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  Time now = kStart;
  auto servers = default_servers();
  SnapshotPtr list;
  for (unsigned round = 0; round < 20; ++round) {
    edit(servers, round, random);
    now += static_cast<Time>(random() % 3'000'000);
    list = observed.apply_list(servers, now);
    for (const auto& [name, server] : observed.published) {
      const auto* listed = list->find(server_id(name));
      if (server.status == ServerStatus::ready) {
        RC_ASSERT(listed && listed->state == ServerState::in_service);
      }
    }
    if (random() % 2) observed.advance(now);
  }
  for (int i = 0; i < 200; ++i) {
    now += kSecond;
    observed.advance(now);
  }
  for (const auto& listed : list->servers) {
    const auto& server = observed.published[listed.name];
    RC_ASSERT(server.weight == listed.weight);
    RC_ASSERT(server.status == (listed.state == ServerState::in_service ? ServerStatus::ready
                                                                        : ServerStatus::draining));
  }
  for (const auto& [name, server] : observed.published) {
    RC_ASSERT(list->find(server_id(name)) || server.status == ServerStatus::gone);
  }
}

}  // namespace
}  // namespace alderspur::endpoints
