// Tests that clients of the HTTP servers which read nothing cannot make the router hold memory
// without end.
#include <string>
#include <string_view>

#include "signed_url/token.h"
#include "support/edge_router_fixture.h"
#include "xds/server.h"

namespace {

using namespace alderspur;
using loopback::TestSocket;

constexpr std::size_t kMemoryMb = 16;
/// An eighth of the memory is for the responses of the signed front, and 1/32 for those that are
/// larger than expected.
constexpr std::size_t kMaxResponseBytes = (kMemoryMb << 20) / 8 + (kMemoryMb << 20) / 32;
/// What one connection may hold of requests and of one response without a body.
constexpr std::size_t kMaxConnectionBytes = 128 << 10;
/// More than the kernel's buffers of a connection and the limits take.
constexpr std::size_t kFloodBytes = 48 << 20;

class UnreadResponsesTest : public loopback::EdgeRouterTest {
 protected:
  void SetUp() override {
    settings_json += R"(,"limits":{"memory_mb":16})";
    EdgeRouterTest::SetUp();
  }
  std::string signed_get(unsigned object) {
    char path[64];
    std::snprintf(path, sizeof path, "/asset/%016x/0", object);
    const std::string text = std::string(path) + "?set=17&exp=99999999999&kid=new";
    const auto& key = signed_url_settings.keys[1];
    return "GET " + text + "&sig=" + signed_url::signature({key.id, key.secret, 0}, text) +
           " HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  /// Writes requests until the router takes no more or `kFloodBytes` are written. Returns the
  /// largest number of bytes that all connections have held.
  std::size_t flood(TestSocket& client, const std::string& request) {
    std::string requests;
    while (requests.size() < kFloodBytes / 8) requests += request;
    const std::string_view unwritten = requests;
    std::size_t max_held_bytes = 0;
    std::size_t written = 0;
    core::Time last_progress_at = net::unix_now();
    run_until([&] {
      const std::size_t count = client.write_some(unwritten.substr(written % unwritten.size()));
      written += count;
      const core::Time now = net::unix_now();
      if (count > 0) last_progress_at = now;
      max_held_bytes = std::max(max_held_bytes, loop.buffers().held);
      return written >= kFloodBytes || now > last_progress_at + 500'000;
    });
    return max_held_bytes;
  }
};

// A client that sent requests for unknown paths at full speed and read nothing made the process
// grow to 309 MiB (memory limit 192 MB).
TEST_F(UnreadResponsesTest, HoldBackTheRequestsOfTheirClient) {
  auto client = loopback::connect_to(http_front->address());
  EXPECT_LT(flood(*client, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n"), kMaxConnectionBytes);
  auto other = connect_client(http_front->address());
  other->write("GET /none HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(run_until([&] { return !other->received.empty(); }));
}

// The same at the discovery server, whose responses grow with the number of endpoints.
TEST_F(UnreadResponsesTest, HoldBackTheRequestsOfTheirProxy) {
  const xds::Settings settings{true, "127.0.0.1:0", "edge-boxes"};
  xds::Server server(loop, deadlines, *engine, *upstream_pool, settings, 4);
  auto proxy = loopback::connect_to(server.address());
  const std::string body =
      R"({"type_url":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
          "resource_names":["edge-boxes"],"node":{"id":"proxy-1"}})";
  const std::string request =
      "POST /v3/discovery:endpoints HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  std::size_t max_held_bytes = 0;
  const std::size_t reads = 2'000;
  for (std::size_t i = 0; i < reads; ++i) {
    for (int k = 0; k < 8; ++k) proxy->write(request);
    ev_run(loop.raw(), EVRUN_NOWAIT);
    server.end_turn();
    max_held_bytes = std::max(max_held_bytes, loop.buffers().held);
  }
  EXPECT_LT(max_held_bytes, kMaxConnectionBytes);
}

// 100 clients that asked for 60 large objects each and read nothing made the process grow to
// 897 MiB (memory limit 32 MB).
TEST_F(UnreadResponsesTest, StayWithinTheirShareOfTheMemory) {
  constexpr unsigned kRequestsPerClient = 40;
  constexpr std::size_t kBodyBytes = 200'000;
  std::vector<std::unique_ptr<TestSocket>> clients;
  std::size_t max_held_bytes = 0;
  std::size_t answered = 0;
  const std::string body(kBodyBytes, 'x');
  unsigned object = 0;
  for (int i = 0; i < 16; ++i) {  // an eighth of the descriptors
    clients.push_back(loopback::connect_to(http_front->address()));
    for (unsigned k = 0; k < kRequestsPerClient; ++k) clients.back()->write(signed_get(++object));
  }
  for (std::size_t before = 1; before != answered;) {
    before = answered;
    run_for(50'000);
    for (; answered < fetch_count(); ++answered) {
      const auto command = *fetch_command(answered + 1);
      const std::string head = command.id + " served " + loopback::fresh_copy_fields("t") + ' ' +
                               std::to_string(kBodyBytes) + "\r\n";
      ASSERT_TRUE(write_all(*command.connection, head + body + "\r\n"));
      max_held_bytes = std::max(max_held_bytes, loop.buffers().held);
    }
  }
  EXPECT_LE(engine->response_memory().total(), kMaxResponseBytes);
  EXPECT_GT(engine->counters().served, 0U);
  // Responses from the caches pass through read buffers of their own.
  EXPECT_LT(max_held_bytes, kMaxResponseBytes + 4 * kBodyBytes);
  clients.clear();
  EXPECT_TRUE(run_until([&] {
    return engine->open_request_count() == 0 && engine->response_memory().total() == 0;
  })) << "the memory is returned";
}

}  // namespace
