// Tests of parsing the responses of caches.
#include "upstream/cache_protocol.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace alderspur;

TEST(CacheProtocolTest, ParsesResponsesSplitAtAnyByte) {
  const std::string input =
      "a served sum=f,t0=17 3\r\nxyz\r\nb not_here - 0\r\n\r\np1 green rep=inflight:7;x1:0.5 "
      "0\r\n\r\n";
  const auto status_letter = [](upstream::ResponseStatus status) {
    if (status == upstream::ResponseStatus::served) return 's';
    if (status == upstream::ResponseStatus::miss) return 'n';
    return status == upstream::ResponseStatus::healthy ? 'g' : '?';
  };
  for (std::size_t cut = 0; cut <= input.size(); ++cut) {
    std::string buffer;
    std::vector<std::string> responses;
    for (const auto& part : {input.substr(0, cut), input.substr(cut)}) {
      buffer += part;
      std::string_view bytes = buffer;
      upstream::CacheResponse response;
      while (upstream::next_response(bytes, response) == core::ParseStatus::complete) {
        responses.push_back(std::string(response.id) + status_letter(response.status) +
                            std::string(response.body));
      }
      buffer = std::string(bytes);
    }
    EXPECT_EQ(responses, (std::vector<std::string>{"asxyz", "bn", "p1g"}))
        << "split at byte " << cut;
  }
  EXPECT_EQ(upstream::parse_load_report("inflight:7;x1:0.5").in_flight, 7);
  std::string_view invalid = "a served - 240001\r\n";
  upstream::CacheResponse response;
  EXPECT_EQ(upstream::next_response(invalid, response), core::ParseStatus::invalid);
}

}  // namespace
