// Writes MessagePack items one after the other into a buffer. No I/O.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace alderspur::msgpack_codec {

/// Appends items; every call but str() returns the writer, so that calls can be chained. Numbers
/// take the shortest form that holds them.
class Writer {
 public:
  Writer() {
    msgpack_sbuffer_init(&buffer_);
    msgpack_packer_init(&packer_, &buffer_, msgpack_sbuffer_write);
  }
  ~Writer() { msgpack_sbuffer_destroy(&buffer_); }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  /// The header of an array: its `size` elements are to be written next.
  Writer& array(std::size_t size) {
    msgpack_pack_array(&packer_, size);
    return *this;
  }
  /// The header of a map: `size` keys, each with its value, are to be written next.
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
  /// A flag as the cluster's messages hold it: the number 0 or 1.
  Writer& flag(bool value) { return number(value ? 1 : 0); }
  Writer& boolean_true() {
    msgpack_pack_true(&packer_);
    return *this;
  }
  Writer& nil() {
    msgpack_pack_nil(&packer_);
    return *this;
  }
  /// The header of a byte string whose `size` bytes are sent behind what is written here.
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

  /// A copy of all that has been written.
  std::string str() const {
    return buffer_.data == nullptr ? std::string() : std::string(buffer_.data, buffer_.size);
  }

 private:
  msgpack_sbuffer buffer_;
  msgpack_packer packer_;
};

}  // namespace alderspur::msgpack_codec
