// Passes corrupted input to every codec and checks that none crashes or reads out of bounds. The
// random seeds are fixed, so that the results are reproducible.
#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "config/config.h"
#include "http/message.h"
#include "rpc_front/rpc_codec.h"
#include "signed_url/token.h"
#include "support/rpc_messages.h"
#include "support/test_socket.h"
#include "upstream/cache_protocol.h"
#include "xds/eds.h"

namespace {

using namespace alderspur;

// Calls `read` with many corrupted copies of `valid`. Each copy is in a memory block of exactly its
// size, so that the sanitizer detects a read out of bounds.
void for_each_corrupted_copy(const std::string& valid,
                             const std::function<void(std::string_view)>& read) {
  std::mt19937 random(7);
  for (int round = 0; round < 3000; ++round) {
    std::string text = valid;
    for (unsigned count = random() % 4; count-- > 0;) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    if (random() % 3 == 0) text.resize(random() % (text.size() + 1));
    if (random() % 5 == 0) {
      text.insert(random() % (text.size() + 1), text.substr(0, random() % (text.size() + 1)));
    }
    const std::vector<char> exact_copy(text.begin(), text.end());
    read({exact_copy.data(), exact_copy.size()});
  }
}

TEST(InvalidInputTest, SurvivesCorruptedClientFrames) {
  const std::string valid =
      loopback::encode_request(1, "pay", {{"unique", std::string(32, 'a')}}, "xyz");
  int complete_calls = 0;
  for_each_corrupted_copy(valid, [&](std::string_view bytes) {
    rpc_front::Call call;
    for (auto previous_size = bytes.size() + 1; bytes.size() < previous_size;) {
      previous_size = bytes.size();
      if (rpc_front::next_call(bytes, call) != core::ParseStatus::complete) break;
      const auto request = rpc_front::to_request_view(call, {true, true, false});
      if (!request) continue;
      ++complete_calls;
      EXPECT_EQ((std::string(request->id) += request->object_text).find_first_of(" ,=\r\n"),
                std::string::npos);
    }
  });
  EXPECT_GT(complete_calls, 100);
}

// Guards against waiting for the rest of a frame whose header contains a length or a count that
// exceeds the limit.
TEST(InvalidInputTest, RejectsFrameByItsHeaderWhenLengthExceedsLimit) {
  using namespace std::string_literals;
  for (const auto& item_header :
       {"\xc6\x03\x93\x87\x00"s, "\xdb\xff\xff\xff\xff"s, "\xdd\xff\xff\xff\xff"s,
        "\xdf\xff\xff\xff\xff"s, "\xc9\x7f\xff\xff\xff"s, "\xc1"s}) {
    const std::string message =
        "\x94\x00\x01\xa5"
        "asset"s +
        item_header;
    std::string_view bytes = message;
    rpc_front::Call call;
    EXPECT_EQ(rpc_front::next_call(bytes, call), core::ParseStatus::invalid) << message;
  }
}

TEST(InvalidInputTest, SurvivesCorruptedCacheResponses) {
  for_each_corrupted_copy(
      "9b1f served sum=ab,t0=1764576000000,rep=inflight:7;x1:0.5 5\r\nbytes\r\np1 green - "
      "0\r\n\r\n",
      [](std::string_view bytes) {
        upstream::CacheResponse response;
        for (auto previous_size = bytes.size() + 1; bytes.size() < previous_size;) {
          previous_size = bytes.size();
          if (upstream::next_response(bytes, response) != core::ParseStatus::complete) break;
          upstream::parse_load_report(response.report);
          EXPECT_LE(response.body.size(), 240'000u);
        }
      });
}

TEST(InvalidInputTest, SurvivesCorruptedHttpHeadsAndTokens) {
  const signed_url::Key key{"k", "a secret of the tests", 0};
  const std::string text = "/asset/7f3a9c21e0b4d655/0?set=17&nbf=1&exp=99999999999&kid=k";
  const std::string link = text + "&sig=" + signed_url::signature(key, text);
  const signed_url::TokenVerifier verifier({key}, 5);
  ASSERT_EQ(verifier.verify("/asset/7f3a9c21e0b4d655/0", link, 100).status,
            signed_url::TokenStatus::accepted);
  for_each_corrupted_copy(link, [&](std::string_view bytes) {
    if (bytes == link) return;
    EXPECT_NE(verifier.verify("/asset/7f3a9c21e0b4d655/0", bytes, 100).status,
              signed_url::TokenStatus::accepted)
        << bytes;
    signed_url::decode_base64url(bytes);
  });
  for_each_corrupted_copy(
      "GET " + link +
          " HTTP/1.1\r\nHost: x\r\nCookie: a=b; alderspur=c\r\nIf-None-Match: \"t\"\r\n\r\n",
      [](std::string_view bytes) {
        const auto head = bytes;
        const auto request = http::next_request(bytes).value_or(http::Request{});
        EXPECT_LE(bytes.size(), head.size());
        http::cookie_value(request.cookie, "alderspur");
        http::bare_tag(request.if_none_match);
        // An incomplete request has no fields, so the corrupted bytes are parsed as fields as well.
        http::cookie_value(head, "alderspur");
        http::bare_tag(head);
      });
}

TEST(InvalidInputTest, SurvivesCorruptedEventsSettingsAndDiscoveryRequests) {
  const config::Names names;
  for_each_corrupted_copy(
      R"({"rev":41,"pool":{"complete":false,"members":[{"id":"s","host_port":"127.0.0.1:1","size":4}]},
         "flush":{"asset":"7f3a","ms":1764576000123}})",
      [&](std::string_view bytes) { config::read_watch_event(bytes, names); });
  for_each_corrupted_copy(
      R"({"limits":{"sockets":64},"settings":{"classes":[{"name":"a","target":1e6}],"ceilings":{"max-attempts":3}}})",
      [](std::string_view bytes) {
        try {
          config::read(bytes);
        } catch (const config::Error&) {
        }
      });
  for_each_corrupted_copy(
      R"({"type_url":"","version_info":"1","resource_names":["c"]})", [](std::string_view bytes) {
        xds::answer_discovery_request(bytes, "c", {}, [](auto) { return std::string(); });
      });
}

}  // namespace
