// Reads the simulator's wire format, which consists of little-endian numbers without padding. The
// reader performs no I/O and is not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "simulator_adapter/wire_error.h"

namespace alderspur::simulator_adapter {

/// Consumes values from the front of a byte string, which must outlive the reader. Every function
/// that consumes bytes throws WireError if fewer bytes are left than the value needs.
class WireReader {
 public:
  explicit WireReader(std::string_view bytes) : bytes_(bytes) {}

  /// Consumes `size` bytes and returns a slice of the underlying byte string.
  std::string_view bytes(std::size_t size);
  std::uint8_t u8() { return number<std::uint8_t>(); }
  std::uint16_t u16() { return number<std::uint16_t>(); }
  std::uint32_t u32() { return number<std::uint32_t>(); }
  std::uint64_t u64() { return number<std::uint64_t>(); }
  float f32();
  /// Consumes an integer that is encoded as a float. Returns 0 if the value is out of range.
  std::uint32_t integer_f32();
  /// Consumes a server id, which is encoded as an IPv4 address (u32) and a port (u16).
  alderspur::ServerId server_id();
  /// Consumes the values of a load report, which are preceded by their count (u8).
  std::vector<float> gauges();
  bool is_at_end() const { return bytes_.empty(); }

 private:
  template <class T>
  T number() {
    T value = 0;
    const auto encoded = bytes(sizeof(T));
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      value |= static_cast<T>(static_cast<T>(static_cast<unsigned char>(encoded[i])) << (8 * i));
    }
    return value;
  }

  std::string_view bytes_;
};

}  // namespace alderspur::simulator_adapter
