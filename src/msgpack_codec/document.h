// One MessagePack item with all that is nested in it, unpacked. No I/O.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <string_view>

namespace alderspur::msgpack_codec {

/// Owns the unpacked item; texts in it point into the bytes that it was made of, which must outlive
/// it.
class Document {
 public:
  /// Unpacks `bytes`, which must be one item and nothing else; otherwise is_valid() is false.
  explicit Document(std::string_view bytes);
  /// Unpacks an item that measure_item() found complete already, without measuring it once more.
  static Document of_measured_item(std::string_view item) { return {item, Measured{}}; }

  ~Document() { msgpack_unpacked_destroy(&unpacked_); }
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  bool is_valid() const { return is_valid_; }
  /// The item; only of a valid document.
  const msgpack_object& root() const { return unpacked_.data; }
  /// Bytes that the item takes.
  std::size_t size() const { return size_; }

 private:
  /// Selects the constructor for items that were measured already.
  struct Measured {};
  Document(std::string_view item, Measured tag);
  void unpack(std::string_view item);

  msgpack_unpacked unpacked_;
  std::size_t size_ = 0;
  bool is_valid_ = false;
};

}  // namespace alderspur::msgpack_codec
