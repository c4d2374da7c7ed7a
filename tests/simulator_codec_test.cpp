// Tests of the simulator's wire format, with batches and replies that are encoded by hand.
#include <gtest/gtest.h>

#include "simulator_adapter/host.h"

namespace {

using namespace alderspur;

// Decodes hexadecimal digits; spaces and line breaks between them are skipped.
std::string bytes_from_hex(const std::string& hex) {
  std::string decoded;
  std::string digits;
  for (const char character : hex) {
    if (character != ' ' && character != '\n') digits += character;
  }
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    decoded += static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16));
  }
  return decoded;
}
template <class T>
std::string little_endian(T value) {
  std::string encoded;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    encoded += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
  }
  return encoded;
}
// Encodes a record that starts an instance with the seed 42.
std::string start_instance_record(std::uint32_t instance, const std::string& json) {
  return little_endian<std::uint8_t>(1) + little_endian(instance) +
         little_endian<std::uint64_t>(42) + little_endian<std::uint32_t>(json.size()) + json;
}
const char* const kSettings =
    R"({"zone":1,"classes":[{"name":"a","target":500000,"give-up":6000000,"repeat":"safe",
  "points":2,"new-key":[1]}],"domain":{"upper-kind":1,"source-kind":2,"merges-fills":true},
  "ceilings":{"max-attempts":3},"unknown":{"x":null}})";

simulator_adapter::BatchHeader header(std::uint32_t record_count, std::size_t length) {
  return {static_cast<std::uint32_t>(length), 1000000, record_count, 5};
}
std::string process_batch(simulator_adapter::Host& host, std::uint32_t record_count,
                          const std::string& body) {
  return host.process_batch(header(record_count, body.size()), body);
}
const std::string kEndpointListRecord = bytes_from_hex(
    "0c 00000000 03000000"
    "0a124a07 8b13 0100 00 0000 01 0000803f 0000000000000000"
    "0a9011f2 b413 0000 01 0000 01 0000c03f 0000000000000000"
    "0a9011f3 b413 0000 02 0000 01 0000c03f 0000000000000000");
const std::string kEndpointUpdateRecord = bytes_from_hex("02 03000000 02 29000000 00000000");
const std::string kRequestRecord = bytes_from_hex(
    "03 03000000 c4913a5dc2bd0b00 00004040 00002044 80a90300 0000 0000 0000 00003041 "
    "640ad2557c3bf091");

TEST(SimulatorCodecTest, RespondsToEmptyBatch) {
  simulator_adapter::Host host;
  const auto encoded_header = bytes_from_hex("00000000 5a5c800000000000 00000000 01000000");
  const auto decoded_header = simulator_adapter::read_header(encoded_header);
  EXPECT_EQ(decoded_header.clock, 8412250u);
  EXPECT_EQ(host.process_batch(decoded_header, ""), bytes_from_hex("00000000 01000000"));
}
TEST(SimulatorCodecTest, SendsRequestWithParentAsSource) {
  simulator_adapter::Host host;
  const auto reply = process_batch(host, 4,
                                   start_instance_record(3, kSettings) + kEndpointListRecord +
                                       kEndpointUpdateRecord + kRequestRecord);
  EXPECT_EQ(reply.substr(4, 4), little_endian<std::uint32_t>(5));
  EXPECT_EQ(reply.size() - 8, static_cast<unsigned char>(reply[0]) + 0u);
  EXPECT_NE(reply.find(bytes_from_hex("04 03000000 c4913a5dc2bd0b00 0a124a07 8b13")),
            std::string::npos);
  EXPECT_NE(reply.find(bytes_from_hex("0a9011f2 b413 01 00000000 01")), std::string::npos);
}
TEST(SimulatorCodecTest, IgnoresStoppedInstance) {
  simulator_adapter::Host host;
  const auto stop = bytes_from_hex("0a 03000000");
  const auto reply = process_batch(host, 5,
                                   start_instance_record(3, kSettings) + kEndpointListRecord +
                                       kEndpointUpdateRecord + kRequestRecord + stop);
  EXPECT_EQ(reply.size(), 8u);
}
TEST(SimulatorCodecTest, ReadsSettingsWithDefaults) {
  const auto settings = simulator_adapter::read_settings(kSettings).settings;
  ASSERT_EQ(settings.classes.size(), 1u);
  EXPECT_EQ(settings.classes[0].latency_objective, 500000);
  EXPECT_EQ(settings.location.value, 1u);
  EXPECT_EQ(settings.max_attempts, 3u);
  EXPECT_TRUE(settings.can_join_fills);
  EXPECT_FALSE(settings.health_checks_allowed);
  EXPECT_THROW(simulator_adapter::read_settings("{"), simulator_adapter::WireError);
  EXPECT_THROW(simulator_adapter::read_settings("[]"), simulator_adapter::WireError);
  EXPECT_THROW(simulator_adapter::read_settings("{\"classes\":3}"), simulator_adapter::WireError);
  EXPECT_NO_THROW(simulator_adapter::read_settings(
      R"({"classes":[{"target":"soon"},7],"ceilings":[],"domain":null})"));
}
TEST(SimulatorCodecTest, ReportsErrorWhenTruncatedAnywhere) {
  const std::string body = start_instance_record(3, kSettings) + kEndpointListRecord +
                           kEndpointUpdateRecord + kRequestRecord;
  for (std::size_t size = 0; size < body.size(); ++size) {
    simulator_adapter::Host host;
    EXPECT_THROW(process_batch(host, 4, body.substr(0, size)), simulator_adapter::WireError)
        << size;
  }
  simulator_adapter::Host host;
  EXPECT_THROW(process_batch(host, 4, body + "x"), simulator_adapter::WireError);
  EXPECT_THROW(process_batch(host, 1, bytes_from_hex("ff 03000000")), simulator_adapter::WireError);
  EXPECT_THROW(process_batch(host, 1, bytes_from_hex("02 03000000 02 29000000 07000000")),
               simulator_adapter::WireError);
}
TEST(SimulatorCodecTest, ReportsErrorWhenListLengthIsHuge) {
  simulator_adapter::Host host;
  EXPECT_THROW(process_batch(host, 1, bytes_from_hex("0c 00000000 ffffffff")),
               simulator_adapter::WireError);
}

}  // namespace
