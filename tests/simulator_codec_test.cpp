// The wire: hand-made frames both ways.
#include <gtest/gtest.h>

#include "simulator_adapter/host.h"

namespace {

using namespace alderspur;

std::string bytes(const std::string& hex) {
  std::string out;
  std::string digits;
  for (const char c : hex) {
    if (c != ' ' && c != '\n') digits += c;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    out += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return out;
}
template <class T>
std::string le(T v) {
  std::string out;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out += static_cast<char>(static_cast<std::uint64_t>(v) >> (8 * i));
  }
  return out;
}
std::string hello(std::uint32_t who, const std::string& json) {
  return le<std::uint8_t>(1) + le(who) + le<std::uint64_t>(42) + le<std::uint32_t>(json.size()) +
         json;
}
const char* const kSettings =
    R"({"zone":1,"classes":[{"name":"a","target":500000,"give-up":6000000,"repeat":"safe",
  "points":2,"new-key":[1]}],"domain":{"upper-kind":1,"source-kind":2,"merges-fills":true},
  "ceilings":{"max-attempts":3},"unknown":{"x":null}})";

simulator_adapter::BatchHeader header(std::uint32_t records, std::size_t length) {
  return {static_cast<std::uint32_t>(length), 1000000, records, 5};
}
std::string answer(simulator_adapter::Host& host, std::uint32_t records, const std::string& body) {
  return host.answer(header(records, body.size()), body);
}
const std::string kCensus = bytes(
    "0c 00000000 03000000"
    "0a124a07 8b13 0100 00 0000 01 0000803f 0000000000000000"
    "0a9011f2 b413 0000 01 0000 01 0000c03f 0000000000000000"
    "0a9011f3 b413 0000 02 0000 01 0000c03f 0000000000000000");
const std::string kMembers = bytes("02 03000000 02 29000000 00000000");
const std::string kDemand = bytes(
    "03 03000000 c4913a5dc2bd0b00 00004040 00002044 80a90300 0000 0000 0000 00003041 "
    "640ad2557c3bf091");

TEST(SimulatorCodecTest, RespondsToEmptyBatch) {
  simulator_adapter::Host host;
  const auto head = bytes("00000000 5a5c800000000000 00000000 01000000");
  const auto h = simulator_adapter::read_header(head);
  EXPECT_EQ(h.clock, 8412250u);
  EXPECT_EQ(host.answer(h, ""), bytes("00000000 01000000"));
}
TEST(SimulatorCodecTest, SendsRequestWithParentAsSource) {
  simulator_adapter::Host host;
  const auto reply = answer(host, 4, hello(3, kSettings) + kCensus + kMembers + kDemand);
  EXPECT_EQ(reply.substr(4, 4), le<std::uint32_t>(5));
  EXPECT_EQ(reply.size() - 8, static_cast<unsigned char>(reply[0]) + 0u);
  EXPECT_NE(reply.find(bytes("04 03000000 c4913a5dc2bd0b00 0a124a07 8b13")), std::string::npos);
  EXPECT_NE(reply.find(bytes("0a9011f2 b413 01 00000000 01")), std::string::npos);
}
TEST(SimulatorCodecTest, IgnoresStoppedInstance) {
  simulator_adapter::Host host;
  const auto stop = bytes("0a 03000000");
  const auto reply = answer(host, 5, hello(3, kSettings) + kCensus + kMembers + kDemand + stop);
  EXPECT_EQ(reply.size(), 8u);
}
TEST(SimulatorCodecTest, ReadsSettingsWithDefaults) {
  const auto s = simulator_adapter::read_settings(kSettings).settings;
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].latency_objective, 500000);
  EXPECT_EQ(s.location.value, 1u);
  EXPECT_EQ(s.max_attempts, 3u);
  EXPECT_TRUE(s.can_join_fills);
  EXPECT_FALSE(s.health_checks_allowed);
  EXPECT_THROW(simulator_adapter::read_settings("{"), simulator_adapter::WireError);
  EXPECT_THROW(simulator_adapter::read_settings("[]"), simulator_adapter::WireError);
  EXPECT_THROW(simulator_adapter::read_settings("{\"classes\":3}"), simulator_adapter::WireError);
  EXPECT_NO_THROW(simulator_adapter::read_settings(
      R"({"classes":[{"target":"soon"},7],"ceilings":[],"domain":null})"));
}
TEST(SimulatorCodecTest, ReportsErrorWhenTruncatedAnywhere) {
  const std::string body = hello(3, kSettings) + kCensus + kMembers + kDemand;
  for (std::size_t n = 0; n < body.size(); ++n) {
    simulator_adapter::Host host;
    EXPECT_THROW(answer(host, 4, body.substr(0, n)), simulator_adapter::WireError) << n;
  }
  simulator_adapter::Host host;
  EXPECT_THROW(answer(host, 4, body + "x"), simulator_adapter::WireError);
  EXPECT_THROW(answer(host, 1, bytes("ff 03000000")), simulator_adapter::WireError);
  EXPECT_THROW(answer(host, 1, bytes("02 03000000 02 29000000 07000000")),
               simulator_adapter::WireError);
}
TEST(SimulatorCodecTest, ReportsErrorWhenListLengthIsHuge) {
  simulator_adapter::Host host;
  EXPECT_THROW(answer(host, 1, bytes("0c 00000000 ffffffff")), simulator_adapter::WireError);
}

}  // namespace
