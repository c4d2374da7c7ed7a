// Reads the elements of a MessagePack array in order, as the cluster's messages and records use
// them. No I/O; not thread-safe.
//
// Further elements at the end of an array are ignored, so that a later version may add some.
#pragma once

#include <msgpack.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace alderspur::msgpack_codec {

constexpr std::size_t kDefaultTextLimit = 64;  // characters of a name or an address

enum class ReadError : std::uint8_t {
  none,
  not_an_array,      // or one with too few elements
  missing_element,   // read beyond the end
  wrong_type,        //
  out_of_range,      // a number, or the number of elements of a nested array
  too_long,          // a text or a byte string
  unprintable_text,  // control characters, quotes or bytes beyond ASCII
  rejected,          // by the caller: it fits the form and makes no sense
};

/// The first error sticks: after it every read yields an empty value, so that a caller can read
/// all fields and check ok() once.
class Reader {
 public:
  Reader(const msgpack_object& array, std::size_t min_size) {
    if (array.type != MSGPACK_OBJECT_ARRAY || array.via.array.size < min_size) {
      error_ = ReadError::not_an_array;
      return;
    }
    next_element_ = array.via.array.ptr;
    elements_left_ = array.via.array.size;
  }

  bool ok() const { return error_ == ReadError::none; }
  ReadError error() const { return error_; }
  /// Marks what is read as unusable; an earlier error stays.
  void fail(ReadError error = ReadError::rejected) {
    if (ok()) error_ = error;
  }
  /// Fails as `nested` did, if it did.
  void fail_with(const Reader& nested) { fail(nested.error()); }

  /// The next element as it is; an empty object (of type nil) beyond the end.
  const msgpack_object& next() {
    static const msgpack_object nothing{};
    if (elements_left_ == 0) fail(ReadError::missing_element);
    if (!ok()) return nothing;
    --elements_left_;
    return *next_element_++;
  }
  /// True where an element is left: a field that a later version has added.
  bool has_more() const { return ok() && elements_left_ > 0; }

  std::uint64_t number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max()) {
    const auto& element = next();
    if (!expect(element.type == MSGPACK_OBJECT_POSITIVE_INTEGER, ReadError::wrong_type)) return 0;
    if (!expect(element.via.u64 <= max, ReadError::out_of_range)) return 0;
    return element.via.u64;
  }
  bool flag() { return number(1) == 1; }
  /// A finite number that is not negative.
  double real() {
    const auto& element = next();
    if (!expect(element.type == MSGPACK_OBJECT_FLOAT64, ReadError::wrong_type)) return 0;
    const bool in_range = std::isfinite(element.via.f64) && element.via.f64 >= 0;
    if (!expect(in_range, ReadError::out_of_range)) return 0;
    return element.via.f64;
  }
  /// Points into the bytes that were unpacked.
  std::string_view bytes(std::size_t max_size) {
    const auto& element = next();
    if (!expect(element.type == MSGPACK_OBJECT_BIN, ReadError::wrong_type)) return {};
    if (!expect(element.via.bin.size <= max_size, ReadError::too_long)) return {};
    return {element.via.bin.ptr, element.via.bin.size};
  }
  /// Printable ASCII without quotes: such texts come into logs and answers.
  std::string text(std::size_t max_size = kDefaultTextLimit) {
    const auto& element = next();
    if (!expect(element.type == MSGPACK_OBJECT_STR, ReadError::wrong_type)) return {};
    if (!expect(element.via.str.size <= max_size, ReadError::too_long)) return {};
    const std::string_view value(element.via.str.ptr, element.via.str.size);
    for (const char character : value) {
      if (!expect(is_printable(character), ReadError::unprintable_text)) return {};
    }
    return std::string(value);
  }

  /// Enters a nested array and returns its size; its elements are read by element() or
  /// element_text().
  std::uint32_t array(std::size_t max_size) {
    const auto& element = next();
    if (!expect(element.type == MSGPACK_OBJECT_ARRAY, ReadError::wrong_type)) return 0;
    if (!expect(element.via.array.size <= max_size, ReadError::out_of_range)) return 0;
    nested_ = element.via.array.ptr;
    return element.via.array.size;
  }
  /// Element `index` of the array entered last, an array itself, with a reader of its own.
  Reader element(std::uint32_t index, std::size_t min_size) const {
    return {nested_[index], min_size};
  }
  /// Element `index` of the array entered last, a text.
  std::string element_text(std::uint32_t index) {
    Reader single;
    single.next_element_ = nested_ + index;
    single.elements_left_ = 1;
    auto value = single.text();
    fail_with(single);
    return value;
  }

 private:
  Reader() = default;
  static bool is_printable(char character) {
    return character >= ' ' && character <= '~' && character != '"';
  }
  bool expect(bool holds, ReadError otherwise) {
    if (!holds) fail(otherwise);
    return holds && ok();
  }

  const msgpack_object* next_element_ = nullptr;
  const msgpack_object* nested_ = nullptr;
  std::size_t elements_left_ = 0;
  ReadError error_ = ReadError::none;
};

}  // namespace alderspur::msgpack_codec
