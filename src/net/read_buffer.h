// The bytes that a connection has received but its owner has not consumed yet. The memory that is
// held is bounded by a multiple of the unread bytes and a constant, also if the buffer never runs
// empty, and the bytes that are moved by a multiple of the bytes received. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace alderspur::net {

/// A contiguous buffer that is filled at its end and emptied at its front.
class ReadBuffer {
 public:
  /// The smallest space that prepare() returns.
  static constexpr std::size_t kMinReadBytes = 16 << 10;
  /// The largest space that is kept allocated in addition to a multiple of the unread bytes.
  static constexpr std::size_t kMaxSpareBytes = 64 << 10;

  /// Returns the space behind the unread bytes, at least kMinReadBytes. Invalidates views of the
  /// unread bytes.
  std::span<char> prepare();
  /// Adds the first `count` bytes of the space that prepare() returned to the unread bytes.
  void commit(std::size_t count) { end_ += count; }
  /// Removes `count` unread bytes from the front and releases memory that is no longer needed.
  /// Invalidates views of the unread bytes.
  void remove_front(std::size_t count);

  /// Returns the bytes that were not removed.
  std::string_view unread() const { return {data_.get() + begin_, end_ - begin_}; }
  /// Returns the size of the allocated memory in bytes.
  std::size_t held_bytes() const { return capacity_; }
  /// Returns the total number of bytes that were moved within the buffer or to a new one.
  std::uint64_t moved_total() const { return moved_total_; }

 private:
  void move_to_new_buffer(std::size_t capacity);
  void move_to_front();

  std::unique_ptr<char[]> data_;
  std::size_t capacity_ = 0;
  std::size_t begin_ = 0;  // start of the unread bytes
  std::size_t end_ = 0;    // end of the unread bytes
  std::uint64_t moved_total_ = 0;
};

}  // namespace alderspur::net
