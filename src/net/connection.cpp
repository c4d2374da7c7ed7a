#include "net/connection.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace alderspur::net {
namespace {

constexpr std::size_t kMinReadBytes = 16 << 10;
constexpr std::size_t kMaxReadBytes = 512 << 10;
constexpr std::size_t kDiscardBytes = 16 << 10;
constexpr int kMaxWriteParts = 3;

bool is_temporary(int error) { return error == EAGAIN || error == EINTR; }

}  // namespace

Connection::Connection(Loop& loop, Fd fd, bool is_connecting, Handler handler)
    : fd_(std::move(fd)), handler_(std::move(handler)), is_connecting_(is_connecting) {
  const int enabled = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  watcher_ =
      std::make_unique<IoWatcher>(loop.raw(), fd_.get(), [this](int events) { on_ready(events); });
  update_watcher();
}

void Connection::update_watcher() {
  if (is_closed_) return;
  const bool reads = !is_connecting_ && !has_input_ended_ && (is_lingering_ || !is_unreadable_);
  const bool writes = is_connecting_ || unwritten() > 0;
  watcher_->want((reads ? EV_READ : 0) | (writes ? EV_WRITE : 0));
}

// ---- Closing ----

// Keeps the read buffer, since views of it may still be in use in this turn.
void Connection::close() {
  if (is_closed_) return;
  is_closed_ = true;
  watcher_.reset();
  fd_ = Fd();
  queue_.clear();
  queue_position_ = 0;
}

void Connection::fail(CloseReason reason) {
  if (is_closed_) return;
  const auto on_linger_end = is_lingering_ ? std::move(on_linger_end_) : nullptr;
  const auto on_close = is_lingering_ ? nullptr : handler_.on_close;
  is_unreadable_ = reason == CloseReason::unreadable;
  is_closed_ = !is_unreadable_;
  watcher_->want(0);
  if (is_closed_) fd_ = Fd();
  if (on_linger_end) on_linger_end();
  if (on_close) on_close(reason);
}

void Connection::linger(std::function<void()> on_end) {
  if (is_closed_ || is_lingering_) return;
  is_lingering_ = true;
  has_input_ended_ = false;  // reads again, because a lingering close ends with the end of input
  on_linger_end_ = std::move(on_end);
  if (!is_connecting_ && unwritten() == 0) shut_down_sending();
  update_watcher();
}

void Connection::shut_down_sending() {
  if (std::exchange(has_shut_down_sending_, true)) return;
  ::shutdown(fd_.get(), SHUT_WR);
  has_input_ended_ = false;
}

void Connection::discard_input() {
  char bytes[kDiscardBytes];
  const ssize_t received = ::recv(fd_.get(), bytes, sizeof bytes, 0);
  if (received < 0 && is_temporary(errno)) return;
  if (received > 0) {
    discarded_bytes_ += static_cast<std::size_t>(received);
    if (discarded_bytes_ <= kMaxLingerBytes) return;
  }
  has_input_ended_ = received == 0;
  if (received != 0 || has_shut_down_sending_) fail(CloseReason::by_peer);
}

bool Connection::peer_ended() const {
  if (is_closed_) return true;
  pollfd poll_fd{fd_.get(), POLLRDHUP, 0};
  return ::poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

// ---- Reading ----

bool Connection::has_input_waiting() const {
  int bytes = 0;
  return !is_closed_ && ::ioctl(fd_.get(), FIONREAD, &bytes) == 0 && bytes > 0;
}

void Connection::on_ready(int events) {
  if (is_connecting_) return on_connected();
  if (events & EV_WRITE) {
    flush();
    if (is_closed_) return;
    if (is_lingering_ && unwritten() == 0) {
      shut_down_sending();
    } else if (!is_lingering_ && handler_.on_written) {
      handler_.on_written();
    }
  }
  if (!is_closed_ && (events & EV_READ)) {
    if (is_lingering_) {
      discard_input();
    } else {
      read();
    }
  }
  if (!is_closed_) update_watcher();
}

void Connection::on_connected() {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error) return fail(CloseReason::refused);
  is_connecting_ = false;
  flush();
  if (!is_closed_ && handler_.on_written) handler_.on_written();
  if (!is_closed_) update_watcher();
}

// Reads at most once per turn, because a second read could move the buffer while views of it are in
// use.
void Connection::read() {
  if (consumed_bytes_) return;
  if (buffer_.size() - buffered_bytes_ < kMinReadBytes) {
    buffer_.resize(std::max(buffer_.size() * 2, buffered_bytes_ + kMinReadBytes));
  }
  const std::size_t capacity = std::min(buffer_.size() - buffered_bytes_, kMaxReadBytes);
  const ssize_t received = ::recv(fd_.get(), buffer_.data() + buffered_bytes_, capacity, 0);
  if (received < 0) {
    if (!is_temporary(errno)) fail(CloseReason::reset);
    return;
  }
  if (received == 0) {
    if (!handler_.allows_half_close) return fail(CloseReason::by_peer);
    has_input_ended_ = true;
    return handler_.on_close(CloseReason::by_peer);
  }
  last_read_at_ = unix_now();
  buffered_bytes_ += static_cast<std::size_t>(received);
  const auto consumed = handler_.on_data(std::string_view(buffer_.data(), buffered_bytes_));
  if (consumed < 0) return fail(CloseReason::unreadable);
  consumed_bytes_ = static_cast<std::size_t>(consumed);
}

bool Connection::reoffer_unread() {
  if (is_closed_ || consumed_bytes_ || buffered_bytes_ == 0) return false;
  const auto consumed = handler_.on_data(std::string_view(buffer_.data(), buffered_bytes_));
  if (consumed < 0) fail(CloseReason::unreadable);
  consumed_bytes_ = consumed > 0 ? static_cast<std::size_t>(consumed) : 0;
  return consumed_bytes_ > 0;
}

void Connection::end_turn() {
  if (!consumed_bytes_) return;
  std::memmove(buffer_.data(), buffer_.data() + consumed_bytes_, buffered_bytes_ - consumed_bytes_);
  buffered_bytes_ -= consumed_bytes_;
  consumed_bytes_ = 0;
  // Most connections are idle. Releasing their empty buffers saves memory.
  if (buffered_bytes_ == 0) std::string().swap(buffer_);
}

// ---- Writing ----

void Connection::write(std::string_view head, std::string_view body, std::string_view tail) {
  if (is_closed_) return;
  std::string_view parts[kMaxWriteParts] = {head, body, tail};
  queued_total_ += head.size() + body.size() + tail.size();
  if (!is_connecting_ && unwritten() == 0) {
    iovec buffers[kMaxWriteParts];
    for (int i = 0; i < kMaxWriteParts; ++i) {
      buffers[i] = {const_cast<char*>(parts[i].data()), parts[i].size()};
    }
    msghdr message{};
    message.msg_iov = buffers;
    message.msg_iovlen = kMaxWriteParts;
    // An error is ignored here, because fail() must not call the owner from within write(). The
    // kernel reports the error again when the socket is ready.
    const ssize_t result = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    std::size_t sent = result < 0 ? 0 : static_cast<std::size_t>(result);
    for (auto& part : parts) {
      const auto sent_of_part = std::min(part.size(), sent);
      part.remove_prefix(sent_of_part);
      sent -= sent_of_part;
    }
  }
  for (const auto& part : parts) queue_ += part;
  update_watcher();
}

void Connection::flush() {
  if (!unwritten()) return;
  const ssize_t sent =
      ::send(fd_.get(), queue_.data() + queue_position_, unwritten(), MSG_NOSIGNAL);
  if (sent < 0) {
    if (!is_temporary(errno)) fail(CloseReason::reset);
    return;
  }
  queue_position_ += static_cast<std::size_t>(sent);
  if (queue_position_ == queue_.size()) {
    queue_position_ = 0;
    std::string().swap(queue_);
  }
}

std::unique_ptr<Connection> connect(Loop& loop, const sockaddr_in& address,
                                    Connection::Handler handler, const sockaddr_in* source) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) return nullptr;
  if (source) {
    (void)!::bind(fd.get(), reinterpret_cast<const sockaddr*>(source), sizeof *source);
  }
  const int result =
      ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result < 0 && errno != EINPROGRESS) return nullptr;
  const bool is_connecting = result < 0;
  return std::make_unique<Connection>(loop, std::move(fd), is_connecting, std::move(handler));
}

}  // namespace alderspur::net
