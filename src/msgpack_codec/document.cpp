#include "msgpack_codec/document.h"

#include "msgpack_codec/measure.h"

namespace alderspur::msgpack_codec {

Document::Document(std::string_view bytes) {
  msgpack_unpacked_init(&unpacked_);
  if (measure_item(bytes, bytes.size()).status != MeasureStatus::complete) return;
  unpack(bytes);
  is_valid_ = is_valid_ && size_ == bytes.size();
}

Document::Document(std::string_view item, Measured /*tag*/) {
  msgpack_unpacked_init(&unpacked_);
  unpack(item);
}

void Document::unpack(std::string_view item) {
  is_valid_ =
      msgpack_unpack_next(&unpacked_, item.data(), item.size(), &size_) == MSGPACK_UNPACK_SUCCESS;
}

}  // namespace alderspur::msgpack_codec
