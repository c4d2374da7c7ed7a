#include "msgpack_codec/reader.h"

#include <cmath>

namespace alderspur::msgpack_codec {
namespace {

// Reports whether the character is printable ASCII and not a double quote.
bool is_printable(char character) {
  return character >= ' ' && character <= '~' && character != '"';
}

}  // namespace

Reader::Reader(const msgpack_object& array, std::size_t min_size) {
  if (array.type != MSGPACK_OBJECT_ARRAY || array.via.array.size < min_size) {
    error_ = ReadError::not_an_array;
    return;
  }
  next_element_ = array.via.array.ptr;
  elements_left_ = array.via.array.size;
}

void Reader::fail(ReadError error) {
  if (ok()) error_ = error;
}

const msgpack_object& Reader::next() {
  static const msgpack_object nothing{};
  if (elements_left_ == 0) fail(ReadError::missing_element);
  if (!ok()) return nothing;
  --elements_left_;
  return *next_element_++;
}

std::uint64_t Reader::number(std::uint64_t max) {
  const auto& element = next();
  if (!expect(element.type == MSGPACK_OBJECT_POSITIVE_INTEGER, ReadError::wrong_type)) return 0;
  if (!expect(element.via.u64 <= max, ReadError::out_of_range)) return 0;
  return element.via.u64;
}

double Reader::real() {
  const auto& element = next();
  if (!expect(element.type == MSGPACK_OBJECT_FLOAT64, ReadError::wrong_type)) return 0;
  const bool is_in_range = std::isfinite(element.via.f64) && element.via.f64 >= 0;
  if (!expect(is_in_range, ReadError::out_of_range)) return 0;
  return element.via.f64;
}

std::string_view Reader::bytes(std::size_t max_size) {
  const auto& element = next();
  if (!expect(element.type == MSGPACK_OBJECT_BIN, ReadError::wrong_type)) return {};
  if (!expect(element.via.bin.size <= max_size, ReadError::too_long)) return {};
  return {element.via.bin.ptr, element.via.bin.size};
}

std::string Reader::text(std::size_t max_size) {
  const auto& element = next();
  if (!expect(element.type == MSGPACK_OBJECT_STR, ReadError::wrong_type)) return {};
  if (!expect(element.via.str.size <= max_size, ReadError::too_long)) return {};
  const std::string_view value(element.via.str.ptr, element.via.str.size);
  for (const char character : value) {
    if (!expect(is_printable(character), ReadError::unprintable_text)) return {};
  }
  return std::string(value);
}

std::vector<std::string> Reader::texts(std::size_t max_count) {
  std::vector<std::string> values;
  const auto count = array(max_count);
  for (std::uint32_t i = 0; i < count && ok(); ++i) {
    Reader single;
    single.next_element_ = nested_ + i;
    single.elements_left_ = 1;
    values.push_back(single.text());
    fail_with(single);
  }
  return values;
}

std::uint32_t Reader::array(std::size_t max_size) {
  const auto& element = next();
  if (!expect(element.type == MSGPACK_OBJECT_ARRAY, ReadError::wrong_type)) return 0;
  if (!expect(element.via.array.size <= max_size, ReadError::out_of_range)) return 0;
  nested_ = element.via.array.ptr;
  return element.via.array.size;
}

bool Reader::expect(bool holds, ReadError otherwise) {
  if (!holds) fail(otherwise);
  return holds && ok();
}

}  // namespace alderspur::msgpack_codec
