#include "simulator_adapter/wire_writer.h"

#include <algorithm>
#include <limits>

namespace alderspur::simulator_adapter {
namespace {

/// Longest duration that can be encoded, in microseconds.
constexpr alderspur::Time kMaxEncodedTime = std::numeric_limits<std::int32_t>::max();
constexpr std::uint64_t kAddressMask = 0xffffffff;
/// A server id holds the IPv4 address in its lower 32 bits and the port above them.
constexpr int kPortShift = 32;

}  // namespace

void WireWriter::duration(alderspur::Time value) {
  u32(static_cast<std::uint32_t>(std::clamp<alderspur::Time>(value, 0, kMaxEncodedTime)));
}

void WireWriter::server_id(alderspur::ServerId id) {
  u32(static_cast<std::uint32_t>(id.value & kAddressMask));
  u16(static_cast<std::uint16_t>(id.value >> kPortShift));
}

}  // namespace alderspur::simulator_adapter
