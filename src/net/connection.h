// A TCP connection on the loop: a read buffer whose slices live until the turn ends, a bounded
// write queue, and counts of bytes queued and written. Listeners, addresses and the descriptor
// budget stand here too.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/loop.h"

namespace alderspur::net {

// "127.0.0.4:4100"; only numeric addresses, there is no DNS.
std::optional<sockaddr_in> parse_address(std::string_view text);
std::string to_string(const sockaddr_in& address);

class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  ~Fd();
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

enum class Closed { by_peer, reset, refused, unreadable };
constexpr std::size_t kLingerBytes = 1 << 20;

class Connection {
 public:
  struct Handler {
    // Takes what it can from the front of the bytes; returns how many it has consumed, -1 if
    // unreadable.
    std::function<std::ptrdiff_t(std::string_view)> on_data;
    std::function<void()> on_written;  // something left the queue, or the connection came up
    // Once; the owner then lets go of it after the turn. Unreadable: nothing more is read, but what
    // was written may still leave, by linger().
    std::function<void(Closed)> on_close;
    bool half_close = false;  // end of input: on_close(by_peer), but writing may go on
  };
  Connection(Loop& loop, Fd fd, bool connecting, Handler handler);

  // Both parts in one go if the queue is empty; only what the socket does not take is copied.
  void write(std::string_view head, std::string_view body = {}, std::string_view tail = {});
  void end_turn();    // the slices handed out are over
  bool feed_again();  // offers what was left to on_data once more; true if some of it was taken
  void close();  // ours, at once: what is unsent is cut off, unread bytes reset the connection; no
                 // on_close
  // Lingering close: our side ends once all is written; what still comes is thrown away,
  // kLingerBytes of it, until the peer has ended too. No handler is called any more; `gone` once,
  // never from within this call. Danger: a close over unread bytes resets the connection, and takes
  // along what the peer has yet to read.
  void linger(std::function<void()> gone);
  bool arrived() const;     // bytes are here that nobody has read
  bool peer_ended() const;  // its side, though what it wrote before may not be read yet

  bool connecting() const { return connecting_; }
  bool closed() const { return closed_; }
  std::size_t unwritten() const { return queue_.size() - queue_at_; }
  std::size_t unread() const { return in_size_ - consumed_; }  // of a message not whole yet
  std::uint64_t queued_total() const { return queued_total_; }
  std::uint64_t written_total() const { return queued_total_ - unwritten(); }
  /// Unix time at which bytes last came; 0: none have.
  core::Time last_read_at() const { return last_read_at_; }

 private:
  void ready(int events);
  void read();
  void flush();
  void fail(Closed why);
  void watch();
  void end_our_side();
  void throw_away();

  Fd fd_;
  Handler handler_;
  bool connecting_, closed_ = false, input_ended_ = false, unreadable_ = false;
  bool lingering_ = false, ended_ = false;  // ended_: our side, while lingering
  std::size_t thrown_away_ = 0;
  std::function<void()> gone_;
  std::string in_;
  std::size_t in_size_ = 0, consumed_ = 0;
  std::string queue_;
  std::size_t queue_at_ = 0;
  std::uint64_t queued_total_ = 0;
  core::Time last_read_at_ = 0;
  std::unique_ptr<IoWatcher> watcher_;
};

// Null if no descriptor is to be had or the address refuses at once. `source`: the address to come
// from, where it can be had.
std::unique_ptr<Connection> connect(Loop& loop, const sockaddr_in& to, Connection::Handler handler,
                                    bool* refused = nullptr, const sockaddr_in* source = nullptr);

class Listener {
 public:
  // Throws std::runtime_error if the address is not to be had.
  Listener(Loop& loop, core::Deadlines& deadlines, const sockaddr_in& at,
           std::function<bool()> may_accept, std::function<void(Fd)> on_accept,
           bool shared = false);
  ~Listener();
  // `shared`: another process may listen on the same address, and the kernel spreads connections
  // over both. These hand all new ones to whoever began to listen after us, and end that.
  bool steer_to_successor();
  void stop_steering();
  // One descriptor is kept back for when the process has none left, so that a caller still gets in;
  // taken anew by this once there is room again.
  void keep_spare();
  // Takes what the kernel holds for us, then stops; false: there is no room for all of it, and it
  // goes on. `all`: whatever the budget says, as long as there are descriptors.
  bool stop_empty(bool all = true);
  sockaddr_in address() const;
  void stop();
  std::uint64_t put_off = 0;
  // So long has the queue not been empty: whoever is accepted now may have waited in it, and left
  // since.
  core::Time waited() const { return full_since_ ? unix_now() - full_since_ : 0; }

 private:
  void accept_some();

  core::Deadlines& deadlines_;
  Fd fd_;
  std::function<bool()> may_accept_;
  std::function<void(Fd)> on_accept_;
  std::unique_ptr<IoWatcher> watcher_;
  Fd spare_;
  core::Time full_since_ = 0;  // there was no room for all, 0: the queue has been empty since
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace alderspur::net
