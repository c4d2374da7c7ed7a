#include "net/connection.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace alderspur::net {
namespace {

constexpr std::size_t kMaxReadBytes = 512 << 10;
constexpr std::size_t kDiscardBytes = 16 << 10;
/// The number of chunks of the write queue that are passed to the kernel at once.
constexpr std::size_t kMaxChunksPerWrite = 64;

bool is_temporary(int error) { return error == EAGAIN || error == EINTR; }

}  // namespace

Connection::Connection(Loop& loop, Fd fd, bool is_connecting, Handler handler)
    : fd_(std::move(fd)),
      handler_(std::move(handler)),
      is_connecting_(is_connecting),
      account_(loop.buffers()) {
  const int enabled = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  watcher_ =
      std::make_unique<IoWatcher>(loop.raw(), fd_.get(), [this](int events) { on_ready(events); });
  update_watcher();
}

Connection::~Connection() {
  account_.unsent -= accounted_.unsent;
  account_.unread -= accounted_.unread;
  account_.held -= accounted_.held;
}

void Connection::update_account() {
  const BufferAccount current{unwritten(), unread(), held_bytes()};
  account_.unsent += current.unsent - accounted_.unsent;
  account_.unread += current.unread - accounted_.unread;
  account_.held += current.held - accounted_.held;
  accounted_ = current;
}

void Connection::update_watcher() {
  if (is_closed_) return;
  const bool reads = !is_connecting_ && !has_input_ended_ && (!is_reading_paused_ || is_lingering_);
  const bool writes = is_connecting_ || unwritten() > 0;
  watcher_->want((reads ? EV_READ : 0) | (writes ? EV_WRITE : 0));
}

// ---- Closing ----

// The input is released when the turn ends, since views of it may still be in use in this turn.
void Connection::stop_parsing() {
  has_stopped_parsing_ = true;
  consumed_bytes_ = read_buffer_.unread().size();
  update_account();
}

void Connection::pause_reading(bool is_paused) {
  if (std::exchange(is_reading_paused_, is_paused) != is_paused) update_watcher();
}

// Keeps the read buffer, since views of it may still be in use in this turn.
void Connection::close() {
  if (is_closed_) return;
  is_closed_ = true;
  watcher_.reset();
  fd_ = Fd();
  send_queue_.clear();
  update_account();
}

void Connection::fail(CloseReason reason) {
  if (is_closed_) return;
  const auto on_linger_end = is_lingering_ ? std::move(on_linger_end_) : nullptr;
  const auto on_close = is_lingering_ ? nullptr : handler_.on_close;
  is_closed_ = reason != CloseReason::unreadable;
  if (is_closed_) {
    watcher_->want(0);
    fd_ = Fd();
  } else {
    stop_parsing();
  }
  if (on_linger_end) on_linger_end();
  if (on_close) on_close(reason);
}

void Connection::linger(std::function<void()> on_end) {
  if (is_closed_ || is_lingering_) return;
  is_lingering_ = true;
  read_buffer_.remove_front(read_buffer_.unread().size());
  consumed_bytes_ = 0;
  update_account();
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
  if (is_lingering_) {
    has_input_ended_ = received == 0;
    if (received != 0 || has_shut_down_sending_) fail(CloseReason::by_peer);
  } else if (received < 0) {
    fail(CloseReason::reset);
  } else {
    has_input_ended_ = true;
    if (received == 0) handler_.on_close(CloseReason::by_peer);
  }
}

bool Connection::peer_ended() const {
  if (is_closed_) return true;
  pollfd poll_fd{fd_.get(), POLLRDHUP, 0};
  return ::poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

std::size_t Connection::unacknowledged() const {
  int bytes = 0;
  const bool is_known = !is_closed_ && ::ioctl(fd_.get(), SIOCOUTQ, &bytes) == 0;
  return is_known ? static_cast<std::size_t>(bytes) : 0;
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
    if (discards_input()) {
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
  const std::span<char> space = read_buffer_.prepare();
  const ssize_t received =
      ::recv(fd_.get(), space.data(), std::min(space.size(), kMaxReadBytes), 0);
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
  read_buffer_.commit(static_cast<std::size_t>(received));
  const auto consumed = handler_.on_data(read_buffer_.unread());
  if (consumed < 0) return fail(CloseReason::unreadable);
  consumed_bytes_ = static_cast<std::size_t>(consumed);
  update_account();
}

bool Connection::reoffer_unread() {
  if (is_closed_ || has_stopped_parsing_ || consumed_bytes_ || unread() == 0) return false;
  const auto consumed = handler_.on_data(read_buffer_.unread());
  if (consumed < 0) {
    fail(CloseReason::unreadable);
    return false;
  }
  consumed_bytes_ = static_cast<std::size_t>(consumed);
  return consumed_bytes_ > 0;
}

void Connection::end_turn() {
  if (!consumed_bytes_) return;
  read_buffer_.remove_front(std::exchange(consumed_bytes_, 0));
  update_account();
}

// ---- Writing ----

// Passes the parts to the kernel. Returns the number of bytes that it has accepted, or -1 with an
// error in errno.
ssize_t Connection::send(std::span<iovec> parts) {
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
}

void Connection::write(std::string_view head, std::string_view body, std::string_view tail) {
  if (is_closed_) return;
  queued_total_ += head.size() + body.size() + tail.size();
  std::array parts{head, body, tail};
  if (!is_connecting_ && unwritten() == 0) {
    std::array<iovec, parts.size()> buffers;
    std::transform(parts.begin(), parts.end(), buffers.begin(), [](std::string_view part) {
      return iovec{const_cast<char*>(part.data()), part.size()};
    });
    // An error is ignored here, because fail() must not call the owner from within write(). The
    // kernel reports the error again when the socket is ready.
    const ssize_t result = send(buffers);
    std::size_t sent = result < 0 ? 0 : static_cast<std::size_t>(result);
    for (auto& part : parts) {
      const auto sent_of_part = std::min(part.size(), sent);
      part.remove_prefix(sent_of_part);
      sent -= sent_of_part;
    }
  }
  for (const auto& part : parts) send_queue_.append(part);
  update_account();
  update_watcher();
}

void Connection::flush() {
  if (!unwritten()) return;
  std::array<iovec, kMaxChunksPerWrite> buffers;
  const std::size_t count = send_queue_.gather(buffers);
  const ssize_t sent = send(std::span(buffers).first(count));
  if (sent < 0) {
    if (!is_temporary(errno)) fail(CloseReason::reset);
    return;
  }
  send_queue_.remove_front(static_cast<std::size_t>(sent));
  update_account();
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
