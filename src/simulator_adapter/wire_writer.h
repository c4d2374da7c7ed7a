// Writes the simulator's wire format: little-endian numbers without padding. No I/O; not
// thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "alderspur/router.h"

namespace alderspur::simulator_adapter {

/// Appends values to a buffer.
class WireWriter {
 public:
  void u8(std::uint8_t value) { number(value); }
  void u16(std::uint16_t value) { number(value); }
  void u32(std::uint32_t value) { number(value); }
  void u64(std::uint64_t value) { number(value); }
  /// Microseconds in 32 bits; clamped to what a signed number of 32 bits holds.
  void duration(alderspur::Time value);
  void server_id(alderspur::ServerId id);
  /// All that was written.
  const std::string& bytes() const { return bytes_; }

 private:
  template <class T>
  void number(T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
      bytes_.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    }
  }

  std::string bytes_;
};

}  // namespace alderspur::simulator_adapter
