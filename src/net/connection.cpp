#include "net/connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>

namespace alderspur::net {
namespace {

constexpr std::size_t kReadLeast = 16 << 10, kReadMost = 512 << 10;
constexpr int kAcceptAtOnce = 64;
constexpr core::Time kAcceptPause = 10'000;

}  // namespace

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  const std::string host(text.substr(0, colon));
  const auto port_text = text.substr(colon + 1);
  unsigned port = 0;
  const auto [end, error] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  if (error != std::errc() || end != port_text.data() + port_text.size() || port > 65535) return {};
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &out.sin_addr) != 1) return {};
  return out;
}

std::string to_string(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

Connection::Connection(Loop& loop, Fd fd, bool connecting, Handler handler)
    : fd_(std::move(fd)), handler_(std::move(handler)), connecting_(connecting) {
  const int on = 1;
  setsockopt(fd_.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  watcher_ =
      std::make_unique<IoWatcher>(loop.raw(), fd_.get(), [this](int events) { ready(events); });
  watch();
}

void Connection::watch() {
  if (closed_) return;
  const bool reads = !connecting_ && !input_ended_ && (lingering_ || !unreadable_);
  watcher_->want((reads ? EV_READ : 0) | (connecting_ || unwritten() ? EV_WRITE : 0));
}

void Connection::close() {
  if (closed_) return;
  closed_ = true;
  watcher_.reset();
  // Unsent bytes are cut off: the other side must not take them for the whole. in_ stays: its
  // slices may still be needed in this turn.
  fd_ = Fd();
  queue_.clear();
  queue_at_ = 0;
}

void Connection::fail(Closed why) {
  if (closed_) return;
  const auto told = lingering_ ? std::move(gone_) : nullptr;
  const auto on_close = lingering_ ? nullptr : handler_.on_close;
  unreadable_ = why == Closed::unreadable;
  closed_ = !unreadable_;
  watcher_->want(0);
  if (closed_) fd_ = Fd();
  if (told) told();
  if (on_close) on_close(why);
}

void Connection::linger(std::function<void()> gone) {
  if (closed_ || lingering_) return;
  lingering_ = true;
  input_ended_ = false;  // read once more: the end of input is what ends a lingering close
  gone_ = std::move(gone);
  if (!connecting_ && unwritten() == 0) end_our_side();
  watch();
}

void Connection::end_our_side() {
  if (std::exchange(ended_, true)) return;
  ::shutdown(fd_.get(), SHUT_WR);
  input_ended_ = false;
}

void Connection::throw_away() {
  char bytes[16 << 10];
  const ssize_t got = ::recv(fd_.get(), bytes, sizeof bytes, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (got > 0 && (thrown_away_ += static_cast<std::size_t>(got)) <= kLingerBytes) return;
  input_ended_ = got == 0;
  if (got != 0 || ended_) fail(Closed::by_peer);
}

bool Connection::peer_ended() const {
  pollfd look{fd_.get(), POLLRDHUP, 0};
  return closed_ || (::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)));
}

bool Connection::arrived() const {
  int bytes = 0;
  return !closed_ && ::ioctl(fd_.get(), FIONREAD, &bytes) == 0 && bytes > 0;
}

void Connection::ready(int events) {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error) return fail(Closed::refused);
    connecting_ = false;
    flush();
    if (!closed_ && handler_.on_written) handler_.on_written();
    if (!closed_) watch();
    return;
  }
  if (events & EV_WRITE) {
    flush();
    if (closed_) return;
    if (lingering_ && unwritten() == 0) {
      end_our_side();
    } else if (!lingering_ && handler_.on_written) {
      handler_.on_written();
    }
  }
  if (!closed_ && (events & EV_READ)) lingering_ ? throw_away() : read();
  if (!closed_) watch();
}

// One read a turn: a second one could move the buffer under slices handed out in the same turn.
void Connection::read() {
  if (consumed_) return;
  if (in_.size() - in_size_ < kReadLeast) {
    in_.resize(std::max(in_.size() * 2, in_size_ + kReadLeast));
  }
  const ssize_t got =
      ::recv(fd_.get(), in_.data() + in_size_, std::min(in_.size() - in_size_, kReadMost), 0);
  if (got < 0) {
    if (errno != EAGAIN && errno != EINTR) fail(Closed::reset);
    return;
  }
  if (got == 0) {
    if (!handler_.half_close) return fail(Closed::by_peer);
    input_ended_ = true;
    return handler_.on_close(Closed::by_peer);
  }
  last_read_at_ = unix_now();
  in_size_ += static_cast<std::size_t>(got);
  const auto taken = handler_.on_data(std::string_view(in_.data(), in_size_));
  if (taken < 0) return fail(Closed::unreadable);
  consumed_ = static_cast<std::size_t>(taken);
}

bool Connection::feed_again() {
  if (closed_ || consumed_ || in_size_ == 0) return false;
  const auto taken = handler_.on_data(std::string_view(in_.data(), in_size_));
  if (taken < 0) fail(Closed::unreadable);
  consumed_ = taken > 0 ? static_cast<std::size_t>(taken) : 0;
  return consumed_ > 0;
}

void Connection::end_turn() {
  if (!consumed_) return;
  std::memmove(in_.data(), in_.data() + consumed_, in_size_ - consumed_);
  in_size_ -= consumed_;
  consumed_ = 0;
  if (in_size_ == 0) {
    std::string().swap(in_);  // most connections are idle: what they hold must be next to nothing
  }
}

void Connection::write(std::string_view head, std::string_view body, std::string_view tail) {
  if (closed_) return;
  std::string_view parts[] = {head, body, tail};
  queued_total_ += head.size() + body.size() + tail.size();
  if (!connecting_ && unwritten() == 0) {
    iovec io[3];
    for (int i = 0; i < 3; ++i) io[i] = {const_cast<char*>(parts[i].data()), parts[i].size()};
    msghdr message{};
    message.msg_iov = io;
    message.msg_iovlen = 3;
    ssize_t sent = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (sent < 0) sent = 0;  // an error shows again at the next readiness, outside the carrying out
    for (auto& part : parts) {
      const auto n = std::min(part.size(), static_cast<std::size_t>(sent));
      part.remove_prefix(n);
      sent -= static_cast<ssize_t>(n);
    }
  }
  for (const auto& part : parts) queue_ += part;
  watch();
}

void Connection::flush() {
  if (!unwritten()) return;
  const ssize_t sent = ::send(fd_.get(), queue_.data() + queue_at_, unwritten(), MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno != EAGAIN && errno != EINTR) fail(Closed::reset);
    return;
  }
  queue_at_ += static_cast<std::size_t>(sent);
  if (queue_at_ == queue_.size()) {
    queue_at_ = 0;
    std::string().swap(queue_);
  }
}

std::unique_ptr<Connection> connect(Loop& loop, const sockaddr_in& to, Connection::Handler handler,
                                    bool* refused, const sockaddr_in* source) {
  if (refused) *refused = false;
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) return nullptr;
  if (source) (void)!::bind(fd.get(), reinterpret_cast<const sockaddr*>(source), sizeof *source);
  const int result = ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (result < 0 && errno != EINPROGRESS) {
    if (refused) *refused = true;
    return nullptr;
  }
  return std::make_unique<Connection>(loop, std::move(fd), result < 0, std::move(handler));
}

Listener::Listener(Loop& loop, core::Deadlines& deadlines, const sockaddr_in& at,
                   std::function<bool()> may_accept, std::function<void(Fd)> on_accept, bool shared)
    : deadlines_(deadlines), may_accept_(std::move(may_accept)), on_accept_(std::move(on_accept)) {
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (shared) setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (fd_.get() < 0 || ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) < 0 ||
      ::listen(fd_.get(), 512) < 0) {
    throw std::runtime_error("cannot listen on " + to_string(at) + ": " + std::strerror(errno));
  }
  watcher_ = std::make_unique<IoWatcher>(loop.raw(), fd_.get(), [this](int) { accept_some(); });
  watcher_->want(EV_READ);
}
Listener::~Listener() { *alive_ = false; }

// Classic BPF that names the second socket of the group, in the order in which they began to
// listen. Where there is no second one, or the kernel refuses the program, the connections are
// spread as before.
bool Listener::steer_to_successor() {
  sock_filter code[] = {{BPF_RET | BPF_K, 0, 0, 1}};
  const sock_fprog program{1, code};
  return ::setsockopt(fd_.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) ==
         0;
}

void Listener::stop_steering() {
  const int none = 0;
  (void)::setsockopt(fd_.get(), SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, &none, sizeof none);
}

// Danger: what the kernel has completed for a listener that closes is reset, and its client's
// request lost.
bool Listener::stop_empty(bool all) {
  spare_ = Fd();
  while (watcher_) {
    if (!all && !may_accept_()) return false;
    Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.get() >= 0) {
      on_accept_(std::move(fd));
    } else if (!all && (errno == EMFILE || errno == ENFILE)) {
      return false;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      break;
    }
  }
  stop();
  return true;
}

void Listener::keep_spare() {
  if (spare_.get() < 0 && fd_.get() >= 0) spare_ = Fd(::fcntl(fd_.get(), F_DUPFD_CLOEXEC, 0));
}

void Listener::stop() {
  spare_ = Fd();
  watcher_.reset();
  fd_ = Fd();
}

sockaddr_in Listener::address() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&at), &size);
  return at;
}

// Danger: out of descriptors, the listening socket stays readable and the loop would spin on it.
void Listener::accept_some() {
  for (int i = 0; i < kAcceptAtOnce; ++i) {
    const bool may = may_accept_();
    Fd fd(may ? ::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) : -1);
    if (fd.get() >= 0) {
      on_accept_(std::move(fd));
      continue;
    }
    if (may && (errno == EMFILE || errno == ENFILE) && spare_.get() >= 0) {
      spare_ = Fd();
      continue;
    }
    if (may && errno == EAGAIN) full_since_ = 0;
    if (may && (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED)) return;
    ++put_off;
    if (!full_since_) full_since_ = unix_now();
    watcher_->want(0);
    deadlines_.set(unix_now() + kAcceptPause, [this, alive = alive_] {
      if (*alive && watcher_) watcher_->want(EV_READ);
    });
    return;
  }
}

}  // namespace alderspur::net
