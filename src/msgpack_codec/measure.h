// Finds the end of a MessagePack item without unpacking it. The function performs no I/O and
// allocates no memory.
//
// The MessagePack library allocates memory according to the counts in the headers, and it parses an
// incomplete item from the start after each read. Measuring an item first avoids both. An item that
// cannot fit into the limit is rejected at the header whose count is too large, before any memory
// is allocated for it.
#pragma once

#include <cstddef>
#include <string_view>

namespace alderspur::msgpack_codec {

/// The result of looking for the end of an item.
enum class MeasureStatus {
  complete,    // the bytes start with a complete item
  incomplete,  // more bytes are needed to complete the item
  invalid,     // the bytes are not MessagePack, or the item exceeds the limit
};

/// The status of an item and, if it is complete, its size.
struct Measurement {
  MeasureStatus status = MeasureStatus::invalid;
  std::size_t size = 0;  // size of the item in bytes; 0 unless it is complete
};

/// Measures the item at the start of `bytes`. An item that is larger than `limit` bytes is invalid.
Measurement measure_item(std::string_view bytes, std::size_t limit);

}  // namespace alderspur::msgpack_codec
