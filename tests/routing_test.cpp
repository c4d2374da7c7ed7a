// The table of routes: precedence by a table of cases, and against a plain linear matcher on random
// programs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "config_language/check.h"
#include "config_language/parser.h"
#include "endpoints/list.h"
#include "routing/server_selection.h"
#include "routing/table.h"

namespace {

using namespace alderspur;
using routing::RequestAttributes;

class One : public config_language::Loader {
 public:
  explicit One(std::string text) : text_(std::move(text)) {}
  config_language::ReadResult read(const std::string&) override { return text_; }
  std::vector<std::string> match(const std::string&) override { return {}; }

 private:
  std::string text_;
};
std::unique_ptr<routing::Table> table(const std::string& routes) {
  One loader("class a {\n  repeat = safe\n  deadline = 1 s\n}\n" + routes);
  diagnostics::Findings f;
  const auto program = config_language::load("main.alder", loader, f);
  const auto meaning = config_language::check(program, f);
  for (const auto& x : f.list()) {
    if (x.severity == diagnostics::Severity::error) ADD_FAILURE() << program.sources.render(x);
  }
  return std::make_unique<routing::Table>(meaning, program.sources);
}
std::string route(const std::string& name, const std::string& path, const std::string& more = "") {
  return "route " + name + " {\n  path = \"" + path + "\"\n  class = a\n" + more + "}\n";
}
RequestAttributes ask(std::string_view host, std::string_view path, std::string_view method = "GET",
                      std::string_view point = "p") {
  return {host, path, method, point, {}, {}, 0};
}
std::string name(const routing::Table& t, const RequestAttributes& q) {
  const auto m = t.match(q);
  return m ? m->route->name : "none";
}

TEST(RoutingTest, PrefersTheMoreSpecificRoute) {
  const auto t =
      table(route("all", "/*") + route("item", "/v/{o}/{part}") + route("first", "/v/{o}/0") +
            route("fixed", "/v/x/{part}") + route("below", "/v/*") +
            route("posted", "/v/{o}/{part}", "  method = POST\n") +
            route("beta", "/v/{o}/{part}", "  header \"x-tier\" = \"beta\"\n") +
            route("here", "/v/x/{part}", "  host = \"a.example\"\n") +
            route("sub", "/s", "  host = \"*.example\"\n") +
            route("deep", "/s", "  host = \"*.b.example\"\n") + "when point \"q\" {\n" +
            route("at-q", "/v/{o}/{part}") + "}\n");
  const struct {
    const char *host, *path, *method, *point, *wanted;
  } cases[] = {
      {"h", "/v/y/7", "GET", "p", "item"},
      {"h", "/v/y/0", "GET", "p", "first"},
      {"h", "/v/x/0", "GET", "p", "fixed"},
      {"h", "/v/x/7", "GET", "p", "fixed"},
      {"h", "/v/y", "GET", "p", "below"},
      {"h", "/v/y/7/8", "GET", "p", "below"},
      {"h", "/v/", "GET", "p", "below"},
      {"h", "/v", "GET", "p", "all"},
      {"h", "/", "GET", "p", "all"},
      {"h", "/v/y/7", "POST", "p", "posted"},
      {"h", "/v/y/7", "GET", "q", "at-q"},
      {"a.example", "/v/x/7", "GET", "p", "here"},
      {"A.Example:80", "/v/x/7", "GET", "p", "here"},
      {"a.example", "/v/y/7", "GET", "p", "item"},
      {"x.example", "/s", "GET", "p", "sub"},
      {"x.b.example", "/s", "GET", "p", "deep"},
      {"example", "/s", "GET", "p", "all"},
      {"h", "v/y", "GET", "p", "none"},
      {"h", "", "GET", "p", "none"},
      {"h", "/v/y/", "GET", "p", "below"},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(name(*t, ask(c.host, c.path, c.method, c.point)), c.wanted) << c.host << c.path;
  }
  auto q = ask("h", "/v/y/7");
  q.header = [](std::string_view n) {
    return n == "x-tier" ? std::optional<std::string_view>("beta") : std::nullopt;
  };
  EXPECT_EQ(name(*t, q), "beta");
  const auto m = t->match(ask("h", "/v/obj/7"));
  ASSERT_EQ(m->captures.size(), 2u);
  EXPECT_EQ(m->captures[0], (routing::Capture{"o", "obj"}));
  EXPECT_EQ(t->match(ask("h", "/v/a/b/c"))->captures[0].value, "a/b/c");
  EXPECT_FALSE(t->match(ask("h", "/" + std::string(10'000, '/'))));
}

TEST(RoutingTest, SplitsStablyByTheirWeights) {
  const auto t = table("pool near {\n  role = cache\n}\npool far {\n  role = cache\n}\n" +
                       route("r", "/r", "  pool = near\n  split 20% {\n    pool = far\n  }\n"));
  int far = 0;
  for (std::uint64_t h = 0; h < 10'000; ++h) {
    auto q = ask("h", "/r");
    q.hash = h;
    const auto pool = *t->match(q)->destination.pool;
    EXPECT_EQ(pool, *t->match(q)->destination.pool);
    far += t->pools()[pool].name == "far";
  }
  EXPECT_NEAR(far, 2000, 200);
}

TEST(RoutingTest, ResolvesPoolsToServersInService) {
  const auto t = table(
      "pool edge {\n  role = cache\n  point = [\"e1\", \"e2\"]\n  weight-least = 2\n}\npool one "
      "{\n  role = "
      "cache\n"
      "  cell = [1, 2]\n}\npool mid {\n  role = parent\n  hub = \"n\"\n}\n" +
      route("r", "/r", "  pool = edge\n") + route("s", "/s", "  pool = one\n") +
      route("u", "/u", "  pool = mid\n"));
  int port = 0;
  std::string text =
      "format = 1\ngeneration = 1\nservers = 6\n[[hub]]\nname = \"n\"\n[[hub]]\nname = \"s\"\n";
  for (const char* p : {"e1", "e2", "e3"}) {
    text += std::string("[[point]]\nname = \"") + p + "\"\nhub = \"n\"\n";
  }
  const auto server = [&](const char* id, const char* role, const char* place, const char* weight,
                          const char* state, int cell) {
    text += std::string("[[server]]\nid = \"") + id + "\"\nrole = \"" + role + "\"\n" +
            (std::string(role) == "cache" ? "point" : "hub") + " = \"" + place +
            "\"\naddress = \"127.0.0.1:" + std::to_string(++port) + "\"\nweight = " + weight +
            "\nstate = \"" + state + "\"\ncell = " + std::to_string(cell) + "\n";
  };
  server("a", "cache", "e1", "4", "in_service", 1);
  server("light", "cache", "e2", "1", "in_service", 0);
  server("drained", "cache", "e2", "4", "draining", 2);
  server("c", "cache", "e3", "4", "in_service", 2);
  server("m", "parent", "n", "4", "in_service", 0);
  server("other", "parent", "s", "4", "in_service", 0);
  diagnostics::Findings f;
  const auto list = endpoints::read_list(text, "l", 0, {}, f).list;
  ASSERT_TRUE(list) << (f.list().empty() ? "" : diagnostics::to_string(f.list()[0]));
  const auto ids = [&](std::size_t pool) {
    std::vector<std::string> out;
    for (const auto id : routing::select_servers(t->pools()[pool], *list)) {
      out.push_back(list->find(id)->name);
    }
    std::sort(out.begin(), out.end());
    return out;
  };
  EXPECT_EQ(ids(0), (std::vector<std::string>{"a"}));
  EXPECT_EQ(ids(1), (std::vector<std::string>{"a", "c"}));
  EXPECT_EQ(ids(2), (std::vector<std::string>{"m"}));
}

// What the table finds is what a walk over all routes finds that compares them by the stated
// precedence.
const routing::Route* linear(const routing::Table& t, const RequestAttributes& q) {
  std::vector<std::string> parts;
  for (std::size_t at = 1; at <= q.path.size();) {
    const auto slash = std::min(q.path.find('/', at), q.path.size());
    parts.emplace_back(q.path.substr(at, slash - at));
    at = slash + 1;
  }
  const routing::Route* best = nullptr;
  std::vector<int> best_rank;
  for (const auto& r : t.routes()) {
    std::vector<int> rank;
    int host = r.hosts.empty() ? 1 : 0;
    for (const auto& h : r.hosts) {
      if (routing::host_matches(h, q.host)) {
        host = std::max(host, h.starts_with("*.") ? 1 + static_cast<int>(h.size()) : 1000);
      }
    }
    bool fits = host > 0;
    rank.push_back(host);
    std::size_t i = 0;
    bool rest = false;
    for (const auto& s : r.path) {
      if (s.kind == config_language::Segment::Kind::rest) {
        rest = true;
        fits &= i < parts.size();
        rank.push_back(0);
        break;
      }
      const bool literal = s.kind == config_language::Segment::Kind::literal;
      fits &= i < parts.size() && (literal ? parts[i] == s.text : !parts[i].empty());
      rank.push_back(literal ? 2 : 1);
      ++i;
    }
    fits &= rest || i == parts.size();
    fits &= r.methods.empty() ||
            std::find(r.methods.begin(), r.methods.end(), q.method) != r.methods.end();
    fits &= r.locations.empty() ||
            std::find(r.locations.begin(), r.locations.end(), q.location) != r.locations.end();
    if (!fits) continue;
    rank.resize(12, -1);
    rank.push_back(static_cast<int>(!r.methods.empty()) + static_cast<int>(!r.locations.empty()));
    if (best && best_rank >= rank) continue;
    best = &r;
    best_rank = rank;
  }
  return best;
}

RC_GTEST_PROP(RoutingTest, AgreesWithALinearMatcher, ()) {
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  const auto pick = [&](std::initializer_list<const char*> all) {
    return std::string(*(all.begin() + static_cast<std::ptrdiff_t>(random() % all.size())));
  };
  const auto path = [&](bool pattern) {
    std::string out;
    const std::size_t n = 1 + random() % 4;
    for (std::size_t i = 0; i < n; ++i) {
      auto part = pattern ? pick({"a", "b", "{x}", "{y}"}) : pick({"a", "b", "c", ""});
      if (part.starts_with('{')) part = "{c" + std::to_string(i) + "}";
      out += "/" + part;
    }
    if (pattern && random() % 4 == 0) out += "/*";
    return out;
  };
  std::string text = "class a {\n  repeat = safe\n  deadline = 1 s\n}\n";
  for (int i = 0; i < 25; ++i) {
    std::string more;
    if (random() % 3 == 0) {
      more += "  host = " + pick({"\"h.x\"", R"(["h.x", "*.y"])", "\"*.x\"", "\"*.h.x\""}) + "\n";
    }
    if (random() % 3 == 0) more += "  method = " + pick({"GET", "POST", "[GET, HEAD]"}) + "\n";
    if (random() % 4 == 0) more += "  point = " + pick({"\"p\"", "\"q\""}) + "\n";
    text += route("r" + std::to_string(i), path(true), more);
  }
  One loader(text);
  diagnostics::Findings f;
  const auto program = config_language::load("main.alder", loader, f);
  const auto meaning =
      config_language::check(program, f);  // routes that hide others are part of it
  const routing::Table t(meaning, program.sources);
  for (int i = 0; i < 60; ++i) {
    const auto host = pick({"h.x", "z.y", "g.h.x", "other"});
    const auto p = path(false);
    const auto method = pick({"GET", "POST", "HEAD"});
    const auto point = pick({"p", "q"});
    const auto q = ask(host, p, method, point);
    const auto m = t.match(q);
    RC_ASSERT((m ? m->route : nullptr) == linear(t, q));
  }
}

}  // namespace
