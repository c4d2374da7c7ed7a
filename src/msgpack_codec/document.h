// Unpacks one MessagePack item with all items that are nested in it. The class performs no I/O and
// is not thread-safe.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <string_view>

namespace alderspur::msgpack_codec {

/// Owns an unpacked item. Texts and byte strings in the item point into the packed bytes, which
/// must outlive the document.
class Document {
 public:
  /// Unpacks `bytes`. is_valid() returns false if they are not exactly one complete item.
  explicit Document(std::string_view bytes);
  /// Unpacks an item that measure_item() has already reported as complete, without measuring it
  /// again.
  static Document of_measured_item(std::string_view item) { return {item, Measured{}}; }

  ~Document() { msgpack_unpacked_destroy(&unpacked_); }
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  /// Reports whether the item was unpacked.
  bool is_valid() const { return is_valid_; }
  /// Returns the item. The document must be valid.
  const msgpack_object& root() const { return unpacked_.data; }
  /// Returns the size of the packed item in bytes.
  std::size_t size() const { return size_; }

 private:
  /// Tag that selects the constructor for items that have already been measured.
  struct Measured {};
  Document(std::string_view item, Measured tag);
  void unpack(std::string_view item);

  msgpack_unpacked unpacked_;
  std::size_t size_ = 0;
  bool is_valid_ = false;
};

}  // namespace alderspur::msgpack_codec
