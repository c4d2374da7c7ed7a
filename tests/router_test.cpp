// The module by its events and actions alone.
#include "alderspur/router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace {
using namespace alderspur;

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;
constexpr Time kStart = 100 * kSecond;

Settings site() {
  Settings s;
  s.location = {3};
  s.router_count = 2;
  s.router_count_by_location = {0, 0, 0, 1, 1};
  ClassSettings parts;
  ClassSettings pages;
  ClassSettings keyed;
  ClassSettings once;
  parts.latency_objective = 500 * kMillisecond;
  parts.latency_objective_stretch = 2;
  pages = parts;
  pages.fresh_time = 8 * kSecond;
  pages.stale_grace_time = 30 * kSecond;
  keyed = parts;
  keyed.idempotency = Idempotency::idempotent_with_key;
  keyed.dedup_scope = DedupScope::cell;
  keyed.dedup_window = 5 * kSecond;
  once = parts;
  once.idempotency = Idempotency::not_idempotent;
  s.classes = {parts, pages, keyed, once};
  s.max_attempts = 6;
  s.can_cancel_attempts = s.sends_retry_after = true;
  s.max_retry_after = 2 * kSecond;
  s.cache_slow_start_fraction = 0.2;
  s.cache_slow_start_time = 20 * kSecond;
  s.overload_window = 1500 * kMillisecond;
  s.parent_slow_start_fraction = 0.1;
  s.parent_slow_start_time = 20 * kSecond;
  s.purge_propagation_time = 6 * kSecond;
  s.stream_kb_per_second = 1000;
  s.weights = WeightKind::nominal;
  s.can_join_fills = s.has_fills = true;
  return s;
}

Settings probing_site() {
  auto s = site();
  s.health_checks_allowed = true;
  return s;
}

Server cache(std::uint64_t id, ServerStatus status = ServerStatus::ready, Time born = 0) {
  return {{id}, Role::cache, {3}, {static_cast<std::uint32_t>(id % 2)}, status, 4, born};
}
Server upstream(std::uint64_t id, Role role, Time born = 0) {
  return {{id}, role, {static_cast<std::uint32_t>(id % 3)}, {0}, ServerStatus::ready, 10, born};
}
std::vector<Server> fleet() {
  return {cache(1),
          cache(2),
          cache(3),
          cache(4),
          upstream(20, Role::parent),
          upstream(21, Role::parent),
          upstream(30, Role::origin)};
}

// A router, a clock and what it has asked for; knows nothing of how it decides.
struct Bed {
  Bed(Bed&&) = default;
  explicit Bed(const Settings& settings = site(), std::vector<Server> servers = fleet(),
               std::uint64_t seed = 7)
      : router(settings, seed) {
    tell(EndpointUpdate{true, false, std::move(servers)});
  }
  std::vector<Action> tell(const Event& e) {
    std::vector<Action> actions;
    router.handle(now, e, actions);
    for (const auto& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) timers.emplace(t->at, t->timer);
      if (const auto* s = std::get_if<Send>(&a)) sends[s->id].push_back(*s);
      if (const auto* p = std::get_if<HealthCheck>(&a)) ++probes[p->server];
      if (const auto* r = std::get_if<Reject>(&a)) ++answers[r->id];
      if (const auto* f = std::get_if<Fail>(&a)) ++answers[f->id];
    }
    return actions;
  }
  void advance(Time by) {
    const Time end = now + by;
    while (!timers.empty() && timers.begin()->first <= end) {
      const auto [at, id] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, at);
      tell(TimerExpired{id});
    }
    now = end;
  }
  RequestId ask(std::uint64_t object, std::uint32_t cls = 0, double size = 100,
                std::uint32_t part = 0, std::uint32_t group = 5) {
    const RequestId id{next++};
    tell(Request{id, {object}, {group}, {cls}, part, size, 5 * kSecond, false});
    return id;
  }
  AttemptOutcome outcome(RequestId id, AttemptResult result, FillOutcome note = FillOutcome::none,
                         std::uint32_t attempt = 0, Time elapsed = 100 * kMillisecond) {
    AttemptOutcome o;
    o.id = id;
    o.attempt = {attempt};
    o.server = sends[id].at(attempt).server;
    o.result = result;
    o.fill_outcome = note;
    o.response_delivered = result == AttemptResult::ok;
    o.elapsed = elapsed;
    return o;
  }
  std::vector<Action> end(RequestId id, AttemptResult result, FillOutcome note = FillOutcome::none,
                          std::uint32_t attempt = 0, Time elapsed = 100 * kMillisecond) {
    return tell(outcome(id, result, note, attempt, elapsed));
  }
  std::uint64_t serve(std::uint64_t object, double size = 100, std::uint32_t part = 0) {
    const auto id = ask(object, 0, size, part);
    if (sends[id].empty()) return 0;
    const auto server = sends[id][0].server.value;
    end(id, AttemptResult::ok, FillOutcome::hit);
    return server;
  }
  int open_answers(RequestId id) { return answers[id]; }

  Router router;
  Time now = kStart;
  std::multimap<Time, TimerId> timers;
  std::map<RequestId, std::vector<Send>> sends;
  std::map<RequestId, int> answers;
  std::map<ServerId, int> probes;
  std::uint64_t next = 1;
};

// ---- The mechanism
// ---------------------------------------------------------------------------------

TEST(Rendezvous, AnObjectKeepsItsHomeAndOnlyALostHomesObjectsMove) {
  Bed a;
  std::map<std::uint64_t, std::uint64_t> home;
  std::set<std::uint64_t> used;
  for (std::uint64_t o = 1; o <= 60; ++o) {
    used.insert(home[o] = a.serve(o, 100, static_cast<std::uint32_t>(o)));
  }
  EXPECT_EQ(used.size(), 4u);
  for (std::uint64_t o = 1; o <= 60; ++o) {
    EXPECT_EQ(a.serve(o, 100, 99), home[o]) << "parts share the home";
  }
  Bed b(site(),
        {cache(1), cache(2), cache(3), upstream(20, Role::parent), upstream(30, Role::origin)});
  for (std::uint64_t o = 1; o <= 60; ++o) {
    if (home[o] != 4) {
      EXPECT_EQ(b.serve(o), home[o]);
    }
  }
}

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

TEST(HotSet, AHotObjectWidensToHalfTheLocationAndShrinksAgain) {
  Bed bed;
  std::map<std::uint64_t, int> by;
  for (int i = 0; i < 240; ++i) {
    ++by[bed.serve(777, 400)];
    bed.serve(1000 + static_cast<std::uint64_t>(i % 50), 100);
    bed.advance(50 * kMillisecond);
  }
  EXPECT_EQ(by.size(), 2u);
  by.clear();
  for (int i = 0; i < 20; ++i) ++by[bed.serve(777, 400)];
  for (auto& [server, n] : by) EXPECT_NEAR(n, 10, 3) << server;
  for (int i = 0; i < 40; ++i) {
    bed.serve(1000 + static_cast<std::uint64_t>(i % 50), 100);
    bed.advance(500 * kMillisecond);
  }
  by.clear();
  for (int i = 0; i < 4; ++i) ++by[bed.serve(777, 1)];
  EXPECT_EQ(by.size(), 1u);
}

// Worked numbers. Four caches with BW = 3000 each; an object adds x to its home's. S = (3000 + x) /
// 3000, W = 1 - a = 3000 / (3000 + x), T = 0.25 W; its share x / (3000 + x) passes T above x = 750.
TEST(HotSet, TheThresholdFollowsThePagesFormula) {
  Bed bed;
  std::map<std::uint64_t, int> given;
  for (std::uint64_t o = 1; o < 4000;
       ++o) {  // each small object is served three times: no share of its own
    const auto id = bed.ask(o);
    const auto home = bed.sends[id][0].server.value;
    if (given[home] == 10) {
      bed.tell(ClientGone{id});
      bed.end(id, AttemptResult::cancelled);
      continue;
    }
    ++given[home];
    bed.end(id, AttemptResult::ok, FillOutcome::hit);
    bed.serve(o);
    bed.serve(o);
    if (given[1] + given[2] + given[3] + given[4] == 40) break;
  }
  ASSERT_EQ(given[1] + given[2] + given[3] + given[4], 40);
  const std::uint64_t hot = 99999;
  const std::uint64_t home = bed.serve(hot);
  for (int i = 2; i <= 8; ++i) {
    EXPECT_EQ(bed.serve(hot), home) << "x is at most 700 before request " << i;
  }
  EXPECT_NE(bed.serve(hot), home) << "x = 800: the set has its second cache";
}
TEST(HotSet, OrdinaryObjectsKeepOneHome) {
  Bed bed;
  std::map<std::uint64_t, std::set<std::uint64_t>> homes;
  for (int i = 0; i < 600; ++i) {
    const auto o = 1 + static_cast<std::uint64_t>(i % 60);
    homes[o].insert(bed.serve(o));
    bed.advance(20 * kMillisecond);
  }
  for (auto& [o, h] : homes) EXPECT_EQ(h.size(), 1u) << o;
}

// ---- The five rules
// --------------------------------------------------------------------------------

TEST(Answers, ExactlyOneWhateverHappens) {
  Bed bed;
  const auto id = bed.ask(1);
  for (std::uint32_t i = 0; i < 6 && i < bed.sends[id].size(); ++i) {
    bed.end(id, AttemptResult::error, FillOutcome::none, i);
    bed.end(id, AttemptResult::error, FillOutcome::none, i);  // a repeated outcome is harmless
  }
  bed.advance(10 * kSecond);
  EXPECT_EQ(bed.answers[id], 1);
}
TEST(Answers, SilenceIsAnsweredByTheDeadline) {
  Bed bed;
  const auto id = bed.ask(1);
  bed.advance(5 * kSecond + 2 * kMillisecond);
  EXPECT_EQ(bed.answers[id], 1);
  EXPECT_EQ(bed.end(id, AttemptResult::timeout).size(), 0u);
}
TEST(Answers, EmptyFleetRefusesAtOnceWithAdvice) {
  Bed bed(site(), {});
  std::vector<Action> actions;
  actions = bed.tell(
      Request{{50}, {1}, {0}, {0}, 0, std::numeric_limits<double>::quiet_NaN(), kSecond, false});
  bool refused = false;
  for (auto& a : actions) {
    if (auto* r = std::get_if<Reject>(&a)) refused = r->retry_after > 0;
  }
  EXPECT_TRUE(refused);
}
TEST(Answers, UnknownThingsAreIgnored) {
  Bed bed;
  AttemptOutcome o;
  o.id = {999};
  EXPECT_TRUE(bed.tell(o).empty());
  EXPECT_TRUE(bed.tell(TimerExpired{{12345}}).empty());
  EXPECT_TRUE(bed.tell(ClientGone{{999}}).empty());
  EXPECT_TRUE(bed.tell(ResponseStarted{{999}, {0}}).empty());
  EXPECT_TRUE(bed.tell(HealthCheckResult{{999}, true, 0, {}}).empty());
}

TEST(Effects, UnsafeIsSentAgainOnlyWhenItProvablyNeverRan) {
  Bed bed;
  auto id = bed.ask(1, 3);
  bed.end(id, AttemptResult::overloaded);
  EXPECT_EQ(bed.sends[id].size(), 2u);
  const auto actions = bed.end(id, AttemptResult::reset, FillOutcome::none, 1);
  EXPECT_EQ(bed.sends[id].size(), 2u);
  bool failed = false;
  for (auto& a : actions) {
    failed |= std::holds_alternative<Fail>(a);
    EXPECT_FALSE(std::holds_alternative<Reject>(a));
  }
  EXPECT_TRUE(failed);
}
TEST(Effects, KeyedStaysInItsCellAndWindow) {
  for (std::uint64_t o = 1; o < 30; ++o) {
    Bed bed;
    const auto id = bed.ask(o, 2);
    bed.end(id, AttemptResult::reset);
    for (auto& s : bed.sends[id]) EXPECT_EQ(s.server.value % 2, bed.sends[id][0].server.value % 2);
    EXPECT_EQ(bed.sends[id].size(), 2u);
  }
}
// Sends wait for connections: what was decided is judged again when it leaves.
TEST(Effects, WhatWaitedIsNotSentOnceItsWindowIsOver) {
  Bed bed;
  const auto id = bed.ask(7, 2);
  bed.end(id, AttemptResult::error);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_TRUE(bed.router.may_send(bed.now + 4900 * kMillisecond, id, {1}));
  EXPECT_FALSE(bed.router.may_send(bed.now + 5 * kSecond, id, {1}));
  EXPECT_FALSE(bed.router.may_send(bed.now, id, {2})) << "there is none";
  EXPECT_FALSE(bed.router.may_send(bed.now, {12345}, {0}));
}
TEST(Drains, WhatWaitedIsJudgedAgainAndMovesOnWithoutBlame) {
  Bed bed;
  const auto id = bed.ask(7);
  const Send first = bed.sends[id].at(0);
  ASSERT_TRUE(first.fill && first.fill->source != first.server);
  EXPECT_TRUE(bed.router.may_send(bed.now, id, {0}));
  const auto source = upstream(first.fill->source.value, Role::parent);
  auto drains = source;
  drains.status = ServerStatus::draining;
  bed.tell(EndpointUpdate{false, false, {drains}});
  EXPECT_FALSE(bed.router.may_send(bed.now, id, {0})) << "its source drains";
  bed.tell(EndpointUpdate{false, false, {source}});
  EXPECT_TRUE(bed.router.may_send(bed.now, id, {0}));
  bed.tell(Ban{first.server, true});
  EXPECT_FALSE(bed.router.may_send(bed.now, id, {0}));
  bed.tell(Ban{first.server, false});
  for (int i = 0; i < 20; ++i) bed.end(bed.ask(7), AttemptResult::not_sent);
  bed.end(id, AttemptResult::not_sent);
  EXPECT_EQ(bed.sends[id].size(), 2u) << "it goes on, out of no budget of retries";
  for (const auto& s : bed.router.endpoint_statuses(bed.now)) {
    EXPECT_TRUE(s.is_usable) << s.server.id.value;
  }
}

TEST(Effects, NeverTwoAttemptsOut) {
  Bed bed;
  const auto id = bed.ask(1);
  bed.advance(4 * kSecond);
  EXPECT_EQ(bed.sends[id].size(), 1u);
}

TEST(Drains, NothingNewGoesToADrainingCacheOrSource) {
  Bed bed;
  const auto out = bed.ask(1);  // an attempt is out while the drain arrives
  const auto home = bed.sends[out][0].server.value;
  auto parent = upstream(20, Role::parent);
  parent.status = ServerStatus::draining;
  bed.tell(EndpointUpdate{false, false, {cache(home, ServerStatus::draining), parent}});
  bed.end(out, AttemptResult::error);
  for (std::uint64_t o = 1; o < 60; ++o) bed.ask(o);
  bed.advance(2 * kSecond);  // second copies too
  for (auto& [id, sends] : bed.sends) {
    for (std::size_t i = id == out ? 1 : 0; i < sends.size(); ++i) {
      EXPECT_NE(sends[i].server.value, home);
      EXPECT_NE(sends[i].fill->source.value, 20u);
    }
  }
}
TEST(Drains, AnEmptiedListStopsAllSends) {
  Bed bed;
  bed.tell(EndpointUpdate{true, false, {}});
  const auto id = bed.ask(1);
  EXPECT_TRUE(bed.sends[id].empty());
  EXPECT_EQ(bed.answers[id], 1);
}

// Work sent to a server in any span of the fall window, against what it can then do. 100 KB = 0.1
// s.
double sent_to(Bed& bed, std::uint64_t server, bool as_source) {
  double n = 0;
  for (auto& [id, sends] : bed.sends) {
    for (auto& s : sends) {
      n += (as_source ? s.fill->source.value : s.server.value) == server ? 0.1 : 0;
    }
  }
  return n;
}
TEST(Cold, ABurstDoesNotSpendMoreThanAColdCacheCanDo) {
  Bed bed;
  bed.advance(30 * kSecond);
  bed.tell(EndpointUpdate{false, false, {cache(1, ServerStatus::gone)}});
  bed.tell(EndpointUpdate{false, false, {cache(1, ServerStatus::ready, bed.now)}});
  for (int i = 0; i < 150; ++i) {
    for (std::uint64_t o = 1; o <= 8; ++o) bed.ask(o + static_cast<std::uint64_t>(i) * 8);
    bed.advance(10 * kMillisecond);
  }
  // 2 x 0.2..0.26 x 4 transfers x 1.5 s = 2.4 at the least.
  EXPECT_LT(sent_to(bed, 1, false), 2.4);
  EXPECT_GT(sent_to(bed, 1, false), 0.3);
}
// Many routers, each seeing a sliver, and one server that restarts. Gives what all of them that
// have been told together send in any span: its largest part of the rule's limit (multiple x
// capacity at its lowest x window, in sending seconds), and by how many calls of mean work it
// passes the plain budget of N calls (one x capacity x window) and chance, 2 x root of N + 2.
// Stirred: some routers see several times the mean, and seven in ten start anew a second later.
// Late: each hears of the start when it does, up to 2 s later.
struct Sum {
  double part = 0;
  double over = -1e9;
};
enum class How { plain, stirred, late };

class ColdServerTrial {
 public:
  ColdServerTrial(std::size_t routers, bool told, bool parent, double capacity, How how)
      : routers_(routers), told_(told), parent_(parent), capacity_(capacity), how_(how) {
    settings_.router_count = static_cast<std::uint32_t>(routers);
    settings_.router_count_by_location = {0, 0, 0, static_cast<std::uint32_t>(routers)};
    settings_.weights = told ? WeightKind::nominal : WeightKind::none;
    for (auto& server : servers_) {
      server.weight = told && server.role != Role::origin ? capacity : 1;
    }
    for (std::size_t i = 0; i < routers; ++i) {
      beds_.emplace_back(settings_, servers_, 1000 + 77 * i);
    }
  }
  Sum run() {
    for (Time t = 0; t < 40 * kSecond; t += kStep) {
      for (auto& bed : beds_) bed.advance(kStep);
      if (t == kRestart) born_ = beds_[0].now;
      if (t >= kRestart && t <= kRestart + 2 * kSecond) tell_of_restart(t);
      if (how_ == How::stirred && t == kRestart + kSecond) start_seven_in_ten_anew();
      for (due_ += rate() * 0.005; due_ >= 1; --due_) ask(t);
    }
    return most();
  }

 private:
  struct Sent {
    Time at = 0;
    double work = 0;
  };
  static constexpr Time kStep = 5 * kMillisecond;
  static constexpr Time kRestart = 30 * kSecond;

  std::uint64_t victim() const { return parent_ ? 20 : 1; }
  double work() const { return told_ ? 0.2 : 0.1; }
  // All together ask for as much as warm servers carry at six tenths of their capacity; each a
  // request at a time.
  double rate() const { return 0.6 * capacity_ * (parent_ ? 2 : 4) / work(); }
  Time hears(std::size_t router) const {
    return kRestart +
           (how_ == How::late ? static_cast<Time>(router * 7919 % 400) * 5 * kMillisecond : 0);
  }
  void tell_of_restart(Time t) {
    for (std::size_t i = 0; i < routers_; ++i) {
      for (auto server : servers_) {
        if (server.id.value != victim() || hears(i) != t) continue;
        server.started_at = born_;
        beds_[i].tell(EndpointUpdate{false, false, {server}});
      }
    }
  }
  void start_seven_in_ten_anew() {
    auto known = servers_;
    for (auto& server : known) {
      if (server.id.value == victim()) server.started_at = born_;
    }
    std::vector<Bed> after;
    for (std::size_t i = 0; i < routers_; ++i) {
      if (i % 10 < 3) {
        after.push_back(std::move(beds_[i]));
        continue;
      }
      after.emplace_back(settings_, std::vector<Server>{}, 5000 + 31 * i).now = beds_[i].now;
      after.back().next = 1'000'000;
      after.back().tell(EndpointUpdate{true, false, known});
    }
    beds_.swap(after);
  }
  std::size_t draw_router() {
    pick_ = pick_ * 6364136223846793005ULL + 1442695040888963407ULL;
    if (how_ != How::stirred) return (pick_ >> 33) % routers_;
    // Squared: a tenth see a third of it.
    const double u = static_cast<double>(pick_ >> 33) / 2147483648.0;
    return static_cast<std::size_t>(u * u * static_cast<double>(routers_));
  }
  void ask(Time t) {
    const std::size_t router = draw_router();
    Bed& bed = beds_[router];
    const auto id = bed.ask(pick_ >> 20, 0, told_ ? 1000 * work() : 0);
    if (bed.sends[id].empty()) return;
    const Send first = bed.sends[id][0];
    const bool hits_it = (parent_ ? first.fill->source : first.server).value == victim();
    if (born_ && hits_it && t >= hears(router)) sent_.push_back({bed.now, work()});
    bed.end(id, AttemptResult::ok, FillOutcome::filled);
  }
  Sum most() const {
    Sum most;
    for (std::size_t i = 0; i < sent_.size(); ++i) {
      const Time begin = sent_[i].at;
      double sum = 0;
      for (std::size_t k = i; k < sent_.size() && sent_[k].at <= begin + settings_.overload_window;
           ++k) {
        sum += sent_[k].work;
      }
      const double from =
          parent_ ? settings_.parent_slow_start_fraction : settings_.cache_slow_start_fraction;
      const double grown = static_cast<double>(begin - born_) / static_cast<double>(20 * kSecond);
      const double budget = (from + (1 - from) * grown) * capacity_ * 1.5;
      const double calls = budget / work();
      most.part = std::max(most.part, sum / (2 * budget));
      most.over = std::max(most.over, sum / work() - (calls + 2 * std::sqrt(calls) + 2));
    }
    return most;
  }

  const std::size_t routers_;
  const bool told_;
  const bool parent_;
  const double capacity_;
  const How how_;
  Settings settings_ = site();
  std::vector<Server> servers_ = fleet();
  std::vector<Bed> beds_;
  std::vector<Sent> sent_;
  double due_ = 0;
  std::uint64_t pick_ = 5;
  Time born_ = 0;
};

Sum most_sent(std::size_t routers, bool told, bool parent, double capacity, How how = How::plain) {
  return ColdServerTrial(routers, told, parent, capacity, how).run();
}
TEST(Cold, HundredsOfRoutersTogetherDoNotPushOverAColdParent) {
  for (const bool told : {true, false}) {
    const double part = most_sent(300, told, true, 40).part;
    EXPECT_LT(part, 1) << told;
    EXPECT_GT(part, 0.15) << told;
  }
}
TEST(Cold, ADozenRoutersTogetherDoNotPushOverAColdCache) {
  for (const bool told : {true, false}) {
    const double part = most_sent(12, told, false, 12).part;
    EXPECT_LT(part, 1) << told;
    EXPECT_GT(part, 0.15) << told;
  }
}
TEST(Cold, UnevenRoutersOfWhichMostStartAnewDoNotPushOverAColdServer) {
  for (const bool told : {true, false}) {
    const double parent = most_sent(300, told, true, 40, How::stirred).part;
    const double box = most_sent(12, told, false, 12, How::stirred).part;
    EXPECT_LT(parent, 1) << told;
    EXPECT_LT(box, 1) << told;
    EXPECT_GT(std::min(parent, box), 0.1) << told;
  }
}
// Guards against routers that each round a small share up, from twenty or thirty of them on; with
// told sizes, and where the budget is a guess by what warm servers carry.
class Fleets : public ::testing::TestWithParam<std::tuple<std::size_t, How>> {};
TEST_P(Fleets, SumOnAColdServerStaysWithinItsBudgetAndChance) {
  const auto [routers, how] = GetParam();
  for (const bool parent : {true, false}) {
    for (const auto& [told, capacity] : {std::pair{true, 40}, {true, 6}, {false, 40}, {false, 6}}) {
      SCOPED_TRACE((parent ? "parent of " : "cache of ") + std::to_string(capacity) +
                   (told ? ", told" : ""));
      const auto sum = most_sent(routers, told, parent, capacity, how);
      EXPECT_LE(sum.over, 0);
      EXPECT_GT(sum.part, capacity > 10 ? 0.1 : 0.04) << "and it is used";
    }
  }
}
INSTANTIATE_TEST_SUITE_P(Cold, Fleets,
                         ::testing::Combine(::testing::Values(3, 20, 30, 300),
                                            ::testing::Values(How::plain, How::stirred,
                                                              How::late)));

TEST(Cold, FillsCountAgainstAColdParent) {
  Bed bed;
  bed.advance(30 * kSecond);
  bed.tell(EndpointUpdate{false, false, {upstream(20, Role::parent, bed.now)}});
  for (int i = 0; i < 150; ++i) {
    for (std::uint64_t o = 1; o <= 8; ++o) bed.ask(o + static_cast<std::uint64_t>(i) * 8);
    bed.advance(10 * kMillisecond);
  }
  // 2 x 0.1 x 10 x 1.5 s over two routers = 1.5 for this one.
  EXPECT_LT(sent_to(bed, 20, true), 1.5);
}
TEST(Cold, ACacheBackFromSilenceIsCold) {
  Bed bed;
  std::uint64_t o = 1;
  while (bed.serve(o) != 1) ++o;
  for (int i = 0; i < 3; ++i) {  // refused in a row: gone, though the list has not said so
    const auto id = bed.ask(o);
    if (bed.sends[id][0].server.value == 1) bed.end(id, AttemptResult::connect_failed);
  }
  EXPECT_NE(bed.sends[bed.ask(o)][0].server.value, 1u);
  bed.advance(9 * kSecond);
  bool tested = false;
  for (int i = 0; i < 5 && !tested; ++i) tested = bed.serve(o) == 1;  // a trickle tests it
  EXPECT_TRUE(tested);
  bed.sends.clear();
  for (int i = 0; i < 400; ++i) bed.ask(5000 + static_cast<std::uint64_t>(i));
  EXPECT_LT(sent_to(bed, 1, false), 2.4);
}

TEST(Purges, NoOlderCopyNoJoinNoRenewUntilSettled) {
  Bed bed;
  for (int i = 0; i < 3; ++i) bed.ask(9, 1);
  bed.tell(Purge{ObjectId{9}, {5}, 100 * kMillisecond});
  auto f = bed.sends[bed.ask(9, 1)].at(0).fill;
  ASSERT_TRUE(f);
  EXPECT_GE(f->max_age, 1);
  EXPECT_LE(f->max_age, 100 * kMillisecond);
  EXPECT_FALSE(f->may_join);
  EXPECT_FALSE(f->refresh_in_background);
  bed.advance(2 * kSecond);
  f = bed.sends[bed.ask(9, 0)].at(0).fill;
  EXPECT_GE(f->max_age, kSecond);
  EXPECT_LE(f->max_age, 2100 * kMillisecond);
  EXPECT_FALSE(bed.sends[bed.ask(10, 0)].at(0).fill->max_age) << "other objects keep any age";
  bed.advance(30 * kSecond);
  EXPECT_TRUE(bed.sends[bed.ask(9, 0)].at(0).fill->may_join);
}
TEST(Purges, OfAGroupAtThisVeryMomentStillAsksForAnAge) {
  Bed bed;
  bed.tell(Purge{std::nullopt, {5}, 0});
  EXPECT_EQ(bed.sends[bed.ask(33)].at(0).fill->max_age, 1);
}
TEST(Purges, HoldForRetriesOfWhatWasOutBefore) {
  Bed bed;
  const auto id = bed.ask(9);
  bed.tell(Purge{ObjectId{9}, {5}, 50 * kMillisecond});
  bed.end(id, AttemptResult::overloaded);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_GE(bed.sends[id][1].fill->max_age, 1);
  EXPECT_FALSE(bed.sends[id][1].fill->may_join);
}

// ---- Trouble
// ----------------------------------------------------------------------------------------

TEST(Health, ACacheThatErrsFastDrawsNothing) {
  Bed bed;
  std::map<std::uint64_t, int> sent;
  for (int i = 0; i < 400; ++i) {
    const auto id = bed.ask(static_cast<std::uint64_t>(i));
    for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
      ++sent[bed.sends[id][k].server.value];
      bed.end(id, bed.sends[id][k].server.value == 2 ? AttemptResult::error : AttemptResult::ok,
              FillOutcome::hit, k);
    }
    bed.advance(10 * kMillisecond);
  }
  EXPECT_LT(sent[2], 20);
}
TEST(Health, AFailedFillIsNotTheCachesFault) {
  Bed bed;
  const auto id = bed.ask(1);
  const auto first = bed.sends[id][0];
  bed.end(id, AttemptResult::miss, FillOutcome::source_unreachable);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_EQ(bed.sends[id][1].server, first.server);
  EXPECT_NE(bed.sends[id][1].fill->source, first.fill->source);
}
TEST(Health, ASourcesRefusalIsBlamedOnTheSourceWhateverTheOutcomesKind) {
  for (const auto result : {AttemptResult::overloaded, AttemptResult::error, AttemptResult::miss}) {
    Bed bed;
    std::uint64_t home = 0;
    for (int i = 0; i < 6; ++i) {
      const auto id = bed.ask(1);
      ASSERT_FALSE(bed.sends[id].empty());
      if (home == 0) home = bed.sends[id][0].server.value;
      EXPECT_EQ(bed.sends[id][0].server.value, home) << "the cache stays in";
      for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
        bed.end(id, result, FillOutcome::source_refused, k);
      }
      EXPECT_EQ(bed.answers[id], 1);
    }
    EXPECT_NE(bed.sends[bed.ask(1)][0].fill->source, bed.sends[RequestId{1}][0].fill->source);
  }
}
TEST(Health, WhereProbesAreAllowedOneGoesBeforeTheTrial) {
  Bed bed(probing_site());
  std::uint64_t o = 1;
  while (bed.serve(o) != 1) ++o;
  for (int i = 0; i < 2; ++i) bed.end(bed.ask(o), AttemptResult::connect_failed);
  bed.advance(5 * kSecond);
  EXPECT_NE(bed.sends[bed.ask(o)][0].server.value, 1u);
  bed.tell(HealthCheckResult{{1}, true, kMillisecond, {}});
  bed.advance(2 * kSecond);
  EXPECT_EQ(bed.sends[bed.ask(o)][0].server.value, 1u);
}
TEST(Health, AllParentsDownFallsBackToTheOrigin) {
  Bed bed(site(), {cache(1), cache(2), upstream(30, Role::origin)});
  EXPECT_EQ(bed.sends[bed.ask(1)].at(0).fill->source.value, 30u);
}
TEST(Budget, RetriesDryUpWhenEverythingFails) {
  Bed bed;
  std::size_t attempts = 0;
  for (int i = 0; i < 500; ++i) {
    const auto id = bed.ask(static_cast<std::uint64_t>(i));
    for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
      bed.end(id, AttemptResult::overloaded, FillOutcome::none, k);
    }
    attempts += bed.sends[id].size();
    EXPECT_EQ(bed.answers[id], 1);
  }
  EXPECT_LT(attempts, 500 * 1.5);
}
TEST(Patience, ASlowButLivingCacheIsNeitherTimedOutNorDoubled) {
  Bed bed;
  std::uint64_t o = 1;
  while (bed.serve(o) == 0) ++o;
  const auto slow = bed.ask(o);
  EXPECT_EQ(bed.sends[slow][0].timeout, 5 * kSecond);
  bed.advance(100 * kMillisecond);
  const auto home = bed.sends[slow][0].server;
  std::uint64_t other = o + 1;
  while (bed.sends[bed.ask(other)][0].server != home) ++other;
  bed.end(RequestId{bed.next - 1}, AttemptResult::ok,
          FillOutcome::hit);  // the same cache answers something else
  bed.advance(3 * kSecond);
  EXPECT_EQ(bed.sends[slow].size(), 1u);
}
TEST(Crowding, AHomeWithTooMuchWorkOutYieldsToTheNext) {
  Bed bed;
  std::set<std::uint64_t> used;
  for (int i = 0; i < 40; ++i) used.insert(bed.sends[bed.ask(77, 0, 400)][0].server.value);
  EXPECT_GT(used.size(), 1u);
}
TEST(Health, AParentThatIsNotReachedIsOutAtOnceAndComesBackAsAColdOne) {
  auto s = site();
  s.router_count = 300;
  s.router_count_by_location = {0, 0, 0, 12};
  Bed bed(s);
  const auto first = bed.ask(1);
  const auto dead = bed.sends[first].at(0).fill->source;
  bed.end(first, AttemptResult::overloaded, FillOutcome::source_unreachable);
  bed.end(first, AttemptResult::ok, FillOutcome::filled, 1);
  int named = 0;
  for (std::uint64_t o = 10; o < 410; ++o) {
    const auto id = bed.ask(o);
    ASSERT_FALSE(bed.sends[id].empty());
    named += bed.sends[id][0].fill->source == dead;
    bed.end(id, AttemptResult::ok, FillOutcome::filled);
    bed.advance(10 * kMillisecond);
  }
  EXPECT_LE(named, 1) << "of 300 routers, each may test it with about as much as a cold one bears";
}
TEST(Admission, AnswersPastTheAimCloseTheDoorAndQuickOnesOpenItAgain) {
  Bed bed;
  const auto run = [&](Time takes) {
    int refused = 0;
    std::vector<RequestId> out;
    for (int i = 0; i < 300; ++i) {
      out.push_back(bed.ask(static_cast<std::uint64_t>(i % 40), 0, 400));
      refused += bed.answers[out.back()];
      if (out.size() < 30) continue;
      if (bed.answers[out.front()] == 0) {
        bed.end(out.front(), AttemptResult::ok, FillOutcome::hit, 0, takes);
      }
      out.erase(out.begin());
    }
    for (auto id : out) {
      if (bed.answers[id] == 0) bed.end(id, AttemptResult::ok, FillOutcome::hit);
    }
    return refused;
  };
  EXPECT_EQ(run(200 * kMillisecond), 0);
  EXPECT_GT(run(4 * kSecond), 30);
  for (int i = 0; i < 3; ++i) run(100 * kMillisecond);
  EXPECT_LT(run(100 * kMillisecond), 30);
}
// Guards against blaming caches for a dead source where answers carry no notes: every cache looked
// sick, the next one was asked to fill from the same source, and the door shut. Guards against a
// door that stays shut because fetches take their time however little is out: the caches behind it
// would never fill again.
TEST(Admission, WhatAnswersTakeAtTheLeastWorkKeepsNobodyOut) {
  Bed bed;
  std::multimap<Time, RequestId> due;
  int served = 0;
  for (std::uint64_t o = 1; o <= 2000; ++o) {
    bed.advance(10 * kMillisecond);
    while (!due.empty() && due.begin()->first <= bed.now) {
      bed.end(due.begin()->second, AttemptResult::ok, FillOutcome::none, 0, 310 * kMillisecond);
      due.erase(due.begin());
    }
    const auto id = bed.ask(o);  // 100 ms to send, wanted within 700: a third of the room is gone
    if (bed.sends[id].empty()) continue;
    due.emplace(bed.now + 310 * kMillisecond, id);
    served += o > 1000;
  }
  EXPECT_GE(served, 950);
}
TEST(Health, WithoutNotesADeadSourceIsFoundByAskingTheSameCacheOnceMore) {
  Bed bed;
  int to_dead_late = 0;
  int refused = 0;
  for (std::uint64_t o = 1; o <= 60; ++o) {
    const auto id = bed.ask(o, 0, 400);
    bed.advance(100 * kMillisecond);
    if (bed.sends[id].empty()) continue;
    const bool dead = bed.sends[id][0].fill->source == ServerId{20};
    to_dead_late += dead && o > 30;
    bed.end(id, dead ? AttemptResult::overloaded : AttemptResult::ok, FillOutcome::none, 0,
            50 * kMillisecond);
    if (dead && bed.sends[id].size() > 1) {
      EXPECT_EQ(bed.sends[id][1].server, bed.sends[id][0].server);
      EXPECT_NE(bed.sends[id][1].fill->source, ServerId{20});
      bed.end(id, AttemptResult::ok, FillOutcome::none, 1);
    }
    refused += bed.answers[id];
  }
  EXPECT_EQ(refused, 0);
  EXPECT_LE(to_dead_late, 6);
}
// Guards against a cache, or a parent, that fails half of what it is sent and hides behind the
// other end of its fills: each error might be the source's, and asking once more succeeds often
// enough.
TEST(Health, WhoFailsHalfStandsOutAmongItsPeersWhicheverEndItIs) {
  for (const ServerId failing : {ServerId{2}, ServerId{20}}) {
    Bed bed;
    int errors = 0;
    int late = 0;
    int refused = 0;
    int others = 0;
    for (std::uint64_t o = 1; o <= 400; ++o) {
      const auto id = bed.ask(o, 0, 50);
      bed.advance(50 * kMillisecond);
      for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
        const auto& to = bed.sends[id][k];
        const bool concerned = to.server == failing || to.fill->source == failing;
        const bool fails = concerned && errors++ % 2 == 0;
        late += concerned && o > 100;
        others += !concerned && o > 100;
        if (bed.end(id, fails ? AttemptResult::error : AttemptResult::ok, FillOutcome::none, k,
                    20 * kMillisecond);
            !fails) {
          break;
        }
      }
      refused += bed.answers[id];
    }
    EXPECT_LE(late, 45) << failing.value << ": of some 300 it gets trials only";
    EXPECT_GE(others, 280);
    EXPECT_LE(refused, 3);
  }
}
// Guards against a silent cache or parent holding its requests to their deadlines where no second
// copy may go.
TEST(Health, ASilentCacheIsProbedAndWhatItHoldsMovesOn) {
  Bed bed(probing_site());
  const auto id = bed.ask(1);
  const auto silent = bed.sends[id][0].server;
  bed.advance(550 * kMillisecond);  // 100 of them are its own sending time
  ASSERT_EQ(bed.probes[silent], 1);
  const auto actions = bed.tell(HealthCheckResult{silent, false, 250 * kMillisecond, {}});
  ASSERT_EQ(std::count_if(actions.begin(), actions.end(),
                          [](auto& a) { return std::holds_alternative<Cancel>(a); }),
            1);
  EXPECT_EQ(bed.sends[id].size(), 1u) << "the next leaves only after the first has ended";
  bed.end(id, AttemptResult::cancelled);
  ASSERT_EQ(bed.sends[id].size(), 2u);
  EXPECT_NE(bed.sends[id][1].server, silent);
}
// Guards against taking lost connections, as spoilt answers cause them, for a sick cache: all of a
// point's caches would be out. The request they cost goes to the same cache once more.
TEST(Health, ALostConnectionIsAskedAboutAndPutsNoCacheOutByItself) {
  Bed bed(probing_site());
  ServerId home{};
  for (int i = 0; i < 6; ++i) {
    bed.advance(4 * kSecond);
    const auto id = bed.ask(1);
    ASSERT_EQ(bed.sends[id].size(), 1u);
    if (i > 0) {
      EXPECT_EQ(bed.sends[id][0].server, home);
    }
    home = bed.sends[id][0].server;
    bed.end(id, AttemptResult::reset);
    EXPECT_GE(bed.probes[home], i + 1);
    ASSERT_EQ(bed.sends[id].size(), 2u);
    EXPECT_EQ(bed.sends[id][1].server, home);
    bed.tell(HealthCheckResult{home, true, kMillisecond, {}});
    bed.end(id, AttemptResult::ok, FillOutcome::none, 1);
  }
  // Where it happens to one cache only, again and again, that one is out however well its probes
  // go.
  for (int i = 0; i < 40; ++i) {
    bed.advance(20 * kMillisecond);
    bed.serve(100 + static_cast<std::uint64_t>(i));
  }
  for (int i = 0; i < 20 && bed.sends[bed.ask(1)][0].server == home; ++i) {
    bed.advance(20 * kMillisecond);
    const RequestId id{bed.next - 1};
    bed.end(id, AttemptResult::reset);
    bed.tell(HealthCheckResult{home, true, kMillisecond, {}});
    if (bed.sends[id].size() > 1) bed.end(id, AttemptResult::ok, FillOutcome::none, 1);
  }
  EXPECT_NE(bed.sends[bed.ask(1)][0].server, home);
}
TEST(Health, ACacheThatResetsAndAnswersNoProbeIsOutAtOnce) {
  Bed bed(probing_site());
  const auto id = bed.ask(1);
  const auto home = bed.sends[id][0].server;
  bed.end(id, AttemptResult::reset);
  bed.tell(HealthCheckResult{home, false, 250 * kMillisecond, {}});
  EXPECT_NE(bed.sends[bed.ask(1)][0].server, home);
}
// A parent is looked at while a fill by it is late, and is out after four probes without a word.
Bed with_late_fill(ServerId& parent) {
  Bed bed(probing_site());
  const auto id = bed.ask(1);
  parent = bed.sends[id][0].fill->source;
  EXPECT_EQ(bed.probes[parent], 0);
  bed.advance(2 * kSecond);
  bed.end(id, AttemptResult::ok);
  return bed;
}
int fills_by(Bed& bed, ServerId parent, std::uint64_t from, std::uint64_t to) {
  int n = 0;
  for (std::uint64_t o = from; o < to; ++o) {
    const auto id = bed.ask(o);
    n += bed.sends[id].size() > 0 && bed.sends[id][0].fill->source == parent;
    if (bed.sends[id].size() > 0) bed.end(id, AttemptResult::ok);
  }
  return n;
}
TEST(Health, ASilentParentIsFoundByProbesAndIsNobodysSource) {
  ServerId parent;
  auto bed = with_late_fill(parent);
  ASSERT_EQ(bed.probes[parent], 1);
  EXPECT_GT(fills_by(bed, parent, 100, 140), 0);
  for (int i = 0; i < 4; ++i) {
    ASSERT_EQ(bed.probes[parent], i + 1);
    bed.tell(HealthCheckResult{parent, false, 250 * kMillisecond, {}});
  }
  EXPECT_EQ(fills_by(bed, parent, 200, 240), 0);
}
// Guards against probes that grow with routers times parents: 13,000 on a day of 19,000 requests.
TEST(Fleet, ParentsAreNotLookedAtByTheClock) {
  auto s = probing_site();
  s.router_count = 100;
  int probes = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Bed bed(s, fleet(), seed);
    for (std::uint64_t o = 1; o <= 20; ++o) bed.serve(o), bed.advance(500 * kMillisecond);
    for (const std::uint64_t p : {20, 21}) probes += bed.probes[{p}];
  }
  EXPECT_EQ(probes, 0);
}
// Guards against a probe for each slow answer where a router has one request at a cache at a time;
// a cache that says nothing for longer than is usual is still found.
TEST(Fleet, CachesAreLookedAtAfterAnUnusualSilenceOnly) {
  auto s = probing_site();
  int probes = 0;
  int found = 0;
  const auto all = [](Bed& bed) {
    int n = 0;
    for (const auto& [id, count] : bed.probes) n += id.value <= 4 ? count : 0;
    return n;
  };
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Bed bed(s, fleet(), seed);
    for (std::uint64_t o = 1; o <= 40; ++o) {
      const auto id = bed.ask(o);
      bed.advance((350 + 10 * static_cast<Time>(o * seed % 20)) * kMillisecond);
      bed.end(id, AttemptResult::ok);
      for (std::uint64_t c = 1; c <= 4; ++c)
        bed.tell(HealthCheckResult{{c}, true, kMillisecond, {}});
    }
    const int usual = all(bed);
    probes += usual;
    bed.ask(1);
    bed.advance(1500 * kMillisecond);
    found += all(bed) > usual;
  }
  EXPECT_LE(probes, 400) << "4,000 requests; a look at 300 ms would be one for each";
  EXPECT_EQ(found, 100);
}
// Guards against a door set by a few slow answers: of a location's sizes, which are told, each
// router knows its part, and what lies far below that is no crowd however slow some fills are.
// Guards against a probe for every large answer: caches give theirs in one piece, and where a
// router has one request at a cache at a time nothing else tells that it lives.
TEST(Fleet, ACacheIsNotSilentWhileItsAnswersOwnSendingLasts) {
  Bed bed(probing_site());
  const auto id = bed.ask(1, 0, 3000);  // three seconds at the top pace
  const auto server = bed.sends[id].at(0).server;
  bed.advance(3200 * kMillisecond);
  EXPECT_EQ(bed.probes[server], 0);
  bed.advance(300 * kMillisecond);
  EXPECT_EQ(bed.probes[server], 1) << "then its silence counts as any";
}
TEST(Fleet, AFewSlowFillsDoNotShutTheDoorOfAnIdleLocation) {
  auto s = site();
  s.router_count = 100;
  s.router_count_by_location = {0, 0, 0, 8};
  int refused = 0;
  auto servers = fleet();
  for (int i = 0; i < 4; ++i) servers[static_cast<std::size_t>(i)].weight = 12;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Bed bed(s, servers, seed);
    for (std::uint64_t o = 1; o <= 200; ++o) {
      const auto id =
          bed.ask(o, 0, o % 10 == 0 ? 1200 : 200);  // of 48 transfers, 6 are this router's
      refused += bed.answers[id];
      bed.advance(120 * kMillisecond);
      if (o > 2 && bed.answers[RequestId{id.value - 2}] == 0) {
        bed.end(RequestId{id.value - 2}, AttemptResult::ok, FillOutcome::none, 0,
                o % 4 == 0 ? 2 * kSecond : 300 * kMillisecond);
      }
    }
  }
  EXPECT_LE(refused, 40) << "of 4,000";
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
// Guards against a hundred routers that all go on asking one origin for what a purge has made void
// everywhere: together they keep out no more than the origin bears, whatever each of them sees of
// it.
TEST(Fleet, WhatAPurgeMadeVoidIsFetchedByAllTogetherNoFasterThanTheOriginBears) {
  for (const std::uint32_t routers : {3u, 100u}) {
    auto s = site();
    s.router_count = routers;
    s.router_count_by_location = {0, 0, 0, std::max(1u, routers / 12)};
    int fetching = 0;
    int held_only = 0;
    for (std::uint32_t r = 0; r < routers; ++r) {
      Bed bed(s, fleet(), 100 + r);
      bed.tell(Purge{{}, {5}, 0});
      for (std::uint64_t o = 1; o <= 30; ++o) {
        bed.advance(120 * kMillisecond);
        const auto id = bed.ask(o, 0, 200);
        if (bed.answers[id] || bed.sends[id].empty()) continue;
        const bool held = bed.sends[id][0].fill->cached_only;
        bed.end(id, held ? AttemptResult::miss : AttemptResult::overloaded, FillOutcome::none, 0,
                60 * kMillisecond);
        if (held) {
          EXPECT_EQ(bed.sends[id].size(), 1u) << "nobody else holds it either";
        }
      }
      for (std::uint64_t o = 100; o < 140; ++o) {
        const auto id = bed.ask(o, 0, 200);
        if (bed.sends[id].empty()) continue;
        const bool held = bed.sends[id][0].fill->cached_only;
        ++(held ? held_only : fetching);
      }
    }
    EXPECT_LE(fetching * 0.2, 60) << "seconds of fetches out, of " << routers << " routers";
    EXPECT_GT(held_only, 0);
  }
}
// Guards against a parent with a full queue passing for lost at every router: it is spared for a
// while and, being the same process, takes its whole part again as soon as it says that it is well.
TEST(Fleet, AParentThatSaysItIsFullIsSparedAndNotHeldForCold) {
  ServerId parent;
  auto bed = with_late_fill(parent);
  const auto held = bed.ask(1);
  const auto actions =
      bed.tell(HealthCheckResult{parent, false, 250 * kMillisecond, {}, 20 * kSecond, true});
  EXPECT_TRUE(actions.empty()) << "what it has is not called off";
  bed.end(held, AttemptResult::ok);
  EXPECT_EQ(fills_by(bed, parent, 100, 140), 0);
  bed.advance(2100 * kMillisecond);
  ASSERT_GE(bed.probes[parent], 2);
  bed.tell(HealthCheckResult{parent, true, 50 * kMillisecond, {}, 22 * kSecond, true});
  EXPECT_GT(fills_by(bed, parent, 200, 300), 30);
}
TEST(Fleet, AWordByAConnectionFromBeforeProvesThatNothingRestarted) {
  for (const Time up : {Time{0}, kSecond, 30 * kSecond}) {
    ServerId parent;
    auto bed = with_late_fill(parent);
    for (int i = 0; i < 4; ++i) bed.tell(HealthCheckResult{parent, false, 250 * kMillisecond, {}});
    ASSERT_EQ(fills_by(bed, parent, 100, 140), 0);
    bed.advance(2 * kSecond);
    bed.tell(HealthCheckResult{parent, true, 2 * kSecond, {}, up, true, true});
    if (up > 10 * kSecond) {
      EXPECT_GT(fills_by(bed, parent, 200, 300), 30);
    } else {
      EXPECT_LT(fills_by(bed, parent, 200, 300), 20) << "it may be a new one: cold";
    }
  }
}
// Guards against holding requests on a point whose caches are all known to be out: probes find them
// again.
TEST(Health, WhereProbesWatchALostPointItsRequestsAreRefusedAtOnce) {
  Bed bed(probing_site());
  for (std::uint64_t o = 1; o <= 40; ++o) {
    const auto id = bed.ask(o);
    for (std::uint32_t k = 0; k < bed.sends[id].size(); ++k) {
      bed.end(id, AttemptResult::connect_failed, FillOutcome::none, k);
    }
  }
  const auto id = bed.ask(100);
  EXPECT_TRUE(bed.sends[id].empty());
  EXPECT_EQ(bed.answers[id], 1);
  bed.advance(2 * kSecond);
  for (std::uint64_t c = 1; c <= 4; ++c) bed.tell(HealthCheckResult{{c}, true, kMillisecond, {}});
  EXPECT_FALSE(bed.sends[bed.ask(101)].empty());
}
// Guards against taking a request's own sending for a crowd: large objects alone closed the door.
TEST(Admission, LargeObjectsSentAtTopPaceDoNotCloseTheDoor) {
  Bed bed;
  int refused = 0;
  std::vector<RequestId> out;
  for (int i = 0; i < 3000; ++i) {
    out.push_back(bed.ask(static_cast<std::uint64_t>(i % 40), 0, 1500));
    refused += bed.answers[out.back()];
    if (out.size() < 12) continue;
    if (bed.answers[out.front()] == 0) {
      bed.end(out.front(), AttemptResult::ok, FillOutcome::none, 0, 1550 * kMillisecond);
    }
    out.erase(out.begin());
  }
  EXPECT_EQ(refused, 0);
}
// A location's routers each see a sliver; each alone under a floor for one router, all would never
// refuse together.
std::size_t admitted_together(std::uint32_t routers) {
  auto s = site();
  s.router_count = routers;
  s.router_count_by_location = {0, 0, 0, routers};
  std::size_t sent = 0;
  for (std::uint32_t i = 0; i < routers; ++i) {
    Bed bed(s, fleet(), 50 + i);
    for (std::uint64_t o = 1; o <= 120; ++o) {
      const auto id = bed.ask(o, 0, 400);
      bed.advance(100 * kMillisecond);
      if (bed.answers[id]) continue;
      bed.end(id, AttemptResult::ok, FillOutcome::hit, 0, 4 * kSecond);
    }
    for (std::uint64_t o = 1; o <= 30; ++o) sent += !bed.sends[bed.ask(o, 0, 400)].empty();
  }
  return sent;
}
TEST(Admission, ManyRoutersOfALocationRefuseTogetherAboutAsMuchAsOne) {
  EXPECT_GE(admitted_together(1), 3u);
  EXPECT_LE(admitted_together(12),
            12 * 2u);  // each keeps room for a request or two, not for a whole floor
}
TEST(Patience, ARouterThatHearsLittleTakesSlowCachesForSlowNotForSilent) {
  Bed bed;
  for (std::uint64_t o = 1; o < 60;
       ++o) {  // everything takes twice the aim: that is how it is today
    const auto id = bed.ask(o);
    bed.advance(1400 * kMillisecond);
    if (bed.answers[id] || bed.sends[id].size() > 1) continue;
    bed.end(id, AttemptResult::ok, FillOutcome::none, 0, 1400 * kMillisecond);
  }
  std::size_t copies = 0;
  for (std::uint64_t o = 100; o < 110; ++o) {
    const auto id = bed.ask(o);
    bed.advance(1200 * kMillisecond);
    copies += bed.sends[id].size() > 1;
    bed.end(id, AttemptResult::ok, FillOutcome::hit);
  }
  EXPECT_EQ(copies, 0u);
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
TEST(Origin, FillsThatWaitForASlowOriginAreHeldBackButHitsAreNot) {
  Bed bed;
  bed.serve(1);
  std::vector<RequestId> waiting;
  bool held = false;
  for (std::uint64_t i = 0; i < 400 && !held; ++i) {
    const auto id = bed.ask(1000 + i, 0, 400);
    if (bed.answers[id]) continue;
    held = bed.sends[id][0].fill->cached_only;
    waiting.push_back(id);
    if (waiting.size() < 20) continue;
    // What was asked long ago comes at last, from the origin.
    AttemptOutcome o = bed.outcome(waiting.front(), AttemptResult::ok,
                                   FillOutcome::filled_by_origin, 0, 4 * kSecond);
    o.time_to_first_byte = 3800 * kMillisecond;
    bed.tell(o);
    waiting.erase(waiting.begin());
  }
  EXPECT_TRUE(held);
  const auto seen = bed.ask(1);  // asked before: likely held by its home
  ASSERT_FALSE(bed.sends[seen].empty());
  EXPECT_FALSE(bed.sends[seen][0].fill->cached_only);
}
// Guards against answers that never come closing the door to fills for good, where no note tells of
// those that do: every new object would be asked for in vain first.
TEST(Origin, WithoutNotesLostAnswersDoNotHoldBackFills) {
  Bed bed;
  for (std::uint64_t o = 1; o <= 300; ++o) {
    const auto id = bed.ask(o, 0, 50);
    bed.advance(50 * kMillisecond);
    if (bed.sends[id].empty()) continue;
    EXPECT_FALSE(bed.sends[id][0].fill->cached_only) << o;
    bed.end(id, o % 3 ? AttemptResult::ok : AttemptResult::timeout, FillOutcome::none, 0,
            o % 3 ? 50 * kMillisecond : 5 * kSecond);
  }
}
TEST(Cold, SuspectedColdnessYieldsWhenNobodyElseCanServe) {
  auto s = site();
  s.weights = WeightKind::none;
  Bed bed(s, {cache(1), upstream(20, Role::parent), upstream(30, Role::origin)});
  for (int i = 0; i < 2; ++i) bed.end(bed.ask(1), AttemptResult::connect_failed);
  bed.advance(9 * kSecond);
  bed.serve(1);  // the test that it passes; it may have restarted unseen
  for (int i = 0; i < 20; ++i) EXPECT_EQ(bed.serve(static_cast<std::uint64_t>(i)), 1u);
}
// ---- Odd fleets and reports
// --------------------------------------------------------------------------

// Whatever the fleet, each request has one final answer by its deadline.
void expect_answers(Bed& bed) {
  for (std::uint64_t o = 1; o <= 30; ++o) {
    const auto id = bed.ask(o);
    if (!bed.sends[id].empty()) {
      bed.end(id, AttemptResult::ok, FillOutcome::hit);
    } else {
      EXPECT_EQ(bed.answers[id], 1) << "given up at once";
    }
    bed.advance(20 * kMillisecond);
  }
  const auto silent = bed.ask(99);
  bed.advance(6 * kSecond);
  EXPECT_EQ(bed.answers[silent], 1);
}
TEST(Odd, FleetsOfNoneOneAndThousandsAnswerEveryRequest) {
  for (const std::uint64_t n : {0, 1, 3000}) {
    std::vector<Server> servers;
    for (std::uint64_t i = 1; i <= n; ++i) servers.push_back(cache(i));
    auto s = site();
    s.router_count = 5000;
    s.router_count_by_location.clear();  // no share stated
    Bed bed(s, servers);
    expect_answers(bed);
  }
}
TEST(Odd, AFullListThatReplacesEverythingAtOnceIsServedByTheReplacements) {
  Bed bed;
  for (std::uint64_t o = 1; o <= 60; ++o) bed.serve(o);
  std::vector<Server> later;
  for (std::uint64_t i = 101; i <= 104; ++i) {
    later.push_back(cache(i, ServerStatus::ready, bed.now));
  }
  later.push_back(upstream(30, Role::origin));
  bed.tell(EndpointUpdate{true, false, later});
  bed.sends.clear();
  int answered = 0;
  for (std::uint64_t o = 1; o <= 400; ++o) {
    const auto id = bed.ask(o, 0, 20);
    for (auto& s : bed.sends[id]) EXPECT_GT(s.server.value, 100u);
    answered += !bed.sends[id].empty();
    if (!bed.sends[id].empty()) bed.end(id, AttemptResult::ok, FillOutcome::filled_by_origin);
    bed.advance(20 * kMillisecond);
  }
  EXPECT_GT(answered, 100);
  expect_answers(bed);
}
TEST(Odd, WeightsOfZeroOrNaNCountAsOne) {
  auto servers = fleet();
  servers[0].weight = 0;
  servers[1].weight = std::numeric_limits<double>::quiet_NaN();
  servers[2].weight = -3;
  Bed bed(site(), servers);
  std::set<std::uint64_t> used;
  for (std::uint64_t o = 1; o <= 200; ++o) used.insert(bed.serve(o));
  EXPECT_EQ(used.size(), 4u) << "each keeps a share";
}
TEST(Odd, ALocationWithRoutersAndNoCachesGoesStraightWhereAllowedElseRefuses) {
  for (const bool straight : {true, false}) {
    auto s = site();
    s.can_bypass_caches = straight;
    Bed bed(s, {upstream(20, Role::parent), upstream(30, Role::origin)});
    const auto id = bed.ask(1);
    EXPECT_EQ(bed.sends[id].empty(), !straight);
    EXPECT_EQ(bed.answers[id], straight ? 0 : 1);
  }
}
TEST(Determinism, SameEventsSameActions) {
  const auto run = [] {
    Bed a;
    Bed beside(site(), fleet(), 3);
    std::string trace;
    for (int i = 0; i < 200; ++i) {
      beside.serve(static_cast<std::uint64_t>(i));
      const auto id = a.ask(static_cast<std::uint64_t>(i * 7 % 31));
      trace += std::to_string(a.sends[id].at(0).server.value) + ",";
      a.end(id, i % 9 ? AttemptResult::ok : AttemptResult::overloaded);
      a.advance(7 * kMillisecond);
      for (auto& s : a.sends[id]) trace += std::to_string(s.timeout) + ";";
    }
    return trace;
  };
  EXPECT_EQ(run(), run());
}

// Guards against a ban that the next list, a new address or a restart takes back, and against a
// full welcome.
TEST(Bans, HoldWhateverTheListSaysAndEndColdWithTheCallBack) {
  Bed bed;
  bed.tell(Ban{{1}, true});
  bed.tell(Ban{{20}, true});
  const auto sent_to = [&](std::uint64_t server) {
    std::size_t n = 0;
    for (const auto& [id, list] : bed.sends) {
      for (const auto& s : list) {
        n += s.server == ServerId{server} || (s.fill && s.fill->source == ServerId{server});
      }
    }
    return n;
  };
  const auto ask_many = [&](std::uint64_t from) {
    for (std::uint64_t o = from; o < from + 60; ++o) {
      const auto id = bed.ask(o);
      bed.tell(bed.outcome(id, AttemptResult::ok, FillOutcome::hit));
      bed.advance(20 * kMillisecond);
    }
  };
  ask_many(100);
  bed.tell(EndpointUpdate{true, false, fleet()});
  bed.tell(EndpointUpdate{false, false, {cache(1, ServerStatus::gone)}});
  bed.advance(3 * kSecond);  // forgotten by the list
  bed.tell(EndpointUpdate{false, false, {cache(1, ServerStatus::ready, bed.now)}});
  bed.tell(Ban{{1}, true});  // the call may come twice
  ask_many(200);
  EXPECT_EQ(sent_to(1) + sent_to(20), 0u);
  EXPECT_EQ(bed.probes[ServerId{1}] + bed.probes[ServerId{20}], 0);
  const auto down = [&] {
    return std::ranges::count_if(bed.router.endpoint_statuses(bed.now),
                                 [](auto& s) { return !s.is_usable; });
  };
  EXPECT_EQ(down(), 1);
  bed.tell(Ban{{1}, false});
  bed.tell(Ban{{20}, false});
  EXPECT_EQ(down(), 0);
  const auto all = bed.router.endpoint_statuses(bed.now);
  EXPECT_LT(all[0].effective_weight, all[1].effective_weight) << "it comes back cold";
  for (int i = 0; i < 5; ++i) ask_many(300 + 100 * static_cast<std::uint64_t>(i));
  EXPECT_GT(sent_to(1), 0u);
  EXPECT_GT(sent_to(20), 0u);
}

TEST(Bans, WithAllCachesOutRequestsAreRefusedAtOnceWithATimeToComeBack) {
  Bed bed;
  for (std::uint64_t id = 1; id <= 4; ++id) bed.tell(Ban{{id}, true});
  std::vector<Action> actions;
  bed.router.handle(bed.now, Request{{999}, {1}, {5}, {0}, 0, 100, 5 * kSecond, false}, actions);
  const auto refusal =
      std::ranges::find_if(actions, [](auto& a) { return std::holds_alternative<Reject>(a); });
  ASSERT_NE(refusal, actions.end());
  EXPECT_GT(std::get<Reject>(*refusal).retry_after, 0);
}

// Guards against two processes that each spend the whole budget of their router on a cold cache.
TEST(Twins, TogetherSendAColdCacheNoMoreThanOneWould) {
  const auto sent = [](std::vector<double> shares) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
      Bed bed(site(), fleet(), 7 + i);
      for (std::uint64_t id = 1; id <= 4; ++id) {
        bed.tell(EndpointUpdate{false, false, {cache(id, ServerStatus::ready, bed.now)}});
      }
      bed.tell(BudgetShare{shares[i], 0});
      for (std::uint64_t o = 0; o < 800; ++o) {
        const auto id = bed.ask(o, 0, 200);
        if (bed.sends.contains(id)) {
          ++n, bed.tell(bed.outcome(id, AttemptResult::ok, FillOutcome::hit));
        }
        bed.advance(5 * kMillisecond);
      }
    }
    return static_cast<double>(n);
  };
  const double one = sent({1});
  const double two = sent({0.5, 0.5});
  const double uneven = sent({0.9, 0.1});
  EXPECT_GT(one, 20);
  EXPECT_LT(
      two,
      1.25 * one);  // one send more for each cache and process: a budget may be overdrawn by one
  EXPECT_LT(uneven, 1.25 * one);
  EXPECT_GT(two, 0.6 * one);
  EXPECT_GT(sent({1, 1}), 1.6 * one) << "without shares they would pass it";
}

// Guards against a told number of routers being believed for ever: with half of ten lost, the five
// that are left would use half of what a cold cache may be asked for, and with five unknown ones
// beside them half more.
TEST(Twins, LeasedPartsStandForTheToldNumberOfRouters) {
  auto told = site();
  told.router_count = 10;
  told.router_count_by_location.assign(told.location.value + 1, 10);
  const auto sent = [&](std::size_t routers, const std::vector<double>& parts) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < routers; ++i) {
      Bed bed(told, fleet(), 7 + i);
      for (std::uint64_t id = 1; id <= 4; ++id) {
        bed.tell(EndpointUpdate{false, false, {cache(id, ServerStatus::ready, bed.now)}});
      }
      if (!parts.empty()) bed.tell(BudgetShare{1, 0, parts[i], parts[i]});
      for (std::uint64_t o = 0; o < 800; ++o) {
        const auto id = bed.ask(o, 0, 200);
        if (bed.sends.contains(id)) {
          ++n, bed.tell(bed.outcome(id, AttemptResult::ok, FillOutcome::hit));
        }
        bed.advance(5 * kMillisecond);
      }
    }
    return static_cast<double>(n);
  };
  const double all = sent(10, {});
  const double half = sent(5, {});
  const double leased = sent(5, {0.17, 0.17, 0.17, 0.17, 0.17});
  const double uneven = sent(4, {0.5, 0.2, 0.1, 0.05});
  const double twice = sent(20, {});
  const double whole = sent(1, {1});  // what one that is alone may send
  EXPECT_LT(half, 0.7 * all);
  EXPECT_GT(leased, 0.8 * all);
  EXPECT_LT(leased, whole);
  EXPECT_LT(uneven, whole);
  EXPECT_GT(twice, whole) << "told numbers that are wrong pass the budget";
}

// Guards against the debts that spread a fleet's first sends being forgiven where no other process
// has had them.
TEST(Twins, OneThatIsAloneStartsAsIfNothingHadBeenSaid) {
  const auto first = [](const std::vector<Event>& said, std::uint64_t seed) {
    Bed bed(site(), {}, seed);
    bed.tell(EndpointUpdate{
        true, false, {cache(1, ServerStatus::ready, bed.now), upstream(30, Role::origin)}});
    for (const auto& e : said) bed.tell(e);
    bed.advance(10 * kMillisecond);
    return bed.sends.contains(bed.ask(1, 0, 200));
  };
  std::size_t held_back = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EXPECT_EQ(first({BudgetShare{1, 0}}, seed), first({}, seed)) << seed;
    EXPECT_TRUE(first({BudgetShare{0.5, 0}}, seed)) << "the other has had them, seed " << seed;
    held_back += !first({}, seed);
  }
  EXPECT_GT(held_back, 10u);
}

}  // namespace
