// Reads the elements of a MessagePack array in order. The messages and stored records of cluster,
// consensus and replication are such arrays. The classes perform no I/O and are not thread-safe.
//
// Additional elements at the end of an array are ignored, so that a later version can append
// fields.
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

/// Size limit of a text, such as a name, for which the caller sets no other limit.
constexpr std::size_t kMaxNameBytes = 64;

/// The reason why an array cannot be read.
enum class ReadError : std::uint8_t {
  none,
  not_an_array,      // not an array, or an array with too few elements
  missing_element,   // a read past the last element
  wrong_type,        // an element of another type than expected
  out_of_range,      // a number, or the number of elements of a nested array
  too_long,          // a text or a byte string
  unprintable_text,  // control characters, quotes or bytes beyond ASCII
  rejected,          // well-formed, but the caller rejected a value
};

/// Reads the elements of one array. The first error is kept. After it every read returns an empty
/// value, so that a caller can read all fields and check ok() once. The unpacked array must outlive
/// the reader.
class Reader {
 public:
  /// Sets the error not_an_array if the object is not an array of at least `min_size` elements.
  Reader(const msgpack_object& array, std::size_t min_size);

  /// Reports whether no error has occurred.
  bool ok() const { return error_ == ReadError::none; }
  /// Returns the first error, or `none`.
  ReadError error() const { return error_; }
  /// Sets the error unless an earlier one is set.
  void fail(ReadError error = ReadError::rejected);
  /// Takes over the error of the reader of a nested array, if it has one.
  void fail_with(const Reader& nested) { fail(nested.error()); }

  /// Returns the next element without checking its type. Past the end it returns an empty object of
  /// type nil and sets the error missing_element.
  const msgpack_object& next();
  /// Reports whether an element is left, such as a field that only later versions write.
  bool has_more() const { return ok() && elements_left_ > 0; }

  /// Reads an integer from 0 to `max`.
  std::uint64_t number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  /// Reads a flag, which is encoded as the number 0 or 1.
  bool flag() { return number(1) == 1; }
  /// Reads a floating-point number, which must be finite and not negative.
  double real();
  /// Reads a byte string of at most `max_size` bytes. The result points into the packed bytes.
  std::string_view bytes(std::size_t max_size);
  /// Reads a text of at most `max_size` bytes. It must be printable ASCII without double quotes,
  /// because such texts are written to logs and replies.
  std::string text(std::size_t max_size = kMaxNameBytes);

  /// Reads the next element, which must be an array of at least `min_size` elements, and returns
  /// what `read(Reader&)` returns for it. Takes over the error of the reader of that array.
  template <class Read>
  auto record(std::size_t min_size, Read read) {
    Reader fields(next(), min_size);
    auto value = read(fields);
    fail_with(fields);
    return value;
  }
  /// Reads the next element, which must be an array of at most `max_count` arrays of at least
  /// `min_size` elements each. Returns what `read(Reader&)` returns for each of these arrays. Stops
  /// at the first array that cannot be read and takes over its error; the list is then incomplete.
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
  /// Reads the next element, which must be an array of at most `max_count` texts of at most
  /// kMaxNameBytes bytes each.
  std::vector<std::string> texts(std::size_t max_count);

  /// Selects the next element, which must be an array of at most `max_size` elements, and returns
  /// its size. element() then gives access to its elements. Returns 0 on an error.
  std::uint32_t array(std::size_t max_size);
  /// Returns a reader of element `index` of the array that array() selected last. The element must
  /// be an array of at least `min_size` elements, and `index` must be below the size of the
  /// selected array.
  Reader element(std::uint32_t index, std::size_t min_size) const {
    return {nested_[index], min_size};
  }

 private:
  Reader() = default;
  /// Sets the error `otherwise` if the condition does not hold. Returns false in that case or if an
  /// earlier error is set.
  bool expect(bool holds, ReadError otherwise);

  const msgpack_object* next_element_ = nullptr;
  const msgpack_object* nested_ = nullptr;
  std::size_t elements_left_ = 0;
  ReadError error_ = ReadError::none;
};

/// Unpacks `bytes`, which must be one array of at least `min_size` elements, and returns what
/// `read(Reader&)` returns for it. Returns nullopt if the bytes are not such an array or the reader
/// has an error. The result must not refer to the unpacked elements, which are destroyed on return.
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
