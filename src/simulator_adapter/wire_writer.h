// Writes the simulator's wire format, which consists of little-endian numbers without padding. The
// writer performs no I/O and is not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "alderspur/router.h"

namespace alderspur::simulator_adapter {

/// Appends encoded values to a buffer that it owns.
class WireWriter {
 public:
  void u8(std::uint8_t value) { number(value); }
  void u16(std::uint16_t value) { number(value); }
  void u32(std::uint32_t value) { number(value); }
  void u64(std::uint64_t value) { number(value); }
  /// Appends a duration in microseconds as 32 bits, clamped to the range from 0 to 2^31 - 1.
  void duration(alderspur::Time value);
  /// Appends a server id as an IPv4 address (u32) and a port (u16).
  void server_id(alderspur::ServerId id);
  /// Returns all bytes that have been appended.
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
