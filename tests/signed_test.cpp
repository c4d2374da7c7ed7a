// The signed front over loopback: links and tokens, one answer each across expiry, skew and a dying
// box.
#include <algorithm>
#include <sstream>

#include "http/message.h"
#include "loopback.h"
#include "signed_url/token.h"

namespace {

using namespace alderspur;

using loopback::Box;

class SignedUrlTest : public loopback::Story {
 protected:
  static constexpr const char* kPath = "/asset/7f3a9c21e0b4d655/0";
  std::int64_t now() const { return net::unix_now() / 1'000'000; }
  std::string sign(const std::string& text, std::size_t key = 1) {
    return text +
           "&sig=" + signed_url::signature({links.keys[key].id, links.keys[key].secret, 0}, text);
  }
  std::string link(std::int64_t exp, std::int64_t nbf = 0, std::size_t key = 1) {
    return sign(std::string(kPath) + "?set=17&ram=80&nbf=" + std::to_string(nbf) +
                    "&exp=" + std::to_string(exp) + "&kid=" + links.keys[key].id,
                key);
  }
  static std::string get(const std::string& target, const std::string& headers = {}) {
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
  }
  static std::size_t answers(const loopback::Socket& s) {
    std::size_t n = 0;
    for (auto at = s.in.find("HTTP/1.1 "); at != std::string::npos;
         at = s.in.find("HTTP/1.1 ", at + 1)) {
      ++n;
    }
    return n;
  }
  // Sends one request on its own connection and plays the box; returns the status.
  int status(const std::string& request, const std::string& body = "bytes") {
    auto c = client(http->address());
    const auto before = fetches();
    c->write(request);
    EXPECT_TRUE(until([&] {
      if (fetches() > before && !played_)
        Box::answer(*fetch(before + 1), "served", body, loopback::dated("t1")), played_ = true;
      return c->in.find("\r\n\r\n") != std::string::npos;
    }));
    played_ = false;
    settle();
    EXPECT_EQ(answers(*c), 1u);
    last_ = c->in;
    watched.pop_back();
    return c->in.size() > 12 ? std::stoi(c->in.substr(9, 3)) : 0;
  }
  bool played_ = false;
  std::string last_;
};

TEST_F(SignedUrlTest, AcceptsLinkForItsPathTimeAndKeyOnly) {
  EXPECT_EQ(status(get(link(now() + 60))), 200);
  EXPECT_NE(last_.find("\r\n\r\nbytes"), std::string::npos);
  EXPECT_NE(last_.find("ETag: \"t1\""), std::string::npos);
  EXPECT_EQ(fetch()->fields["name"], "7f3a9c21e0b4d655");
  EXPECT_EQ(status(get(link(now() + 60, 0, 0))), 200) << "the key before the rotation";
  auto other = link(now() + 60);
  other.replace(other.find("d655/0"), 6, "d655/1");
  EXPECT_EQ(status(get(other)), 403);
  EXPECT_EQ(status(get(sign(std::string(kPath) + "?exp=99999999999&kid=none"))), 403);
  EXPECT_EQ(status(get(sign(std::string(kPath) + "?kid=new"))), 403) << "without an end";
  EXPECT_EQ(status(get(sign(std::string(kPath) + "?exp=1&exp=99999999999&kid=new"))), 403);
  EXPECT_EQ(status(get(kPath)), 401);
  EXPECT_EQ(fetches(), 2u) << "what is turned away asks no box";
}

TEST_F(SignedUrlTest, AllowsClockSkewInBothDirections) {
  EXPECT_EQ(status(get(link(now() - 20))), 200) << "our clock runs ahead";
  EXPECT_EQ(status(get(link(now() + 60, now() + 20))), 200) << "our clock runs behind";
  EXPECT_EQ(status(get(link(now() - 600))), 403);
  EXPECT_EQ(status(get(link(now() + 900, now() + 600))), 403);
  skew = -120;
  EXPECT_EQ(status(get(link(now() - 110))), 200) << "the clock that counts is the front's";
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
      << "prefixes end at a slash";
  EXPECT_EQ(status(get(std::string(kPath) + "?" + token("/video/"))), 403);
}

TEST_F(SignedUrlTest, RespondsOnceWhenLinkExpiresDuringFill) {
  auto c = client(http->address());
  c->write(get(link(now() - 20)));  // some of the skew is left
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  skew = 3600;  // now it has long expired
  settle();
  EXPECT_EQ(answers(*c), 0u);
  Box::answer(*fetch(), "served", "whole");
  ASSERT_TRUE(until([&] { return answers(*c) == 1; }));
  Box::answer(*fetch(), "served", "twice");
  settle();
  EXPECT_EQ(answers(*c), 1u);
  EXPECT_NE(c->in.find("200 OK"), std::string::npos);
  EXPECT_EQ(c->in.find("twice"), std::string::npos);
  EXPECT_EQ(engine->open_request_count(), 0u);
}

TEST_F(SignedUrlTest, RespondsOnceWhenCacheStopsDuringFill) {
  auto c = client(http->address());
  c->write(get(link(now() + 60)));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  const auto first = *fetch();
  first.from->write(first.id + " served sum=t1 5\r\nby");  // breaks off in the middle
  settle();
  EXPECT_EQ(answers(*c), 0u) << "nothing of a broken answer is passed on";
  box_of(first).stop();
  Box& other = &box_of(first) == &box[0] ? box[1] : box[0];
  ASSERT_TRUE(until([&] { return other.count("fetch") == 1; }));
  Box::answer(other.commands.back(), "served", "bytes");
  ASSERT_TRUE(until([&] { return answers(*c) == 1; }));
  settle();
  EXPECT_EQ(answers(*c), 1u);
  EXPECT_NE(c->in.find("\r\n\r\nbytes"), std::string::npos);
  EXPECT_EQ(engine->counters().attempts_reset, 1u);
}

TEST_F(SignedUrlTest, RespondsServiceUnavailableWhenAllServersAreDown) {
  auto c = client(http->address());
  for (auto& b : box) b.stop();
  origin.stop();
  c->write(get(link(now() + 60)));
  ASSERT_TRUE(until([&] { return answers(*c) == 1; }));
  EXPECT_NE(c->in.find("503"), std::string::npos);
  EXPECT_NE(c->in.find("Retry-After: 1\r\n"), std::string::npos);
}

class ShortTimeLimitTest : public SignedUrlTest {
 protected:
  ShortTimeLimitTest() { link_limit = 300'000; }
};
TEST_F(ShortTimeLimitTest, RespondsGatewayTimeoutOnceWhenCacheIsSilent) {
  auto c = client(http->address());
  c->write(get(link(now() + 60)));
  ASSERT_TRUE(until([&] { return answers(*c) == 1; }));
  EXPECT_NE(c->in.find("504"), std::string::npos);
  ASSERT_TRUE(until([&] { return box[0].count("abort") + box[1].count("abort") >= 1; }));
  Box::answer(*fetch(), "served", "late");
  settle();
  EXPECT_EQ(answers(*c), 1u);
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
  EXPECT_TRUE(last_.ends_with("\r\n\r\n")) << "no body after HEAD";
  EXPECT_NE(last_.find("Content-Length: 5"), std::string::npos);
}

// Guards against a client whose end is not heard behind what it has piled up: not read, it would
// wait there.
TEST_F(SignedUrlTest, ClosesConnectionWhenTooManyRequestsAreQueued) {
  for (const bool much : {false, true}) {
    auto c = client(http->address());
    const auto before = fetches();
    const auto withdrawn = engine->counters().cancelled;
    c->write(get(link(now() + 60)));
    ASSERT_TRUE(until([&] { return fetches() == before + 1; }));
    const std::string one = get("/none");
    std::string all;
    while (all.size() < (much ? 100'000u : 50'000u)) all += one;
    ASSERT_TRUE(until([&] { return all.erase(0, c->write_some(all)), all.empty(); }));
    if (!much) {
      settle();
      EXPECT_FALSE(c->ended) << "so much may wait";
    }
    watched.clear();
    if (!much) c->reset();
    ASSERT_TRUE(until([&] { return engine->counters().cancelled == withdrawn + 1; }));
    EXPECT_EQ(engine->open_request_count(), 0u);
  }
}

TEST_F(SignedUrlTest, RespondsToPipelinedRequestsInOrderUntilClientLeaves) {
  auto c = client(http->address());
  c->write(get(kPath) + get(link(now() + 60)) + get("/none"));
  ASSERT_TRUE(until([&] { return fetches() == 1; }));
  EXPECT_EQ(answers(*c), 1u);
  Box::answer(*fetch(), "served", "body");
  ASSERT_TRUE(until([&] { return answers(*c) == 3; }));
  EXPECT_LT(c->in.find("401"), c->in.find("200"));
  EXPECT_LT(c->in.find("200"), c->in.find("404"));
  c->write(get(link(now() + 60)));
  ASSERT_TRUE(until([&] { return fetches() == 2; }));
  watched.clear();
  c->close();
  ASSERT_TRUE(until([&] { return box[0].count("abort") + box[1].count("abort") == 1; }));
  EXPECT_EQ(engine->open_request_count(), 0u);
  EXPECT_EQ(engine->counters().cancelled, 1u);
}

}  // namespace
