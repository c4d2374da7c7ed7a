// Makes mangled copies of MessagePack frames: truncated copies, copies without one element, and
// copies in which one element is replaced by an element of another type.
#pragma once

#include <msgpack.h>

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "msgpack_codec/document.h"
#include "msgpack_codec/writer.h"

namespace mangled {

using alderspur::msgpack_codec::Writer;

/// A MessagePack item that can be changed and written again.
struct Item {
  enum class Type { nil, number, real, text, bytes, array };
  Type type = Type::nil;
  std::uint64_t number = 0;
  double real = 0;
  std::string content{};  // the content of a text or a byte string
  std::vector<Item> elements{};
};

inline Item item_of(const msgpack_object& object) {
  switch (object.type) {
    case MSGPACK_OBJECT_NIL:
      return {};
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
      return {.type = Item::Type::number, .number = object.via.u64};
    case MSGPACK_OBJECT_FLOAT64:
      return {.type = Item::Type::real, .real = object.via.f64};
    case MSGPACK_OBJECT_STR:
      return {.type = Item::Type::text, .content = {object.via.str.ptr, object.via.str.size}};
    case MSGPACK_OBJECT_BIN:
      return {.type = Item::Type::bytes, .content = {object.via.bin.ptr, object.via.bin.size}};
    case MSGPACK_OBJECT_ARRAY: {
      Item array{.type = Item::Type::array};
      for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
        array.elements.push_back(item_of(object.via.array.ptr[i]));
      }
      return array;
    }
    default:
      throw std::logic_error("the frame contains a MessagePack type that no frame format uses");
  }
}

inline void write(Writer& writer, const Item& item) {
  switch (item.type) {
    case Item::Type::nil:
      writer.nil();
      break;
    case Item::Type::number:
      writer.number(item.number);
      break;
    case Item::Type::real:
      writer.real(item.real);
      break;
    case Item::Type::text:
      writer.text(item.content);
      break;
    case Item::Type::bytes:
      writer.bytes(item.content);
      break;
    case Item::Type::array:
      writer.array(item.elements.size());
      for (const auto& element : item.elements) write(writer, element);
      break;
  }
}

/// Makes all copies of a frame with one element changed, in the order of the elements.
class Mangler {
 public:
  explicit Mangler(std::string_view frame) : document_(frame), root_(item_of(document_.root())) {}

  /// Returns the copies in which one element, or the frame itself, has another type.
  std::vector<std::string> with_replaced_elements() {
    copies_.clear();
    replace_in(root_);
    return copies_;
  }
  /// Returns the copies in which one element is missing. Such a copy may still be a valid frame,
  /// for example with a shorter list.
  std::vector<std::string> with_dropped_elements() {
    copies_.clear();
    drop_in(root_);
    return copies_;
  }

 private:
  void add_copy() {
    Writer writer;
    write(writer, root_);
    copies_.push_back(writer.str());
  }
  void replace_in(Item& item) {
    for (auto& element : item.elements) replace_in(element);
    const Item original = item;
    for (const auto type : {Item::Type::nil, Item::Type::number, Item::Type::real, Item::Type::text,
                            Item::Type::bytes, Item::Type::array}) {
      if (type == original.type) continue;
      item = Item{.type = type};
      add_copy();
    }
    item = original;
  }
  void drop_in(Item& item) {
    for (std::size_t i = 0; i < item.elements.size(); ++i) {
      const auto all = item.elements;
      item.elements.erase(item.elements.begin() + static_cast<std::ptrdiff_t>(i));
      add_copy();
      item.elements = all;
      drop_in(item.elements[i]);
    }
  }

  alderspur::msgpack_codec::Document document_;
  Item root_;
  std::vector<std::string> copies_;
};

/// Returns all proper prefixes of a frame.
inline std::vector<std::string> truncated_copies(std::string_view frame) {
  std::vector<std::string> copies;
  for (std::size_t size = 0; size < frame.size(); ++size) {
    copies.emplace_back(frame.substr(0, size));
  }
  return copies;
}

/// Returns the copies that no receiver may accept: truncated, or with an element of another type.
inline std::vector<std::string> unacceptable_copies(std::string_view frame) {
  auto copies = truncated_copies(frame);
  for (auto& copy : Mangler(frame).with_replaced_elements()) copies.push_back(std::move(copy));
  return copies;
}

}  // namespace mangled
