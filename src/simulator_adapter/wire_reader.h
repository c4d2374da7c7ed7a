// Reads the simulator's wire format: little-endian numbers without padding. No I/O; not
// thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "alderspur/router.h"
#include "simulator_adapter/wire_error.h"

namespace alderspur::simulator_adapter {

/// Takes values from the front of the bytes, which must outlive it. Every function throws WireError
/// if the bytes end early.
class WireReader {
 public:
  explicit WireReader(std::string_view bytes) : bytes_(bytes) {}

  std::string_view bytes(std::size_t size);
  std::uint8_t u8() { return number<std::uint8_t>(); }
  std::uint16_t u16() { return number<std::uint16_t>(); }
  std::uint32_t u32() { return number<std::uint32_t>(); }
  std::uint64_t u64() { return number<std::uint64_t>(); }
  float f32();
  /// An integer that is encoded as a float; 0 if it is out of range.
  std::uint32_t integer_f32();
  alderspur::ServerId server_id();
  /// The values of a load report, with their count in front.
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
