// The bytes that a connection has accepted but not sent yet. They are stored in chunks of limited
// size, and a chunk is freed as soon as all of its bytes were sent. The memory that is held is
// therefore bounded by the unsent bytes and a constant, also if the queue never runs empty, and
// each byte is copied once, however long the queue is. Not thread-safe.
#pragma once

#include <sys/uio.h>

#include <cstddef>
#include <list>
#include <span>
#include <string>
#include <string_view>

namespace alderspur::net {

/// A queue of bytes that is filled at its end and emptied at its front.
class SendQueue {
 public:
  /// The capacity of a chunk, which depends on the size of the write that it is allocated for.
  static constexpr std::size_t kMinChunkBytes = 1 << 10;
  static constexpr std::size_t kMaxChunkBytes = 16 << 10;

  /// Copies the bytes to the end of the queue.
  void append(std::string_view bytes);
  /// Fills `buffers` with the first chunks of the queue, for a gathered write. Returns the number
  /// of buffers that it has filled. They are valid until the queue changes.
  std::size_t gather(std::span<iovec> buffers) const;
  /// Removes `count` bytes, at most size(), from the front of the queue.
  void remove_front(std::size_t count);
  /// Removes all bytes.
  void clear();

  /// Returns the number of bytes in the queue.
  std::size_t size() const { return size_; }
  /// Returns the memory that is allocated for bytes, in bytes.
  std::size_t held_bytes() const { return held_bytes_; }

 private:
  void add_chunk(std::size_t bytes_to_append);
  void remove_first_chunk();

  std::list<std::string> chunks_;  // all but the last are filled to their capacity
  std::size_t sent_of_first_ = 0;  // bytes of the first chunk that were removed
  std::size_t size_ = 0;
  std::size_t held_bytes_ = 0;
};

}  // namespace alderspur::net
