#include "net/send_queue.h"

#include <algorithm>

namespace alderspur::net {

void SendQueue::add_chunk(std::size_t bytes_to_append) {
  std::string& chunk = chunks_.emplace_back();
  chunk.reserve(std::clamp(bytes_to_append, kMinChunkBytes, kMaxChunkBytes));
  held_bytes_ += chunk.capacity();
}

void SendQueue::append(std::string_view bytes) {
  size_ += bytes.size();
  while (!bytes.empty()) {
    if (chunks_.empty() || chunks_.back().size() == chunks_.back().capacity()) {
      add_chunk(bytes.size());
    }
    std::string& last = chunks_.back();
    const auto part = bytes.substr(0, last.capacity() - last.size());
    last += part;
    bytes.remove_prefix(part.size());
  }
}

std::size_t SendQueue::gather(std::span<iovec> buffers) const {
  std::size_t count = 0;
  std::size_t sent = sent_of_first_;
  for (const std::string& chunk : chunks_) {
    if (count == buffers.size()) break;
    buffers[count++] = {const_cast<char*>(chunk.data()) + sent, chunk.size() - sent};
    sent = 0;
  }
  return count;
}

void SendQueue::remove_first_chunk() {
  held_bytes_ -= chunks_.front().capacity();
  chunks_.pop_front();
  sent_of_first_ = 0;
}

void SendQueue::remove_front(std::size_t count) {
  size_ -= count;
  while (count > 0) {
    const std::size_t rest_of_first = chunks_.front().size() - sent_of_first_;
    if (count < rest_of_first) {
      sent_of_first_ += count;
      return;
    }
    count -= rest_of_first;
    remove_first_chunk();
  }
}

void SendQueue::clear() {
  while (!chunks_.empty()) remove_first_chunk();
  size_ = 0;
}

}  // namespace alderspur::net
