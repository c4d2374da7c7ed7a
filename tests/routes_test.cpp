// Tests control::Routes in a running router over loopback: the signed-URL front uses the new table
// after a reload and enforces the limits of the routes.
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
      "class asset {\n  repeat = safe\n  deadline = 2 s\n}\n"
      "class video {\n  repeat = safe\n  deadline = 2 s\n}\n";

  void SetUp() override {
    char name[] = "/tmp/alderspur-routes-XXXXXX";
    folder = ::mkdtemp(name);
    file = folder + "/main.alder";
    signed_url_settings.enabled = true;
    signed_url_settings.listen = "127.0.0.1:0";
    signed_url_settings.keys = {{"k", "a secret of the tests", 0}};
  }
  void TearDown() override {
    clients.clear();
    front.reset();
    routes.reset();
    router.reset();
    std::filesystem::remove_all(folder);
  }
  void write(const std::string& program) const {
    std::ofstream(file, std::ios::trunc) << kClasses << program;
  }
  /// Returns the declaration of a route; `more` contains further fields.
  static std::string route(const std::string& name, const std::string& path,
                           const std::string& class_name, const std::string& more = "") {
    return "route " + name + " {\n  path = \"" + path + "\"\n  class = " + class_name + "\n" +
           more + "}\n";
  }
  void start() {
    auto config =
        config::read(R"({"name":"n","seed":"7","listen":"127.0.0.1:0","known":{"rev":1,"notices":[
      {"rev":1,"pool":{"complete":true,"members":[{"id":"s","host_port":")" +
                     cache.address() + R"(","locality":"edge","flavor":"small","cell":0,
        "phase":"in_service","size":4,"up_since_ms":0}]}}]},
      "settings":{"azs":["edge"],"zone":0,"shapes":["small"],"replicas-of-me":1,
      "ceilings":{"dial-timeout":5000000,"idle-close":30000000,"max-attempts":2,"may-cancel":true,
        "streams-per-conn":32},
      "classes":[{"name":"asset","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"},
        {"name":"video","target":5000000,"give-up":30000000,"points":1,"repeat":"safe"}],
      "domain":{"lifetime-by-class":[60000000,0],"stale-for":[0,0],"uncached":[false,false]}}})");
    config.max_descriptors = 512;
    log = std::make_unique<log::Log>(log::Settings{},
                                     [this](const std::string& line) { lines.push_back(line); });
    router = std::make_unique<edge_router::EdgeRouter>(std::move(config), [](auto&, auto&) {});
    routes = std::make_unique<control::Routes>(*router, file, *log);
    front = std::make_unique<signed_url::HttpFront>(
        router->loop(), router->deadlines(), router->engine(), router->config(),
        signed_url_settings, net::unix_now, routes.get());
    router->add({[this] { front->end_turn(); }, {}, {}});
    router->loop().on_turn([this] { router->turn(); });
  }
  /// Runs the router, the cache and the clients until the condition holds. Returns false after the
  /// timeout, in microseconds.
  bool run_until(const std::function<bool()>& condition, core::Time timeout = 20'000'000) {
    for (const core::Time end = net::unix_now() + timeout; net::unix_now() < end;) {
      ev_run(router->loop().raw(), EVRUN_NOWAIT);
      cache.poll();
      for (auto& client : clients) client->poll();
      if (condition()) return true;
      ::usleep(200);
    }
    return false;
  }
  /// Sends a request with a signed link on a new connection. If `forged`, the signature is invalid.
  loopback::TestSocket& send_request(const std::string& path, bool forged = false,
                                     const std::string& headers = "") {
    const auto text = path + "?exp=" + std::to_string(net::unix_now() / 1'000'000 + 60) + "&kid=k";
    auto signature = signed_url::signature({"k", "a secret of the tests", 0}, text);
    if (forged) signature[3] = signature[3] == 'A' ? 'B' : 'A';
    clients.push_back(loopback::connect_to(front->address()));
    clients.back()->write("GET " + text + "&sig=" + signature + " HTTP/1.1\r\nHost: h.example\r\n" +
                          headers + "\r\n");
    return *clients.back();
  }
  /// Returns the status code of the response, or 0 if it has not been received yet.
  static int status(const loopback::TestSocket& socket) {
    return socket.received.size() > 12 ? std::stoi(socket.received.substr(9, 3)) : 0;
  }
  int wait_for_status(loopback::TestSocket& socket) {
    EXPECT_TRUE(run_until([&] { return status(socket) > 0; }));
    return status(socket);
  }
  /// Responds to all fetches that have not been answered yet.
  void respond_to_all() {
    for (; responded < cache.commands.size(); ++responded) {
      if (cache.commands[responded].verb == "fetch") {
        FakeCache::respond(cache.commands[responded], "served", "bytes",
                           loopback::fresh_copy_fields("t"));
      }
    }
  }
  bool has_logged(const std::string& text) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](auto& line) { return line.find(text) != std::string::npos; });
  }

  std::string folder;
  std::string file;
  FakeCache cache;
  signed_url::Settings signed_url_settings;
  std::vector<std::string> lines;
  std::unique_ptr<log::Log> log;
  std::unique_ptr<edge_router::EdgeRouter> router;
  std::unique_ptr<control::Routes> routes;
  std::unique_ptr<signed_url::HttpFront> front;
  std::vector<std::unique_ptr<loopback::TestSocket>> clients;
  std::size_t responded = 0;
  const std::string object = "7f3a9c21e0b4d655";
};

TEST_F(RoutesTest, RoutesLinkByMatchingRoute) {
  write(route("parts", "/v/{object}/{part}", "video") + route("whole", "/a/{object}", "asset") +
        route("beta", "/a/{object}", "video", "  header \"X-Tier\" = \"beta\"\n"));
  start();
  const struct {
    std::string path;
    std::string headers;
    std::string class_name;
    std::string part;
  } cases[] = {{"/v/" + object + "/3", "", "video", "3"},
               {"/a/" + object, "", "asset", "0"},
               {"/a/" + object, "x-tier: beta\r\n", "video", "0"}};
  for (const auto& test_case : cases) {
    const auto before = cache.commands.size();
    auto& socket = send_request(test_case.path, false, test_case.headers);
    ASSERT_TRUE(run_until([&] { return cache.commands.size() > before; }));
    EXPECT_EQ(cache.commands.back().fields["lane"], test_case.class_name);
    EXPECT_EQ(cache.commands.back().fields["piece"], test_case.part);
    respond_to_all();
    EXPECT_EQ(wait_for_status(socket), 200);
  }
  EXPECT_EQ(wait_for_status(send_request("/other/" + object)), 404);
  EXPECT_EQ(wait_for_status(send_request("/a/zz")), 404);
}

// Replaces a table of three routes while requests are in flight. No request is lost, each request
// keeps the table that was active when it began, and an invalid program changes nothing.
TEST_F(RoutesTest, ReplacesTableAtomicallyUnderLoad) {
  const auto program = [&](const char* class_name, const char* max_in_flight) {
    std::string text;
    for (const char* name : {"x", "y", "z"}) {
      text += route(name, std::string("/") + name + "/{object}", class_name,
                    std::string("  max-in-flight = ") + max_in_flight + "\n");
    }
    return text;
  };
  write(program("asset", "100"));
  start();
  const auto first_table = routes->active();
  std::vector<loopback::TestSocket*> sockets;
  std::size_t swaps = 0;
  for (int round = 0; round < 12; ++round) {
    for (const char* name : {"x", "y", "z"}) {
      sockets.push_back(&send_request(std::string("/") + name + "/" + object));
    }
    const auto fetches = sockets.size();
    ASSERT_TRUE(run_until([&] { return cache.count("fetch") == fetches; }));
    // The three requests of a round were routed by the same table.
    const auto& commands = cache.commands;
    for (std::size_t i = commands.size() - 3; i < commands.size(); ++i) {
      EXPECT_EQ(commands[i].fields.at("lane"), round % 2 ? "video" : "asset") << round;
    }
    const auto before = routes->active();
    write(program(round % 2 ? "asset" : "video", round % 2 ? "100" : "99"));
    routes->reload();
    ASSERT_TRUE(run_until([&] { return routes->active() != before; }));
    ++swaps;
    EXPECT_EQ(routes->limits().in_flight("route x"), static_cast<std::size_t>(round + 1))
        << "requests in flight are still counted after the table is replaced";
  }
  EXPECT_EQ(swaps, 12u);
  const auto active_table = routes->active();
  write("route x {\n");
  routes->reload();
  ASSERT_TRUE(run_until([&] { return has_logged("event=table_refused"); }));
  write(route("x", "/x/{object}", "other"));
  lines.clear();
  routes->reload();
  ASSERT_TRUE(run_until([&] { return has_logged("event=table_refused"); }));
  EXPECT_EQ(routes->active(), active_table);
  respond_to_all();
  for (auto* socket : sockets) EXPECT_EQ(wait_for_status(*socket), 200);
  EXPECT_EQ(routes->limits().in_flight("route x"), 0u);
  EXPECT_EQ(first_table.use_count(), 1) << "the first table is released";
}

TEST_F(RoutesTest, RejectsOnFullRouteAndServesTheOthers) {
  write(route("few", "/f/{object}", "asset", "  max-in-flight = 2\n") +
        route("other", "/o/{object}", "asset"));
  start();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(wait_for_status(send_request("/f/" + object, true)), 403)
        << "a forged link must not use up capacity";
  }
  auto& first = send_request("/f/" + object);
  auto& second = send_request("/f/" + object);
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 2; }));
  const core::Time started_at = net::unix_now();
  auto& rejected = send_request("/f/" + object);
  EXPECT_EQ(wait_for_status(rejected), 503);
  EXPECT_LT(net::unix_now() - started_at, 2'000'000) << "rejected without delay";
  EXPECT_NE(rejected.received.find("Retry-After: 1"), std::string::npos) << rejected.received;
  auto& other_route = send_request("/o/" + object);
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 3; }));
  respond_to_all();
  EXPECT_EQ(wait_for_status(first), 200);
  EXPECT_EQ(wait_for_status(second), 200);
  EXPECT_EQ(wait_for_status(other_route), 200);
  // The responses have released capacity.
  auto& next = send_request("/f/" + object);
  ASSERT_TRUE(run_until([&] { return cache.count("fetch") == 4; }));
  next.close();  // a disconnected client must release its capacity, too
  ASSERT_TRUE(run_until([&] { return routes->limits().in_flight("route few") == 0; }));
}

TEST_F(RoutesTest, ReportsReasonWhenProgramIsInvalidAtStart) {
  write("route x {\n");
  EXPECT_THROW(start(), config::Error);
  write(route("x", "/x/{part}", "asset"));
  EXPECT_THROW(start(), config::Error) << "the path has no {object} capture";
}

}  // namespace
