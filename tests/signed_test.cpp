// Tests of the signed-URL front over loopback connections. They cover links and tokens, and check
// that each request receives exactly one response despite expiry, clock skew or a cache that stops.
#include <algorithm>
#include <sstream>

#include "http/message.h"
#include "signed_url/token.h"
#include "support/edge_router_fixture.h"

namespace {

using namespace alderspur;

using loopback::FakeCache;

class SignedUrlTest : public loopback::EdgeRouterTest {
 protected:
  static constexpr const char* kPath = "/asset/7f3a9c21e0b4d655/0";
  std::int64_t now() const { return net::unix_now() / 1'000'000; }
  std::string sign(const std::string& text, std::size_t key = 1) {
    return text + "&sig=" +
           signed_url::signature(
               {signed_url_settings.keys[key].id, signed_url_settings.keys[key].secret, 0}, text);
  }
  std::string link(std::int64_t expires_at, std::int64_t not_before = 0, std::size_t key = 1) {
    return sign(std::string(kPath) + "?set=17&ram=80&nbf=" + std::to_string(not_before) + "&exp=" +
                    std::to_string(expires_at) + "&kid=" + signed_url_settings.keys[key].id,
                key);
  }
  static std::string get(const std::string& target, const std::string& headers = {}) {
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
  }
  static std::size_t count_responses(const loopback::TestSocket& socket) {
    std::size_t count = 0;
    for (auto position = socket.received.find("HTTP/1.1 "); position != std::string::npos;
         position = socket.received.find("HTTP/1.1 ", position + 1)) {
      ++count;
    }
    return count;
  }
  // Sends one request on a new connection, responds in place of the cache, and returns the status
  // of the response that the client receives.
  int status(const std::string& request, const std::string& body = "bytes") {
    auto client = connect_client(http_front->address());
    const auto before = fetch_count();
    bool has_responded = false;
    client->write(request);
    EXPECT_TRUE(run_until([&] {
      if (fetch_count() > before && !has_responded) {
        FakeCache::respond(*fetch_command(before + 1), "served", body,
                           loopback::fresh_copy_fields("t1"));
        has_responded = true;
      }
      return client->received.find("\r\n\r\n") != std::string::npos;
    }));
    run_briefly();
    EXPECT_EQ(count_responses(*client), 1u);
    last_response_ = client->received;
    polled_sockets.pop_back();
    return client->received.size() > 12 ? std::stoi(client->received.substr(9, 3)) : 0;
  }
  std::string last_response_;
};

TEST_F(SignedUrlTest, AcceptsLinkForItsPathTimeAndKeyOnly) {
  EXPECT_EQ(status(get(link(now() + 60))), 200);
  EXPECT_NE(last_response_.find("\r\n\r\nbytes"), std::string::npos);
  EXPECT_NE(last_response_.find("ETag: \"t1\""), std::string::npos);
  EXPECT_EQ(fetch_command()->fields["name"], "7f3a9c21e0b4d655");
  EXPECT_EQ(status(get(link(now() + 60, 0, 0))), 200) << "the previous key is still valid";
  auto link_to_other_part = link(now() + 60);
  link_to_other_part.replace(link_to_other_part.find("d655/0"), 6, "d655/1");
  EXPECT_EQ(status(get(link_to_other_part)), 403);
  EXPECT_EQ(status(get(sign(std::string(kPath) + "?exp=99999999999&kid=none"))), 403);
  EXPECT_EQ(status(get(sign(std::string(kPath) + "?kid=new"))), 403)
      << "a link without an expiry time";
  EXPECT_EQ(status(get(sign(std::string(kPath) + "?exp=1&exp=99999999999&kid=new"))), 403);
  EXPECT_EQ(status(get(kPath)), 401);
  EXPECT_EQ(fetch_count(), 2u) << "a request with a rejected link is not forwarded";
}

TEST_F(SignedUrlTest, AllowsClockSkewInBothDirections) {
  EXPECT_EQ(status(get(link(now() - 20))), 200) << "the clock of the front is ahead of the signer";
  EXPECT_EQ(status(get(link(now() + 60, now() + 20))), 200)
      << "the clock of the front is behind the signer";
  EXPECT_EQ(status(get(link(now() - 600))), 403);
  EXPECT_EQ(status(get(link(now() + 900, now() + 600))), 403);
  clock_offset_seconds = -120;
  EXPECT_EQ(status(get(link(now() - 110))), 200)
      << "validity is checked against the clock of the front";
}

TEST_F(SignedUrlTest, AcceptsTokenFromLinkCookieAndBearerForItsPrefix) {
  const auto token = [&](const std::string& prefix) {
    return sign("pfx=" + prefix + "&set=17&exp=" + std::to_string(now() + 60) + "&kid=new");
  };
  const auto good = token("/asset/7f3a9c21e0b4d655");
  EXPECT_EQ(status(get(std::string(kPath) + "?" + good)), 200);
  EXPECT_EQ(
      status(get(kPath, "Authorization: Bearer " + signed_url::encode_base64url(good) + "\r\n")),
      200);
  EXPECT_EQ(
      status(get(kPath, "Cookie: a=b; alderspur=" + signed_url::encode_base64url(good) + "\r\n")),
      200);
  EXPECT_EQ(status(get(kPath, "Cookie: alderspur=nonsense!\r\n")), 403);
  EXPECT_EQ(status(get(std::string(kPath) + "?" + token("/asset/7f3a"))), 403)
      << "a prefix matches whole path segments only";
  EXPECT_EQ(status(get(std::string(kPath) + "?" + token("/video/"))), 403);
}

TEST_F(SignedUrlTest, RespondsOnceWhenLinkExpiresDuringFill) {
  auto client = connect_client(http_front->address());
  client->write(get(link(now() - 20)));  // within the allowed skew
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  clock_offset_seconds = 3600;  // the link expires while the request is open
  run_briefly();
  EXPECT_EQ(count_responses(*client), 0u);
  FakeCache::respond(*fetch_command(), "served", "complete");
  ASSERT_TRUE(run_until([&] { return count_responses(*client) == 1; }));
  FakeCache::respond(*fetch_command(), "served", "twice");
  run_briefly();
  EXPECT_EQ(count_responses(*client), 1u);
  EXPECT_NE(client->received.find("200 OK"), std::string::npos);
  EXPECT_EQ(client->received.find("twice"), std::string::npos);
  EXPECT_EQ(engine->open_request_count(), 0u);
}

TEST_F(SignedUrlTest, RespondsOnceWhenCacheStopsDuringFill) {
  auto client = connect_client(http_front->address());
  client->write(get(link(now() + 60)));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  const auto first = *fetch_command();
  first.connection->write(first.id + " served sum=t1 5\r\nby");  // an incomplete response
  run_briefly();
  EXPECT_EQ(count_responses(*client), 0u) << "no part of an incomplete response is forwarded";
  cache_of(first).stop();
  FakeCache& other = &cache_of(first) == &caches[0] ? caches[1] : caches[0];
  ASSERT_TRUE(run_until([&] { return other.count("fetch") == 1; }));
  FakeCache::respond(other.commands.back(), "served", "bytes");
  ASSERT_TRUE(run_until([&] { return count_responses(*client) == 1; }));
  run_briefly();
  EXPECT_EQ(count_responses(*client), 1u);
  EXPECT_NE(client->received.find("\r\n\r\nbytes"), std::string::npos);
  EXPECT_EQ(engine->counters().attempts_reset, 1u);
}

TEST_F(SignedUrlTest, RespondsServiceUnavailableWhenAllServersAreDown) {
  auto client = connect_client(http_front->address());
  for (auto& cache : caches) cache.stop();
  origin.stop();
  client->write(get(link(now() + 60)));
  ASSERT_TRUE(run_until([&] { return count_responses(*client) == 1; }));
  EXPECT_NE(client->received.find("503"), std::string::npos);
  EXPECT_NE(client->received.find("Retry-After: 1\r\n"), std::string::npos);
}

class ShortTimeLimitTest : public SignedUrlTest {
 protected:
  ShortTimeLimitTest() { signed_url_time_limit = 300'000; }
};
TEST_F(ShortTimeLimitTest, RespondsGatewayTimeoutOnceWhenCacheIsSilent) {
  auto client = connect_client(http_front->address());
  client->write(get(link(now() + 60)));
  ASSERT_TRUE(run_until([&] { return count_responses(*client) == 1; }));
  EXPECT_NE(client->received.find("504"), std::string::npos);
  ASSERT_TRUE(run_until([&] { return caches[0].count("abort") + caches[1].count("abort") >= 1; }));
  FakeCache::respond(*fetch_command(), "served", "late");
  run_briefly();
  EXPECT_EQ(count_responses(*client), 1u);
}

TEST_F(SignedUrlTest, RespondsWithStatusWhenHttpIsInvalid) {
  EXPECT_EQ(status("nonsense\r\n\r\n"), 400);
  EXPECT_EQ(
      status("POST " + link(now() + 60) + " HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"),
      405);
  EXPECT_EQ(status(get("/asset/short/0")), 404);
  EXPECT_EQ(status(get("/asset/../deploy/signed.json")), 404);
  EXPECT_EQ(status(get(link(now() + 60), "X: " + std::string(9000, 'x') + "\r\n")), 431);
  EXPECT_EQ(status("HEAD " + link(now() + 60) + " HTTP/1.1\r\nHost: x\r\n\r\n"), 200);
  EXPECT_TRUE(last_response_.ends_with("\r\n\r\n")) << "a response to HEAD has no body";
  EXPECT_NE(last_response_.find("Content-Length: 5"), std::string::npos);
}

// Guards against a front that does not detect a disconnected client. This happened if the front
// stopped reading while the client's queued requests were pending.
TEST_F(SignedUrlTest, ClosesConnectionWhenTooManyRequestsAreQueued) {
  for (const bool exceeds_limit : {false, true}) {
    auto client = connect_client(http_front->address());
    const auto before = fetch_count();
    const auto cancelled = engine->counters().cancelled;
    client->write(get(link(now() + 60)));
    ASSERT_TRUE(run_until([&] { return fetch_count() == before + 1; }));
    const std::string request = get("/none");
    std::string queued_requests;
    while (queued_requests.size() < (exceeds_limit ? 100'000u : 50'000u)) {
      queued_requests += request;
    }
    ASSERT_TRUE(write_all(*client, queued_requests));
    if (!exceeds_limit) {
      run_briefly();
      EXPECT_FALSE(client->is_closed) << "requests below the limit are queued";
    }
    polled_sockets.clear();
    if (!exceeds_limit) client->reset();
    ASSERT_TRUE(run_until([&] { return engine->counters().cancelled == cancelled + 1; }));
    EXPECT_EQ(engine->open_request_count(), 0u);
  }
}

TEST_F(SignedUrlTest, RespondsToPipelinedRequestsInOrderUntilClientLeaves) {
  auto client = connect_client(http_front->address());
  client->write(get(kPath) + get(link(now() + 60)) + get("/none"));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 1; }));
  EXPECT_EQ(count_responses(*client), 1u);
  FakeCache::respond(*fetch_command(), "served", "body");
  ASSERT_TRUE(run_until([&] { return count_responses(*client) == 3; }));
  EXPECT_LT(client->received.find("401"), client->received.find("200"));
  EXPECT_LT(client->received.find("200"), client->received.find("404"));
  client->write(get(link(now() + 60)));
  ASSERT_TRUE(run_until([&] { return fetch_count() == 2; }));
  polled_sockets.clear();
  client->close();
  ASSERT_TRUE(run_until([&] { return caches[0].count("abort") + caches[1].count("abort") == 1; }));
  EXPECT_EQ(engine->open_request_count(), 0u);
  EXPECT_EQ(engine->counters().cancelled, 1u);
}

// A link without a group must not be served a copy from before the purge of any group (review/10).
TEST_F(SignedUrlTest, LimitsAgeOfCopiesAfterPurgeWhenLinkNamesNoGroup) {
  core::PurgeNotice purge;
  purge.group = 17;
  purge.unix_time = net::unix_now() - 1'000'000;
  engine->purge(purge);
  const std::string text = std::string(kPath) + "?exp=" + std::to_string(now() + 60) + "&kid=new";
  EXPECT_EQ(status(get(sign(text))), 200);
  const std::string& limit = fetch_command()->fields["agelim"];
  ASSERT_FALSE(limit.empty());
  EXPECT_LE(std::stoi(limit), 10'000) << "the fresh time is 60 s";
}

}  // namespace
