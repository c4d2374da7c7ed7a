// Finds the end of a MessagePack item without unpacking it. No I/O, no allocation.
//
// The library allocates by the counts that it reads in headers, and takes an incomplete item apart
// anew with each read. Measuring first guards against both: an item that cannot fit into the limit
// is refused at the header that claims too much, before any memory is spent on it.
#pragma once

#include <cstddef>
#include <string_view>

namespace alderspur::msgpack_codec {

enum class MeasureStatus {
  complete,    // a whole item stands at the front
  incomplete,  // more bytes may complete it
  invalid,     // no MessagePack, or larger than the limit
};

struct Measurement {
  MeasureStatus status = MeasureStatus::invalid;
  std::size_t size = 0;  // of the item in bytes, where it is complete
};

/// Measures the item at the front of `bytes`; `limit` bounds its size in bytes.
Measurement measure_item(std::string_view bytes, std::size_t limit);

}  // namespace alderspur::msgpack_codec
