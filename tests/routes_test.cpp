// Routes in service over loopback: the signed front goes by a table that is swapped, and by its
// limits.
#include "control/routes.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "signed_url/http_front.h"
#include "signed_url/token.h"
#include "support/fake_cache.h"
#include "support/test_socket.h"

namespace {

using namespace alderspur;
using loopback::FakeCache;

class RoutesTest : public ::testing::Test {
 protected:
  static constexpr const char* kClasses =
      "class asset {\n  repeat = safe\n  deadline = 2 s\n}\nclass video {\n  repeat = safe\n  "
      "deadline = 2 "
      "s\n}\n";

  void SetUp() override {
    char name[] = "/tmp/alderspur-routes-XXXXXX";
    folder = ::mkdtemp(name);
    file = folder + "/main.alder";
    links.enabled = true;
    links.listen = "127.0.0.1:0";
    links.keys = {{"k", "a secret of the tests", 0}};
  }
  void TearDown() override {
    clients.clear();
    front.reset();
    routes.reset();
    node.reset();
    std::filesystem::remove_all(folder);
  }
  void write(const std::string& program) const {
    std::ofstream(file, std::ios::trunc) << kClasses << program;
  }
  static std::string route(const std::string& name, const std::string& path, const std::string& cls,
                           const std::string& more = "") {
    return "route " + name + " {\n  path = \"" + path + "\"\n  class = " + cls + "\n" + more +
           "}\n";
  }
  void start() {
    auto config =
        config::read(R"({"name":"n","seed":"7","listen":"127.0.0.1:0","known":{"rev":1,"notices":[
      {"rev":1,"pool":{"complete":true,"members":[{"id":"s","host_port":")" +
                     box.address() + R"(","locality":"edge","flavor":"small","cell":0,
        "phase":"in_service","size":4,"up_since_ms":0}]}}]},
      "settings":{"azs":["edge"],"zone":0,"shapes":["small"],"replicas-of-me":1,
      "ceilings":{"dial-timeout":5000000,"idle-close":30000000,"max-attempts":2,"may-cancel":true,
        "streams-per-conn":32},
      "classes":[{"name":"asset","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"},
        {"name":"video","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"}],
      "domain":{"lifetime-by-class":[60000000,0],"stale-for":[0,0],"uncached":[false,false]}}})");
    config.max_descriptors = 512;
    log = std::make_unique<log::Log>(log::Settings{},
                                     [this](const std::string& l) { lines.push_back(l); });
    node = std::make_unique<edge_router::EdgeRouter>(std::move(config), [](auto&, auto&) {});
    routes = std::make_unique<control::Routes>(*node, file, *log);
    front =
        std::make_unique<signed_url::HttpFront>(node->loop(), node->deadlines(), node->engine(),
                                                node->config(), links, net::unix_now, routes.get());
    node->add({[this] { front->end_turn(); }, {}, {}});
    node->loop().on_turn([this] { node->turn(); });
  }
  bool until(const std::function<bool()>& holds, core::Time most = 20'000'000) {
    for (const core::Time end = net::unix_now() + most; net::unix_now() < end;) {
      ev_run(node->loop().raw(), EVRUN_NOWAIT);
      box.poll();
      for (auto& c : clients) c->poll();
      if (holds()) return true;
      ::usleep(200);
    }
    return false;
  }
  // Asks on a connection of its own.
  loopback::TestSocket& ask(const std::string& path, bool forged = false,
                            const std::string& headers = "") {
    const auto text = path + "?exp=" + std::to_string(net::unix_now() / 1'000'000 + 60) + "&kid=k";
    auto sig = signed_url::signature({"k", "a secret of the tests", 0}, text);
    if (forged) sig[3] = sig[3] == 'A' ? 'B' : 'A';
    clients.push_back(loopback::connect_to(front->address()));
    clients.back()->write("GET " + text + "&sig=" + sig + " HTTP/1.1\r\nHost: h.example\r\n" +
                          headers + "\r\n");
    return *clients.back();
  }
  static int status(const loopback::TestSocket& s) {
    return s.received.size() > 12 ? std::stoi(s.received.substr(9, 3)) : 0;
  }
  int answered(loopback::TestSocket& s) {
    EXPECT_TRUE(until([&] { return status(s) > 0; }));
    return status(s);
  }
  void serve_all() {
    for (; served < box.commands.size(); ++served) {
      if (box.commands[served].verb == "fetch") {
        FakeCache::respond(box.commands[served], "served", "bytes",
                           loopback::fresh_copy_fields("t"));
      }
    }
  }
  bool logged(const std::string& what) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](auto& l) { return l.find(what) != std::string::npos; });
  }

  std::string folder, file;
  FakeCache box;
  signed_url::Settings links;
  std::vector<std::string> lines;
  std::unique_ptr<log::Log> log;
  std::unique_ptr<edge_router::EdgeRouter> node;
  std::unique_ptr<control::Routes> routes;
  std::unique_ptr<signed_url::HttpFront> front;
  std::vector<std::unique_ptr<loopback::TestSocket>> clients;
  std::size_t served = 0;
  const std::string object = "7f3a9c21e0b4d655";
};

TEST_F(RoutesTest, RoutesLinkByMatchingRoute) {
  write(route("parts", "/v/{object}/{part}", "video") + route("whole", "/a/{object}", "asset") +
        route("beta", "/a/{object}", "video", "  header \"X-Tier\" = \"beta\"\n"));
  start();
  const struct {
    std::string path, headers, cls, part;
  } cases[] = {{"/v/" + object + "/3", "", "video", "3"},
               {"/a/" + object, "", "asset", "0"},
               {"/a/" + object, "x-tier: beta\r\n", "video", "0"}};
  for (const auto& c : cases) {
    const auto before = box.commands.size();
    auto& s = ask(c.path, false, c.headers);
    ASSERT_TRUE(until([&] { return box.commands.size() > before; }));
    EXPECT_EQ(box.commands.back().fields["lane"], c.cls);
    EXPECT_EQ(box.commands.back().fields["piece"], c.part);
    serve_all();
    EXPECT_EQ(answered(s), 200);
  }
  EXPECT_EQ(answered(ask("/other/" + object)), 404);
  EXPECT_EQ(answered(ask("/a/zz")), 404);
}

// Three routes change their meaning while requests are under way: none is lost, each ends by the
// table it began under, and a program that does not check changes nothing.
TEST_F(RoutesTest, ReplacesTableAtomicallyUnderLoad) {
  const auto version = [&](const char* cls, const char* most) {
    std::string t;
    for (const char* n : {"x", "y", "z"}) {
      t += route(n, std::string("/") + n + "/{object}", cls,
                 std::string("  max-in-flight = ") + most + "\n");
    }
    return t;
  };
  write(version("asset", "100"));
  start();
  const auto first = routes->in_force();
  std::vector<loopback::TestSocket*> asked;
  std::size_t swaps = 0;
  for (int round = 0; round < 12; ++round) {
    for (const char* n : {"x", "y", "z"}) {
      asked.push_back(&ask(std::string("/") + n + "/" + object));
    }
    const auto fetches = asked.size();
    ASSERT_TRUE(until([&] { return box.count("fetch") == fetches; }));
    // All three of one round were decided by one table.
    const auto& c = box.commands;
    for (std::size_t i = c.size() - 3; i < c.size(); ++i) {
      EXPECT_EQ(c[i].fields.at("lane"), round % 2 ? "video" : "asset") << round;
    }
    const auto before = routes->in_force();
    write(version(round % 2 ? "asset" : "video", round % 2 ? "100" : "99"));
    routes->reload();
    ASSERT_TRUE(until([&] { return routes->in_force() != before; }));
    ++swaps;
    EXPECT_EQ(routes->limits().in_flight("route x"), static_cast<std::size_t>(round + 1))
        << "kept over the swap";
  }
  EXPECT_EQ(swaps, 12u);
  const auto in_force = routes->in_force();
  write("route x {\n");
  routes->reload();
  ASSERT_TRUE(until([&] { return logged("event=table_refused"); }));
  write(route("x", "/x/{object}", "other"));
  lines.clear();
  routes->reload();
  ASSERT_TRUE(until([&] { return logged("event=table_refused"); }));
  EXPECT_EQ(routes->in_force(), in_force);
  serve_all();
  for (auto* s : asked) EXPECT_EQ(answered(*s), 200);
  EXPECT_EQ(routes->limits().in_flight("route x"), 0u);
  EXPECT_EQ(first.use_count(), 1) << "nobody holds the first table any more";
}

TEST_F(RoutesTest, RejectsOnFullRouteAndServesTheOthers) {
  write(route("few", "/f/{object}", "asset", "  max-in-flight = 2\n") +
        route("other", "/o/{object}", "asset"));
  start();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(answered(ask("/f/" + object, true)), 403) << "a forged link takes no room";
  }
  auto& a = ask("/f/" + object);
  auto& b = ask("/f/" + object);
  ASSERT_TRUE(until([&] { return box.count("fetch") == 2; }));
  const core::Time begun = net::unix_now();
  auto& c = ask("/f/" + object);
  EXPECT_EQ(answered(c), 503);
  EXPECT_LT(net::unix_now() - begun, 2'000'000) << "not held back";
  EXPECT_NE(c.received.find("Retry-After: 1"), std::string::npos) << c.received;
  auto& d = ask("/o/" + object);
  ASSERT_TRUE(until([&] { return box.count("fetch") == 3; }));
  serve_all();
  EXPECT_EQ(answered(a), 200);
  EXPECT_EQ(answered(b), 200);
  EXPECT_EQ(answered(d), 200);
  auto& e = ask("/f/" + object);  // room has returned
  ASSERT_TRUE(until([&] { return box.count("fetch") == 4; }));
  e.close();  // and returns when its client leaves
  ASSERT_TRUE(until([&] { return routes->limits().in_flight("route few") == 0; }));
}

TEST_F(RoutesTest, ReportsReasonWhenProgramIsInvalidAtStart) {
  write("route x {\n");
  EXPECT_THROW(start(), config::Error);
  write(route("x", "/x/{part}", "asset"));
  EXPECT_THROW(start(), config::Error) << "no {object}";
}

}  // namespace
