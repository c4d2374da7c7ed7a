// One MessagePack item with all that is nested in it, unpacked. No I/O.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <string_view>

#include "msgpack_codec/measure.h"

namespace alderspur::msgpack_codec {

/// Owns the unpacked item; texts in it point into the bytes that it was made of, which must outlive
/// it.
class Document {
 public:
  /// Unpacks `bytes`, which must be one item and nothing else; otherwise is_valid() is false.
  explicit Document(std::string_view bytes) {
    msgpack_unpacked_init(&unpacked_);
    if (measure_item(bytes, bytes.size()).status != MeasureStatus::complete) return;
    unpack(bytes);
    is_valid_ = is_valid_ && size_ == bytes.size();
  }
  /// Unpacks an item that measure_item() found complete already, without measuring it once more.
  static Document of_measured_item(std::string_view item) { return {item, Measured{}}; }

  ~Document() { msgpack_unpacked_destroy(&unpacked_); }
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  bool is_valid() const { return is_valid_; }
  /// Only of a valid document.
  const msgpack_object& root() const { return unpacked_.data; }
  /// Bytes that the item takes.
  std::size_t size() const { return size_; }

 private:
  struct Measured {};
  Document(std::string_view item, Measured /*tag*/) {
    msgpack_unpacked_init(&unpacked_);
    unpack(item);
  }
  void unpack(std::string_view item) {
    is_valid_ =
        msgpack_unpack_next(&unpacked_, item.data(), item.size(), &size_) == MSGPACK_UNPACK_SUCCESS;
  }

  msgpack_unpacked unpacked_;
  std::size_t size_ = 0;
  bool is_valid_ = false;
};

}  // namespace alderspur::msgpack_codec
