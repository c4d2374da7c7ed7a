#include "simulator_adapter/wire_reader.h"

#include <bit>
#include <string>

namespace alderspur::simulator_adapter {
namespace {

/// An integer that is encoded as a float and is not below this bound is read as 0.
constexpr float kMaxIntegerF32 = 1e9F;
/// A server id holds the IPv4 address in its lower 32 bits and the port above them.
constexpr int kPortShift = 32;

}  // namespace

std::string_view WireReader::bytes(std::size_t size) {
  if (bytes_.size() < size) {
    throw WireError("truncated record: expected " + std::to_string(size) + " more bytes, found " +
                    std::to_string(bytes_.size()));
  }
  const auto front = bytes_.substr(0, size);
  bytes_.remove_prefix(size);
  return front;
}

float WireReader::f32() { return std::bit_cast<float>(u32()); }

std::uint32_t WireReader::integer_f32() {
  const float value = f32();
  return value >= 0 && value < kMaxIntegerF32 ? static_cast<std::uint32_t>(value) : 0;
}

alderspur::ServerId WireReader::server_id() {
  const std::uint64_t address = u32();
  const std::uint64_t port = u16();
  return {address | port << kPortShift};
}

std::vector<float> WireReader::gauges() {
  std::vector<float> values(u8());
  for (auto& value : values) value = f32();
  return values;
}

}  // namespace alderspur::simulator_adapter
