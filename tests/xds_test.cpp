// Tests of the discovery server over loopback connections. A proxy polls for the endpoints and
// receives the router's view of their health.
#include <rapidjson/document.h>

#include <algorithm>
#include <sstream>

#include "support/edge_router_fixture.h"
#include "xds/server.h"

namespace {

using namespace alderspur;

class XdsServerTest : public loopback::EdgeRouterTest {
 protected:
  void SetUp() override {
    loopback::EdgeRouterTest::SetUp();
    server = std::make_unique<xds::Server>(loop, deadlines, *engine, *upstream_pool, settings, 4);
    proxy = connect_client(server->address());
  }
  static std::string post(const std::string& body,
                          const std::string& path = "/v3/discovery:endpoints") {
    return "POST " + path +
           " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Waits for the next complete response, stores its JSON in `body` and returns its status.
  int next_status() {
    std::size_t head = 0;
    std::size_t length = 0;
    EXPECT_TRUE(run_until([&] {
      server->end_turn();
      head = proxy->received.find("\r\n\r\n");
      if (head == std::string::npos) return false;
      const auto field = proxy->received.find("Content-Length: ");
      length = field < head ? std::stoul(proxy->received.substr(field + 16)) : 0;
      return proxy->received.size() >= head + 4 + length;
    }));
    const int status = std::stoi(proxy->received.substr(9, 3));
    body.Parse(proxy->received.substr(head + 4, length).c_str());
    proxy->received.erase(0, head + 4 + length);
    return status;
  }
  std::string health(const std::string& address) {
    for (const auto& endpoint : body["resources"][0]["endpoints"][0]["lb_endpoints"].GetArray()) {
      const auto& address_field = endpoint["endpoint"]["address"]["socket_address"];
      if (address_field["address"].GetString() +
              (":" + std::to_string(address_field["port_value"].GetInt())) ==
          address) {
        return endpoint["health_status"].GetString();
      }
    }
    return "absent";
  }
  static constexpr const char* kDiscoveryRequest =
      R"({"type_url":"type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
          "resource_names":["edge-boxes"],"node":{"id":"proxy-1"}})";
  xds::Settings settings{true, "127.0.0.1:0", "edge-boxes"};
  std::unique_ptr<xds::Server> server;
  std::unique_ptr<loopback::TestSocket> proxy;
  rapidjson::Document body;
};

TEST_F(XdsServerTest, ReportsEjectedAndDrainingCaches) {
  proxy->write(post(kDiscoveryRequest));
  ASSERT_EQ(next_status(), 200);
  EXPECT_EQ(health(caches[0].address()), "HEALTHY");
  EXPECT_EQ(health(caches[1].address()), "HEALTHY");
  EXPECT_EQ(health(origin.address()), "absent")
      << "the endpoints are the caches of the location only";
  const std::string version = body["version_info"].GetString();
  const std::string repeated_request = R"({"version_info":")" + version + R"("})";
  // The requests are pipelined, and the endpoints have not changed.
  proxy->write(post(repeated_request) + post(repeated_request));
  EXPECT_EQ(next_status(), 304);
  EXPECT_EQ(next_status(), 304);

  caches[0].stop();
  // The connection attempts of these requests fail, and the policy ejects the cache.
  for (std::uint64_t object = 1; object <= 6; ++object) {
    core::RequestView request;
    const std::string id = "id" + std::to_string(object);
    request.id = request.object_text = id;
    request.object = object;
    request.time_limit = 10'000'000;
    engine->admit(*http_front, request);
  }
  ASSERT_TRUE(run_until([&] { return engine->counters().attempts_connect_failed >= 2; }));
  proxy->write(post(repeated_request));
  ASSERT_EQ(next_status(), 200);
  EXPECT_EQ(health(caches[0].address()), "UNHEALTHY");
  EXPECT_EQ(health(caches[1].address()), "HEALTHY");

  auto member = config.known_events[0].members[1];
  member.server.status = alderspur::ServerStatus::draining;
  upstream_pool->update_endpoint(member);
  engine->update_endpoints({false, false, {member.server}});
  proxy->write(post(kDiscoveryRequest));
  ASSERT_EQ(next_status(), 200);
  EXPECT_EQ(health(caches[1].address()), "DRAINING");
}

// Guards against treating a malformed list of names as an empty list, which requests all resources.
TEST_F(XdsServerTest, RejectsRequestsWithMalformedMembers) {
  for (const char* request :
       {R"({"resource_names":7})", R"({"resource_names":{"edge-boxes":1}})",
        R"({"resource_names":["edge-boxes",7]})", R"({"version_info":1})", R"({"type_url":[]})"}) {
    proxy->write(post(request));
    EXPECT_EQ(next_status(), 400) << request;
  }
  proxy->write(post("{}"));
  EXPECT_EQ(next_status(), 200) << "an absent member is valid";
}

TEST_F(XdsServerTest, RespondsWithStatusWhenRequestIsInvalid) {
  proxy->write(post(R"({"resource_names":["other"]})") + post("{}", "/v3/discovery:clusters") +
               post("not json"));
  EXPECT_EQ(next_status(), 200);
  EXPECT_EQ(body["resources"].Size(), 0u);
  EXPECT_EQ(next_status(), 404);
  EXPECT_EQ(next_status(), 400);
  proxy->write("GET /v3/discovery:endpoints HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(next_status(), 405);
}

}  // namespace
