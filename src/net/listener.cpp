#include "net/listener.h"

#include <fcntl.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace alderspur::net {
namespace {

constexpr int kBacklog = 512;
constexpr int kMaxAcceptsPerTurn = 64;
constexpr core::Time kAcceptPause = 10'000;

bool is_out_of_descriptors(int error) { return error == EMFILE || error == ENFILE; }
bool is_accept_retryable(int error) { return error == EINTR || error == ECONNABORTED; }

}  // namespace

Listener::Listener(Loop& loop, core::Deadlines& deadlines, const sockaddr_in& address,
                   std::function<bool()> may_accept, std::function<void(Fd)> on_accept,
                   bool is_shared)
    : deadlines_(deadlines),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      may_accept_(std::move(may_accept)),
      on_accept_(std::move(on_accept)) {
  const int enabled = 1;
  setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (is_shared) setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
  if (fd_.get() < 0 ||
      ::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 ||
      ::listen(fd_.get(), kBacklog) < 0) {
    throw std::runtime_error("cannot listen on " + to_string(address) + ": " +
                             std::strerror(errno));
  }
  watcher_ = std::make_unique<IoWatcher>(loop.raw(), fd_.get(), [this](int) { accept_some(); });
  watcher_->want(EV_READ);
}
Listener::~Listener() { *is_alive_ = false; }

// The classic BPF program selects the second socket of the SO_REUSEPORT group, in the order in
// which the sockets started to listen. If there is no second socket, the kernel distributes
// connections as before.
bool Listener::steer_to_successor() {
  sock_filter code[] = {{BPF_RET | BPF_K, 0, 0, 1}};
  const sock_fprog program{1, code};
  return ::setsockopt(fd_.get(), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program) ==
         0;
}

void Listener::stop_steering() {
  const int unused = 0;
  (void)::setsockopt(fd_.get(), SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, &unused, sizeof unused);
}

void Listener::reserve_descriptor() {
  if (reserved_descriptor_.get() >= 0 || fd_.get() < 0) return;
  reserved_descriptor_ = Fd(::fcntl(fd_.get(), F_DUPFD_CLOEXEC, 0));
}

Fd Listener::accept_one() {
  return Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

bool Listener::accept_rest_and_stop(AcceptRest rest) {
  const bool is_limited = rest == AcceptRest::within_limits;
  reserved_descriptor_ = Fd();
  while (watcher_) {
    if (is_limited && !may_accept_()) return false;
    Fd fd = accept_one();
    if (fd.get() >= 0) {
      on_accept_(std::move(fd));
    } else if (is_limited && is_out_of_descriptors(errno)) {
      return false;
    } else if (!is_accept_retryable(errno)) {
      break;
    }
  }
  stop();
  return true;
}

void Listener::stop() {
  reserved_descriptor_ = Fd();
  watcher_.reset();
  fd_ = Fd();
}

sockaddr_in Listener::address() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

void Listener::accept_some() {
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    if (!may_accept_()) return pause();
    Fd fd = accept_one();
    if (fd.get() >= 0) {
      on_accept_(std::move(fd));
      continue;
    }
    const int error = errno;
    if (is_out_of_descriptors(error) && reserved_descriptor_.get() >= 0) {
      reserved_descriptor_ = Fd();
      continue;
    }
    if (error == EAGAIN) paused_since_ = 0;
    if (error == EAGAIN || is_accept_retryable(error)) return;
    return pause();
  }
}

// Stops watching the socket for a short time. While connections cannot be accepted, the socket
// stays readable, and the loop would spin on it.
void Listener::pause() {
  if (!paused_since_) paused_since_ = unix_now();
  watcher_->want(0);
  deadlines_.set(unix_now() + kAcceptPause, [this, is_alive = is_alive_] {
    if (*is_alive && watcher_) watcher_->want(EV_READ);
  });
}

}  // namespace alderspur::net
