#include "msgpack_codec/measure.h"

#include <cstdint>

namespace alderspur::msgpack_codec {
namespace {

// Values of the first byte of an item, as the MessagePack specification defines them ("Formats").
constexpr unsigned kFixMap = 0x80;
constexpr unsigned kFixArray = 0x90;
constexpr unsigned kFixStr = 0xa0;
constexpr unsigned kNil = 0xc0;
constexpr unsigned kNeverUsed = 0xc1;
constexpr unsigned kBin8 = 0xc4;
constexpr unsigned kExt8 = 0xc7;
constexpr unsigned kExt32 = 0xc9;
constexpr unsigned kFloat32 = 0xca;
constexpr unsigned kFloat64 = 0xcb;
constexpr unsigned kUint8 = 0xcc;
constexpr unsigned kInt64 = 0xd3;
constexpr unsigned kFixExt1 = 0xd4;
constexpr unsigned kFixExt16 = 0xd8;
constexpr unsigned kStr8 = 0xd9;
constexpr unsigned kStr32 = 0xdb;
constexpr unsigned kArray16 = 0xdc;
constexpr unsigned kMap16 = 0xde;
constexpr unsigned kMap32 = 0xdf;

constexpr unsigned kFixCountMask = 0x0f;
constexpr unsigned kFixStrMask = 0x1f;

bool is_between(unsigned byte, unsigned first, unsigned last) {
  return byte >= first && byte <= last;
}

// Reports whether the item is an array or a map whose count follows the first byte.
bool has_count(unsigned byte) { return is_between(byte, kArray16, kMap32); }

// Returns the size in bytes of the big-endian length or count that follows the first byte, or 0 if
// there is none.
std::size_t length_width(unsigned byte) {
  if (is_between(byte, kBin8, kExt32)) return std::size_t{1} << (byte - kBin8) % 3;
  if (is_between(byte, kStr8, kStr32)) return std::size_t{1} << (byte - kStr8);
  if (has_count(byte)) return std::size_t{2} << (byte - kArray16) % 2;
  return 0;
}

// Decodes a big-endian number of up to 8 bytes. Returns 0 for an empty text.
std::uint64_t decode_big_endian(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char byte : bytes) number = number << 8 | static_cast<unsigned char>(byte);
  return number;
}

// Returns the number of items nested directly in this item: the elements of an array, or the keys
// and the values of a map.
std::uint64_t nested_items(unsigned byte, std::uint64_t length) {
  if (is_between(byte, kFixMap, kFixArray - 1)) return 2 * std::uint64_t{byte & kFixCountMask};
  if (is_between(byte, kFixArray, kFixStr - 1)) return byte & kFixCountMask;
  if (has_count(byte)) return length * (byte < kMap16 ? 1 : 2);
  return 0;
}

// Returns the number of bytes between the first byte and the next item. They hold the length or
// count, and the content.
std::uint64_t bytes_after_first(unsigned byte, std::size_t width, std::uint64_t length) {
  if (is_between(byte, kFixStr, kNil - 1)) return byte & kFixStrMask;
  if (has_count(byte)) return width;
  if (width > 0) {
    const bool has_extension_type = is_between(byte, kExt8, kExt32);
    return width + length + (has_extension_type ? 1 : 0);
  }
  if (byte == kFloat32) return 4;
  if (byte == kFloat64) return 8;
  if (is_between(byte, kUint8, kInt64)) return std::uint64_t{1} << byte % 4;
  if (is_between(byte, kFixExt1, kFixExt16)) return 1 + (std::uint64_t{1} << (byte - kFixExt1));
  return 0;
}

}  // namespace

Measurement measure_item(std::string_view bytes, std::size_t limit) {
  std::size_t position = 0;
  for (std::uint64_t items_left = 1; items_left > 0; --items_left) {
    if (position >= bytes.size()) return {MeasureStatus::incomplete};
    const unsigned first = static_cast<unsigned char>(bytes[position++]);
    if (first == kNeverUsed) return {MeasureStatus::invalid};
    const std::size_t width = length_width(first);
    if (bytes.size() - position < width) return {MeasureStatus::incomplete};
    const std::uint64_t length = decode_big_endian(bytes.substr(position, width));
    items_left += nested_items(first, length);
    const std::uint64_t skipped = bytes_after_first(first, width, length);
    // Each of the remaining items takes at least one byte.
    if (position + skipped + items_left - 1 > limit) return {MeasureStatus::invalid};
    if (bytes.size() - position < skipped) return {MeasureStatus::incomplete};
    position += static_cast<std::size_t>(skipped);
  }
  return {MeasureStatus::complete, position};
}

}  // namespace alderspur::msgpack_codec
