// What all routers together send to a server that has just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <tuple>
#include <vector>

#include "support/router_fixture.h"

namespace {

using namespace router_fixture;

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

TEST(Cold, SuspectedColdnessYieldsWhenNobodyElseCanServe) {
  auto s = site();
  s.weights = WeightKind::none;
  Bed bed(s, {cache(1), upstream(20, Role::parent), upstream(30, Role::origin)});
  for (int i = 0; i < 2; ++i) bed.end(bed.ask(1), AttemptResult::connect_failed);
  bed.advance(9 * kSecond);
  bed.serve(1);  // the test that it passes; it may have restarted unseen
  for (int i = 0; i < 20; ++i) EXPECT_EQ(bed.serve(static_cast<std::uint64_t>(i)), 1u);
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
