#include "net/read_buffer.h"

#include <cstring>
#include <utility>

namespace alderspur::net {

void ReadBuffer::move_to_new_buffer(std::size_t capacity) {
  const std::size_t unread_bytes = end_ - begin_;
  auto new_data = std::make_unique_for_overwrite<char[]>(capacity);
  if (unread_bytes > 0) std::memcpy(new_data.get(), data_.get() + begin_, unread_bytes);
  data_ = std::move(new_data);
  capacity_ = capacity;
  begin_ = 0;
  end_ = unread_bytes;
  moved_total_ += unread_bytes;
}

void ReadBuffer::move_to_front() {
  const std::size_t unread_bytes = end_ - begin_;
  std::memcpy(data_.get(), data_.get() + begin_, unread_bytes);
  begin_ = 0;
  end_ = unread_bytes;
  moved_total_ += unread_bytes;
}

// The new buffer has room for as many bytes again, so that the bytes moved stay in proportion to
// the bytes received while a long message arrives.
std::span<char> ReadBuffer::prepare() {
  if (capacity_ - end_ < kMinReadBytes) {
    move_to_new_buffer(2 * (end_ - begin_) + kMinReadBytes);
  }
  return {data_.get() + end_, capacity_ - end_};
}

// Moves the rest only once at least as many bytes were removed before it, so that no more bytes are
// moved than removed, and the old and the new place do not overlap.
void ReadBuffer::remove_front(std::size_t count) {
  begin_ += count;
  const std::size_t unread_bytes = end_ - begin_;
  if (unread_bytes == 0) {
    // Most connections are idle. Releasing their empty buffers saves memory.
    data_.reset();
    capacity_ = begin_ = end_ = 0;
  } else if (begin_ >= unread_bytes) {
    if (capacity_ > 2 * unread_bytes + kMaxSpareBytes) {
      move_to_new_buffer(unread_bytes + kMinReadBytes);
    } else {
      move_to_front();
    }
  }
}

}  // namespace alderspur::net
