// Writes MessagePack items one after the other into a buffer. The writer performs no I/O and is not
// thread-safe.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace alderspur::msgpack_codec {

/// Appends items to a buffer that it owns. Every function except str() returns the writer, so that
/// calls can be chained. Integers are encoded in the shortest form that can represent them.
class Writer {
 public:
  Writer() {
    msgpack_sbuffer_init(&buffer_);
    msgpack_packer_init(&packer_, &buffer_, msgpack_sbuffer_write);
  }
  ~Writer() { msgpack_sbuffer_destroy(&buffer_); }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  /// Appends the header of an array. The caller then writes its `size` elements.
  Writer& array(std::size_t size) {
    msgpack_pack_array(&packer_, size);
    return *this;
  }
  /// Appends the header of a map. The caller then writes `size` keys, each followed by its value.
  Writer& map(std::size_t size) {
    msgpack_pack_map(&packer_, size);
    return *this;
  }
  Writer& number(std::uint64_t value) {
    msgpack_pack_uint64(&packer_, value);
    return *this;
  }
  Writer& real(double value) {
    msgpack_pack_double(&packer_, value);
    return *this;
  }
  /// Appends a flag as the number 0 or 1, which is its form in the messages of the cluster.
  Writer& flag(bool value) { return number(value ? 1 : 0); }
  Writer& boolean_true() {
    msgpack_pack_true(&packer_);
    return *this;
  }
  Writer& nil() {
    msgpack_pack_nil(&packer_);
    return *this;
  }
  /// Appends the header of a byte string. The caller sends its `size` bytes after the contents of
  /// this buffer.
  Writer& bytes_header(std::size_t size) {
    msgpack_pack_bin(&packer_, size);
    return *this;
  }
  Writer& bytes(std::string_view value) {
    bytes_header(value.size());
    msgpack_pack_bin_body(&packer_, value.data(), value.size());
    return *this;
  }
  Writer& text(std::string_view value) {
    msgpack_pack_str_with_body(&packer_, value.data(), value.size());
    return *this;
  }

  /// Returns a copy of everything that has been written.
  std::string str() const {
    return buffer_.data == nullptr ? std::string() : std::string(buffer_.data, buffer_.size);
  }

 private:
  msgpack_sbuffer buffer_;
  msgpack_packer packer_;
};

}  // namespace alderspur::msgpack_codec
