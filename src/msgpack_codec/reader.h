// Reads the elements of a MessagePack array in order, as the messages and stored records of
// cluster, consensus and replication use them. No I/O; not thread-safe.
//
// Further elements at the end of an array are ignored, so that a later version may add some.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "msgpack_codec/document.h"

namespace alderspur::msgpack_codec {

constexpr std::size_t kMaxNameBytes = 64;  // of a text without a limit of its own, such as a name

/// Why an array cannot be read.
enum class ReadError : std::uint8_t {
  none,
  not_an_array,      // or one with too few elements
  missing_element,   // read beyond the end
  wrong_type,        // of an element
  out_of_range,      // a number, or the number of elements of a nested array
  too_long,          // a text or a byte string
  unprintable_text,  // control characters, quotes or bytes beyond ASCII
  rejected,          // by the caller: of the right form, but meaningless
};

/// The first error sticks: after it every read yields an empty value, so that a caller can read
/// all fields and check ok() once.
class Reader {
 public:
  /// Fails at once if the object is not an array of at least `min_size` elements.
  Reader(const msgpack_object& array, std::size_t min_size);

  bool ok() const { return error_ == ReadError::none; }
  ReadError error() const { return error_; }
  /// Marks what is read as unusable; an earlier error stays.
  void fail(ReadError error = ReadError::rejected);
  /// Fails as `nested` did, if it did.
  void fail_with(const Reader& nested) { fail(nested.error()); }

  /// The next element as it is; an empty object (of type nil) beyond the end.
  const msgpack_object& next();
  /// Whether an element is left: a field that a later version has added.
  bool has_more() const { return ok() && elements_left_ > 0; }

  /// An integer from 0 to `max`.
  std::uint64_t number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  /// The number 0 or 1.
  bool flag() { return number(1) == 1; }
  /// A finite number that is not negative.
  double real();
  /// Points into the bytes that were unpacked.
  std::string_view bytes(std::size_t max_size);
  /// Printable ASCII without quotes, since such texts appear in logs and replies.
  std::string text(std::size_t max_size = kMaxNameBytes);

  /// The next element, an array of at least `min_size` elements, as `read(Reader&)` reads it. Fails
  /// as the reader of that array has.
  template <class Read>
  auto record(std::size_t min_size, Read read) {
    Reader fields(next(), min_size);
    auto value = read(fields);
    fail_with(fields);
    return value;
  }
  /// The next element, an array of at most `max_count` arrays of at least `min_size` elements each,
  /// as `read(Reader&)` reads each of them. Fails at the first that does; the list is incomplete
  /// then.
  template <class Read>
  auto records(std::size_t max_count, std::size_t min_size, Read read) {
    std::vector<std::invoke_result_t<Read, Reader&>> values;
    const auto count = array(max_count);
    for (std::uint32_t i = 0; i < count && ok(); ++i) {
      Reader fields = element(i, min_size);
      values.push_back(read(fields));
      fail_with(fields);
    }
    return values;
  }
  /// The next element, an array of at most `max_count` texts of at most kMaxNameBytes.
  std::vector<std::string> texts(std::size_t max_count);

  /// Enters the next element, an array, and returns its size; its elements are read by element().
  std::uint32_t array(std::size_t max_size);
  /// Element `index` of the array entered last, an array itself, with a reader of its own.
  Reader element(std::uint32_t index, std::size_t min_size) const {
    return {nested_[index], min_size};
  }

 private:
  Reader() = default;
  bool expect(bool holds, ReadError otherwise);

  const msgpack_object* next_element_ = nullptr;
  const msgpack_object* nested_ = nullptr;
  std::size_t elements_left_ = 0;
  ReadError error_ = ReadError::none;
};

/// Unpacks `bytes`, one array of at least `min_size` elements, and returns what `read(Reader&)`
/// reads from it. Nothing if the bytes are no such array or the reader has failed. The result must
/// not refer to the unpacked elements.
template <class Read>
std::optional<std::invoke_result_t<Read, Reader&>> decode_array(std::string_view bytes,
                                                                std::size_t min_size, Read read) {
  const Document document(bytes);
  if (!document.is_valid()) return std::nullopt;
  Reader reader(document.root(), min_size);
  auto value = read(reader);
  if (!reader.ok()) return std::nullopt;
  return value;
}

}  // namespace alderspur::msgpack_codec
