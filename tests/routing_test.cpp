// Tests the table of routes: precedence in single cases, and in comparison with a linear matcher on
// random programs. Also tests splits and the selection of a pool's servers.
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

/// Loads a program that consists of one file.
class SingleFileLoader : public config_language::Loader {
 public:
  explicit SingleFileLoader(std::string text) : text_(std::move(text)) {}
  config_language::ReadResult read(const std::string&) override { return text_; }
  std::vector<std::string> match(const std::string&) override { return {}; }

 private:
  std::string text_;
};

/// Compiles a program with the class `a` and these declarations. The test fails if it has an error.
std::unique_ptr<routing::Table> compile_table(const std::string& declarations) {
  SingleFileLoader loader("class a {\n  repeat = safe\n  deadline = 1 s\n}\n" + declarations);
  diagnostics::Findings findings;
  const auto program = config_language::load("main.alder", loader, findings);
  const auto meaning = config_language::check(program, findings);
  for (const auto& finding : findings.list()) {
    if (finding.severity == diagnostics::Severity::error) {
      ADD_FAILURE() << program.sources.render(finding);
    }
  }
  return std::make_unique<routing::Table>(meaning, program.sources);
}

/// Returns the declaration of a route with the class `a`. `fields` contains further lines.
std::string route_text(const std::string& name, const std::string& path,
                       const std::string& fields = "") {
  return "route " + name + " {\n  path = \"" + path + "\"\n  class = a\n" + fields + "}\n";
}

RequestAttributes request_for(std::string_view host, std::string_view path,
                              std::string_view method = "GET", std::string_view point = "p") {
  return {host, path, method, point, {}, {}, 0};
}

/// Returns the name of the route that the table finds for a request, or "none".
std::string matched_name(const routing::Table& table, const RequestAttributes& request) {
  const auto match = table.match(request);
  return match ? match->route->name : "none";
}

TEST(RoutingTest, PrefersTheMoreSpecificRoute) {
  const auto table = compile_table(
      route_text("all", "/*") + route_text("item", "/v/{o}/{part}") +
      route_text("first", "/v/{o}/0") + route_text("fixed", "/v/x/{part}") +
      route_text("below", "/v/*") + route_text("posted", "/v/{o}/{part}", "  method = POST\n") +
      route_text("beta", "/v/{o}/{part}", "  header \"x-tier\" = \"beta\"\n") +
      route_text("here", "/v/x/{part}", "  host = \"a.example\"\n") +
      route_text("sub", "/s", "  host = \"*.example\"\n") +
      route_text("deep", "/s", "  host = \"*.b.example\"\n") + "when point \"q\" {\n" +
      route_text("at-q", "/v/{o}/{part}") + "}\n");
  struct Case {
    const char* host;
    const char* path;
    const char* method;
    const char* point;
    const char* expected_route;
  };
  const Case cases[] = {
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
  for (const auto& test_case : cases) {
    const auto request =
        request_for(test_case.host, test_case.path, test_case.method, test_case.point);
    EXPECT_EQ(matched_name(*table, request), test_case.expected_route)
        << test_case.host << test_case.path;
  }
  auto beta_request = request_for("h", "/v/y/7");
  beta_request.header = [](std::string_view header_name) {
    return header_name == "x-tier" ? std::optional<std::string_view>("beta") : std::nullopt;
  };
  EXPECT_EQ(matched_name(*table, beta_request), "beta");
  const auto match = table->match(request_for("h", "/v/obj/7"));
  ASSERT_EQ(match->captures.size(), 2u);
  EXPECT_EQ(match->captures[0], (routing::Capture{"o", "obj"}));
  EXPECT_EQ(table->match(request_for("h", "/v/a/b/c"))->captures[0].value, "a/b/c");
  EXPECT_FALSE(table->match(request_for("h", "/" + std::string(10'000, '/'))));
}

TEST(RoutingTest, SplitsRequestsStablyByFraction) {
  const auto table =
      compile_table("pool near {\n  role = cache\n}\npool far {\n  role = cache\n}\n" +
                    route_text("r", "/r", "  pool = near\n  split 20% {\n    pool = far\n  }\n"));
  int sent_to_far = 0;
  for (std::uint64_t hash = 0; hash < 10'000; ++hash) {
    auto request = request_for("h", "/r");
    request.hash = hash;
    const auto pool = *table->match(request)->destination.pool;
    EXPECT_EQ(pool, *table->match(request)->destination.pool);
    sent_to_far += table->pools()[pool].name == "far";
  }
  EXPECT_NEAR(sent_to_far, 2000, 200);
}

TEST(RoutingTest, ResolvesPoolsToServersInService) {
  const auto table = compile_table(
      "pool edge {\n  role = cache\n  point = [\"e1\", \"e2\"]\n  weight-least = 2\n}\n"
      "pool one {\n  role = cache\n  cell = [1, 2]\n}\npool mid {\n  role = parent\n  hub = "
      "\"n\"\n}\n" +
      route_text("r", "/r", "  pool = edge\n") + route_text("s", "/s", "  pool = one\n") +
      route_text("u", "/u", "  pool = mid\n"));
  int port = 0;
  std::string text =
      "format = 1\ngeneration = 1\nservers = 6\n[[hub]]\nname = \"n\"\n[[hub]]\nname = \"s\"\n";
  for (const char* point : {"e1", "e2", "e3"}) {
    text += std::string("[[point]]\nname = \"") + point + "\"\nhub = \"n\"\n";
  }
  const auto add_server = [&](const char* id, const char* role, const char* location,
                              const char* weight, const char* state, int cell) {
    text += std::string("[[server]]\nid = \"") + id + "\"\nrole = \"" + role + "\"\n" +
            (std::string(role) == "cache" ? "point" : "hub") + " = \"" + location +
            "\"\naddress = \"127.0.0.1:" + std::to_string(++port) + "\"\nweight = " + weight +
            "\nstate = \"" + state + "\"\ncell = " + std::to_string(cell) + "\n";
  };
  add_server("a", "cache", "e1", "4", "in_service", 1);
  add_server("light", "cache", "e2", "1", "in_service", 0);
  add_server("drained", "cache", "e2", "4", "draining", 2);
  add_server("c", "cache", "e3", "4", "in_service", 2);
  add_server("m", "parent", "n", "4", "in_service", 0);
  add_server("other", "parent", "s", "4", "in_service", 0);
  diagnostics::Findings findings;
  const auto list = endpoints::read_list(text, "l", 0, {}, findings).list;
  ASSERT_TRUE(list) << (findings.list().empty() ? "" : diagnostics::to_string(findings.list()[0]));
  const auto server_names = [&](std::size_t pool) {
    std::vector<std::string> names;
    for (const auto id : routing::select_servers(table->pools()[pool], *list)) {
      names.push_back(list->find(id)->name);
    }
    std::sort(names.begin(), names.end());
    return names;
  };
  EXPECT_EQ(server_names(0), (std::vector<std::string>{"a"}));
  EXPECT_EQ(server_names(1), (std::vector<std::string>{"a", "c"}));
  EXPECT_EQ(server_names(2), (std::vector<std::string>{"m"}));
}

/// Finds the route for a request by comparing all routes according to the documented precedence.
/// Serves as the reference for the table.
const routing::Route* match_linearly(const routing::Table& table,
                                     const RequestAttributes& request) {
  std::vector<std::string> parts;
  for (std::size_t begin = 1; begin <= request.path.size();) {
    const auto slash = std::min(request.path.find('/', begin), request.path.size());
    parts.emplace_back(request.path.substr(begin, slash - begin));
    begin = slash + 1;
  }
  const routing::Route* best = nullptr;
  std::vector<int> best_rank;
  for (const auto& route : table.routes()) {
    std::vector<int> rank;  // of two matching routes, the one with the greater rank is preferred
    int host_rank = route.hosts.empty() ? 1 : 0;
    for (const auto& pattern : route.hosts) {
      if (routing::host_matches(pattern, request.host)) {
        host_rank = std::max(
            host_rank, pattern.starts_with("*.") ? 1 + static_cast<int>(pattern.size()) : 1000);
      }
    }
    bool matches = host_rank > 0;
    rank.push_back(host_rank);
    std::size_t index = 0;
    bool has_rest = false;
    for (const auto& segment : route.path) {
      if (segment.kind == config_language::Segment::Kind::rest) {
        has_rest = true;
        matches &= index < parts.size();
        rank.push_back(0);
        break;
      }
      const bool is_literal = segment.kind == config_language::Segment::Kind::literal;
      matches &= index < parts.size() &&
                 (is_literal ? parts[index] == segment.text : !parts[index].empty());
      rank.push_back(is_literal ? 2 : 1);
      ++index;
    }
    matches &= has_rest || index == parts.size();
    matches &= route.methods.empty() || std::find(route.methods.begin(), route.methods.end(),
                                                  request.method) != route.methods.end();
    matches &= route.locations.empty() || std::find(route.locations.begin(), route.locations.end(),
                                                    request.location) != route.locations.end();
    if (!matches) continue;
    rank.resize(12, -1);
    rank.push_back(static_cast<int>(!route.methods.empty()) +
                   static_cast<int>(!route.locations.empty()));
    if (best && best_rank >= rank) continue;
    best = &route;
    best_rank = rank;
  }
  return best;
}

RC_GTEST_PROP(RoutingTest, AgreesWithALinearMatcher, ()) {
  std::mt19937 random(*rc::gen::arbitrary<unsigned>());
  const auto pick = [&](std::initializer_list<const char*> choices) {
    return std::string(*(choices.begin() + static_cast<std::ptrdiff_t>(random() % choices.size())));
  };
  const auto random_path = [&](bool is_pattern) {
    std::string path;
    const std::size_t segment_count = 1 + random() % 4;
    for (std::size_t i = 0; i < segment_count; ++i) {
      auto part = is_pattern ? pick({"a", "b", "{x}", "{y}"}) : pick({"a", "b", "c", ""});
      if (part.starts_with('{')) part = "{c" + std::to_string(i) + "}";
      path += "/" + part;
    }
    if (is_pattern && random() % 4 == 0) path += "/*";
    return path;
  };
  std::string text = "class a {\n  repeat = safe\n  deadline = 1 s\n}\n";
  for (int i = 0; i < 25; ++i) {
    std::string fields;
    if (random() % 3 == 0) {
      fields += "  host = " + pick({"\"h.x\"", R"(["h.x", "*.y"])", "\"*.x\"", "\"*.h.x\""}) + "\n";
    }
    if (random() % 3 == 0) fields += "  method = " + pick({"GET", "POST", "[GET, HEAD]"}) + "\n";
    if (random() % 4 == 0) fields += "  point = " + pick({"\"p\"", "\"q\""}) + "\n";
    text += route_text("r" + std::to_string(i), random_path(true), fields);
  }
  SingleFileLoader loader(text);
  diagnostics::Findings findings;
  const auto program = config_language::load("main.alder", loader, findings);
  // The findings are not examined: some of the random routes hide others.
  const auto meaning = config_language::check(program, findings);
  const routing::Table table(meaning, program.sources);
  for (int i = 0; i < 60; ++i) {
    const auto host = pick({"h.x", "z.y", "g.h.x", "other"});
    const auto path = random_path(false);
    const auto method = pick({"GET", "POST", "HEAD"});
    const auto point = pick({"p", "q"});
    const auto request = request_for(host, path, method, point);
    const auto match = table.match(request);
    RC_ASSERT((match ? match->route : nullptr) == match_linearly(table, request));
  }
}

}  // namespace
