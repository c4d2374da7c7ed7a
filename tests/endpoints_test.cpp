// Membership without I/O: the written form, its checks, merging, damping, weights. Tables and
// properties.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <limits>
#include <random>

#include "endpoints/check.h"
#include "endpoints/endpoint_set.h"
#include "endpoints/list.h"
#include "toml/document.h"

namespace {

using namespace alderspur;
using namespace alderspur::endpoints;

constexpr Time kSecond = 1'000'000, kStart = 1'000'000 * kSecond;

struct Spec {
  std::string id, address, state = "in_service", weight = "4.0", place = "edge-1", role = "cache";
  bool operator==(const Spec&) const = default;
};
std::string text_of(std::uint64_t generation, const std::vector<Spec>& servers,
                    const std::string& head = "") {
  std::string t = "format = 1\ngeneration = " + std::to_string(generation) +
                  "\nservers = " + std::to_string(servers.size()) + "\n" + head +
                  "[[hub]]\nname = \"hub\"\n[[point]]\nname = \"edge-1\"\nhub = \"hub\"\n"
                  "[[point]]\nname = \"edge-2\"\nhub = \"hub\"\n";
  for (const auto& s : servers)
    t += "[[server]]\nid = \"" + s.id + "\"\nrole = \"" + s.role + "\"\n" +
         (s.role == "cache" ? "point" : "hub") + " = \"" + s.place + "\"\naddress = \"" +
         s.address + "\"\nweight = " + s.weight + "\nstate = \"" + s.state + "\"\ncell = 0\n";
  return t;
}
std::vector<Spec> usual() {
  return {{"a", "127.0.0.1:1"},
          {"b", "127.0.0.1:2"},
          {"c", "127.0.0.1:3", "in_service", "4.0", "edge-2"},
          {"o", "127.0.0.1:9", "in_service", "10", "hub", "origin"}};
}
SnapshotPtr read(const std::string& text, diagnostics::Findings& f,
                 const Snapshot* in_force = nullptr) {
  auto r = read_list(text, "servers.toml", kStart, {}, f);
  if (!r.list) return nullptr;
  check_alone(*r.list, f);
  check_change(in_force, *r.list, {}, f);
  return f.good() ? r.list : nullptr;
}
SnapshotPtr good(const std::string& text) {
  diagnostics::Findings f;
  auto list = read(text, f);
  for (const auto& x : f.list()) ADD_FAILURE() << diagnostics::to_string(x);
  return list;
}
std::string replaced(std::string text, const std::string& what, const std::string& with) {
  const auto at = text.find(what);
  EXPECT_NE(at, std::string::npos) << what;
  return text.replace(at, what.size(), with);
}

TEST(List, WhatIsWrongIsRefusedWithItsPlaceAndWhatToDo) {
  const std::string fine = text_of(5, usual());
  const auto in_force = good(fine);
  struct Case {
    const char* name;
    std::string text, code;
    std::uint32_t line;
    std::string says;
  };
  const auto with = [&](const std::string& what, const std::string& to) {
    return replaced(fine, what, to);
  };
  const auto six = [&](std::vector<Spec> v, const std::string& head = "") {
    return text_of(6, v, head);
  };
  auto twice = usual(), shared = usual(), emptied = usual(), no_origin = usual(), half = usual();
  twice.push_back({"a", "127.0.0.1:4"});
  shared[1].address = shared[0].address;
  emptied[2].state = "draining";
  no_origin[3].state = "draining";
  half.erase(half.begin());
  half[0].id = "b2", half[0].address = "127.0.0.1:7";
  const std::vector<Case> cases = {
      {"empty", "", "L003", 1, "empty"},
      {"no end", fine.substr(0, fine.size() - 2), "L003", 43, "half written"},
      {"not TOML", with("format = 1", "format = "), "L001", 1, ""},
      {"a NUL", with("\"a\"", std::string("\"a\0\"", 4)), "L001", 13, "NUL"},
      {"bad UTF-8", with("\"a\"", "\"a\xff\""), "L001", 13, ""},
      {"a key twice", with("cell = 0", "cell = 0\ncell = 1"), "L001", 20, ""},
      {"count", with("servers = 4", "servers = 5"), "L005", 0, "cut off"},
      {"unknown key", with("weight", "wieght"), "F004", 17, "did you mean weight?"},
      {"missing key", with("cell = 0\n", ""), "F002", 12, "cell"},
      {"id twice", six(twice), "L008", 45, "first at line"},
      {"address twice", six(shared), "L009", 24, "127.0.0.1:1"},
      {"unknown point", with("point = \"edge-1\"", "point = \"egde-1\""), "L010", 15, "edge-1"},
      {"nan weight", with("weight = 4.0", "weight = nan"), "F003", 17, "not finite"},
      {"infinite weight", with("weight = 4.0", "weight = inf"), "F003", 17, "not finite"},
      {"no weight", with("weight = 4.0", "weight = 0"), "F003", 17, "out of bounds"},
      {"negative weight", with("weight = 4.0", "weight = -1.0"), "F003", 17, "out of bounds"},
      {"weight as text", with("weight = 4.0", "weight = \"4\""), "F003", 17, "a number"},
      {"a name for an address", with("127.0.0.1:1", "localhost:1"), "L011", 16, "127.0.0.1"},
      {"no port", with("127.0.0.1:1\"", "127.0.0.1:0\""), "L011", 16, ""},
      {"any address", with("127.0.0.1:1\"", "0.0.0.0:1\""), "L011", 16, ""},
      {"a bad name", with("id = \"a\"", "id = \"a b\""), "L012", 12, "letters"},
      {"unknown state", with("\"in_service\"", "\"inservice\""), "F003", 18, "in_service"},
      {"unknown role", with("\"cache\"", "\"cahce\""), "F003", 14, "cache"},
      {"another format", with("format = 1", "format = 2"), "F003", 1, ""},
      {"generation back", with("generation = 5", "generation = 4"), "L020", 0, "over 5"},
      {"generation reused", with("weight = 4.0", "weight = 4.5"), "L021", 0, "other content"},
      {"point emptied", six(emptied), "L022", 0, "edge-2"},
      {"role emptied", six(no_origin), "L022", 0, "origin"},
      {"too much at once", six(half), "L023", 0, "confirm = 6"},
      {"bad digest", "digest = \"xxh3:0123456789abcdef\"\n" + fine, "L006", 1, "seal"},
  };
  for (const auto& c : cases) {
    diagnostics::Findings f;
    EXPECT_EQ(read(c.text, f, in_force.get()), nullptr) << c.name;
    ASSERT_FALSE(f.list().empty()) << c.name;
    const auto of_code =
        std::find_if(f.list().begin(), f.list().end(), [&](auto& x) { return x.code == c.code; });
    ASSERT_NE(of_code, f.list().end()) << c.name << ": " << diagnostics::to_string(f.list()[0]);
    const auto& first = *of_code;
    EXPECT_EQ(first.place.line, c.line) << c.name << ": " << diagnostics::to_string(first);
    EXPECT_NE(diagnostics::to_string(first).find(c.says), std::string::npos)
        << diagnostics::to_string(first);
    EXPECT_EQ(first.place.file, "servers.toml") << c.name;
  }
  diagnostics::Findings f;
  EXPECT_TRUE(read(fine, f, in_force.get())) << "the same again is no change";
  EXPECT_TRUE(read(six(half, "confirm = 6\n"), f, in_force.get())) << "confirmed";
  EXPECT_TRUE(read(with_digest(fine), f, in_force.get()));
  EXPECT_EQ(with_digest(with_digest(fine)), with_digest(fine));
  EXPECT_FALSE(read(std::string((16 << 20) + 1, '\n'), f));
}

// Guards against a list that was cut at a line's end and still reads well.
TEST(List, CutAnywhereItIsRefusedOrMeansTheSame) {
  const std::string fine = text_of(5, usual());
  const auto whole = good(fine);
  for (std::size_t n = 0; n < fine.size(); ++n) {
    diagnostics::Findings f;
    const auto cut = read(fine.substr(0, n), f);
    EXPECT_FALSE(cut) << "cut at byte " << n;
  }
  // With comments and empty lines behind the last server, cutting those is harmless.
  diagnostics::Findings f;
  const auto cut = read(fine + "# that was all\n", f);
  ASSERT_TRUE(cut);
  EXPECT_EQ(cut->digest, whole->digest);
}

// Read side by side in parts a large list must give what it gives as a whole, findings and lines
// included.
TEST(List, PartsReadSideBySideGiveTheSame) {
  std::vector<Spec> v = usual();
  for (int i = 0; i < 300; ++i)
    v.push_back({"n" + std::to_string(i),
                 "127.2.0." + std::to_string(1 + i / 200) + ":" + std::to_string(1 + i % 200)});
  const auto fine = text_of(5, v);
  const auto with_point_last = fine + "[[point]]\nname = \"late\"\nhub = \"hub\"\n";
  auto twice = fine, wrong = fine;
  twice = replaced(twice, "\"n299\"", "\"n7\"");
  wrong = replaced(wrong, "\"127.2.0.2:90\"", "\"nowhere\"");
  for (const auto& text : {fine, with_point_last, twice, wrong, fine.substr(0, fine.size() - 7)}) {
    diagnostics::Findings one, four;
    ListLimits limits;
    const auto a = read_list(text, "s", kStart, limits, one);
    limits.part_bytes = 2000, limits.threads = 4;
    ASSERT_TRUE(limits.is_read_in_parts(text.size()));
    const auto b = read_list(text, "s", kStart, limits, four);
    ASSERT_EQ(a.list == nullptr, b.list == nullptr);
    if (a.list) {
      EXPECT_EQ(a.list->digest, b.list->digest);
    }
    ASSERT_EQ(one.list().size(), four.list().size());
    for (std::size_t i = 0; i < one.list().size(); ++i)
      EXPECT_EQ(diagnostics::to_string(one.list()[i]), diagnostics::to_string(four.list()[i]));
    if (a.list) {
      EXPECT_EQ(a.list->servers[100].line, b.list->servers[100].line);
    }
  }
}

TEST(List, AManifestCountsOnlyWithAllItsPieces) {
  const std::vector<Spec> all = usual();
  const auto body = [](const std::vector<Spec>& v) {
    const auto t = text_of(1, v);
    return t.substr(t.find("[[server]]"));
  };
  const std::vector<std::string> texts = {body({all[0], all[1]}), body({all[2], all[3]})};
  std::string head = text_of(7, {});
  head = replaced(head, "servers = 0", "servers = 4");
  for (std::size_t i = 0; i < 2; ++i)
    head += "[[piece]]\nfile = \"p" + std::to_string(i) + ".toml\"\ndigest = \"" +
            format_digest(compute_digest(texts[i])) + "\"\n";
  diagnostics::Findings f;
  const auto manifest = read_list(head, "manifest.toml", kStart, {}, f);
  ASSERT_TRUE(manifest.list);
  const auto list = read_pieces(manifest, texts, {}, f);
  ASSERT_TRUE(list);
  EXPECT_EQ(list->servers.size(), 4u);
  EXPECT_EQ(list->digest, good(text_of(7, all))->digest) << "in pieces or not, it means the same";
  EXPECT_EQ(list->file_of(*list->find(server_id("c"))), "p1.toml");

  auto spoilt = texts;
  spoilt[1].pop_back();
  diagnostics::Findings g;
  EXPECT_FALSE(read_pieces(manifest, spoilt, {}, g));
  EXPECT_EQ(g.list()[0].code, "L006");
  EXPECT_EQ(g.list()[0].place.line, 15u) << "the manifest's line";
  for (const std::string bad : {"../p0.toml", "/etc/passwd", ".hidden", "a/b"}) {
    diagnostics::Findings h;
    EXPECT_FALSE(read_list(replaced(head, "p0.toml", bad), "m", kStart, {}, h).list) << bad;
    EXPECT_EQ(h.list()[0].code, "L012");
  }
}

TEST(Merge, TheMoreCarefulHoldsFieldByField) {
  const auto member = [](ServerStatus st, double weight, Time born,
                         const char* address = "127.0.0.1:1") {
    return Member{{server_id("a"), Role::cache, {1}, {0}, st, weight, born}, "a", address};
  };
  const auto R = ServerStatus::ready, D = ServerStatus::draining, G = ServerStatus::gone;
  struct Case {
    std::optional<Member> board, files;
    ServerStatus status;
    double weight;
    Time born;
    Reason reason;
  };
  const std::vector<Case> cases = {
      {member(R, 4, 0), member(R, 4, 0), R, 4, 0, Reason::as_listed},
      {member(R, 2, 9), member(R, 4, 0), R, 2, 9, Reason::weight_lower},
      {member(R, 4, 0), member(D, 4, 0), D, 4, 0, Reason::files_draining},
      {member(D, 4, 0), member(R, 4, 0), D, 4, 0, Reason::board_draining},
      {member(R, 4, 0), {}, G, 4, 0, Reason::not_in_files},
      {{}, member(R, 4, 0), G, 4, 0, Reason::not_on_board},
      {member(R, 4, 0), member(R, 4, 0, "127.0.0.1:2"), G, 4, 0, Reason::locations_differ},
  };
  for (const auto& c : cases) {
    const auto m = merge(Authority::both, {c.board ? &*c.board : nullptr,
                                           c.files ? &*c.files : nullptr, true, true});
    ASSERT_TRUE(m);
    EXPECT_EQ(m->member.server.status, c.status) << to_string(c.reason);
    EXPECT_EQ(m->member.server.weight, c.weight) << to_string(c.reason);
    EXPECT_EQ(m->member.server.started_at, c.born) << to_string(c.reason);
    EXPECT_EQ(m->reason, c.reason) << to_string(c.reason);
  }
  const auto a = member(R, 4, 0), b = member(D, 2, 0);
  EXPECT_EQ(merge(Authority::both, {&a, nullptr, true, false})->member.server.status, R)
      << "one has not spoken";
  EXPECT_EQ(merge(Authority::files, {&a, &b, true, true})->member.server.status, D);
  EXPECT_EQ(merge(Authority::board, {&a, &b, true, true})->member.server.status, R);
  EXPECT_FALSE(merge(Authority::files, {&a, nullptr, true, true}));
}

RC_GTEST_PROP(Merge, CommutesAndIsNeverLessCarefulThanEither, ()) {
  const auto any = [] {
    const auto st =
        *rc::gen::element(ServerStatus::ready, ServerStatus::draining, ServerStatus::gone);
    return Member{{server_id("a"),
                   Role::cache,
                   {*rc::gen::inRange(0u, 2u)},
                   {0},
                   st,
                   *rc::gen::inRange(1, 4) * 1.0,
                   *rc::gen::inRange<Time>(0, 3)},
                  "a",
                  *rc::gen::element<std::string>("127.0.0.1:1", "127.0.0.1:2")};
  };
  const Member a = any(), b = any();
  const auto x = merge(Authority::both, {&a, &b, true, true}),
             y = merge(Authority::both, {&b, &a, true, true});
  RC_ASSERT(x->member.server.status == y->member.server.status);
  RC_ASSERT(x->member.server.weight == y->member.server.weight);
  RC_ASSERT(x->member.server.started_at == y->member.server.started_at);
  for (const auto* m : {&a, &b}) {
    if (m->server.status != ServerStatus::ready)
      RC_ASSERT(x->member.server.status != ServerStatus::ready);
    RC_ASSERT(x->member.server.weight <= m->server.weight);
    RC_ASSERT(x->member.server.started_at >= m->server.started_at);
  }
}

TEST(Damping, WhoeverComesAndGoesIsHeldOutForAWhile) {
  DampingSettings s;
  FlapDamping f;
  f.record_departure(0, s);
  f.record_departure(kSecond, s);
  EXPECT_FALSE(f.update_suppressed(kSecond, s)) << "twice may be a restart gone wrong";
  f.record_departure(2 * kSecond, s);
  EXPECT_TRUE(f.update_suppressed(2 * kSecond, s));
  const Time free = f.reuse_time(2 * kSecond, s);
  EXPECT_TRUE(f.update_suppressed(free - kSecond / 10, s));
  EXPECT_FALSE(f.update_suppressed(free, s));
  EXPECT_GT(free, 20 * kSecond);
  for (int i = 0; i < 100; ++i) f.record_departure(free, s);
  EXPECT_TRUE(f.update_suppressed(free, s));
  EXPECT_LE(f.reuse_time(free, s), free + s.max_suppress_time + kSecond / 1000)
      << "never for longer than the bound";
  EXPECT_EQ(f.penalty(free - 50 * kSecond, s), f.penalty(free, s))
      << "a clock that steps back adds nothing";
}

// A fleet fed by files, with what it told kept as a consumer would keep it.
struct Fed {
  explicit Fed(EndpointSetSettings s = {}) : fleet(s) {}
  SnapshotPtr list(const std::vector<Spec>& servers, Time now) {
    diagnostics::Findings f;
    ++generation;
    auto next =
        read_list(text_of(generation, servers, "confirm = " + std::to_string(generation) + "\n"),
                  "servers.toml", now, {}, f);
    EXPECT_TRUE(next.list) << (f.list().empty() ? "" : diagnostics::to_string(f.list()[0]));
    CandidateList o{
        next.list, fleet.current_list(), difference(fleet.current_list().get(), *next.list), {}};
    o.zones = resolve_zones(*next.list, {"hub", "edge-1", "edge-2"}, f);
    EXPECT_TRUE(fleet.apply_list(o, now));
    pull();
    return next.list;
  }
  void at(Time now) {
    for (int i = 0; i < 1000 && fleet.next_wakeup() <= now; ++i) fleet.advance(now);
    pull();
  }
  void pull() {
    bool ready_seen = false;
    for (const auto& c : fleet.take_changes()) {
      const bool ready = c.member.server.status == ServerStatus::ready;
      EXPECT_FALSE(ready_seen && !ready) << "departures come first";
      ready_seen |= ready;
      told[c.member.name] = c.member.server;
    }
  }
  EndpointSet fleet;
  std::uint64_t generation = 0;
  std::map<std::string, Server> told;
};

TEST(Fleet, DrainsAndRemovalsActAtOnceAndWhoReturnsIsCold) {
  Fed f;
  auto v = usual();
  f.list(v, kStart);
  EXPECT_EQ(f.told["a"].status, ServerStatus::ready);
  EXPECT_EQ(f.told["a"].started_at, 0) << "nobody in the first list is new";
  EXPECT_EQ(f.told["o"].location.value, 0u);
  EXPECT_EQ(f.told["c"].location.value, 2u);
  v[0].state = "draining";
  f.list(v, kStart + kSecond);
  EXPECT_EQ(f.told["a"].status, ServerStatus::draining);
  v[0].state = "in_service";
  f.list(v, kStart + 2 * kSecond);
  f.at(kStart + 2 * kSecond);
  EXPECT_EQ(f.told["a"].started_at, 0) << "a drain taken back is no restart";
  auto without = v;
  without.erase(without.begin());
  f.list(without, kStart + 3 * kSecond);
  EXPECT_EQ(f.told["a"].status, ServerStatus::gone);
  f.list(v, kStart + 200 * kSecond);
  f.at(kStart + 200 * kSecond);
  EXPECT_EQ(f.told["a"].status, ServerStatus::ready);
  EXPECT_EQ(f.told["a"].started_at, kStart + 200 * kSecond);
  v[1].address = "127.0.0.1:77";
  f.list(v, kStart + 201 * kSecond);
  EXPECT_EQ(f.told["b"].started_at, kStart + 201 * kSecond) << "another address: another process";
}

TEST(Fleet, WeightsMoveByStepsAndArriveWhereTheyShould) {
  Fed f;
  auto v = usual();
  f.list(v, kStart);
  v[0].weight = "16.0";
  f.list(v, kStart + kSecond);
  f.at(kStart + kSecond);
  double before = 4;
  int steps = 0;
  for (Time t = kStart + kSecond; f.told["a"].weight != 16.0 && steps < 100; t += kSecond / 4) {
    f.at(t);
    EXPECT_LE(f.told["a"].weight, before * 1.25 + 1e-9);
    EXPECT_GE(f.told["a"].weight, before);
    before = f.told["a"].weight, ++steps;
  }
  EXPECT_EQ(f.told["a"].weight, 16.0);
  EXPECT_EQ(f.fleet.next_wakeup(), std::numeric_limits<Time>::max()) << "nothing is left to do";
}

TEST(Fleet, AServerThatFlapsIsHeldOutButNeverTheLastOfItsPlace) {
  Fed f;
  auto v = usual();
  f.list(v, kStart);
  Time t = kStart;
  const auto flap = [&](std::size_t i, int times) {
    for (int n = 0; n < times; ++n) {
      v[i].state = "draining", f.list(v, t += kSecond), f.at(t);
      v[i].state = "in_service", f.list(v, t += kSecond), f.at(t);
    }
  };
  flap(0, 4);
  EXPECT_EQ(f.told["a"].status, ServerStatus::draining);
  EXPECT_EQ(f.fleet.reason(server_id("a")), Reason::flapping);
  flap(2, 6);
  EXPECT_EQ(f.told["c"].status, ServerStatus::ready) << "the only cache of edge-2";
  v[1].state = "draining";  // b was all that edge-1 had left
  f.list(v, t += kSecond);
  f.at(t);
  EXPECT_EQ(f.told["a"].status, ServerStatus::ready) << "held out no longer: nobody else is there";
  v[1].state = "in_service";
  f.list(v, t += kSecond);
  f.at(t += 120 * kSecond);
  EXPECT_EQ(f.told["a"].status, ServerStatus::ready);
  EXPECT_EQ(f.told["b"].status, ServerStatus::ready);
}

TEST(Fleet, WhatItRemembersOutlivesARestart) {
  Fed f;
  auto v = usual();
  f.list(v, kStart);
  v.push_back({"n", "127.0.0.1:5"});
  v[1].weight = "9.0";
  const auto list = f.list(v, kStart + kSecond);
  f.at(kStart + kSecond);
  const auto remembered = f.fleet.remembered(kStart + kSecond);
  ASSERT_EQ(remembered.size(), 2u) << "only what there is something to say of";
  Fed g;
  g.fleet.restore(remembered);
  g.generation = 1;
  g.list(v, kStart + 2 * kSecond);
  EXPECT_EQ(g.told["n"].started_at, kStart + kSecond);
  EXPECT_EQ(g.told["a"].started_at, 0);
  EXPECT_EQ(g.told["b"].weight, 6.25) << "a step goes on from where it was, 5.0";
}

TEST(Fleet, ALargeChangeIsTakenInPartsWithItsDeparturesFirst) {
  Fed f;
  auto v = usual();
  f.list(v, kStart);
  for (int i = 0; i < 2500; ++i)
    v.push_back({"n" + std::to_string(i), "127.0.1.1:" + std::to_string(i + 1)});
  v[0].state = "draining";
  f.list(v, kStart + kSecond);
  EXPECT_EQ(f.told["a"].status, ServerStatus::draining);
  EXPECT_EQ(f.told.size(), 4u);
  f.fleet.advance(kStart + kSecond);
  f.pull();
  EXPECT_EQ(f.told.size(), 4u + EndpointSet::kMaxChangesPerTurn);
  f.at(kStart + kSecond);
  EXPECT_EQ(f.told.size(), 2504u);
}

TEST(Fleet, WithBothTheFirstWordOfTheBoardBindsWhatTheFilesListed) {
  Fed f({Authority::both, 1.25, kSecond, {}});
  f.list(usual(), kStart);
  EXPECT_EQ(f.told["a"].status, ServerStatus::ready) << "the board has not spoken";
  auto member = [](const char* id, const char* at, std::uint32_t zone) {
    return Member{{server_id(id), Role::cache, {zone}, {0}, ServerStatus::ready, 4, 0}, id, at};
  };
  f.fleet.apply_board_update(true, {member("a", "127.0.0.1:1", 1), member("b", "127.0.0.1:3", 1)},
                             kStart + kSecond);
  f.pull();
  EXPECT_EQ(f.told["a"].status, ServerStatus::ready);
  EXPECT_EQ(f.told["b"].status, ServerStatus::gone) << "another address";
  EXPECT_EQ(f.told["c"].status, ServerStatus::gone) << "the board does not list it";
  EXPECT_EQ(f.fleet.reason(server_id("c")), Reason::not_on_board);
}

// After any edits: what was told is what the list in force and the board say, once nothing is due;
// and it never runs ahead: nothing is ready that the list in force does not have in service.
RC_GTEST_PROP(Fleet, AfterAnyEditsItComesToWhatTheListSays, ()) {
  Fed f;
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  Time t = kStart;
  std::vector<Spec> v = usual();
  SnapshotPtr list;
  for (int round = 0; round < 20; ++round) {
    const std::size_t i = random() % v.size();
    switch (random() % 5) {
      case 0:
        v[i].state = v[i].state == "draining" ? "in_service" : "draining";
        break;
      case 1:
        v[i].weight = std::to_string(1 + random() % 20) + ".0";
        break;
      case 2:
        if (v.size() > 4) v.erase(v.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      case 3:
        v[i].address = "127.0.2.1:" + std::to_string(1000 + round);
        break;
      default:
        v.push_back({"x" + std::to_string(random() % 6 + 100U * static_cast<unsigned>(round)),
                     "127.0.3.1:" + std::to_string(1000 + round), "in_service", "4.0",
                     random() % 2 ? "edge-1" : "edge-2"});
    }
    list = f.list(v, t += static_cast<Time>(random() % 3'000'000));
    for (const auto& [name, s] : f.told) {
      const auto* now = list->find(server_id(name));
      if (s.status == ServerStatus::ready) RC_ASSERT(now && now->state == ServerState::in_service);
    }
    if (random() % 2) f.at(t);
  }
  for (int i = 0; i < 200; ++i) f.at(t += kSecond);
  for (const auto& s : list->servers) {
    const auto& told = f.told[s.name];
    RC_ASSERT(told.weight == s.weight);
    RC_ASSERT(told.status ==
              (s.state == ServerState::in_service ? ServerStatus::ready : ServerStatus::draining));
  }
  for (const auto& [name, s] : f.told)
    RC_ASSERT(list->find(server_id(name)) || s.status == ServerStatus::gone);
}

// Random edits of the text itself: whatever is taken passes all checks, and reading it twice is no
// change.
RC_GTEST_PROP(List, WhateverIsTakenPassesAllChecksAndReadsTheSameTwice, ()) {
  static const std::string fine = text_of(5, usual());
  static const auto in_force = good(fine);
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random()) % n; };
  for (int round = 0; round < 25; ++round) {
    std::string text = fine;
    for (std::size_t i = 0, edits = 1 + below(4); i < edits && !text.empty(); ++i) {
      const auto at = below(text.size());
      switch (below(4)) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, 1 + below(40));
          break;
        case 2:
          text.insert(at, text.substr(below(text.size()), 30));
          break;
        default:
          text.resize(at);
      }
    }
    diagnostics::Findings f;
    const auto list = read(text, f, in_force.get());
    if (!list) {
      RC_ASSERT(!f.good());
      continue;
    }
    diagnostics::Findings again;
    check_alone(*list, again);
    check_change(in_force.get(), *list, {}, again);
    RC_ASSERT(again.good());
    RC_ASSERT(list->generation > 5 || list->digest == in_force->digest);
    diagnostics::Findings g;
    const auto twice = read(text, g, list.get());
    RC_ASSERT(twice && twice->digest == list->digest && difference(list.get(), *twice).is_empty());
  }
}

TEST(Form, QuantitiesNeedTheirUnits) {
  EXPECT_EQ(toml::parse_duration("250 ms"), 250'000);
  EXPECT_EQ(toml::parse_duration("2.5s"), 2'500'000);
  EXPECT_EQ(toml::parse_size("64 MB"), 64e6);
  EXPECT_EQ(toml::parse_size("1 KiB"), 1024);
  for (const char* bad : {"250", "", "ms", "1 S", "-1 s", "1e3 s", "1 s s", "1.2.3 s"})
    EXPECT_FALSE(toml::parse_duration(bad)) << bad;
  EXPECT_EQ(diagnostics::nearest("wieght", {"weight", "state"}), "weight");
  EXPECT_EQ(diagnostics::nearest("quite another", {"weight", "state"}), "");
}

}  // namespace
